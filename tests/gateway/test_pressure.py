"""A router with more callers than it can serve sheds them for a while."""

from __future__ import annotations

import math
import random

import pytest
from attrs import define, field

from ebonyhold.forwarding import CallerLimits, CallerListener, Reach, Traffic
from ebonyhold.gateway._pressure import (
    CONNECT_WINDOW,
    HIGH_DELAY,
    LEAVE_ROTATION,
    MEASURE_INTERVAL,
    MIN_OUT_OF_ROTATION,
    LinkMonitor,
    LinkUse,
    PressureMonitor,
)
from tests.virtual import anyio_backend

pytestmark = pytest.mark.anyio
__all__ = ["anyio_backend"]

DELAYS = [
    # case, event loop delays in seconds, whether the router is then out of rotation
    ("calm", [0.002] * 100, False),
    ("one large configuration", [0.002] * 20 + [0.15] + [0.002] * 20, False),
    ("a pause of the machine", [0.002] * 20 + [0.6] + [0.002] * 20, False),
    ("overload", [0.002] * 20 + [0.2] * 10, True),
]


def feed(pressure: PressureMonitor, delays: list[float], start: float) -> float:
    now = start
    for delay in delays:
        now += MEASURE_INTERVAL + delay
        pressure.step(delay, now)
    return now


@pytest.mark.parametrize(("story", "delays", "leaves"), DELAYS)
def test_only_lasting_delay_is_pressure(
    story: str, delays: list[float], leaves: bool
) -> None:
    pressure = PressureMonitor(lambda shed: None)
    feed(pressure, delays, 0.0)
    assert pressure.high is leaves, story


LINKS = [
    # case, servers of successful and of failed attempts, whether the link is blocked
    ("calm", "abcdefgh", "", False),
    ("one server is dark", "abc", "dddddddd", False),
    ("a few tries only", "", "abcdefg", False),
    ("most servers answer", "abcdefghij", "klmno", False),
    ("the link is full", "abc", "defgh", True),
]


@pytest.mark.parametrize(("story", "made", "failed", "blocked"), LINKS)
def test_many_unreachable_servers_mean_a_blocked_link(
    story: str, made: str, failed: str, blocked: bool
) -> None:
    """A small VM with twenty times the usual callers saturates its network link.

    Its connections to servers that other routers reach time out, and so do its calls to
    the store. If it stayed in rotation, it would refuse requests for lack of tokens
    although other routers could serve them.
    """
    monitor = LinkMonitor()
    for number, server in enumerate(made + failed):
        monitor.record(server, server in made, number * 0.01)
    assert monitor.is_blocked(0.5) is blocked, story
    assert not monitor.is_blocked(0.5 + CONNECT_WINDOW)


def test_overloaded_router_sheds_callers_and_returns() -> None:
    """The load balancer's hash sends one of 82 routers twenty times the mean.

    This router's event loop delays its answers. It leaves the rotation before it closes
    connections, so that the callers do not reconnect to it.
    """
    calls: list[tuple[float, float]] = []
    now = 0.0
    pressure = PressureMonitor(lambda shed: calls.append((now, shed)))
    while now < LEAVE_ROTATION + 3.0:
        now += MEASURE_INTERVAL + 2 * HIGH_DELAY
        pressure.step(2 * HIGH_DELAY, now)
    assert pressure.high
    assert not any(shed for at, shed in calls if at < LEAVE_ROTATION)
    assert calls[-1][1]
    shed_at = now
    while pressure.high:
        now += MEASURE_INTERVAL
        pressure.step(0.0, now)
    assert now > MIN_OUT_OF_ROTATION
    assert now - shed_at < MIN_OUT_OF_ROTATION
    assert not calls[-1][1]


LINK_RATE = 625_000.0
"""Bytes per second that a small VM's link carries."""

REQUEST_BYTES = 4_200
"""Bytes of a request."""

CHANNELS = 270
"""Connections of one large caller, which the balancer sends to one router."""

ROUTERS = 14

USUAL_USE = 0.07
"""Share of each link that other callers use."""

IN_TIME = 0.3
"""Seconds in which a request must have been received."""

BURST = (20.0, 26.0)
"""Seconds in which the large caller sends 2.6 times its usual requests."""


@define(eq=False)
class FakeConnection:
    """A caller's connection that has the listener's mark."""

    last: bool = False


