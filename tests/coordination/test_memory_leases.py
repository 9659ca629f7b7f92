"""Who may lend a server's memory, and what a lender and a router count."""

from __future__ import annotations

import math
from collections.abc import Callable

import pytest

from ebonyhold.coordination import (
    LeaseOutcome,
    LenderView,
    MemoryLender,
    MemoryNeed,
    MemoryPool,
    RouterMemory,
    RouterRun,
    WantedLease,
    choose_lenders,
    own_share,
    shared_parts,
)

FLEET = {f"vm-{n}": f"domain-{n % 3}" for n in range(9)}
VALID, MAX_TIME = 10.0, 8.0
QUIET = VALID + MAX_TIME + 1.0
FIRST = choose_lenders("s", FLEET)[0]
OTHER = next(vm for vm in FLEET if vm not in choose_lenders("s", FLEET))
SMALLER = {vm: domain for vm, domain in FLEET.items() if vm != OTHER}
WITHOUT_FIRST = {vm: domain for vm, domain in FLEET.items() if vm != FIRST}


def runs(leased: bool, run: int = 0) -> dict[str, RouterRun]:
    """Return what the routers state."""
    return {vm: RouterRun(f"{vm}.{run}", leased) for vm in FLEET}


Reading = tuple[float, dict[str, str], dict[str, RouterRun]]

READINGS: dict[str, tuple[list[Reading], float, float]] = {
    # The readings of the first lender; a time; for how long it must not lend then.
    "first start of the fleet": (
        [(0, FLEET, runs(False)), (1.5, FLEET, runs(False))],
        2.0,
        0.0,
    ),
    "first start, before the second reading": (
        [(0, FLEET, runs(False))],
        1.0,
        QUIET - 1,
    ),
    "own restart": (
        [(0, FLEET, runs(True)), (1.5, FLEET, runs(True))],
        2.0,
        QUIET - 2,
    ),
    "restart of all": (
        [(0, FLEET, runs(True)), (1.5, FLEET, runs(False, run=1))],
        2.0,
        0.0,
    ),
    "restart of all, with leases since": (
        [(0, FLEET, runs(True)), (1.5, FLEET, runs(True, run=1))],
        2.0,
        0.0,
    ),
    "another router leaves": (
        [(0, FLEET, runs(False)), (4, FLEET, runs(False)), (8, SMALLER, runs(True))],
        9.0,
        0.0,
    ),
    "it becomes a lender": (
        [(0, WITHOUT_FIRST, runs(True)), (4, FLEET, runs(True))],
        5.0,
        QUIET - 1,
    ),
    "it was left out for a time": (
        [
            (0, FLEET, runs(False)),
            (4, FLEET, runs(False)),
            (8, WITHOUT_FIRST, runs(True)),
            (12, FLEET, runs(True)),
        ],
        13.0,
        QUIET - 1,
    ),
    "it is cut off from the store": (
        [(0, FLEET, runs(False)), (4, FLEET, runs(False))],
        4 + VALID,
        math.inf,
    ),
    "it was cut off from the store": (
        [(0, FLEET, runs(False)), (4, FLEET, runs(False)), (40, FLEET, runs(True))],
        41.0,
        QUIET - 1,
    ),
    "it is no lender": ([(0, WITHOUT_FIRST, runs(False))], 1.0, math.inf),
}


@pytest.mark.parametrize("name", READINGS)
def test_time_without_lending(name: str) -> None:
    """A new lender does not know of leases that the one before has granted."""
    readings, now, left = READINGS[name]
    view = LenderView(FIRST, FLEET[FIRST])
    for at, fleet, stated in readings:
        view.update(fleet, at, VALID, stated)
        view.quiet_left("s", at, MAX_TIME)
    assert view.quiet_left("s", now, MAX_TIME) == pytest.approx(left)


def test_lenders_are_in_two_domains_and_the_near_one_is_asked_first() -> None:
    """A failure domain that fails would take both lenders of a server with it."""
    for vm, domain in FLEET.items():
        view = LenderView(vm, domain)
        view.update(FLEET, 0.0, VALID, runs(False))
        for server in range(20):
            near, far = view.lenders(f"s{server}")
            assert FLEET[near] != FLEET[far]
            assert domain not in (FLEET[far],)


def wanted(lease: str, own: int, waits: float = 0.0, **shared: int) -> WantedLease:
    """Return a request for a lease."""
    return WantedLease(lease, "s", MemoryNeed(own, shared), 5.0, waits=waits)


Step = Callable[[MemoryLender], object]


def ask(
    lease: str, own: int, waits: float = 0.0, at: float = 0.0, **shared: int
) -> Step:
    """Return a step that asks for a lease, and its outcome; None if it waits."""

    def step(lender: MemoryLender) -> object:
        one = wanted(lease, own, waits, **shared)
        answer = lender.ask(one, 100, MAX_TIME, at)
        return answer and answer.outcome

    return step


