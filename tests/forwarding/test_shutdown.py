"""Which requests a router accepts during a shutdown."""

from __future__ import annotations

import math

import anyio
import pytest

from ebonyhold.forwarding import (
    LateRequest,
    RequestSize,
    RouteKind,
    RouteTimes,
    Shutdown,
    Stage,
    accepts_late,
)
from tests.forwarding.kit import route
from tests.virtual import anyio_backend

pytestmark = pytest.mark.anyio
__all__ = ["anyio_backend"]

STREAM = route("stream", RouteKind.STREAM, timeout=10.0)


@pytest.mark.parametrize(
    ("stage", "priced", "left", "estimate", "taken"),
    [
        (Stage.STOPPING, True, 4.5, 9.0, True),
        (Stage.LEAVING, True, 3.1, 3.0, True),
        (Stage.LEAVING, True, 2.9, 3.0, False),
        (Stage.LEAVING, False, 0.3, 0.4, False),
        (Stage.RETURNING, True, 4.0, 0.1, False),
        (Stage.RETURNING, False, 0.5, 0.4, True),
        (Stage.RETURNING, False, 0.5, 0.6, False),
        (Stage.OVER, False, 0.5, 0.1, False),
    ],
)
def test_late_request_that_ends_in_time_is_accepted(
    stage: Stage,
    priced: bool,
    left: float,
    estimate: float,
    taken: bool,
) -> None:
    """Guards against accepting streams that cannot end before the shutdown does.

    Such a stream is cut. It is accepted if the estimate is too short: a stream can take
    longer than the last 64, and after a restart only a few durations are recorded.
    """
    late = LateRequest("r", "stream", priced, left, estimate)
    assert accepts_late(stage, late) is taken


@pytest.mark.parametrize(
    ("kind", "timeout", "came", "waited", "taken"),
    [
        (RouteKind.STREAM, 12.0, 3.1, 0.0, False),
        (RouteKind.STREAM, 12.0, 3.01, 0.0, False),
        (RouteKind.STREAM, 3.0, 3.1, 0.0, True),
        (RouteKind.STREAM, 4.5, 3.1, 1.0, False),
        (RouteKind.UNSAFE, 12.0, 3.1, 0.0, False),
        (RouteKind.UNSAFE, 12.0, 3.01, 0.0, True),
        (RouteKind.UNSAFE, 3.0, 3.1, 0.0, True),
        (RouteKind.UNSAFE, 3.5, 3.1, 1.0, True),
        (RouteKind.UNSAFE, 12.0, 3.1, 1.0, False),
        (RouteKind.UNSAFE, 12.0, 3.01, 3.0, True),
        (RouteKind.SAFE, 12.0, 3.1, 0.0, True),
    ],
    ids=[
        "stream",
        "stream, unaware",
        "stream, ends in time",
        "queued stream",
        "unsafe",
        "unsafe, unaware",
        "unsafe, ends in time",
        "queued unsafe",
        "queued unsafe, came late",
        "queued unsafe, unaware",
        "safe",
    ],
)
async def test_late_request_that_may_outlast_the_stop_is_refused(
    kind: RouteKind, timeout: float, came: float, waited: float, taken: bool
) -> None:
    """Guards against trusting short durations where a wrong guess costs an answer."""
    late, now = route("late", kind, timeout=timeout), anyio.current_time()
    began = now - came - waited
    shutdown = Shutdown(Stage.LEAVING, began, last_answer_at=began + 7.1)
    for _ in range(64):
        shutdown.times.record("late", 0.2)
    ends_at = now + timeout
    assert shutdown.admits("r", late, False, now - waited, ends_at=ends_at) is taken


@pytest.mark.parametrize(
    ("kind", "timeout", "followed", "taken"),
    [
        (RouteKind.STREAM, 12.0, True, False),
        (RouteKind.STREAM, 12.0, False, True),
        (RouteKind.STREAM, 5.0, True, True),
        (RouteKind.UNSAFE, 12.0, True, True),
    ],
    ids=["followed", "alone", "followed, ends in time", "answered whole"],
)
async def test_stream_that_may_be_cut_before_others_is_refused(
    kind: RouteKind, timeout: float, followed: bool, taken: bool
) -> None:
    """Guards against cutting a stream with requests behind it on its connection."""
    now = anyio.current_time()
    shutdown = Shutdown(Stage.STOPPING, last_answer_at=now + 6.0)
    one = route("long", kind, timeout=timeout)
    assert (
        shutdown.admits("r", one, False, now, ends_at=now + timeout, followed=followed)
        is taken
    )


