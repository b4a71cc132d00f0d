"""All stand-ins of one process as one aiohttp application.

Besides the services there is a control side for tests and benches: `GET` and `POST /faults` read
and change the faults in force, `GET /state` tells what the services saw, `POST /machines` puts a
machine on the list, `DELETE /machines/{name}` takes one off.
"""

from aiohttp import web
from pydantic import ValidationError

from foxwinch.emulator.http_engine import EngineHandlers
from foxwinch.emulator.http_platform import PlatformHandlers
from foxwinch.emulator.http_tools import ToolHandlers
from foxwinch.emulator.settings import FaultSettings
from foxwinch.emulator.stand_ins import StandIns
from foxwinch.identifiers import RegionName, ZoneName
from foxwinch.storage.machines_http import MachineDocument
from foxwinch.storage.ports import Machine

MAX_BODY_BYTES = 64 * 1024 * 1024


def build_application(stand_ins: StandIns) -> web.Application:
    """Return an application that serves all stand-ins."""
    application = web.Application(client_max_size=MAX_BODY_BYTES)
    EngineHandlers(stand_ins).add_routes(application.router)
    ToolHandlers(stand_ins).add_routes(application.router)
    PlatformHandlers(stand_ins).add_routes(application.router)
    ControlHandlers(stand_ins).add_routes(application.router)
    return application


class ControlHandlers:
    """Handlers of the control side."""

    def __init__(self, stand_ins: StandIns) -> None:
        """Control `stand_ins`."""
        self._stand_ins = stand_ins

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Register the handlers."""
        router.add_get("/faults", self.read_faults)
        router.add_post("/faults", self.change_faults)
        router.add_get("/state", self.state)
        router.add_post("/machines", self.add_machine)
        router.add_delete("/machines/{name}", self.remove_machine)

    async def read_faults(self, request: web.Request) -> web.Response:
        """Tell the faults in force."""
        stand_ins = self._stand_ins
        faults = FaultSettings(
            store=stand_ins.store_gate.faults,
            machines=stand_ins.machines_gate.faults,
            tools=stand_ins.tool_faults,
            engines={name: engine.faults for name, engine in stand_ins.engines.items()},
        )
        return web.Response(text=faults.model_dump_json(), content_type="application/json")

    async def change_faults(self, request: web.Request) -> web.Response:
        """Put the given faults in force; services that are not named keep theirs."""
        try:
            faults = FaultSettings.model_validate_json(await request.read())
        except ValidationError as error:
            return web.Response(status=422, text=str(error))
        self._stand_ins.apply_faults(faults)
        return await self.read_faults(request)

    async def state(self, request: web.Request) -> web.Response:
        """Tell what the services saw."""
        stand_ins = self._stand_ins
        tools = stand_ins.tools
        engines = {
            name: {
                "epoch": engine.newest_epoch,
                "executions": dict(engine.executions),
                "resumes": dict(engine.resumes),
                "released": dict(engine.released),
                "requests": engine.gate.requests,
            }
            for name, engine in stand_ins.engines.items()
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
            "store_commits": stand_ins.store.calls.commits,
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
        machines = self._stand_ins.machines
        others = tuple(m for m in machines.current if m.name != machine.name)
        machines.change((*others, machine), self._stand_ins.clock.monotonic())
        return web.Response(status=204)

    async def remove_machine(self, request: web.Request) -> web.Response:
        """Take a machine off the list."""
        name = request.match_info["name"]
        self._stand_ins.machines.remove(name, self._stand_ins.clock.monotonic())
        return web.Response(status=204)
