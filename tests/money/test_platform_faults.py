"""Calls to the platform that are lost, doubled, late, slow or refused."""

from __future__ import annotations

import anyio
import pytest

from ebonyhold.coordination import KeptAnswer, Outcome, RequestKind, RequestState
from ebonyhold.document import Policy
from ebonyhold.exceptions import (
    BudgetExhaustedError,
    BudgetUnreachableError,
    ClaimUnavailableError,
    EbonyholdError,
    UnavailableError,
)
from ebonyhold.experiments._memory_fleet import MemoryFleet, ended, order
from ebonyhold.money import Permit, Place, Treasury
from tests.money.stories import (
    begin,
    check_all_returned,
    check_books,
    request,
    run,
)

FAULTS = ["lose_answers", "lose_requests", "late", "duplicates", "throttled"]
COMMITS = range(8)


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("commit", COMMITS)
def test_one_call_goes_wrong(fault: str, commit: int) -> None:
    """One call to the table goes wrong somewhere in the life of three requests.

    The call is lost before or after its effect, arrives twice, arrives long
    after everything was settled, or is refused.  The callers notice nothing but
    time, and every request has its one bill.
    """

    async def story(fleet: MemoryFleet) -> None:
        await fleet.top_up("w", 1000, "t")
        treasury = await fleet.start("a.1")
        start = fleet.table.commits
        orders = [order("w", f"r{number}", keyed=True) for number in range(3)]
        for one in orders:
            if fleet.table.commits - start >= commit:
                setattr(fleet.table.faults, fault, 1)
                start = 1_000_000
            permit = await begin(treasury, one)
            await treasury.finish(permit, ended(permit, 10))
            await anyio.sleep(2)
        await anyio.sleep(10)
        await fleet.table.faults.flush()
        await anyio.sleep(10)
        assert fleet.budget("w").spent == 30
        await treasury.drain()
        await fleet.table.faults.flush()
        await check_all_returned(fleet, "w")

    run(story)


@pytest.mark.parametrize("fault", FAULTS)
def test_every_call_goes_wrong_once(fault: str) -> None:
    """A bad hour in which the next ten calls to the table all fail one way."""

    async def story(fleet: MemoryFleet) -> None:
        await fleet.top_up("w", 1000, "t")
        treasury = await fleet.start("a.1")
        setattr(fleet.table.faults, fault, 10)
        for number in range(5):
            permit = await _begin_at_last(treasury, number)
            await treasury.finish(permit, ended(permit, 10))
        await anyio.sleep(20)
        await fleet.table.faults.flush()
        await anyio.sleep(10)
        assert fleet.budget("w").spent == 50
        await treasury.drain()
        await check_all_returned(fleet, "w")

    async def _begin_at_last(treasury: Treasury, number: int) -> Permit:
        for _ in range(20):
            try:
                return await begin(treasury, order("w", f"r{number}"))
            except EbonyholdError:
                await anyio.sleep(1)
        raise AssertionError("refused for ever")

    run(story)


def test_late_call_arrives_after_recovery() -> None:
    """A router's draw hangs in the network while the router dies and is recovered.

    When the draw arrives at last, its router row has changed, so it takes no
    token out of the budget that nobody would ever return.
    """

    async def story(fleet: MemoryFleet) -> None:
        await fleet.top_up("w", 1000, "t")
        treasury = await fleet.start("a.1")
        fleet.table.faults.late = 100

        with pytest.raises(BudgetUnreachableError):
            await begin(treasury, order("w", "r"))
        assert fleet.table.faults.held
        fleet.kill("a.1")
        fleet.table.faults.late = 0
        await fleet.recover("a.1")
        await fleet.table.faults.flush()
        await check_all_returned(fleet, "w")

    run(story)


def test_table_down_with_objects_up() -> None:
    """The table is down for an hour; callers with a grant here are served on.

    Intents and outcomes go to the object store.  A booking is refused as not
    run.  When the table is back, every bill is filed, once.
    """

    async def story(fleet: MemoryFleet) -> None:
        await fleet.top_up("w", 100_000, "t")
        treasury = await fleet.start("a.1")
        permit = await begin(treasury, order("w", "first"))
        await treasury.finish(permit, ended(permit, 10))
        await anyio.sleep(3)
        fleet.table.faults.down = True
        served = 0
        for number in range(60):
            permit = await begin(treasury, order("w", f"r{number}", keyed=True))
            await treasury.finish(permit, ended(permit, 10))
            served += 1
            await anyio.sleep(60)
        with pytest.raises(ClaimUnavailableError):
            await treasury.begin(order("w", "b", 5, RequestKind.BOOKING, keyed=True))
        assert treasury.status().place is Place.OBJECTS
        assert treasury.status().unfiled == served
        fleet.table.faults.down = False
        await anyio.sleep(30)
        assert treasury.status().unfiled == 0
        assert fleet.budget("w").spent == 10 * (served + 1)
        await treasury.drain()
        await check_all_returned(fleet, "w")

    run(story, Policy(grants="adaptive", grant_horizon=3600))


