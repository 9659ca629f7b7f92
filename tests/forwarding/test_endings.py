"""Answers that end with their connection, without a length or chunks."""

from __future__ import annotations

import socket
from collections.abc import Callable
from enum import Enum

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream

from ebonyhold.forwarding import AnswerEnding, AnswerHead, Headers, _relaying
from ebonyhold.forwarding._relay import END, answer_fields
from tests.forwarding.kit import (
    LOOPBACK,
    Script,
    Server,
    answer,
    chunk,
    event,
    request,
    rig,
    stream_head,
    value,
)
from tests.forwarding.test_attempts import good, numbers, whole_stream
from tests.forwarding.test_relaying import partitioned

pytestmark = pytest.mark.anyio

BOM = b"\xef\xbb\xbf"

RESET = (anyio.BrokenResourceError, anyio.ClosedResourceError)


@pytest.fixture
def anyio_backend() -> str:
    """Use a real clock, since sockets do not work with a virtual one."""
    return "asyncio"


class End(Enum):
    """How a server ends a connection.

    Attributes:
        CLOSED: It closes it, and serves on.
        CRASHED: Its process ends.
        RESET: It resets it, and serves on.
    """

    CLOSED = "closed"
    CRASHED = "crashed"
    RESET = "reset"


async def reset(stream: SocketStream) -> None:
    """Close a connection so that its peer sees a reset."""
    raw = stream.extra(SocketAttribute.raw_socket)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    await stream.aclose()


async def end(server: Server, stream: SocketStream, how: End) -> None:
    """End a connection."""
    await anyio.sleep(0.02)
    if how is End.CRASHED:
        await server.crash()
    if how is End.RESET:
        await reset(stream)
    else:
        await stream.aclose()


def unframed_head(head: str, version: bytes = b"1.1") -> bytes:
    """Return the head of a stream without a length or chunks."""
    framed = stream_head(head).replace(b"Transfer-Encoding: chunked\r\n", b"")
    return framed.replace(b"HTTP/1.1", b"HTTP/" + version)


def streams(body: bytes, how: End, version: bytes = b"1.1") -> Script:
    """Return a script that sends the bytes of a stream, and ends the connection."""

    async def serve(server: Server, stream: SocketStream, head: str) -> None:
        await stream.send(unframed_head(head, version) + body)
        await end(server, stream, how)

    return serve


def answers(status: str, how: End) -> Script:
    """Return a script that answers without a length, and ends the connection."""

    async def serve(server: Server, stream: SocketStream, head: str) -> None:
        whole = answer(head, b"0123456789", status)
        await stream.send(whole.replace(b"Content-Length: 10\r\n", b""))
        await end(server, stream, how)

    return serve


TWO = event(1) + event(2)
ALL = TWO + event(3) + event(4)

BROKEN = [
    pytest.param(streams(TWO + event(3)[:6], End.CLOSED), id="inside an event"),
    pytest.param(
        streams(TWO + event(3)[:-1], End.CLOSED), id="before an event's last byte"
    ),
    pytest.param(
        streams(TWO.replace(b"\n", b"\r\n") + b"id: 3\r\n", End.CLOSED),
        id="inside an event, with CR LF",
    ),
    pytest.param(
        streams(BOM + TWO + b"id: 3\n", End.CLOSED),
        id="inside an event, with a byte order mark",
    ),
    pytest.param(streams(TWO, End.CRASHED), id="between events, crashed"),
    pytest.param(streams(TWO, End.RESET), id="between events, reset"),
    pytest.param(streams(TWO, End.CRASHED, b"1.0"), id="HTTP/1.0, crashed"),
    pytest.param(streams(TWO + b"id", End.CLOSED, b"1.0"), id="HTTP/1.0, in an event"),
]


