"""Requests that no server can begin to answer before their deadline."""

from __future__ import annotations

import anyio
import pytest
from anyio.abc import SocketStream

from ebonyhold.coordination import ServerLoad
from ebonyhold.forwarding import Service
from ebonyhold.forwarding._early_refusal import (
    MAX_RETRY,
    MIN_SAMPLES,
    SAMPLES_LAST,
    EarlyRefusal,
    ServiceReading,
    check_early,
    retry_time,
)
from ebonyhold.forwarding._refusals import RETRY_SPREAD
from tests.forwarding.kit import (
    Rig,
    Server,
    answer,
    chunk,
    event,
    request,
    rig,
    stream_head,
    value,
)
from tests.forwarding.test_shared_choice import Figures

RATE = 32_400.0
"""Prompt tokens that a server of deployment A reads per second."""


@pytest.fixture
def anyio_backend() -> str:
    """Use a real clock, since sockets do not work with a virtual one."""
    return "asyncio"


def loads(*unread: int | None, slowness: float = 1.0) -> list[ServerLoad | None]:
    """Return the loads of servers with the given unread tokens; None is unknown."""
    return [
        None if tokens is None else ServerLoad(1, tokens, 0, slowness)
        for tokens in unread
    ]


CHECKS = [
    pytest.param(loads(0, 0), 2.0, None, id="no load"),
    pytest.param(loads(900_000, 0), 2.0, None, id="one server is free"),
    pytest.param(loads(90_000, 100_000), 2.0, None, id="a little late"),
    pytest.param(loads(130_000, 120_000), 2.0, "s1", id="far too late at all"),
    pytest.param(loads(130_000, 120_000), 8.1, None, id="the deadline is far"),
    pytest.param(loads(900_000, None), 2.0, None, id="one load is unknown"),
    pytest.param(loads(30_000, slowness=5.0), 2.0, "s0", id="only slow servers"),
    pytest.param(loads(30_000, slowness=0.2), 0.5, None, id="a fast server"),
    pytest.param([], 2.0, None, id="no server"),
]


@pytest.mark.parametrize(("known", "time_left", "server"), CHECKS)
def test_only_requests_that_come_too_late_are_refused(
    known: list[ServerLoad | None], time_left: float, server: str | None
) -> None:
    """Load: prompts for several seconds wait at all servers.

    Guards against the refusal of a request that a server would have answered in time.
    """
    named = [(f"s{number}", load) for number, load in enumerate(known)]
    early = check_early(named, 2_890, RATE, time_left)
    assert (early.server if early is not None else None) == server


RETRIES = [
    # expected time, time left, refused and served in the last second; least, most
    (3.2, 3.0, 0, 40, 0.2, 0.2),
    (3.2, 3.0, 20, 40, 0.2, 0.7),
    (3.2, 3.0, 400, 40, 0.2, MAX_RETRY),
    (9.0, 3.0, 20, 40, 1.1, MAX_RETRY),
    (9.0, 3.0, 400, 0, 0.8, MAX_RETRY),
    (3.0, 3.0, 0, 0, 0.05, MAX_RETRY),
]


@pytest.mark.parametrize(
    ("expected", "left", "refused", "served", "least", "most"), RETRIES
)
def test_retries_are_spread_by_what_is_served(
    expected: float, left: float, refused: int, served: int, least: float, most: float
) -> None:
    """Load: many callers are refused in the same second.

    Guards against callers that return together, and after more than 2 s.
    """
    early = EarlyRefusal("s", 0, RATE, expected, left)
    times = [retry_time(early, refused, served, n / 100) for n in range(100)]
    assert least - 0.01 <= min(times) <= max(times) <= most + 1e-9
    assert max(times) * (1.0 + RETRY_SPREAD) <= 2.0
    spread = refused / served if served else refused
    assert max(times) - min(times) >= min(spread, 0.7) * 0.9