@pytest.mark.parametrize(
    ("stage", "priced", "waited", "left", "longest", "taken"),
    [
        (Stage.LEAVING, False, 1.3, 2.9, 0.2, True),
        (Stage.LEAVING, True, 1.3, 2.9, 0.2, True),
        (Stage.LEAVING, False, 0.05, 2.9, 0.2, False),
        (Stage.LEAVING, False, 1.3, 1.4, 0.2, False),
        (Stage.LEAVING, False, 1.3, 2.9, 2.95, False),
        (Stage.LEAVING, False, 1.3, 2.9, math.inf, False),
        (Stage.RETURNING, False, 4.0, 0.3, 0.2, True),
        (Stage.RETURNING, True, 4.0, 0.3, 0.2, False),
        (Stage.OVER, False, 4.0, 0.3, 0.2, False),
    ],
    ids=[
        "came in time",
        "came in time, priced",
        "came late",
        "came late and waited",
        "took longer before",
        "no durations",
        "returning",
        "returning, priced",
        "over",
    ],
)
def test_short_request_queued_behind_a_stream(
    stage: Stage, priced: bool, waited: float, left: float, longest: float, taken: bool
) -> None:
    """Guards against refusing a short request that was queued behind a stream.

    A request that arrived in time is accepted if the longest recorded duration still
    fits into the time left, even if the estimate of 3 s no longer does.
    """
    late = LateRequest("r", "book", priced, left, 3.0, waited, longest)
    assert accepts_late(stage, late) is taken


@pytest.mark.parametrize(
    ("kind", "lengths", "low", "high"),
    [
        (RouteKind.UNSAFE, [], math.inf, math.inf),
        (RouteKind.UNSAFE, [0.02], 0.02, 0.2),
        (RouteKind.SAFE, [0.02, 1.5, 0.02], 1.5, 1.7),
        (RouteKind.STREAM, [0.02], math.inf, math.inf),
    ],
    ids=["none", "one", "longest", "stream"],
)
def test_longest_recorded_duration(
    kind: RouteKind, lengths: list[float], low: float, high: float
) -> None:
    """The longest duration counts even if few were recorded, but never for streams."""
    times = RouteTimes()
    for length in lengths:
        times.record("a", length)
    assert low <= times.longest(route("a", kind, timeout=20.0)) <= high


@pytest.mark.parametrize(
    ("kind", "lengths", "timeout", "low", "high"),
    [
        (RouteKind.STREAM, [], 20.0, 5.0, 7.0),
        (RouteKind.UNSAFE, [], 20.0, 3.0, 3.5),
        (RouteKind.UNSAFE, [], 1.0, 1.0, 1.0),
        (RouteKind.UNSAFE, [0.02] * 23, 20.0, 3.0, 3.5),
        (RouteKind.STREAM, [0.2, 5.0, 0.3], 20.0, 10.0, 10.4),
        (RouteKind.STREAM, [0.2, 0.9, 0.3] * 8, 20.0, 1.8, 2.2),
        (RouteKind.SAFE, [0.2, 0.9, 0.3] * 8, 20.0, 0.9, 1.1),
        (RouteKind.STREAM, [0.2, 0.9, 0.3] * 8, 0.5, 0.5, 0.5),
        (RouteKind.STREAM, [9.0] + [0.2] * 64, 20.0, 0.4, 0.7),
    ],
    ids=[
        "unmeasured",
        "unmeasured, plain",
        "unmeasured, bounded",
        "few",
        "few, one long",
        "longest",
        "longest, plain",
        "bounded",
        "forgotten",
    ],
)
def test_estimate_follows_the_longest_recent_duration(
    kind: RouteKind, lengths: list[float], timeout: float, low: float, high: float
) -> None:
    """The estimate is the longest recent duration; if few are known, at least 3 s."""
    times = RouteTimes()
    for length in lengths:
        times.record("a", length)
    assert low <= times.estimate(route("a", kind, timeout=timeout)) <= high


