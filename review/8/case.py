"""A node gets SIGTERM while callers keep using open connections for long requests."""

import asyncio
import json
import signal

import aiohttp
import aiohttp.web
from deployment import GRACE_SECONDS, HOST, Deployment, Node, configuration
from outcome import BROKEN, HELD, IS_DISRUPTED, NOT_RUN, main
from record import Record

ZONES = ["caerdydd", "abertawe"]
CALLERS = 12
FIRST_SEND_SECONDS = 3.02
"""Time from SIGTERM to the first long request; the rule excuses those of the first 3 s."""
SEND_INTERVAL_SECONDS = 0.012
WORK_SECONDS = 4.6
TIMEOUT_SECONDS = 8.0
LOSS_UNTIL_SECONDS = GRACE_SECONDS + 1.0


async def call(
    record: Record, session: aiohttp.ClientSession, node: Node, request_id: str, path: str
) -> None:
    """Send a request on the caller's own kept connection."""
    headers = {
        "Host": HOST,
        "Request-Id": request_id,
        "Deadline-Ms": str(int(1e3 * TIMEOUT_SECONDS)),
        "Program": request_id,
        "Session": request_id,
    }
    record.add("sent", request=request_id, node=node.name, path=path)
    status, is_whole, error = None, False, ""
    try:
        async with session.post(
            f"http://{node.address}{path}", data=request_id.encode(), headers=headers
        ) as response:
            status = response.status
            await response.read()
            is_whole = True
    except (aiohttp.ClientError, OSError, TimeoutError) as failure:
        error = type(failure).__name__
    record.add("answered", request=request_id, status=status, whole=is_whole, error=error)


async def caller(record: Record, node: Node, number: int, stopped: asyncio.Event) -> None:
    """Open a connection with a short request, and use it again for a long one."""
    connector = aiohttp.TCPConnector(limit=1, keepalive_timeout=60)
    async with aiohttp.ClientSession(connector=connector) as session:
        await call(record, session, node, f"short{number:02d}", "/confirm/short")
        await stopped.wait()
        await asyncio.sleep(FIRST_SEND_SECONDS + number * SEND_INTERVAL_SECONDS)
        await call(record, session, node, f"long{number:02d}", "/confirm/long")


async def work(_: object, request: aiohttp.web.Request, __: bytes) -> None:
    """Let long requests take their time."""
    if request.path.endswith("/long"):
        await asyncio.sleep(WORK_SECONDS)


async def run(record: Record) -> int:
    """Return the outcome."""
    async with Deployment(record, ZONES) as deployment:
        await deployment.add_worker("i-llm0", "llm", ZONES[0])
        for number, zone in enumerate(ZONES):
            worker = await deployment.add_worker(f"i-app{number}", "app", zone)
            worker.on_request = work
        document = json.loads(configuration())
        for route in document["routes"]:
            route["timeout_ms"] = int(1e3 * TIMEOUT_SECONDS)
        deployment.configure(json.dumps(document).encode())
        if not await deployment.start_nodes():
            return NOT_RUN
        await asyncio.sleep(1.0)
        node = deployment.nodes[0]
        stopped = asyncio.Event()
        calls = asyncio.gather(
            *(caller(record, node, number, stopped) for number in range(CALLERS))
        )
        await asyncio.sleep(0.5)
        if IS_DISRUPTED:
            node.signal(signal.SIGTERM)
        stopped_at = record.add("stopped")["at"]
        stopped.set()
        await calls
        if IS_DISRUPTED:
            await node.wait()
        return judge(record, stopped_at)


def judge(record: Record, stopped_at: float) -> int:
    """Check that no connection ended without an answer once its request was at a worker."""
    sent = {line["request"]: line["at"] for line in record.of("sent")}
    ran = {line["request"] for line in record.of("run")}
    lost = [
        line["request"]
        for line in record.of("answered", whole=False)
        if line["request"] in ran
        and sent[line["request"]] > stopped_at + 3.0
        and line["at"] < stopped_at + LOSS_UNTIL_SECONDS
        and line["at"] < sent[line["request"]] + TIMEOUT_SECONDS
    ]
    long_sent = [sent[each] - stopped_at for each in sent if each.startswith("long")]
    record.add(
        "judged",
        long_requests=len(long_sent),
        sent_after_seconds=[round(min(long_sent), 3), round(max(long_sent), 3)],
        at_a_worker=len([each for each in ran if each.startswith("long")]),
        lost=lost,
        cut_after_seconds=sorted(
            {round(line["at"] - stopped_at, 1) for line in record.of("answered", whole=False)}
        ),
    )
    print(record.lines[-1])
    return BROKEN if lost else HELD


main(__file__, run)
