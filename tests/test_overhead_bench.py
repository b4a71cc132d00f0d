"""The overhead bench counts only complete responses and computes every ratio."""

import asyncio
import json

import pytest

from foxwinch.bench.overhead import Case, run_overhead
from foxwinch.bench.stream_client import (
    IncompleteResponseError,
    Load,
    prepare_request,
    run_load,
)

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNK = b'data: {"choices": [{"delta": {"content": "x"}}]}\n\n'
DONE = b"data: [DONE]\n\n"


def chunked(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


async def run_load_against(response, chunks, requests=4):
    async def serve(reader, writer):
        while await reader.read(65_536):
            writer.write(response)

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
    async with server:
        return await run_load(Load(url, prepare_request(url, b"{}", {}), requests, 2, chunks))


async def test_complete_responses_are_counted():
    response = HEAD + chunked(CHUNK) + chunked(CHUNK + DONE) + b"0\r\n\r\n"
    result = await run_load_against(response, chunks=2)
    assert (result.requests, result.chunks) == (4, 8)
    assert len(result.latencies_seconds) == 4


@pytest.mark.parametrize(
    "response",
    [
        HEAD + chunked(CHUNK) + chunked(DONE) + b"0\r\n\r\n",
        HEAD + chunked(CHUNK) + chunked(CHUNK) + b"0\r\n\r\n",
        b"HTTP/1.1 503 Busy\r\n\r\n" + chunked(b"") + b"0\r\n\r\n",
    ],
)
async def test_an_incomplete_response_fails_the_run(response):
    with pytest.raises(IncompleteResponseError):
        await run_load_against(response, chunks=2)


def test_a_short_run_reports_every_figure():
    lines = []
    report = run_overhead(1, lines.append, (Case(1, 8, 5), Case(4, 8, 8)))
    document = json.loads(report.to_json())
    assert document["throughput_ratio"] == document["cases"][1]["throughput_ratio"] > 0
    assert document["added_latency_ratio"] == document["cases"][0]["added_latency_ratio"]
    assert document["cases"][1]["added_latency_ratio"] is None
    assert document["cases"][0]["node"]["processor_seconds_per_request"] >= 0
    assert len(lines) == 2
