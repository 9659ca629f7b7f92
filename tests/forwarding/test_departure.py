"""What a stopping router still takes, and what it refuses at once."""

from __future__ import annotations

import math

import anyio
import pytest

from ebonyhold.forwarding import (
    Departure,
    LateRequest,
    RouteKind,
    RouteTimes,
    Stage,
    can_end,
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
def test_what_ends_in_time_is_taken(
    stage: Stage,
    priced: bool,
    left: float,
    estimate: float,
    taken: bool,
) -> None:
    """Streams were taken 3.2 to 4.1 s after the signal and cut in the middle at 7.1 s.

    The longest of the last 64 was taken for a bound, and it is none; after a restart it
    was the longest of two.
    """
    late = LateRequest("r", "stream", priced, left, estimate)
    assert can_end(stage, late) is taken


@pytest.mark.parametrize(
    ("stage", "priced", "waited", "left", "shown", "taken"),
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
        "nothing shown",
        "returning",
        "returning, priced",
        "over",
    ],
)
def test_request_that_waited_for_its_turn(
    stage: Stage, priced: bool, waited: float, left: float, shown: float, taken: bool
) -> None:
    """Guards against refusing short requests that waited behind a stream."""
    late = LateRequest("r", "book", priced, left, 3.0, waited, shown)
    assert can_end(stage, late) is taken


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
def test_what_a_route_has_shown(
    kind: RouteKind, lengths: list[float], low: float, high: float
) -> None:
    times = RouteTimes()
    for length in lengths:
        times.note("a", length)
    assert low <= times.shown(route("a", kind, timeout=20.0)) <= high


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
def test_estimates_follow_the_longest_of_late(
    kind: RouteKind, lengths: list[float], timeout: float, low: float, high: float
) -> None:
    times = RouteTimes()
    for length in lengths:
        times.note("a", length)
    assert low <= times.estimate(route("a", kind, timeout=timeout)) <= high


def test_routes_that_came_and_went_are_forgotten() -> None:
    """A router lives for months, and each version of the rules may name new routes."""
    times = RouteTimes()
    for number in range(3_000):
        times.note(f"route-{number}", 0.1)
    assert len(times.lengths) == 1_000
    assert "route-2999" in times.lengths


async def test_a_router_that_serves_takes_everything() -> None:
    judged: list[bool] = []
    departure = Departure(judged=judged.append)
    assert departure.admits("r", STREAM, priced=True, received_at=anyio.current_time())
    assert judged == []


async def test_late_requests_are_counted_and_bounded() -> None:
    judged: list[bool] = []
    departure = Departure(judged=judged.append)
    departure.begin(anyio.current_time() + 5.0)
    assert departure.admits("r1", STREAM, priced=True, received_at=anyio.current_time())
    departure.stage = Stage.LEAVING
    assert not departure.admits(
        "r2", STREAM, priced=True, received_at=anyio.current_time()
    )
    assert judged == [True, False]
    assert (departure.taken, departure.refused) == (1, 1)


@pytest.mark.parametrize("late", [False, True], ids=["open before", "taken late"])
async def test_requests_end_with_the_last_answer(late: bool) -> None:
    """A stream outlasts the stop of its router.

    Its connection closed in the middle of what it waited for, with no word; a request
    that no byte of an answer has reached can still be told the truth.
    """
    departure = Departure()
    began = anyio.current_time()

    async def stop() -> None:
        departure.begin(began + 2.0)

    async with anyio.create_task_group() as tasks:
        if late:
            await stop()
        else:
            tasks.start_soon(stop)
        with departure.bounded(began + 60.0):
            await anyio.sleep(30.0)
    assert anyio.current_time() - began == pytest.approx(2.0, abs=0.01)
    assert departure.open == set()