@pytest.mark.parametrize("script", BROKEN)
@pytest.mark.parametrize("context", [rig, partitioned], ids=["direct", "relayed"])
async def test_broken_unframed_stream_goes_on_at_another_server(
    script: Script, context: Callable[..., object]
) -> None:
    """A stream that broke off must not be framed as complete."""
    bad, fine = Server("bad", script), Server("fine", whole_stream)
    got = await ask_both(context, bad, fine, request("/stream/x"))
    assert numbers(got.replace(BOM, b"")) == [1, 2, 3, 4]
    assert got.endswith(b"0\r\n\r\n")
    assert value(fine.requests[0], "last-event-id") == "2"


@pytest.mark.parametrize("script", BROKEN)
@pytest.mark.parametrize("context", [rig, partitioned], ids=["direct", "relayed"])
async def test_broken_unframed_stream_is_cut_if_it_cannot_resume(
    script: Script, context: Callable[..., object]
) -> None:
    """A stream that broke off must not be framed as complete."""
    bad, fine = Server("bad", script), Server("fine", whole_stream)
    got = await ask_both(context, bad, fine, request("/once/x"))
    assert numbers(got.replace(BOM, b"")) == [1, 2]
    assert not got.endswith(b"0\r\n\r\n")
    assert not fine.requests


@pytest.mark.parametrize("version", [b"1.1", b"1.0"])
@pytest.mark.parametrize("context", [rig, partitioned], ids=["direct", "relayed"])
async def test_whole_unframed_stream_is_not_asked_for_again(
    version: bytes, context: Callable[..., object]
) -> None:
    """A stream that its server has ended must cost no second attempt."""
    one = Server("one", streams(ALL, End.CLOSED, version))
    fine = Server("fine", whole_stream)
    got = await ask_both(context, one, fine, request("/stream/x"))
    assert numbers(got) == [1, 2, 3, 4]
    assert got.endswith(b"0\r\n\r\n")
    assert not fine.requests


async def test_unframed_stream_without_events_is_tried_again_after_a_crash() -> None:
    """An empty stream of a server that has crashed must not pass for a whole one."""
    bad, fine = Server("bad", streams(b"", End.CRASHED)), Server("fine", whole_stream)
    got = await ask_both(rig, bad, fine, request("/stream/x"))
    assert numbers(got) == [1, 2, 3, 4]


async def test_unused_connection_that_ends_too_shows_a_restart() -> None:
    """A server that is back at once must not prove the answers of its last run."""

    async def serve(server: Server, stream: SocketStream, head: str) -> None:
        kept.append(stream)
        if "/safe/" in head:
            await stream.send(answer(head))
            return
        await stream.send(unframed_head(head) + TWO)
        await anyio.sleep(0.02)
        for other in kept:
            await other.aclose()

    kept: list[SocketStream] = []
    bad, fine = Server("bad", serve), Server("fine", whole_stream)
    async with rig(bad, fine) as router:
        router.forwarder.backends.entries["fine"].in_flight = 9
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(router.ask, request("/safe/x"))
            tasks.start_soon(router.ask, request("/safe/x"))
        got = await router.ask(request("/stream/x"))
    assert numbers(got) == [1, 2, 3, 4]
    assert value(fine.requests[0], "last-event-id") == "2"


async def test_event_of_a_megabyte_arrives_whole() -> None:
    """A large event in many parts must neither be cut nor taken for a broken one."""
    large = b"id: 1\ndata: %s\n\n" % (b"x" * 1_000_000)

    async def serve(server: Server, stream: SocketStream, head: str) -> None:
        await stream.send(stream_head(head))
        for start in range(0, len(large), 1_000):
            await stream.send(chunk(large[start : start + 1_000]))
        await stream.send(chunk(b""))

    async with rig(Server("one", serve)) as router:
        got = await router.ask(request("/stream/x"))
    assert got.count(b"x") >= 1_000_000
    assert got.endswith(b"0\r\n\r\n")


