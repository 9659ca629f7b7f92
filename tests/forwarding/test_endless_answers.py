"""Servers that send bytes without end in place of an answer, over real sockets."""

from __future__ import annotations

import gc
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import pytest
from anyio.abc import SocketStream
from attrs import define

from ebonyhold.forwarding import RelayAddress
from ebonyhold.types import Seconds
from tests.forwarding.kit import (
    LOOPBACK,
    Script,
    Server,
    answer,
    chunk,
    event,
    request,
    rig,
    stray,
    stream_head,
    value,
)
from tests.forwarding.test_attempts import good, numbers, whole_stream
from tests.forwarding.test_relaying import KEY, partitioned
from tests.forwarding.test_stray_answers import router_of, run

pytestmark = pytest.mark.anyio

AT_ONCE: Seconds = 1.0
"""Time within which such an answer must be given up; the deadline is at 2 s."""

MAX_DELAY: Seconds = 0.1
"""Longest processor time between two turns of other tasks.

Routers that are later than that send callers away.
"""

PIECE = 65_536
"""Number of bytes that a server sends at once."""


@pytest.fixture
def anyio_backend() -> str:
    """Use a real clock, since sockets do not work with a virtual one."""
    return "asyncio"


@define(eq=False)
class LoopDelay:
    """The longest delay of the event loop, in processor time of its thread."""

    longest: Seconds = 0.0

    async def measure(self) -> None:
        """Measure the delay until cancelled."""
        while True:
            began = time.thread_time()
            await anyio.sleep(0.0)
            self.longest = max(self.longest, time.thread_time() - began)


@asynccontextmanager
async def measured_delay() -> AsyncIterator[LoopDelay]:
    """Measure the delay of the event loop, without collections of garbage."""
    delay = LoopDelay()
    gc.disable()
    try:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(delay.measure)
            yield delay
            tasks.cancel_scope.cancel()
    finally:
        gc.enable()