CHAT = RequestSize(500, 250)

SIZED = [(1.3, CHAT, 0.3)] * 30
"""Duration, size and time until the first event: 250 tokens of 4 ms each."""


@pytest.mark.parametrize(
    ("known", "size", "low", "high"),
    [
        (SIZED, CHAT, 2.6, 3.0),
        (SIZED, RequestSize(500, 25), 2.6, 3.0),
        (SIZED, RequestSize(500, 1_000), 6.4, 6.8),
        (SIZED, RequestSize(5_000, 250), 5.9, 6.3),
        (SIZED, RequestSize(), 2.6, 3.0),
        ([*SIZED, (0.9, RequestSize(500, 1), 0.3)], RequestSize(500, 1_000), 6.4, 7.0),
        ([*SIZED, (2.3, CHAT, 0.3)], RequestSize(500, 500), 6.4, 6.8),
        ([(1.3, RequestSize(), 0.3)] * 30, RequestSize(500, 1_000), 2.6, 3.0),
        (SIZED, RequestSize(500, 10**6), 20.0, 20.0),
    ],
    ids=[
        "usual",
        "small",
        "long output",
        "long prompt",
        "states none",
        "one small and slow",
        "one slow",
        "none stated before",
        "bounded",
    ],
)
def test_estimate_grows_with_the_stated_size(
    known: list[tuple[float, RequestSize, float]],
    size: RequestSize,
    low: float,
    high: float,
) -> None:
    """Guards against taking a stream that is larger than all before, and cutting it."""
    times = RouteTimes()
    for duration, stated, reading in known:
        times.record("stream", duration, stated, reading)
    wide = route("stream", RouteKind.STREAM, timeout=20.0)
    assert low <= times.estimate(wide, size) <= high


def test_short_request_behind_a_stream_counts_at_its_size() -> None:
    """Guards against taking a large request that is answered whole, and failing it."""
    times = RouteTimes()
    times.record("book", 0.5, RequestSize(10, 100))
    book = route("book", RouteKind.UNSAFE, timeout=20.0)
    assert times.longest(book, RequestSize(10, 100)) == pytest.approx(0.6)
    assert times.longest(book, RequestSize(10, 1_000)) == pytest.approx(5.1)


def test_recorded_routes_are_limited() -> None:
    """Durations of at most 1,000 routes are kept, so that memory does not grow."""
    times = RouteTimes()
    for number in range(3_000):
        times.record(f"route-{number}", 0.1)
    assert len(times.durations) == 1_000
    assert "route-2999" in times.durations


async def test_serving_router_accepts_everything() -> None:
    """Before a shutdown, a request is accepted and not counted as late."""
    accepted: list[bool] = []
    shutdown = Shutdown(on_late_request=accepted.append)
    assert shutdown.admits("r", STREAM, priced=True, received_at=anyio.current_time())
    assert accepted == []


async def test_late_requests_are_counted() -> None:
    """Accepted and refused late requests are counted and passed to the callback."""
    accepted: list[bool] = []
    shutdown = Shutdown(on_late_request=accepted.append)
    shutdown.begin(anyio.current_time() + 5.0)
    assert shutdown.admits("r1", STREAM, priced=True, received_at=anyio.current_time())
    shutdown.stage = Stage.LEAVING
    assert not shutdown.admits(
        "r2", STREAM, priced=True, received_at=anyio.current_time()
    )
    assert accepted == [True, False]
    assert (shutdown.taken, shutdown.refused) == (1, 1)


@pytest.mark.parametrize("late", [False, True], ids=["open before", "taken late"])
async def test_requests_end_by_the_last_answer_time(late: bool) -> None:
    """Guards against requests that are still running when the router exits.

    A request is cancelled at the time of the last answer, whether it began before or
    after the signal. If no part of its answer was sent, the caller then gets an error.
    """
    shutdown = Shutdown()
    began = anyio.current_time()

    async def stop() -> None:
        shutdown.begin(began + 2.0)

    async with anyio.create_task_group() as tasks:
        if late:
            await stop()
        else:
            tasks.start_soon(stop)
        with shutdown.bounded(began + 60.0):
            await anyio.sleep(30.0)
    assert anyio.current_time() - began == pytest.approx(2.0, abs=0.01)
    assert shutdown.scopes == set()
