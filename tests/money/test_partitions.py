"""Partitions, pauses, and top-ups on the other side."""

from __future__ import annotations

import anyio
import pytest

from ebonyhold.coordination import RequestState
from ebonyhold.document import Policy
from ebonyhold.exceptions import (
    BudgetUnreachableError,
    EbonyholdError,
    SealedError,
    UnavailableError,
)
from ebonyhold.experiments._memory_fleet import MemoryFleet, ended, order
from ebonyhold.money import Incarnations, MoneyOptions, Permit, Treasury, top_up
from tests.money.stories import (
    begin,
    check_all_returned,
    check_books,
    own_view,
    request,
    run,
    spend,
)


def test_top_up_on_the_other_side() -> None:
    """A router is cut off from the table while the budget is topped up.

    It spends what it holds, journals in the store, and then refuses without
    saying that the budget is exhausted.  After the partition it draws again;
    the sum of all bills fits the two top-ups.
    """

    async def story(fleet: MemoryFleet) -> None:
        await fleet.top_up("w", 1000, "t1")
        table, objects = own_view(fleet)
        cut = await fleet.start("a.1", table, objects)
        other = await fleet.start("b.1")
        await spend(cut, "r0", 100, 100)
        await anyio.sleep(3)
        table.faults.down = True
        refused = 0
        for number in range(20):
            try:
                await spend(cut, f"a{number}", 100, 100)
            except BudgetUnreachableError:
                refused += 1
        assert refused
        await top_up(fleet.table, "w", "t2", 500)
        for number in range(20):
            try:
                await spend(other, f"b{number}", 100, 100)
            except EbonyholdError:
                break
        table.faults.down = False
        await anyio.sleep(20)
        budget = fleet.budget("w")
        assert budget.prepaid == 1500
        assert budget.spent <= 1500
        await cut.drain()
        await other.drain()
        await check_all_returned(fleet, "w")

    run(story, Policy(grants="adaptive"))


def test_paused_router_wakes_after_recovery() -> None:
    """A router is paused between its durable intent and the dispatch, for hours.

    Meanwhile it is recovered, and its caller has retried elsewhere.  On waking
    it dispatches: the engine refuses the closed attempt.  Its next append finds
    the seal, whichever place it tries.
    """

    async def story(fleet: MemoryFleet) -> None:
        await fleet.top_up("w", 1000, "t")
        paused = await fleet.start("a.1")
        other = await fleet.start("b.1")
        permit = await begin(paused, order("w", "k", keyed=True))
        await anyio.sleep(2)
        await fleet.recover("a.1", by="b.1")
        retry = await begin(other, order("w", "k", keyed=True))
        await fleet.dispatch(retry, 40)
        await other.finish(retry, ended(retry, 45))
        assert not await fleet.dispatch(permit, 40)
        fleet.table.faults.down = True
        with pytest.raises(SealedError):
            await paused.begin(order("w", "r2", 1))
        fleet.table.faults.down = False
        await anyio.sleep(3)
        assert fleet.budget("w").spent == 45
        await other.drain()
        await check_all_returned(fleet, "w")

    run(story)


def test_paused_router_wakes_after_its_journal_was_deleted() -> None:
    """A router sleeps through its recovery, and through the deletion of its journal.

    The chain in the store keeps its seal: had it been deleted too, the router
    would find its next number free, and spend from a grant that was returned.
    """

    async def story(fleet: MemoryFleet) -> None:
        await fleet.top_up("w", 1000, "t")
        paused = await fleet.start("a.1")
        await spend(paused, "r0", 50, 10)
        fleet.table.faults.down = True
        await spend(paused, "r1", 50, 10)
        fleet.table.faults.down = False
        await anyio.sleep(5)
        await fleet.recover("a.1")
        assert len(fleet.objects.objects) == 1
        assert fleet.table.matching("journal/", "", 10) == []
        fleet.table.faults.down = True
        with pytest.raises(EbonyholdError):
            await paused.begin(order("w", "r2", 1))
        assert paused.sealed
        fleet.table.faults.down = False
        await check_all_returned(fleet, "w")

    run(story)


