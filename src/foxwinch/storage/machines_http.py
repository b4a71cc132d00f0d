"""Adapter of the machine list over HTTP: `GET /machines`."""

import aiohttp
from pydantic import BaseModel, ValidationError

from foxwinch.http_client import (
    HttpRequest,
    RemoteService,
    malformed_response,
    refusal_for_status,
    send_request,
)
from foxwinch.identifiers import RegionName, ZoneName
from foxwinch.outcomes import Reason, Refused
from foxwinch.storage.ports import Machine

REQUEST_TIMEOUT_SECONDS = 5.0
SERVICE = RemoteService("the machine list", Reason.STORE_UNAVAILABLE, Reason.STORE_UNAVAILABLE)


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


class HttpMachineList:
    """HTTP client of the machine list; implements `foxwinch.storage.ports.MachinePort`."""

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        """Use `session`, which the caller closes."""
        self._session = session
        self._url = url.rstrip("/")

    async def machines(self) -> tuple[Machine, ...] | Refused:
        """See `MachinePort`."""
        request = HttpRequest("GET", f"{self._url}/machines", REQUEST_TIMEOUT_SECONDS)
        response = await send_request(self._session, SERVICE, request)
        if isinstance(response, Refused):
            return response
        if response.status != 200:
            return refusal_for_status(SERVICE, response)
        try:
            document = MachinesDocument.model_validate_json(response.body)
        except ValidationError:
            return malformed_response(SERVICE)
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