PLAIN = [
    # status and end of one server (the other is good), status of a safe and an unsafe
    # request
    ("200 OK", End.CLOSED, 200, 200),
    ("200 OK", End.CRASHED, 200, 502),
    ("200 OK", End.RESET, 200, 502),
    ("404 Not Found", End.CRASHED, 200, 502),
    ("500 Internal Server Error", End.CLOSED, 200, 500),
    ("500 Internal Server Error", End.CRASHED, 200, 502),
]


@pytest.mark.parametrize(("status", "how", "safe", "unsafe"), PLAIN)
@pytest.mark.parametrize("path", ["safe", "unsafe"])
@pytest.mark.parametrize("context", [rig, partitioned], ids=["direct", "relayed"])
async def test_plain_answer_of_a_crashed_server_is_not_taken_for_whole(
    status: str,
    how: End,
    safe: int,
    unsafe: int,
    path: str,
    context: Callable[..., object],
) -> None:
    """An answer without a length must get one only if it is known to be whole."""
    bad, fine = Server("bad", answers(status, how)), Server("fine", good)
    got = await ask_both(context, bad, fine, request(f"/{path}/x"))
    expected = safe if path == "safe" else unsafe
    assert got.startswith(f"HTTP/1.1 {expected} ".encode()), (
        got,
        bad.requests,
        fine.requests,
    )


@pytest.mark.parametrize(
    ("how", "sent"), [(End.CLOSED, 1), (End.CRASHED, 2)], ids=["runs on", "crashed"]
)
async def test_end_beyond_a_relay_of_an_older_build_is_checked(
    how: End, sent: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A relay that does not tell how an answer ended must not prove it whole."""

    def old_fields(head: AnswerHead, end_stated: bool) -> Headers:
        fields = answer_fields(head, end_stated)
        return [item for item in fields if END not in item]

    monkeypatch.setattr(_relaying, "answer_fields", old_fields)
    bad, fine = Server("bad", streams(ALL, how)), Server("fine", whole_stream)
    got = await ask_both(partitioned, bad, fine, request("/stream/x"))
    assert numbers(got) == [1, 2, 3, 4]
    assert len(bad.requests) + len(fine.requests) == sent


async def test_caller_of_http_1_0_sees_a_reset_of_a_broken_stream() -> None:
    """An answer that ends by its connection must not seem whole if it broke off."""
    script = streams(TWO, End.CRASHED)
    old = request("/once/x").replace(b"HTTP/1.1", b"HTTP/1.0")
    async with (
        rig(Server("bad", script)) as router,
        await anyio.connect_tcp(LOOPBACK, router.port) as stream,
    ):
        await stream.send(old)
        with pytest.raises(RESET):
            while True:
                await stream.receive()


ENDINGS = [
    (whole_stream, [AnswerEnding.STATED]),
    (streams(ALL, End.CLOSED), [AnswerEnding.CLOSED]),
    (streams(ALL, End.RESET), [AnswerEnding.RESET, AnswerEnding.STATED]),
]


@pytest.mark.parametrize(("script", "endings"), ENDINGS)
async def test_endings_of_answers_are_counted(
    script: Script, endings: list[AnswerEnding]
) -> None:
    """Metrics must tell an end that a server states from one that it does not."""
    counted: list[AnswerEnding] = []
    bad, fine = Server("bad", script), Server("fine", whole_stream)
    async with rig(bad, fine) as router:
        router.forwarder.on_answer = counted.append
        router.forwarder.backends.entries["fine"].in_flight = 9
        await router.ask(request("/stream/x"))
    assert counted == endings


async def ask_both(
    context: Callable[..., object], bad: Server, fine: Server, asked: bytes
) -> bytes:
    """Send a request that gets to one server first; return the answer's bytes."""
    async with context(bad, fine) as running:  # type: ignore[attr-defined]
        router = getattr(running, "router", running)
        router.forwarder.backends.entries["fine"].in_flight = 9
        got: bytes = await router.ask(asked)
        return got
