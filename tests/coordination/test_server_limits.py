"""All routers together keep to the requests per second that a server takes."""

from __future__ import annotations

import math

import pytest

from ebonyhold.coordination import LimitShares, SendingLimit, ServerRun
from ebonyhold.coordination._server_limits import (
    END_DELAY,
    END_EXPIRY,
    MAX_REPORTED_ENDS,
    EndedLimits,
)

WINDOW = 4.0
"""Seconds over which the platform counts the requests at a server with a limit."""

STEP = 0.05

LONG_IDLE = 100.0


def allowed(limit: float) -> float:
    """Return the requests that a server may get in `WINDOW`, by the platform's rule."""
    return 1.5 * limit * WINDOW + 5


def shares(router: str, routers: list[str], count: int | None = None) -> LimitShares:
    """Return the shares of one router that knows some routers."""
    found = LimitShares(router, lambda: len(routers) if count is None else count)
    found.update(routers)
    return found


@pytest.mark.parametrize("routers", [1, 6, 9, 23, 195, 330])
@pytest.mark.parametrize("limit", [0.0, 0.3, 1.0, 2.3, 3.5, 20.0, 150.0])
def test_no_window_exceeds_the_limit(routers: int, limit: float) -> None:
    """Small shares or requests saved up at each router must not add up to too much."""
    names = [f"vm-{number}" for number in range(routers)]
    fleet = [shares(name, names) for name in names]
    sending = [SendingLimit(limit) for _ in fleet]
    sent: list[float] = []
    steps = [number * STEP for number in range(int(20 / STEP))]
    steps += [LONG_IDLE + step for step in steps]
    for now in steps:
        for each, use in zip(fleet, sending, strict=True):
            use.set_rate(each.rate("s", limit), now)
            slot = each.probe_slot("s", now)
            while not use.wait(slot, now):
                use.take(slot, now)
                sent.append(now)
    most = max(sum(start <= at < start + WINDOW for at in sent) for start in sent)
    assert most <= allowed(limit)
    assert sum(at < LONG_IDLE for at in sent) >= 0.8 * limit * 20 - 1


@pytest.mark.parametrize("routers", [1, 6, 9, 23, 59, 195, 330])
@pytest.mark.parametrize("tolerated", [0.5, 2.0, 4.0, 19.0, 150.0])
def test_cold_server_gets_no_more_than_it_tolerates(
    routers: int, tolerated: float
) -> None:
    """All routers together must not overload a server that has just started."""
    names = [f"vm-{number}" for number in range(routers)]
    fleet = [shares(name, names) for name in names]
    sending = [SendingLimit(tolerated) for _ in fleet]
    sent: list[float] = []
    steps = [number * STEP for number in range(int(20 / STEP))]
    for now in [*steps, *(LONG_IDLE + step for step in steps)]:
        for each, use in zip(fleet, sending, strict=True):
            use.set_rate(each.cold_rate("s", tolerated), now)
            while not use.wait(None, now):
                use.take(None, now)
                sent.append(now)
    most = max(sum(start <= at < start + 1.0 for at in sent) for start in sent)
    assert most <= 1.5 * tolerated + 5
    assert sum(at < LONG_IDLE for at in sent) >= 0.4 * tolerated * 20 - 1


@pytest.mark.parametrize(("known", "count"), [(0, 8), (29, 59)])
def test_cold_server_gets_nothing_from_a_router_without_a_fleet(
    known: int, count: int
) -> None:
    """Routers that start at the same moment must not each assume a small fleet."""
    names = [f"vm-{number}" for number in range(known)]
    assert shares("vm-0", names, count).cold_rate("s", 19.0) == 0.0


@pytest.mark.parametrize("routers", [6, 195, 330])
def test_all_routers_choose_the_same_senders(routers: int) -> None:
    """The shares of all routers must add up to the limit."""
    names = [f"vm-{number}" for number in range(routers)]
    for limit in (0.5, 2.3, 40.0, 1000.0):
        rates = [shares(name, names).rate("s", limit) for name in names]
        assert sum(rates) == pytest.approx(limit)


@pytest.mark.parametrize(("known", "count", "total"), [(0, 8, 0.5), (90, 97, 4.0)])
def test_fleet_that_is_not_known_whole(known: int, count: int, total: float) -> None:
    """A router must not take the whole limit at its start, nor too little for good."""
    names = [f"vm-{number}" for number in range(known)]
    fleet = [shares(name, names, count) for name in names or ["vm-1"]]
    rates = [each.rate("s", 4.0) for each in fleet]
    assert sum(rates) == pytest.approx(total)
    assert len([rate for rate in rates if rate]) <= 4


@pytest.mark.parametrize("routers", [2, 6, 195, 330])
def test_each_router_has_a_time_slot_of_its_own(routers: int) -> None:
    """A router without a share must notice a limit's end, and not with all others."""
    names = [f"vm-{number}" for number in range(routers)]
    fleet = [shares(name, names) for name in names]
    turns = [
        [
            name
            for name, each in zip(names, fleet, strict=True)
            if each.probe_slot("s", at)
        ]
        for at in range(1_000_000, 1_000_000 + int(END_EXPIRY), 2)
    ]
    assert max(len(turn) for turn in turns) == 1
    assert {name for turn in turns for name in turn} == set(names)


def test_one_request_is_sent_in_a_time_slot() -> None:
    """A router without a share must not use its slot for a burst."""
    use = SendingLimit(2.0)
    assert use.wait(None, 10.0) == math.inf
    assert use.wait(7, 10.0) == 0.0
    use.take(7, 10.0)
    assert use.wait(7, 10.1) == math.inf
    assert use.wait(8, 12.0) == 0.0


def test_the_end_of_a_limit_is_reported_once_it_is_sure() -> None:
    """An answer that was overtaken by others must not end a limit everywhere."""
    ended, run = EndedLimits(), ServerRun("s", 1)
    ended.add(run, 10.0)
    assert ended.report(10.0 + END_DELAY / 2) == ()
    ended.discard(run)
    assert ended.report(10.0 + END_DELAY) == ()
    ended.add(run, 20.0)
    assert [each.run for each in ended.report(20.0 + END_DELAY)] == [run]
    assert ended.report(20.0 + END_EXPIRY) == ()


def test_reports_of_ended_limits_are_bounded() -> None:
    """Servers that come and go must not fill a router's row."""
    ended = EndedLimits()
    for number in range(MAX_REPORTED_ENDS + 9):
        ended.add(ServerRun(f"s{number}", 1), 10.0)
    assert len(ended.report(20.0)) == MAX_REPORTED_ENDS