def test_sealed_router_goes_on_as_a_new_incarnation() -> None:
    """A living router is sealed by mistake; its callers are served on.

    The next request runs under a new incarnation with grants of its own.
    """

    async def story(fleet: MemoryFleet) -> None:
        await fleet.top_up("w", 1000, "t")
        boots = iter(range(1, 9))

        def make(name: str) -> Treasury:
            return Treasury(
                name,
                fleet.table,
                fleet.objects,
                lambda: fleet.policy,
                fleet.network.link(name),
                fleet.engine,
            )

        money = Incarnations(lambda: f"a.{next(boots)}", make)
        await money.open()
        fleet.tasks.start_soon(money.run)
        await anyio.wait_all_tasks_blocked()
        old = await money.begin(order("w", "r0"))
        assert isinstance(old, Permit)
        await fleet.recover("a.1")
        permit = await money.begin(order("w", "r1"))
        assert isinstance(permit, Permit)
        assert permit.attempt.startswith("a.2~")
        await money.finish(old, ended(old, 50))
        await money.finish(permit, ended(permit, 10))
        await money.drain()
        assert money.renewals == 1
        assert fleet.budget("w").spent == 10
        await check_all_returned(fleet, "w")

    run(story)


@pytest.mark.parametrize("idle", [True, False])
def test_idle_workspaces_are_forgotten(idle: bool) -> None:
    """A router that once served many workspaces keeps state for the busy ones only."""

    async def story(fleet: MemoryFleet) -> None:
        fleet.options = MoneyOptions(evict_after=60)
        treasury = await fleet.start("a.1")
        for number in range(50):
            name = f"w{number}"
            await fleet.top_up(name, 1000, "t")
            permit = await begin(treasury, order(name, "r"))
            await treasury.finish(permit, ended(permit, 10))
        await anyio.sleep(120 if idle else 5)
        assert len(treasury.accounts) == (0 if idle else 50)
        assert fleet.budget("w0").spent == 10
        assert (fleet.budget("w0").outstanding == 0) is idle

    run(story)


def test_chat_retried_while_the_first_still_runs() -> None:
    """A caller loses patience and sends the same chat again through another router.

    Both run to their end and the caller has one whole answer; whoever files
    first makes the bill and the other's hold is released.
    """

    async def story(fleet: MemoryFleet) -> None:
        await fleet.top_up("w", 1000, "t")
        one = await fleet.start("a.1")
        two = await fleet.start("b.1")
        first = await begin(one, order("w", "k", keyed=True))
        second = await begin(two, order("w", "k", keyed=True))
        await two.finish(second, ended(second, 40))
        await anyio.sleep(3)
        await one.finish(first, ended(first, 40))
        await anyio.sleep(3)
        third = await begin(one, order("w", "k", keyed=True))
        assert third.unbilled
        await one.finish(third, ended(third, 40))
        await anyio.sleep(3)
        row = request(fleet, "w", "k")
        assert row is not None
        assert (row.state, row.charge) == (RequestState.COMPLETE, 40)
        assert fleet.budget("w").spent == 40
        await one.drain()
        await two.drain()
        await check_all_returned(fleet, "w")

    run(story)


def test_chat_cut_off_and_retried_is_amended() -> None:
    """A caller hangs up after a part of the answer, then asks again by its key.

    The bill of the part is replaced by the bill of the whole, not added to it.
    """

    async def story(fleet: MemoryFleet) -> None:
        await fleet.top_up("w", 1000, "t")
        one = await fleet.start("a.1")
        first = await begin(one, order("w", "k", keyed=True))
        await one.finish(first, ended(first, 15, RequestState.INTERRUPTED))
        await anyio.sleep(3)
        assert fleet.budget("w").spent == 15
        second = await begin(one, order("w", "k", keyed=True))
        assert not second.unbilled
        await one.finish(second, ended(second, 40))
        await anyio.sleep(3)
        assert fleet.budget("w").spent == 40
        await one.drain()
        await check_all_returned(fleet, "w")

    run(story)


def test_engine_that_runs_past_its_bound() -> None:
    """An engine generates more than its bound; the workspace pays the hold only."""

    async def story(fleet: MemoryFleet) -> None:
        await fleet.top_up("w", 100, "t")
        one = await fleet.start("a.1")
        permit = await begin(one, order("w", "r", 100))
        await one.finish(permit, ended(permit, 130))
        await anyio.sleep(3)
        row = request(fleet, "w", "r")
        assert row is not None
        assert (row.charge, row.overshoot) == (100, 30)
        assert fleet.budget("w").spent == 100
        await check_books(fleet)

    run(story)


def test_begin_before_registration_is_refused() -> None:
    """A router whose row is not in the table could never be recovered."""

    async def story(fleet: MemoryFleet) -> None:
        treasury = Treasury("a.1", fleet.table, fleet.objects, lambda: fleet.policy)
        with pytest.raises(UnavailableError):
            await treasury.begin(order("w", "r"))

    run(story)
