"""The peer service over TCP and UDP on loopback, and the in-memory network."""

import asyncio
import datetime
import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from pathlib import Path

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from foxwinch._generated.peer_pb2 import Envelope, PeerHello, PeerRequest
from foxwinch.emulator.network import LinkFaults, MemoryNetwork, addresses
from foxwinch.identifiers import NodeId
from foxwinch.outcomes import Reason, Refused, RunState, not_run
from foxwinch.peer.frames import encode_frame
from foxwinch.peer.limits import MAX_DATAGRAM_BYTES, MAX_HELLO_FRAME_BYTES
from foxwinch.peer.ports import PeerAddress, PeerContext
from foxwinch.peer.service import PeerService
from foxwinch.peer.tls import build_peer_tls
from foxwinch.settings.process import TlsSettings


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(5):
        while not condition():  # noqa: ASYNC110 - the condition has no event to wait for
            await asyncio.sleep(0.005)


async def echo(context: PeerContext, payload: bytes) -> bytes:
    return context.sender.encode() + b":" + payload


async def hang(context: PeerContext, payload: bytes) -> bytes:
    await asyncio.Event().wait()
    return b""


async def refuse(context: PeerContext, payload: bytes) -> Refused:
    return not_run(Reason.FENCED, "older epoch", 1.5)


async def count(context: PeerContext, payload: bytes) -> AsyncIterator[bytes | Refused]:
    for number in range(int(payload)):
        yield str(number).encode()


@asynccontextmanager
async def pair() -> AsyncIterator[tuple[PeerService, PeerService]]:
    one, other = PeerService(NodeId("one")), PeerService(NodeId("other"))
    for service in (one, other):
        service.handle("echo", echo)
        service.handle("hang", hang)
        service.handle("refuse", refuse)
        service.handle_stream("count", count)
        await service.start()
    try:
        yield one, other
    finally:
        await one.stop()
        await other.stop()


async def test_answers_match_their_requests_and_refusals_arrive_intact() -> None:
    async with pair() as (one, other):
        payloads = [str(number).encode() for number in range(500)]
        answers = await asyncio.gather(*(one.call(other.address, "echo", p, 5) for p in payloads))
        assert answers == [b"one:" + payload for payload in payloads]
        assert other.inbound_connections == 1
        assert await one.call(other.address, "refuse", b"", 5) == not_run(
            Reason.FENCED, "older epoch", 1.5
        )
        unknown = await one.call(other.address, "nothing", b"", 5)
        assert isinstance(unknown, Refused)
        assert unknown.run_state is RunState.NOT_RUN
        big = bytes(3 * 1024 * 1024)
        assert await one.call(other.address, "echo", big, 5) == b"one:" + big


async def test_streams_exceed_the_credit_and_are_bounded_for_a_slow_reader() -> None:
    produced = 0

    async def endless(context: PeerContext, payload: bytes) -> AsyncIterator[bytes | Refused]:
        nonlocal produced
        while True:
            produced += 1
            yield b"x"

    async with pair() as (one, other):
        answers = [a async for a in one.stream(other.address, "count", b"1000", 5)]
        assert answers == [str(number).encode() for number in range(1000)]
        other.handle_stream("endless", endless)
        reading = one.stream(other.address, "endless", b"", 30)
        assert await anext(reading) == b"x"
        assert await one.call(other.address, "echo", b"", 5) == b"one:"  # not blocked by the stream
        assert produced <= 130
        await reading.aclose()  # type: ignore[attr-defined]
        seen = -1
        while seen != produced:
            seen = produced
            assert await one.call(other.address, "echo", b"", 5) == b"one:"


async def test_run_state_reflects_whether_the_request_was_sent() -> None:
    async with pair() as (one, other):
        late = await one.call(other.address, "hang", b"", 0.05)
        assert isinstance(late, Refused)
        assert late.run_state is RunState.UNKNOWN
        address = other.address
        waiting = asyncio.create_task(one.call(address, "hang", b"", 5))
        stream = one.stream(address, "count", b"100000", 5)
        assert await anext(stream) == b"0"
        await other.stop()
        lost = await waiting
        assert isinstance(lost, Refused)
        assert (lost.reason, lost.run_state) == (Reason.PEER_UNREACHABLE, RunState.UNKNOWN)
        last = [answer async for answer in stream][-1]
        assert isinstance(last, Refused)
        assert last.run_state is RunState.UNKNOWN
        never = await one.call(address, "echo", b"", 1)
        assert isinstance(never, Refused)
        assert (never.reason, never.run_state) == (Reason.PEER_UNREACHABLE, RunState.NOT_RUN)


async def test_cancelling_a_call_cancels_its_handler() -> None:
    ended = asyncio.Event()
    started = asyncio.Event()

    async def watch(context: PeerContext, payload: bytes) -> bytes:
        started.set()
        try:
            await asyncio.Event().wait()
        finally:
            ended.set()
        return b""

    async with pair() as (one, other):
        other.handle("watch", watch)
        call = asyncio.create_task(one.call(other.address, "watch", b"", 30))
        await started.wait()
        call.cancel()
        async with asyncio.timeout(5):
            await ended.wait()


