"""All stand-ins of one process as one aiohttp application.

Besides the services there is a control side for tests and benches: `GET` and `POST /faults` read
and change the faults in force, `GET /state` tells what the services saw, `POST /machines` puts a
machine on the list, `DELETE /machines/{name}` takes one off.
"""

from aiohttp import web
from pydantic import ValidationError

from foxwinch.emulator.emulated_services import EmulatedServices
from foxwinch.emulator.http_engine import EngineHandlers
from foxwinch.emulator.http_platform import PlatformHandlers
from foxwinch.emulator.http_tools import ToolHandlers
from foxwinch.emulator.settings import FaultSettings
from foxwinch.identifiers import RegionName, ZoneName
from foxwinch.storage.machines_http import MachineDocument
from foxwinch.storage.ports import Machine

MAX_BODY_BYTES = 64 * 1024 * 1024


def build_application(emulated_services: EmulatedServices) -> web.Application:
    """Return an application that serves all stand-ins."""
    application = web.Application(client_max_size=MAX_BODY_BYTES)
    EngineHandlers(emulated_services).add_routes(application.router)
    ToolHandlers(emulated_services).add_routes(application.router)
    PlatformHandlers(emulated_services).add_routes(application.router)
    ControlHandlers(emulated_services).add_routes(application.router)
    return application


class ControlHandlers:
    """Handlers of the control side."""

    def __init__(self, emulated_services: EmulatedServices) -> None:
        """Control `emulated_services`."""
        self._emulated_services = emulated_services

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Register the handlers."""
        router.add_get("/faults", self.read_faults)
        router.add_post("/faults", self.change_faults)
        router.add_get("/state", self.state)
        router.add_post("/machines", self.add_machine)
        router.add_delete("/machines/{name}", self.remove_machine)

    async def read_faults(self, request: web.Request) -> web.Response:
        """Tell the faults in force."""
        emulated_services = self._emulated_services
        faults = FaultSettings(
            store=emulated_services.store_gate.faults,
            machines=emulated_services.machines_gate.faults,
            tools=emulated_services.tool_faults,
            engines={name: engine.faults for name, engine in emulated_services.engines.items()},
        )
        return web.Response(text=faults.model_dump_json(), content_type="application/json")

    async def change_faults(self, request: web.Request) -> web.Response:
        """Put the given faults in force; services that are not named keep theirs."""
        try:
            faults = FaultSettings.model_validate_json(await request.read())
        except ValidationError as error:
            return web.Response(status=422, text=str(error))
        self._emulated_services.apply_faults(faults)
        return await self.read_faults(request)

    async def state(self, request: web.Request) -> web.Response:
        """Tell what the services saw."""
        emulated_services = self._emulated_services
        tools = emulated_services.tools
        engines = {
            name: {
                "epoch": engine.newest_epoch,
                "executions": dict(engine.executions),
                "resumes": dict(engine.resumes),
                "released": dict(engine.released),
                "requests": engine.gate.requests,
            }
            for name, engine in emulated_services.engines.items()
        }
        runs = [
            {"call": run.call_id, "program": run.program_id, "tool": run.tool, "worker": run.worker}
            for run in tools.executions
        ]
        seats = {
            "holders": tools.seats.holders,
            "confirmed": sorted(tools.seats.confirmed),
            "violations": tools.seats.violations,
        }
        document = {
            "engines": engines,
            "tool_executions": runs,
            "seats": seats,
            "sessions": tools.sessions,
            "store_commits": emulated_services.store.calls.commits,
        }
        return web.json_response(document)

    async def add_machine(self, request: web.Request) -> web.Response:
        """Put a machine on the list, or change it."""
        try:
            document = MachineDocument.model_validate_json(await request.read())
        except ValidationError as error:
            return web.Response(status=422, text=str(error))
        machine = Machine(
            document.name,
            document.kind,
            document.address,
            ZoneName(document.zone),
            RegionName(document.region),
            document.leaving,
        )
        machines = self._emulated_services.machines
        others = tuple(m for m in machines.current if m.name != machine.name)
        machines.change((*others, machine), self._emulated_services.clock.monotonic())
        return web.Response(status=204)

    async def remove_machine(self, request: web.Request) -> web.Response:
        """Take a machine off the list."""
        name = request.match_info["name"]
        self._emulated_services.machines.remove(name, self._emulated_services.clock.monotonic())
        return web.Response(status=204)
