"""Port to the platform's list of machines. The shared store's port is `foxwinch.records.ports`."""

from dataclasses import dataclass
from typing import Protocol

from foxwinch.identifiers import RegionName, ZoneName
from foxwinch.outcomes import Refused


@dataclass(frozen=True, slots=True)
class Machine:
    """A machine as the platform's lagging list has it."""

    name: str
    kind: str
    """`node` or `worker`."""
    address: str
    """`ip:port` of its main listener."""
    zone: ZoneName
    region: RegionName
    leaving: bool


class MachinePort(Protocol):
    """The platform's lagging list of machines: a hint, never a proof."""

    async def machines(self) -> tuple[Machine, ...] | Refused:
        """Read the list."""
        ...
