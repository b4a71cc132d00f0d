"""Adapter of the object port over HTTP: `PUT`, `GET` and `DELETE /objects/{key}`; repeatable."""

from urllib.parse import quote

import aiohttp

from foxwinch.http_exchange import HttpAnswer, HttpRequest, Service, exchange, refusal
from foxwinch.outcomes import Reason, Refused, not_run
from foxwinch.storage.ports import Stored
from foxwinch.storage.rate_limit import RateLimiter

REQUEST_SECONDS = 15.0
"""For a whole answer: objects are up to some megabytes."""
SERVICE = Service("the object store", Reason.STORE_UNAVAILABLE, Reason.STORE_UNAVAILABLE)


class HttpObjects:
    """The object store reached over HTTP; implements `foxwinch.storage.ports.ObjectPort`."""

    def __init__(self, session: aiohttp.ClientSession, url: str, limiter: RateLimiter) -> None:
        """Use `session`, which the caller closes."""
        self._session = session
        self._url = url.rstrip("/")
        self._limiter = limiter

    async def put(self, key: str, data: bytes) -> Stored | Refused:
        """See the port; other bytes under a key that is taken are a `CONFLICT`."""
        answer = await self._send("PUT", key, data)
        if isinstance(answer, Refused):
            return answer
        if answer.status in (200, 201, 204):
            return Stored()
        if answer.status in (409, 412):
            return not_run(Reason.CONFLICT, "the object exists with other bytes")
        return refusal(SERVICE, answer)

    async def get(self, key: str) -> bytes | Refused | None:
        """See the port."""
        answer = await self._send("GET", key)
        if isinstance(answer, Refused):
            return answer
        if answer.status == 404:
            return None
        return answer.body if answer.status == 200 else refusal(SERVICE, answer)

    async def delete(self, key: str) -> Stored | Refused:
        """See the port."""
        answer = await self._send("DELETE", key)
        if isinstance(answer, Refused):
            return answer
        return Stored() if answer.status in (200, 204, 404) else refusal(SERVICE, answer)

    async def _send(self, method: str, key: str, body: bytes | None = None) -> HttpAnswer | Refused:
        refused = await self._limiter.enter()
        if refused is not None:
            return refused
        url = f"{self._url}/objects/{quote(key, safe='')}"
        answer = await exchange(
            self._session, SERVICE, HttpRequest(method, url, REQUEST_SECONDS, body)
        )
        if isinstance(answer, HttpAnswer) and answer.status == 429:
            limited = refusal(SERVICE, answer)
            self._limiter.heed(limited)
            return limited
        return answer
