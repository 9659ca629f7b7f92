"""Slow callers, slow servers and pauses of streams."""

from __future__ import annotations

import math
import socket

import anyio
import pytest
from anyio.abc import SocketStream
from attrs import evolve

from ebonyhold.forwarding import (
    BackendTable,
    CallerConnection,
    FlowControl,
    FlowEvent,
)
from ebonyhold.forwarding._flow_control import (
    MAX_HELD,
    MIN_READ,
    BufferAccount,
    PendingWrite,
    RequestBodies,
)
from ebonyhold.gateway._flow import flow_control
from ebonyhold.gateway._metrics import GatewayMetrics
from ebonyhold.gateway._types import GatewaySettings
from tests.forwarding.kit import (
    LOOPBACK,
    ROUTES,
    Server,
    UnlimitedHold,
    answer,
    chunk,
    event,
    read_all,
    request,
    rig,
    stream_head,
    value,
)
from tests.forwarding.test_attempts import good, numbers, whole_stream

pytestmark = pytest.mark.anyio

MEMORY = 10_000_000.0

LARGE_EVENTS = 1_000

SOME_EVENTS = 100

LARGE_EVENT = 16_000
"""Size of an event; some of them are more than the buffers of a router hold."""


@pytest.fixture
def anyio_backend() -> str:
    """Use a real clock, since sockets do not work with a virtual one."""
    return "asyncio"


def bounded(memory: float = MEMORY) -> FlowControl[CallerConnection]:
    """Return a flow control with bounds."""
    flow: FlowControl[CallerConnection] = FlowControl()
    flow.limit_memory(memory)
    return flow


@pytest.mark.parametrize(
    ("held", "own", "room"),
    [
        (0, 0, MAX_HELD),
        (50_000, MAX_HELD - 1, 1),
        (50_000, MAX_HELD, 0),
        (100_000, 1, 0),
        (100_000, 0, MIN_READ),
    ],
)
def test_answers_are_read_as_far_as_they_may_be_held(
    held: int, own: int, room: int
) -> None:
    """Guards against buffers that grow with what callers do not read."""
    assert BufferAccount(100_000, held).room(own) == room


def test_oldest_unfinished_body_is_dropped() -> None:
    """Guards against slow senders who keep the room that other callers need."""
    bodies: RequestBodies[str] = RequestBodies(100)
    assert not bodies.add("slow", 60)
    assert not bodies.add("other", 30)
    assert bodies.add("fast", 40) == ["slow"]
    bodies.end("slow")
    bodies.end("fast")
    assert (bodies.total, bodies.received) == (30, {"other": 30})


def test_caller_that_reads_slowly_is_not_stalled() -> None:
    """Guards against a disconnect while something is acknowledged."""
    write, flow = PendingWrite(), bounded()
    looks = [(1, 0.0), (1, 0.5), (1, 1.0), (2, 1.5), (2, 2.0), (2, 2.5), (2, 3.0)]
    waits = [write.observe(acknowledged, at) for acknowledged, at in looks]
    assert [flow.is_stalled(waited, True) for waited in waits] == [False] * 6 + [True]
    assert not flow.is_stalled(waits[-1], False)


def test_time_in_which_a_router_is_frozen_is_no_stall() -> None:
    """Guards against disconnecting all callers after a freeze."""
    write, flow = PendingWrite(), bounded()
    assert not flow.is_stalled(write.observe(1, 5.0), True)
    assert not flow.is_stalled(write.observe(1, 9.0), True)


@pytest.mark.parametrize("pressure", [False, True])
@pytest.mark.parametrize("memory", [MEMORY, math.inf], ids=["known", "unknown"])
def test_bounds_depend_on_the_settings(memory: float, pressure: bool) -> None:
    """Guards against unbounded memory, and pauses watched without memory pressure."""
    settings = GatewaySettings(
        "vm",
        "a",
        (LOOPBACK, 1),
        (LOOPBACK, 2),
        LOOPBACK,
        (LOOPBACK, 3),
        memory_bytes=memory,
        memory_pressure=pressure,
    )
    table, metrics = BackendTable(), GatewayMetrics()
    flow = flow_control(settings, table, metrics)
    assert flow.bounded is (memory == MEMORY)
    assert flow.answers.limit == flow.bodies.limit == memory / 10
    route = evolve(ROUTES[0], max_gap=0.3)
    assert flow.max_gap(route, "svc") == (0.3 if pressure else None)
    assert flow.max_gap(ROUTES[0], "svc") is None


async def sends_much(server: Server, stream: SocketStream, head: str) -> None:
    """Send a stream that no buffer holds to one caller, and a short one to others."""
    if "/x" in head:
        await whole_stream(server, stream, head)
        return
    await stream.send(stream_head(head))
    last = LARGE_EVENTS if "/much" in head else SOME_EVENTS
    for number in range(1, last + 1):
        data = f"id: {number}\ndata: {'x' * LARGE_EVENT}\n\n".encode()
        await stream.send(chunk(data))
    await stream.send(chunk(b""))


