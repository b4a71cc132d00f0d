"""Port to the platform's machine list. The port to the shared store is `foxwinch.records.ports`."""

from dataclasses import dataclass
from typing import Protocol

from foxwinch.identifiers import RegionName, ZoneName
from foxwinch.outcomes import Refused


@dataclass(frozen=True, slots=True)
class Machine:
    """An entry of the platform's machine list."""

    name: str
    kind: str
    """`node` or `worker`."""
    address: str
    """`ip:port` of its main listener."""
    zone: ZoneName
    region: RegionName
    leaving: bool


class MachinePort(Protocol):
    """The platform's machine list, which may be stale and is only a hint."""

    async def machines(self) -> tuple[Machine, ...] | Refused:
        """Read the list."""
        ...