async def test_datagrams_share_the_port_number() -> None:
    async with pair() as (one, other):
        received: list[tuple[PeerAddress, bytes]] = []
        other.handle_datagrams(lambda source, payload: received.append((source, payload)))
        one.send_datagram(other.address, bytes(MAX_DATAGRAM_BYTES))
        await until(lambda: bool(received))
        assert received == [(one.address, bytes(MAX_DATAGRAM_BYTES))]
        with pytest.raises(ValueError, match="allowed"):
            one.send_datagram(other.address, bytes(MAX_DATAGRAM_BYTES + 1))


HELLO = encode_frame(Envelope(hello=PeerHello(version=1, minimum_version=1, node="x")))
BAD_STREAMS = {
    "not a hello": encode_frame(Envelope(request=PeerRequest(method="echo"))),
    "hello without a name": encode_frame(Envelope(hello=PeerHello(version=1))),
    "older version": encode_frame(Envelope(hello=PeerHello(version=0, node="x"))),
    "oversize before the hello": (MAX_HELLO_FRAME_BYTES + 1).to_bytes(4, "big"),
    "oversize after the hello": HELLO + b"\xff\xff\xff\xff",
    "empty frame": HELLO + bytes(4),
    "no protobuf": HELLO + b"\x00\x00\x00\x03\xff\xff\xff",
    "http": b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    "tls": b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + bytes(500),
    "correlation twice": HELLO
    + 2 * encode_frame(Envelope(correlation_id=1, request=PeerRequest(method="hang"))),
}


@pytest.mark.parametrize("name", BAD_STREAMS)
async def test_bad_frames_close_the_connection_and_nothing_else(name: str) -> None:
    async with pair() as (one, other):
        reader, writer = await asyncio.open_connection(other.address.host, other.address.port)
        writer.write(BAD_STREAMS[name])
        async with asyncio.timeout(2):
            with suppress(ConnectionError):
                await reader.read()
        writer.close()
        await until(lambda: other.inbound_connections == 0)
        assert await one.call(other.address, "echo", b"still", 5) == b"one:still"


async def test_truncated_and_random_input_does_not_stop_service() -> None:
    draw = random.Random(7)
    async with pair() as (one, other):
        received: list[bytes] = []
        other.handle_datagrams(lambda source, payload: received.append(payload))
        whole = HELLO + encode_frame(Envelope(correlation_id=1, request=PeerRequest(method="echo")))
        for _ in range(60):
            _, writer = await asyncio.open_connection(other.address.host, other.address.port)
            truncated = whole[: draw.randrange(len(whole))]
            writer.write(truncated + draw.randbytes(draw.randrange(3) * 40))
            writer.close()
        await until(lambda: other.inbound_connections == 0)
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            asyncio.DatagramProtocol, remote_addr=(other.address.host, other.address.port)
        )
        transport.sendto(bytes(9000))
        transport.sendto(b"small")
        await until(lambda: bool(received))
        transport.close()
        assert received == [b"small"]  # the oversize one was dropped
        assert await one.call(other.address, "echo", b"still", 5) == b"one:still"


async def test_unknown_fields_and_bodies_of_a_newer_version_are_tolerated() -> None:
    async with pair() as (_, other):
        reader, writer = await asyncio.open_connection(other.address.host, other.address.port)
        newer = PeerHello(version=9, minimum_version=1, node="x").SerializeToString()
        newer += b"\xaa\x06\x03new"  # field 101, a string
        hello = b"\x12" + bytes([len(newer)]) + newer
        unknown_body = b"\xaa\x06\x03new"
        request = Envelope(correlation_id=4, request=PeerRequest(method="echo", payload=b"p"))
        request.request.deadline_milliseconds = 1000
        for body in (hello, unknown_body, request.SerializeToString()):
            writer.write(len(body).to_bytes(4, "big") + body)
        async with asyncio.timeout(5):
            await reader.readexactly(int.from_bytes(await reader.readexactly(4), "big"))
            frame = await reader.readexactly(int.from_bytes(await reader.readexactly(4), "big"))
        assert Envelope.FromString(frame).answer.payload == b"x:p"
        writer.close()


async def memory_pair(
    faults: LinkFaults | None = None,
) -> tuple[MemoryNetwork, PeerAddress, PeerAddress]:
    network = MemoryNetwork(3, faults)
    one, other = addresses(2)
    for name, address in (("one", one), ("other", other)):
        port = network.join(NodeId(name), address)
        port.handle("echo", echo)
        port.handle("hang", hang)
        port.handle_stream("count", count)
    return network, one, other