def give(*leases: str, at: float = 0.0) -> Step:
    """Return a step that returns leases, and names those that waited and got one."""

    def step(lender: MemoryLender) -> object:
        lender.give_back(leases, at)
        decided = lender.decide(at)
        return [(d.lease, d.answer.outcome) for d in decided]

    return step


GRANTED, FULL = LeaseOutcome.GRANTED, LeaseOutcome.FULL
UNAVAILABLE = LeaseOutcome.UNAVAILABLE

STEPS: dict[str, list[tuple[Step, object]]] = {
    "full": [(ask("a", 60), GRANTED), (ask("b", 60), FULL), (ask("c", 40), GRANTED)],
    "shared part counts once": [
        (ask("a", 10, p=60), GRANTED),
        (ask("b", 10, p=60), GRANTED),
        (ask("c", 30), FULL),
        (give("a"), []),
        (ask("d", 31), FULL),
        (ask("e", 30), GRANTED),
        (give("b"), []),
        (ask("f", 70), GRANTED),
    ],
    "message came twice": [
        (ask("a", 60), GRANTED),
        (ask("a", 60), GRANTED),
        (ask("b", 40), GRANTED),
        (give("a", "a"), []),
        (ask("c", 61), FULL),
    ],
    "message came after its return": [(give("a"), []), (ask("a", 60), UNAVAILABLE)],
    "message came twice, once after its return": [
        (ask("a", 60), GRANTED),
        (give("a"), []),
        (ask("a", 60), UNAVAILABLE),
    ],
    "expiry": [
        (ask("a", 60), GRANTED),
        (ask("b", 60, at=5.9), FULL),
        (ask("b", 60, at=6.0), GRANTED),
    ],
    "waits": [
        (ask("a", 100), GRANTED),
        (ask("b", 50, waits=0.5), None),
        (ask("c", 10), FULL),
        (give("a"), [("b", GRANTED)]),
    ],
    "waits too long": [
        (ask("a", 100), GRANTED),
        (ask("b", 50, waits=0.5), None),
        (give(at=0.4), []),
        (give(at=0.5), [("b", FULL)]),
    ],
    "gives up waiting": [
        (ask("a", 100), GRANTED),
        (ask("b", 50, waits=0.5), None),
        (give("b"), []),
        (give("a"), []),
        (ask("c", 100), GRANTED),
    ],
    "does not wait for what never fits": [(ask("a", 101, waits=1.0), FULL)],
}


@pytest.mark.parametrize("name", STEPS)
def test_lender(name: str) -> None:
    """A lender that miscounts lends more than there is, or less for ever."""
    lender = MemoryLender()
    assert [step(lender) for step, _ in STEPS[name]] == [e for _, e in STEPS[name]]


def test_lease_that_lasts_longer_than_lenders_wait_is_not_granted() -> None:
    """The next lender would lend the memory while the lease still lasts."""
    answer = MemoryLender().ask(wanted("a", 1), 100, 4.9, 0.0)
    assert answer is not None
    assert answer.outcome is UNAVAILABLE


def test_own_share_and_refusals_of_a_router() -> None:
    """A request is not sent before its memory is free, nor asked for all the time."""
    memory, small, large = RouterMemory(), MemoryNeed(10), MemoryNeed(50)
    assert memory.take_own("s", "a", small, 15, 0.0, 9.0)
    assert not memory.take_own("s", "b", small, 15, 0.0, 9.0)
    memory.record_refused("s", large, 0.0, 0.1, 0.7)
    waits = [memory.wait("s", need, 15, 0.04) for need in (small, large)]
    assert waits == pytest.approx([0.0, 0.06])
    assert memory.wait("s", large, 15, 0.1) == 0.0
    assert memory.expected("s", 0.2) == pytest.approx(0.5)
    # The server notices the end of the connection a little later.
    assert not memory.end("s", "a", 1.0, 1.25)
    assert not memory.take_own("s", "c", small, 15, 1.2, 9.0)
    assert memory.take_own("s", "d", small, 15, 1.25, 9.0)


@pytest.mark.parametrize("routers", [1, 6, 16, 23, 90, 131, 330])
def test_own_shares_leave_room_for_routers_not_counted_yet(routers: int) -> None:
    """A router that starts uses its share before others have counted it."""
    share = own_share(258_964, routers)
    assert share * (routers + math.ceil(routers / 16)) <= 258_964 / 2
    assert share > 0
    assert own_share(258_964, 0) == 0


def test_parts_are_shared_after_the_same_parts_only() -> None:
    """A server cannot use what it has of a part after another beginning."""
    one, two = (
        shared_parts([("a", 5), ("b", 7), ("x", 9)]),
        shared_parts([("c", 5), ("b", 7), ("y", 9)]),
    )
    assert list(one.values()) == list(two.values()) == [5, 7]
    assert not set(one) & set(two)
    longer = shared_parts([("a", 5), ("b", 7), ("d", 1), ("z", 2)])
    assert set(one) < set(longer)
    pool = MemoryPool(100)
    pool.add("r", MemoryNeed(1, one), 0.0, 9.0)
    assert pool.added(MemoryNeed(2, longer)) == 2 + 1
