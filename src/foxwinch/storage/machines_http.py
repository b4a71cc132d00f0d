"""Adapter of the machine list over HTTP: `GET /machines`."""

import aiohttp
from pydantic import BaseModel, ValidationError

from foxwinch.http_exchange import HttpRequest, Service, exchange, malformed, refusal
from foxwinch.identifiers import RegionName, ZoneName
from foxwinch.outcomes import Reason, Refused
from foxwinch.storage.ports import Machine

REQUEST_SECONDS = 5.0
SERVICE = Service("the machine list", Reason.STORE_UNAVAILABLE, Reason.STORE_UNAVAILABLE)


class MachineDocument(BaseModel):
    """A machine in the response body."""

    name: str
    kind: str
    address: str
    zone: str
    region: str
    leaving: bool = False


class MachinesDocument(BaseModel):
    """Response body with all machines."""

    machines: list[MachineDocument]


class HttpMachines:
    """HTTP client of the machine list; implements `foxwinch.storage.ports.MachinePort`."""

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        """Use `session`, which the caller closes."""
        self._session = session
        self._url = url.rstrip("/")

    async def machines(self) -> tuple[Machine, ...] | Refused:
        """See `MachinePort`."""
        request = HttpRequest("GET", f"{self._url}/machines", REQUEST_SECONDS)
        answer = await exchange(self._session, SERVICE, request)
        if isinstance(answer, Refused):
            return answer
        if answer.status != 200:
            return refusal(SERVICE, answer)
        try:
            document = MachinesDocument.model_validate_json(answer.body)
        except ValidationError:
            return malformed(SERVICE)
        return tuple(map(_machine, document.machines))


def _machine(document: MachineDocument) -> Machine:
    return Machine(
        name=document.name,
        kind=document.kind,
        address=document.address,
        zone=ZoneName(document.zone),
        region=RegionName(document.region),
        leaving=document.leaving,
    )