@pytest.mark.looptime
async def test_memory_network_keeps_streams_complete_under_loss() -> None:
    network, one, other = await memory_pair(LinkFaults(loss=0.2))
    port = network.ports[one]
    assert await port.call(other, "echo", b"p", 30) == b"one:p"
    answers = [answer async for answer in port.stream(other, "count", b"200", 300)]
    assert answers == [str(number).encode() for number in range(200)]


@pytest.mark.looptime
async def test_memory_network_reports_the_correct_run_state() -> None:
    network, one, other = await memory_pair()
    port = network.ports[one]
    assert await port.call(other, "echo", b"", 1) == b"one:"
    network.cut(other, one)  # one direction: the request arrives, the response does not
    lost = await port.call(other, "echo", b"", 1)
    assert isinstance(lost, Refused)
    assert lost.run_state is RunState.UNKNOWN
    silent = await port.call(other, "echo", b"", 60)
    assert isinstance(silent, Refused)
    assert (silent.reason, silent.run_state) == (Reason.PEER_UNREACHABLE, RunState.UNKNOWN)
    never = await port.call(other, "echo", b"", 60)
    assert isinstance(never, Refused)
    assert never.run_state is RunState.NOT_RUN
    network.heal()
    assert await port.call(other, "echo", b"", 1) == b"one:"
    waiting = asyncio.create_task(port.call(other, "hang", b"", 60))
    await asyncio.sleep(1)
    network.kill(other)
    killed = await waiting
    assert isinstance(killed, Refused)
    assert killed.run_state is RunState.UNKNOWN


@pytest.mark.looptime
async def test_paused_node_responds_after_resuming() -> None:
    network, one, other = await memory_pair()
    port = network.ports[one]
    network.pause(other)
    call = asyncio.create_task(port.call(other, "echo", b"p", 30))
    await asyncio.sleep(2)
    assert not call.done()
    network.resume(other)
    assert await call == b"one:p"


@pytest.mark.looptime
async def test_datagram_faults_are_reproducible_for_a_seed() -> None:
    async def run() -> list[bytes]:
        network = MemoryNetwork(5, LinkFaults(loss=0.2, doubling=0.2, reordering=0.3))
        one, other = addresses(2)
        port = network.join(NodeId("one"), one)
        received: list[bytes] = []
        target = network.join(NodeId("other"), other)
        target.handle_datagrams(lambda _, payload: received.append(payload))
        for number in range(200):
            port.send_datagram(other, number.to_bytes(1, "big"))
            await asyncio.sleep(0.0005)
        await asyncio.sleep(1)
        return received

    received = await run()
    assert received == await run()
    assert 140 < len(set(received)) < 180
    assert len(received) > len(set(received))
    assert received != sorted(received)


def write_certificates(directory: Path, authority_name: str) -> TlsSettings:
    """Write a certificate authority and a certificate signed by it."""
    now = datetime.datetime.now(datetime.UTC)
    keys = [ec.generate_private_key(ec.SECP256R1()) for _ in range(2)]
    names = [
        x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        for name in (authority_name, "node")
    ]
    files = []
    for index, key in enumerate(keys):
        certificate = (
            x509.CertificateBuilder()
            .subject_name(names[index])
            .issuer_name(names[0])
            .public_key(key.public_key())
            .serial_number(index + 1)
            .not_valid_before(now - datetime.timedelta(days=1))
            .not_valid_after(now + datetime.timedelta(days=1))
            .add_extension(x509.BasicConstraints(ca=index == 0, path_length=None), critical=True)
            .sign(keys[0], hashes.SHA256())
        )
        file = directory / f"{authority_name}-{index}.pem"
        file.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
        files.append(str(file))
    key_file = directory / f"{authority_name}.key"
    key_file.write_bytes(
        keys[1].private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return TlsSettings(certificate_file=files[1], key_file=str(key_file), authority_file=files[0])


async def test_mutual_tls_admits_only_peers_of_the_same_authority(tmp_path: Path) -> None:
    good = write_certificates(tmp_path, "good")
    other = write_certificates(tmp_path, "other")
    server = PeerService(NodeId("server"), tls=good)
    server.handle("echo", echo)
    await server.start()
    callers = {
        "same authority": PeerService(NodeId("caller"), tls=good),
        "other authority": PeerService(NodeId("stranger"), tls=other),
        "no TLS": PeerService(NodeId("plain")),
    }
    results = {
        name: await caller.call(server.address, "echo", b"p", 5) for name, caller in callers.items()
    }
    assert results["same authority"] == b"caller:p"
    for name in ("other authority", "no TLS"):
        refusal = results[name]
        assert isinstance(refusal, Refused)
        assert (refusal.reason, refusal.run_state) == (Reason.PEER_UNREACHABLE, RunState.NOT_RUN)
    for service in (*callers.values(), server):
        await service.stop()


def test_tls_needs_an_authority() -> None:
    with pytest.raises(ValueError, match="authority_file"):
        build_peer_tls(TlsSettings(certificate_file="a", key_file="b"))