def test_router_dies_during_table_outage() -> None:
    """A router dies while the table is down, its last bills only in the store.

    Recovery waits for the table, then bills what the store's chain says.
    """

    async def story(fleet: MemoryFleet) -> None:
        await fleet.top_up("w", 10_000, "t")
        treasury = await fleet.start("a.1")
        first = await begin(treasury, order("w", "r0"))
        await treasury.finish(first, ended(first, 10))
        await anyio.sleep(3)
        fleet.table.faults.down = True
        done = await begin(treasury, order("w", "r1"))
        await treasury.finish(done, ended(done, 20), durable_within=1)
        still = await begin(treasury, order("w", "r2"))
        await fleet.dispatch(still, 30)
        fleet.kill("a.1")
        with pytest.raises(UnavailableError):
            await fleet.recover("a.1")
        fleet.table.faults.down = False
        fleet.objects.faults.down = True
        with pytest.raises(UnavailableError):
            await fleet.recover("a.1")
        assert fleet.budget("w").outstanding > 0
        fleet.objects.faults.down = False
        report = await fleet.recover("a.1")
        assert report.closed
        assert fleet.budget("w").spent == 10 + 20 + 35
        await check_all_returned(fleet, "w")

    run(story)


def test_both_places_down_refuses_as_not_run() -> None:
    """Neither the table nor the store can be written, so nothing may be dispatched.

    Callers hear at once that their request did not run.  Once a place is back,
    the refused requests cost nothing.
    """

    async def story(fleet: MemoryFleet) -> None:
        await fleet.top_up("w", 10_000, "t")
        treasury = await fleet.start("a.1")
        running = await begin(treasury, order("w", "r0"))
        await anyio.sleep(3)
        fleet.table.faults.down = True
        fleet.objects.faults.down = True
        for number in range(1, 4):
            with pytest.raises(UnavailableError):
                await treasury.begin(order("w", f"r{number}"))
        await treasury.finish(running, ended(running, 10), durable_within=1)
        await anyio.sleep(300)
        fleet.table.faults.down = False
        await anyio.sleep(30)
        fleet.objects.faults.down = False
        permit = await begin(treasury, order("w", "r9"))
        await treasury.finish(permit, ended(permit, 10))
        await treasury.drain()
        assert fleet.budget("w").spent == 20
        await check_all_returned(fleet, "w")

    run(story)


def test_claim_whose_answer_is_lost() -> None:
    """The claim of a booking takes effect, and the router never hears of it.

    It reads the row back, recognises its own claim and goes on: one booking,
    one bill, and a retry gets the kept answer.
    """

    async def story(fleet: MemoryFleet) -> None:
        await fleet.top_up("w", 1000, "t")
        treasury = await fleet.start("a.1")
        booking = order("w", "k", 5, RequestKind.BOOKING, keyed=True)
        warm = await begin(treasury, order("w", "r"))
        await treasury.finish(warm, ended(warm, 1))
        await anyio.sleep(3)
        fleet.table.faults.lose_answers = 2
        permit = await begin(treasury, booking)
        outcome = Outcome(
            "w",
            "k",
            permit.attempt,
            RequestState.COMPLETE,
            5,
            answer=KeptAnswer(201, "text/plain", "ok"),
        )
        await treasury.finish(permit, outcome, durable_within=1)
        await anyio.sleep(3)
        row = request(fleet, "w", "k")
        assert row is not None
        assert (row.state, row.charge) == (RequestState.COMPLETE, 5)
        await check_books(fleet)

    run(story)


def test_budget_whose_first_top_up_is_not_made_yet() -> None:
    """Guards against telling callers for good that a new workspace has no tokens."""

    async def story(fleet: MemoryFleet) -> None:
        treasury = await fleet.start("a.1")
        with pytest.raises(BudgetUnreachableError):
            await treasury.begin(order("w", "r1", 10))
        await fleet.top_up("w", 1000, "t")
        await begin(treasury, order("w", "r2", 10))

    run(story)


@pytest.mark.parametrize(
    ("prepaid", "reachable", "error"),
    [
        (50, True, BudgetExhaustedError),
        (150, True, BudgetUnreachableError),
        (50, False, BudgetUnreachableError),
    ],
)
def test_what_a_refusal_says(
    prepaid: int, reachable: bool, error: type[EbonyholdError]
) -> None:
    """Only the table itself can say that a budget is exhausted.

    While the last tokens are held elsewhere, or the table cannot be read, a
    caller must not be told to buy more.
    """

    async def story(fleet: MemoryFleet) -> None:
        await fleet.top_up("w", prepaid, "t")
        one = await fleet.start("a.1")
        two = await fleet.start("b.1")
        if prepaid >= 100:
            await begin(one, order("w", "r0"))
        fleet.table.faults.down = not reachable
        with pytest.raises(error):
            await two.begin(order("w", "r1"))
        fleet.table.faults.down = False
        await check_books(fleet)

    run(story, Policy(grants="adaptive"))


def test_refused_request_whose_intent_arrives_late() -> None:
    """A request is refused as not run, and its intent reaches the journal later.

    Both places swallowed the append, which arrives after the refusal.  Then the
    router dies and the engine forgets.  The outcome that followed the intent
    says that nothing ran, so the caller is not charged for a refused request.
    """

    async def story(fleet: MemoryFleet) -> None:
        await fleet.top_up("w", 1000, "t")
        treasury = await fleet.start("a.1")
        warm = await begin(treasury, order("w", "r0"))
        await treasury.finish(warm, ended(warm, 1))
        await anyio.sleep(3)
        fleet.table.faults.late = 100
        fleet.objects.faults.late = 100
        with pytest.raises(UnavailableError):
            await treasury.begin(order("w", "r1", 50))
        fleet.table.faults.late = 0
        fleet.objects.faults.late = 0
        await fleet.table.faults.flush()
        await fleet.objects.faults.flush()
        await anyio.sleep(0.5)
        fleet.kill("a.1")
        fleet.engine.restart()
        report = await fleet.recover("a.1")
        assert report.closed
        assert fleet.budget("w").spent == 1
        await check_all_returned(fleet, "w")

    run(story)
