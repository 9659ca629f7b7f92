"""A router with more callers than it can serve sheds them for a while."""

from __future__ import annotations

import pytest

from ebonyhold.gateway._pressure import (
    CONNECT_WINDOW,
    HIGH_DELAY,
    LEAVE_ROTATION,
    MEASURE_INTERVAL,
    MIN_OUT_OF_ROTATION,
    LinkMonitor,
    PressureMonitor,
)

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
    calls: list[tuple[float, bool]] = []
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