async def test_caller_that_does_not_read_affects_no_other() -> None:
    """Guards against memory, servers and streams taken up by one caller."""
    server, hold, flow = Server("s", sends_much), UnlimitedHold(), bounded()
    seen: list[FlowEvent] = []
    flow.on_event = seen.append
    prices = "X-Ebonyhold-Token-Counts: 10,9000\r\n"
    async with rig(server, hold=hold, flow=flow) as router:
        raw = socket.socket()
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 20_000)
        raw.connect((LOOPBACK, router.port))
        raw.sendall(request("/paced/much", extra=prices))
        for _ in range(10):
            await anyio.sleep(0.1)
            with anyio.fail_after(0.5):
                got = await router.ask(request("/stream/x"))
            assert numbers(got) == [1, 2, 3, 4] and got.endswith(b"0\r\n\r\n")
            assert 0 < flow.answers.held <= MAX_HELD
        received = router.forwarder.paths.pool.traffic.received
        assert received < 500_000
        await anyio.sleep(1.2)
        assert (seen, flow.answers.held, flow.writes) == (
            [FlowEvent.SLOW_READER],
            0,
            {},
        )
        with raw, pytest.raises(ConnectionResetError):
            while raw.recv(65_536):
                pass
    charge = hold.charges[-1][1]
    assert 10 < charge <= 10 + 5 * received / LARGE_EVENT


async def test_caller_that_reads_slowly_gets_its_whole_stream() -> None:
    """Guards against a bound that stops a stream for good."""
    server, flow = Server("s", sends_much), bounded(memory=10 * MIN_READ)
    async with rig(server, flow=flow) as router:
        stream = await anyio.connect_tcp(LOOPBACK, router.port)
        await stream.send(request("/paced/some"))
        await anyio.sleep(1.0)
        got = await read_all(stream)
        await stream.aclose()
    assert numbers(got)[-1] == SOME_EVENTS
    assert got.endswith(b"0\r\n\r\n")
    assert flow.answers.held == 0


async def test_callers_that_send_slowly_are_refused_when_bodies_do_not_fit() -> None:
    """Guards against unfinished bodies that exhaust the memory."""
    server, flow = Server("s", good), bounded(memory=1_000_000.0)
    async with rig(server, flow=flow) as router:
        slow = [await anyio.connect_tcp(LOOPBACK, router.port) for _ in range(2)]
        for stream in slow:
            await stream.send(request("/unsafe/x", "POST", b"x" * 40_000)[:-1])
            await anyio.sleep(0.05)
        fast = await router.ask(request("/unsafe/x", "POST", b"x" * 50_000))
        first = await slow[0].receive()
        await slow[1].send(b"x")
        second = await slow[1].receive()
        for stream in slow:
            await stream.aclose()
    statuses = [got.split(b" ", 2)[1] for got in (fast, first, second)]
    assert statuses == [b"200", b"408", b"200"]
    assert flow.bodies.total == 0
    assert len(server.bodies) == 2


async def test_server_that_reads_a_body_slowly_delays_no_other_request() -> None:
    """Guards against requests that wait for the body of another one."""

    async def reads_later(server: Server, stream: SocketStream, head: str) -> None:
        await anyio.sleep(1.0)
        await stream.send(answer(head))

    slow, other = Server("slow", reads_later), Server("other", good)
    async with rig(slow, other, flow=bounded()) as router:
        backends = router.forwarder.backends.entries
        backends["other"].in_flight = 5
        body = request("/unsafe/x", "POST", b"x" * 90_000)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(router.ask, body)
            await anyio.sleep(0.1)
            backends["slow"].in_flight = 50
            with anyio.fail_after(0.5):
                assert b" 200 " in await router.ask(request("/unsafe/y", "POST", b"y"))
    assert len(slow.bodies) == len(other.bodies) == 1


@pytest.mark.parametrize("known", [True, False])
async def test_pause_of_a_server_counts_and_a_stream_goes_on_elsewhere(
    known: bool,
) -> None:
    """Guards against a stream that waits until its caller gives up after 2 s."""

    async def pauses(server: Server, stream: SocketStream, head: str) -> None:
        await stream.send(stream_head(head) + chunk(event(1)))
        await anyio.sleep(0.2)
        await stream.send(chunk(event(2)))
        await anyio.sleep(3.0)

    bad, same = Server("bad", pauses), Server("same", whole_stream)
    seen: list[tuple[str, str]] = []
    flow: FlowControl[CallerConnection] = FlowControl(shares_load=lambda name: known)
    flow.on_pause = lambda service, server, waited: seen.append((service, server))
    async with rig(bad, same, flow=flow) as router:
        router.forwarder.backends.entries["same"].in_flight = 5
        began = anyio.current_time()
        got = await router.ask(request("/paced/x"))
        lasted = anyio.current_time() - began
    assert numbers(got) == [1, 2, 3, 4]
    assert value(same.requests[0], "last-event-id") == "2"
    assert seen == ([("svc", "bad")] * 2 if known else [])
    assert (lasted < 1.75) is known