def test_speed_is_known_after_enough_prompts() -> None:
    """Guards against refusals by a speed from few, short or late observations."""
    reading = ServiceReading()
    for number in range(MIN_SAMPLES):
        now = number / 2
        reading.observe(100, 0.05, now)
        assert reading.speed(now) is None
        reading.observe(RATE, 1.0 if number % 4 else 3.0, now)
    assert reading.speed(now) == RATE


def test_speed_is_unknown_after_a_while_without_observations() -> None:
    """Guards against refusals by the speed of servers that were slow before."""
    reading = ServiceReading()
    for _ in range(MIN_SAMPLES):
        reading.observe(RATE, 9.0, 5.0)
    assert reading.speed(5.0 + SAMPLES_LAST - 0.1) is not None
    assert reading.speed(5.0 + SAMPLES_LAST) is None


async def streams(server: Server, stream: SocketStream, head: str) -> None:
    """Answer with a stream of one event."""
    await stream.send(stream_head(head) + chunk(event(1)) + chunk(b""))


async def ask(fleet: Rig, unread: int, on: bool) -> str:
    """Ask for a stream while the other routers have this much at each server."""
    backends = fleet.forwarder.backends
    backends.services = {"svc": Service("svc", 9, slots=96, memory=258_964)}
    known = {name: ServerLoad(1, unread, 0) for name in backends.entries}
    backends.fleet_load = Figures(dict(known), on)
    reading = backends.readings.of("svc")
    for _ in range(MIN_SAMPLES):
        reading.observe(RATE, 1.0, anyio.current_time())
    parts = "X-Ebonyhold-Prompt-Prefix: 5c1e:800,91bd:2100\r\n"
    return (await fleet.ask(request("/stream/x", extra=parts))).decode()


ASKS = [
    (130_000, True, "servers_busy"),
    (130_000, False, ""),
    (60_000, True, ""),
    (0, True, ""),
]


@pytest.mark.anyio
@pytest.mark.parametrize(("unread", "on", "code"), ASKS)
async def test_refused_request_reaches_no_server(
    unread: int, on: bool, code: str
) -> None:
    """Load: 4 s of prompts wait at both servers, and the caller waits for 2 s.

    Guards against a refused request that runs, and against a refusal where routers do
    not share their load.
    """
    async with rig(Server("s0", streams), Server("s1", streams)) as fleet:
        reply = await ask(fleet, unread, on)
    assert reply.startswith("HTTP/1.1 503" if code else "HTTP/1.1 200")
    assert fleet.ended == [("stream", code or "delivered")]
    if code:
        assert code in reply
        assert 0.0 < float(value(reply, "retry-after") or 0) <= 2.0


@pytest.mark.anyio
async def test_first_events_show_how_fast_servers_read() -> None:
    """Guards against a speed that is not observed, or also without shared load."""

    async def slow(server: Server, stream: SocketStream, head: str) -> None:
        await anyio.sleep(0.1)
        await streams(server, stream, head)

    for on, expected in ((True, 1), (False, 0)):
        async with rig(Server("s0", slow)) as fleet:
            await ask(fleet, 3_000, on)
            seen = list(fleet.forwarder.backends.readings.of("svc").speeds)
        assert len(seen) == MIN_SAMPLES + expected
        assert not on or 20_000 < seen[-1][1] < 60_000


async def plain(server: Server, stream: SocketStream, head: str) -> None:
    """Answer each request with 200."""
    await stream.send(answer(head))


@pytest.mark.anyio
async def test_plain_requests_are_not_refused_early() -> None:
    """Requests without a prompt wait for no prompt."""
    async with rig(Server("s0", plain)) as fleet:
        loaded = {"s0": ServerLoad(40, 900_000, 0)}
        fleet.forwarder.backends.services = {"svc": Service("svc", 9, slots=6)}
        fleet.forwarder.backends.fleet_load = Figures(dict(loaded))
        reply = await fleet.ask(request("/safe/x"))
    assert reply.startswith(b"HTTP/1.1 200")
