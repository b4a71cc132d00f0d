"""`foxwinch emulator`: all stand-ins as a process of their own."""

import asyncio
import signal
from collections.abc import Callable

import uvloop
from aiomisc import Service, entrypoint

from foxwinch.clock import SystemClock
from foxwinch.emulator.emulated_services import EmulatedServices
from foxwinch.emulator.server import build_application
from foxwinch.emulator.settings import EmulatorSettings
from foxwinch.node.http_service import HttpService

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class EmulatorService(Service):
    """The stand-ins, listening."""

    def __init__(self, settings: EmulatorSettings) -> None:
        """Serve what `settings` name."""
        super().__init__()
        self.emulated_services = EmulatedServices(settings, SystemClock())
        self._http = HttpService(
            build_application(self.emulated_services),
            host=settings.host,
            port=settings.port,
            handler_cancellation=False,
        )

    @property
    def url(self) -> str:
        """Base URL, once started."""
        return f"http://{self._address}"

    @property
    def _address(self) -> str:
        host = self._http.host
        return f"{f'[{host}]' if ':' in host else host}:{self._http.bound_port}"

    async def start(self) -> None:
        """Listen; the workers are on the machine list from then on."""
        await self._http.start()
        self.emulated_services.list_workers(self._address)

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop listening."""
        self.emulated_services.stop()
        await self._http.stop()

    def addresses(self) -> dict[str, str]:
        """Return the base URL of each service, by the names that the command prints."""
        return {
            "emulator_url": self.url,
            "workers_url": f"{self.url}/workers",
            "tools_url": f"{self.url}/tools",
            "store_url": f"{self.url}/store",
            "machines_url": f"{self.url}/platform",
        }


def run_emulator(settings: EmulatorSettings, announce: Callable[[dict[str, str]], None]) -> None:
    """Run until SIGTERM or SIGINT; `announce` gets the addresses once they are served."""
    service = EmulatorService(settings)
    loop = uvloop.new_event_loop()
    with entrypoint(service, loop=loop, log_config=False, catch_signals=()):
        announce(service.addresses())
        loop.run_until_complete(_stop_signal())
    loop.close()


async def _stop_signal() -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