@define(eq=False)
class FakeRouter:
    """A router with a link whose queue delays what its callers send."""

    listener: CallerListener = field(
        factory=lambda: CallerListener(None, CallerLimits)  # type: ignore[arg-type]
    )
    traffic: Traffic = field(factory=Traffic)
    queued: float = 0.0
    pressure: PressureMonitor = field(init=False)

    def __attrs_post_init__(self) -> None:
        use = LinkUse(self.traffic, LINK_RATE)
        self.pressure = PressureMonitor(self.listener.shed, use)

    def is_in_rotation(self, now: float) -> bool:
        """Return whether the balancer sends new callers here."""
        since = self.pressure.detector.high_since
        return since is None or now - since < LEAVE_ROTATION

    def receive(self, now: float, sheds: bool) -> None:
        """Receive what the link carries in one step."""
        self.queued += USUAL_USE * LINK_RATE * MEASURE_INTERVAL
        received = min(self.queued, LINK_RATE * MEASURE_INTERVAL)
        self.queued -= received
        self.traffic.received += int(received)
        full = self.queued > 0.25 * LINK_RATE
        for server in "abcdefgh" if full else "":
            self.pressure.detector.link.record(server, False, now)
        if sheds:
            self.pressure.step(0.0, now)


def served_in_time(sheds: bool) -> float:
    """Return the share of a large caller's requests that are received in time."""
    rng = random.Random(1)
    routers = [FakeRouter() for _ in range(ROUTERS)]
    channels = [(routers[0], FakeConnection()) for _ in range(CHANNELS)]
    routers[0].listener.connections = {one for _, one in channels}  # type: ignore[misc]
    sent = in_time = 0
    for step in range(int(40.0 / MEASURE_INTERVAL)):
        now = step * MEASURE_INTERVAL
        rate = 0.37 * (2.6 if BURST[0] <= now < BURST[1] else 1.0)
        for number, (router, connection) in enumerate(channels):
            if rng.random() >= rate * MEASURE_INTERVAL:
                continue
            sent += 1
            in_time += router.queued / LINK_RATE < IN_TIME
            router.queued += REQUEST_BYTES
            if connection.last:
                router.listener.connections.discard(connection)
                router = next(one for one in routers if one.is_in_rotation(now))
                connection = FakeConnection()
                router.listener.connections.add(connection)  # type: ignore[arg-type]
                channels[number] = router, connection
        for router in routers:
            router.receive(now, sheds)
    return in_time / sent


async def test_callers_of_a_router_with_a_full_link_are_spread() -> None:
    """One large caller must not fill the link of one router after another."""
    assert served_in_time(sheds=False) < 0.8
    assert served_in_time(sheds=True) > 0.95


@pytest.mark.parametrize(
    ("share", "closing"), [(0.0, 0), (0.04, 0), (0.5, 5), (0.55, 5), (1.0, 10)]
)
async def test_share_of_connections_is_closed(share: float, closing: int) -> None:
    """A router must close as many connections as it has to, and keep the others."""
    listener = FakeRouter().listener
    connections = [FakeConnection() for _ in range(10)]
    listener.connections = set(connections)  # type: ignore[arg-type]
    for _ in range(3):
        listener.shed(share)
    assert sum(one.last for one in connections) == closing
    listener.shed(0.0)
    assert not any(one.last for one in connections)


REACHES = [
    # state, whether the router is out of rotation while it lasts
    (Reach.CONNECTED, False),
    (Reach.PARTITIONED, False),
    (Reach.UNREACHABLE, False),
    (Reach.ISOLATED, True),
]


@pytest.mark.parametrize(("state", "leaves"), REACHES)
def test_rotation_follows_the_verdict_on_servers(state: Reach, leaves: bool) -> None:
    """Readiness must pass again after proof that servers are reached, not by time."""
    pressure = PressureMonitor(lambda shed: None)
    for server in "abcdefgh":
        pressure.detector.link.record(server, False, 0.0)
    pressure.reach.decide(state, True, 0.0)
    calm = [0.002] * int(3 * MIN_OUT_OF_ROTATION / MEASURE_INTERVAL)
    if state is not Reach.CONNECTED:
        now = feed(pressure, calm, 0.0)
        assert pressure.high is leaves
        pressure.reach.decide(Reach.CONNECTED, False, now)
        feed(pressure, calm, now)
    else:
        feed(pressure, calm, CONNECT_WINDOW)
    assert not pressure.high


@pytest.mark.parametrize(
    ("measured_at", "measured_before", "arrival"),
    [
        (99.98, 99.93, 100.0),
        (99.99, 99.49, 99.49),
        (99.5, 99.45, 99.5),
        (99.99, 90.0, 99.0),
        (math.inf, math.inf, 100.0),
    ],
    ids=["no pause", "just paused", "not measured since", "long pause", "starting"],
)
def test_event_handled_after_a_pause_may_have_arrived_before_it(
    measured_at: float, measured_before: float, arrival: float
) -> None:
    """Guards against counting the time of a stop from the end of a pause."""
    pressure = PressureMonitor(lambda shed: None)
    pressure.measured_at = measured_at
    pressure.measured_before = measured_before
    assert pressure.earliest_arrival(100.0) == arrival