def endless(unit: bytes, begin: bytes | None = None) -> Script:
    """Return a script that sends a unit again and again until the router closes.

    Args:
        unit: What is repeated.
        begin: What is sent first; the head of an answer with chunks by default.
    """
    piece = unit * max(1, PIECE // len(unit))

    async def script(server: Server, stream: SocketStream, head: str) -> None:
        await stream.send(stream_head(head) if begin is None else begin)
        while True:
            await stream.send(piece)

    return script


INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a.css>; rel=preload\r\n\r\n"
TINY = chunk(b"x")
UNFRAMED_STRAY = stray().replace(b"Content-Length: 0\r\n", b"")
CHUNKED_STRAY = stray().replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")

ENDLESS = {
    # in place of a head
    "no protocol": endless(b"\x00\x01 what", b""),
    "one field": endless(b"a", b"HTTP/1.1 200 OK\r\nA: "),
    "fields": endless(b"A: b\r\n", b"HTTP/1.1 200 OK\r\n"),
    "interim answers": endless(INTERIM, b""),
    "answers to another request": endless(
        answer("X-Ebonyhold-Request-Id: r0", b"late"), b""
    ),
    "answer to another request": endless(chunk(b"x" * 1000), CHUNKED_STRAY),
    "tiny chunks to another request": endless(TINY, CHUNKED_STRAY),
    "unframed answer to another request": endless(b"x", UNFRAMED_STRAY),
    # in place of a body
    "chunks": endless(chunk(b"x" * 1000)),
    "tiny chunks": endless(TINY),
    "chunk size": endless(b"0", stream_head("") + b"0"),
    "chunk extensions": endless(b"1;" + b"a" * 8000 + b"\r\nx\r\n"),
    "trailers": endless(b"A: b\r\n", stream_head("") + b"0\r\n"),
}

PATHS = [
    # path, whether another server may be asked, script of a sound server
    ("safe", True, good),
    ("unsafe", False, good),
    ("stream", True, whole_stream),
    ("once", False, whole_stream),
]


@pytest.mark.parametrize("sent", ENDLESS)
@pytest.mark.parametrize(("path", "repeatable", "sound"), PATHS)
@pytest.mark.parametrize("way", ["direct", "relay"])
async def test_bytes_without_end_are_given_up_at_once(
    way: str, path: str, repeatable: bool, sound: Script, sent: str
) -> None:
    """Guards against requests that wait behind bytes without end for their deadline."""
    bad, fine = Server("bad", ENDLESS[sent]), Server("fine", sound)
    async with run(way, bad, fine) as running, measured_delay() as delay:
        router = router_of(running)
        router.forwarder.backends.entries["fine"].in_flight = 9
        began = anyio.current_time()
        got = await router.ask(request(f"/{path}/x"))
        taken = anyio.current_time() - began
        await anyio.sleep(0.05)
        assert bad.closed >= 1
    assert taken < AT_ONCE
    assert delay.longest < MAX_DELAY
    expected = b"HTTP/1.1 200 " if repeatable else b"HTTP/1.1 502 "
    assert got.startswith(expected), got[:200]
    assert (len(bad.requests), len(fine.requests)) == (1, int(repeatable))
    if sound is whole_stream and repeatable:
        assert numbers(got) == [1, 2, 3, 4]


@pytest.mark.parametrize("path", ["safe", "once"])
@pytest.mark.parametrize("way", ["direct", "relay"])
@pytest.mark.parametrize(("size", "events"), [(1, 100), (8, 10_000)])
async def test_answer_in_small_chunks_lands(
    size: int, events: int, way: str, path: str
) -> None:
    """Guards against whole answers that are given up for their small chunks."""
    body = b"".join(event(number) for number in range(events))
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    chunks = b"".join(map(chunk, parts)) + chunk(b"")

    async def small(server: Server, stream: SocketStream, head: str) -> None:
        await stream.send(INTERIM * 20 + stream_head(head) + chunks)

    async with run(way, Server("only", small)) as running:
        got = await router_of(running).ask(request(f"/{path}/x"))
    assert got.startswith(b"HTTP/1.1 200 "), got[:200]
    assert numbers(got) == list(range(events))


@pytest.mark.parametrize("then", [b"what\r\n", b""], ids=["no protocol", "end"])
async def test_events_before_a_broken_end_are_passed_on(then: bytes) -> None:
    """Guards against events that are lost or repeated as they came with the break."""

    async def breaks(server: Server, stream: SocketStream, head: str) -> None:
        events = chunk(event(1)) + chunk(event(2))
        await stream.send(stream_head(head) + events + then)
        await stream.aclose()

    bad, fine = Server("bad", breaks), Server("fine", whole_stream)
    async with rig(bad, fine) as router:
        router.forwarder.backends.entries["fine"].in_flight = 9
        got = await router.ask(request("/stream/x"))
    assert numbers(got) == [1, 2, 3, 4]
    assert value(fine.requests[0], "last-event-id") == "2"


async def test_request_in_tiny_chunks_delays_no_others() -> None:
    """Guards against requests that wait while the body of another one is read."""
    head = request("/safe/x", "POST", extra="Transfer-Encoding: chunked\r\n")
    head = head.replace(b"Content-Length: 0\r\n", b"")
    server = Server("only", good)
    async with rig(server) as router, measured_delay() as delay:
        got = await router.ask(head + TINY * 20_000 + chunk(b""))
    assert got.startswith(b"HTTP/1.1 200 "), got[:200]
    assert server.bodies == [b"x" * 20_000]
    assert delay.longest < MAX_DELAY


@pytest.mark.parametrize("sent", ENDLESS)
@pytest.mark.parametrize("path", ["safe", "unsafe", "stream", "once"])
async def test_relay_that_sends_without_end_is_given_up(path: str, sent: str) -> None:
    """Guards against requests that wait for a router which sends no answer."""
    bad = Server("bad", ENDLESS[sent])
    async with partitioned(bad) as cut, measured_delay() as delay:
        cut.relays.address = RelayAddress("vm-2", (LOOPBACK, bad.port), KEY)
        began = anyio.current_time()
        got = await cut.router.ask(request(f"/{path}/x"))
        taken = anyio.current_time() - began
    assert len(bad.requests) == 1
    assert got.startswith(b"HTTP/1.1 50"), got[:200]
    assert taken < AT_ONCE
    assert delay.longest < MAX_DELAY
