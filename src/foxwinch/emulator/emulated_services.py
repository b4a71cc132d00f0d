"""All stand-ins of one process: their models, workers and fault gates."""

from foxwinch.clock import Clock
from foxwinch.emulator.engine_worker import EngineWorker, EngineWorkerSettings
from foxwinch.emulator.faults import FaultGate, ToolFaults
from foxwinch.emulator.machines import MachineModel
from foxwinch.emulator.record_store import RecordStoreModel
from foxwinch.emulator.settings import EVERY_ENGINE, EmulatorSettings, FaultSettings
from foxwinch.emulator.tools import ToolModel
from foxwinch.identifiers import ModelName, RegionName, ToolName, WorkerId, ZoneName
from foxwinch.storage.ports import Machine


class EmulatedServices:
    """The state behind the emulator's HTTP side."""

    def __init__(self, settings: EmulatorSettings, clock: Clock) -> None:
        """Build every service with its faults."""
        self.settings = settings
        self.clock = clock
        self.store = RecordStoreModel(clock)
        self.machines = MachineModel()
        served = settings.tools
        self.tools = ToolModel(None if served is None else tuple(map(ToolName, served)))
        self.engines = {
            WorkerId(engine.name): EngineWorker(
                EngineWorkerSettings(
                    name=engine.name,
                    models=tuple(map(ModelName, engine.models)),
                    pace=settings.pace,
                    maximum_answer_tokens=settings.maximum_answer_tokens,
                    seed=number,
                ),
                clock,
            )
            for number, engine in enumerate(settings.engines)
        }
        self.tool_workers = frozenset(worker.name for worker in settings.tool_workers)
        self.store_gate = FaultGate(clock)
        self.machines_gate = FaultGate(clock)
        self.tools_gate = FaultGate(clock, ToolFaults())
        self.apply_faults(settings.faults)

    @property
    def tool_faults(self) -> ToolFaults:
        """Faults in force at the tools."""
        faults = self.tools_gate.faults
        assert isinstance(faults, ToolFaults)
        return faults

    def apply_faults(self, faults: FaultSettings) -> None:
        """Put the faults of the named services in force."""
        if faults.store is not None:
            self.store_gate.faults = faults.store
        if faults.machines is not None:
            self.machines_gate.faults = faults.machines
        if faults.tools is not None:
            self.tools_gate.faults = faults.tools
        for name, engine in self.engines.items():
            chosen = faults.engines.get(name) or faults.engines.get(EVERY_ENGINE)
            if chosen is not None:
                engine.gate.faults = chosen

    def list_workers(self, address: str) -> None:
        """Put every worker on the machine list, as one that has long been there."""
        region = RegionName(self.settings.region)
        workers = [(engine.name, engine.zone) for engine in self.settings.engines]
        workers += [(worker.name, worker.zone) for worker in self.settings.tool_workers]
        listed = tuple(
            Machine(name, "worker", address, ZoneName(zone), region, False)
            for name, zone in workers
        )
        self.machines.change(listed, float("-inf"))

    def stop(self) -> None:
        """Let nothing happen any more."""
        for engine in self.engines.values():
            engine.stop()
