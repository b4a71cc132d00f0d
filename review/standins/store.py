"""Stand-in for the platform's store: rows, transactions and the feed, without faults."""

import asyncio
import base64
import json
import time
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

from standins.wire import encode_message, read_body, read_head

TRANSACTION_SECONDS = 0.005
"""`tx_ms` of the pages' example settings."""
READ_SECONDS = 0.004
MAX_PAGE_BYTES = 1_000_000
REASONS = {200: "OK", 410: "Gone", 412: "Precondition Failed", 404: "Not Found"}
RowAddress = tuple[str, str, str]


class Store:
    """Holds the rows in memory and serves them over HTTP."""

    def __init__(self) -> None:
        """Start empty."""
        self.address = ""
        self.on_write: Callable[[str, str], None] = lambda table, key: None
        """Called with the table and the key of each written row."""
        self._rows: dict[RowAddress, tuple[str, int]] = {}
        self._history: list[dict[str, Any]] = []
        self._version = 0
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 22)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Close the listener and the connections."""
        assert self._server is not None
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def put(self, table: str, key: str, document: dict[str, Any]) -> None:
        """Write a row with an empty part, as the operator or a worker does."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self._commit([{"table": table, "part": "", "tls_key": key, "value": value}], [])

    def remove(self, table: str, key: str) -> None:
        """Remove a row with an empty part."""
        self._commit([], [{"table": table, "part": "", "tls_key": key}])

    def value(self, table: str, part: str, key: str) -> bytes | None:
        """Return the content of a row."""
        found = self._rows.get((table, part, key))
        return base64.b64decode(found[0]) if found else None

    def rows_of(self, table: str) -> dict[str, bytes]:
        """Return the content of all rows of a table by key."""
        return {
            address[2]: base64.b64decode(row[0])
            for address, row in self._rows.items()
            if address[0] == table
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head.headers)
                method, target, _ = head.first.split(" ")
                status, document = await self._answer(method, target, body)
                data = json.dumps(document).encode()
                headers = {"Content-Type": "application/json"}
                first = f"HTTP/1.1 {status} {REASONS[status]}"
                writer.write(encode_message(first, headers, data))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            self._tasks.discard(task)

    async def _answer(self, method: str, target: str, body: bytes) -> tuple[int, dict[str, Any]]:
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if method == "POST" and parts.path == "/v1/rows-tx":
            await asyncio.sleep(TRANSACTION_SECONDS)
            return self._transact(json.loads(body))
        if method == "GET" and parts.path == "/v1/rows-get":
            await asyncio.sleep(READ_SECONDS)
            return 200, self._read(query)
        if method == "GET" and parts.path == "/v1/rows-feed":
            return 200, await self._feed(query)
        return 404, {}

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        conditions = body.get("if_rev") or []
        current = [self._document(_address(entry)) for entry in conditions]
        if any(row["ver"] != entry["ver"] for row, entry in zip(current, conditions, strict=True)):
            return 412, {"rows": current, **self._stamp()}
        self._commit(body.get("put") or [], body.get("remove") or [])
        return 200, self._stamp()

    def _commit(self, puts: list[dict[str, Any]], removals: list[dict[str, Any]]) -> None:
        if not puts and not removals:
            return
        self._version += 1
        for entry in puts:
            address = _address(entry)
            self._rows[address] = (entry["value"], self._version)
            self._history.append(self._document(address))
            self.on_write(address[0], address[2])
        for entry in removals:
            address = _address(entry)
            self._rows.pop(address, None)
            self._history.append({**self._document(address), "ver": self._version, "gone": True})
        self._changed.set()
        self._changed = asyncio.Event()

    def _read(self, query: dict[str, str]) -> dict[str, Any]:
        table, part = query["table"], query.get("part", "")
        first, end = query.get("from", ""), query.get("target_version")
        limit = int(query.get("limit", 500))
        keys = sorted(
            key
            for row_table, row_part, key in self._rows
            if (row_table, row_part) == (table, part)
            and key >= first
            and (end is None or key < end)
        )
        rows: list[dict[str, Any]] = []
        size = 0
        for key in keys[:limit]:
            row = self._document((table, part, key))
            size += len(row["value"])
            if rows and size > MAX_PAGE_BYTES:
                break
            rows.append(row)
        return {"rows": rows, "more": len(keys) > len(rows), **self._stamp()}

    async def _feed(self, query: dict[str, str]) -> dict[str, Any]:
        after, table = int(query["after"]), query["table"]
        end_at = time.monotonic() + int(query.get("wait_ms", 0)) / 1e3
        while True:
            rows = [row for row in self._history if row["table"] == table and row["ver"] > after]
            left = end_at - time.monotonic()
            if rows or left <= 0:
                return {"rows": rows, **self._stamp()}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue

    def _document(self, address: RowAddress) -> dict[str, Any]:
        table, part, key = address
        found = self._rows.get(address)
        document: dict[str, Any] = {"table": table, "part": part, "tls_key": key, "ver": 0}
        if found is not None:
            document.update(value=found[0], ver=found[1])
        return document

    def _stamp(self) -> dict[str, int]:
        return {"ver": self._version, "now_ms": int(1e3 * time.monotonic())}


def _address(entry: dict[str, Any]) -> RowAddress:
    return entry["table"], entry.get("part", ""), entry["tls_key"]
