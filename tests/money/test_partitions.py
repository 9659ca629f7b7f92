"""Partitions, pauses, top-ups on the other side, and transfers between routers."""

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
from ebonyhold.money._exchange import TokenExchange
from ebonyhold.routers import TransferGiven
from ebonyhold.standins import Faults, MemoryObjects, MemoryTable
from tests.money.stories import (
    begin,
    check_all_returned,
    check_books,
    request,
    run,
)


def own_view(fleet: MemoryFleet) -> tuple[MemoryTable, MemoryObjects]:
    """Give a router faults of its own towards the same table and store."""
    table = MemoryTable(
        Faults(),
        fleet.table.writes,
        fleet.table.reads,
        fleet.table.rows,
        fleet.table.order,
    )
    objects = MemoryObjects(Faults(), objects=fleet.objects.objects)
    return table, objects


def exchange(treasury: Treasury) -> TokenExchange:
    """Return what a router gives and takes tokens through."""
    assert treasury.exchange is not None
    return treasury.exchange


async def spend(treasury: Treasury, name: str, hold: int, charge: int) -> None:
    """Run one request to its end."""
    permit = await begin(treasury, order("w", name, hold))
    await treasury.finish(permit, ended(permit, charge))


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


async def two_with_tokens(fleet: MemoryFleet) -> tuple[Treasury, Treasury]:
    """Start a router that holds tokens and one that holds few, and cut the table."""
    await fleet.top_up("w", 10_000, "t")
    rich = await fleet.start("a.1")
    poor = await fleet.start("b.1")
    for number in range(10):
        await spend(rich, f"a{number}", 500, 100)
    await spend(poor, "b", 10, 10)
    await anyio.sleep(3)
    fleet.table.faults.down = True
    return rich, poor


def test_transfer_while_the_table_is_down() -> None:
    """A router runs out while the table is down, and another has tokens left.

    It asks and is given some; both journal it in the store.  When the table is
    back, the transfer is settled and nothing is lost or made.
    """

    async def story(fleet: MemoryFleet) -> None:
        rich, poor = await two_with_tokens(fleet)
        await spend(poor, "r1", 400, 300)
        fleet.table.faults.down = False
        await anyio.sleep(30)
        await check_books(fleet)
        await poor.drain()
        await rich.drain()
        assert fleet.budget("w").spent == 1000 + 10 + 300
        await check_all_returned(fleet, "w")

    run(story)


@pytest.mark.parametrize("giver_first", [True, False])
@pytest.mark.parametrize("lost", [True, False])
def test_transfer_between_routers_that_die(giver_first: bool, lost: bool) -> None:
    """Tokens are on their way between two routers when both die.

    If they were lost, they stay stranded until both journals are sealed, and
    then return.  If they arrived, they are returned from the receiver's grant.
    Either way they exist once.
    """

    async def story(fleet: MemoryFleet) -> None:
        await two_with_tokens(fleet)
        poor = fleet.routers["b.1"].treasury
        fleet.network.lose_replies = 1 if lost else 0
        try:
            await begin(poor, order("w", "r1", 400))
        except BudgetUnreachableError:
            assert lost
        fleet.table.faults.down = False
        fleet.kill("a.1")
        fleet.kill("b.1")
        for name in ("a.1", "b.1") if giver_first else ("b.1", "a.1"):
            await fleet.recover(name)
            await check_books(fleet)
        assert await fleet.recovery("s.1").sweep() == 0
        budget = fleet.budget("w")
        assert budget.outstanding == 0
        assert budget.spent == 1000 + 10
        await check_books(fleet)

    run(story)


def test_lost_transfer_is_sent_again() -> None:
    """The answer that carries tokens is lost; the receiver asks once more.

    The giver sends the same transfer again, and the receiver counts it once.
    """

    async def story(fleet: MemoryFleet) -> None:
        rich, poor = await two_with_tokens(fleet)
        fleet.network.lose_replies = 1
        with pytest.raises(BudgetUnreachableError):
            await begin(poor, order("w", "r1", 400))
        await spend(poor, "r2", 400, 300)
        assert exchange(rich).serial == 1
        fleet.table.faults.down = False
        await anyio.sleep(30)
        await poor.drain()
        await rich.drain()
        await check_all_returned(fleet, "w")

    run(story)


def test_lost_transfer_to_a_router_that_died() -> None:
    """A transfer is lost, and its receiver is recovered; the giver lives on.

    The receiver is closed and never settled it, so the giver takes it back.
    """

    async def story(fleet: MemoryFleet) -> None:
        rich, poor = await two_with_tokens(fleet)
        fleet.network.lose_replies = 1
        with pytest.raises(BudgetUnreachableError):
            await begin(poor, order("w", "r1", 400))
        assert rich.accounts["w"].ledger.given > 0
        fleet.kill("b.1")
        fleet.table.faults.down = False
        await fleet.recover("b.1")
        await anyio.sleep(30)
        assert rich.accounts["w"].ledger.given == 0
        await rich.drain()
        await check_all_returned(fleet, "w")

    run(story)


def test_giver_drains_with_a_transfer_on_its_way() -> None:
    """A router stops while tokens it gave are not settled by their receiver.

    It leaves them in its grant's row, named by the transfer's row.  Once the
    receiver stops too, a sweep returns them.
    """

    async def story(fleet: MemoryFleet) -> None:
        rich, poor = await two_with_tokens(fleet)
        fleet.network.lose_replies = 1
        with pytest.raises(BudgetUnreachableError):
            await begin(poor, order("w", "r1", 400))
        fleet.table.faults.down = False
        await rich.drain()
        await check_books(fleet)
        assert await fleet.recovery("s.1").sweep() == 1
        await poor.drain()
        assert await fleet.recovery("s.1").sweep() == 0
        assert fleet.budget("w").outstanding == 0
        await check_books(fleet)

    run(story)


def test_transfer_for_an_earlier_incarnation_is_refused() -> None:
    """Tokens arrive late, when their receiver has become a new incarnation."""

    async def story(fleet: MemoryFleet) -> None:
        rich, poor = await two_with_tokens(fleet)
        fleet.network.lose_replies = 1
        with pytest.raises(BudgetUnreachableError):
            await begin(poor, order("w", "r1", 400))
        given = next(iter(rich.accounts["w"].transfers.given.values()))
        fleet.table.faults.down = False
        successor = await fleet.start("b.2")
        late = TransferGiven("w", given.transfer, given.amount)
        await exchange(successor).take_given("a.1", late)
        assert "w" not in successor.accounts

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


def test_transfer_that_arrives_twice() -> None:
    """One transfer is delivered three times, two of them at the same moment."""

    async def story(fleet: MemoryFleet) -> None:
        rich, poor = await two_with_tokens(fleet)
        fleet.network.lose_replies = 1
        with pytest.raises(BudgetUnreachableError):
            await begin(poor, order("w", "r1", 400))
        given = next(iter(rich.accounts["w"].transfers.given.values()))
        message = TransferGiven("w", given.transfer, given.amount)
        before = poor.accounts["w"].ledger.available
        async with anyio.create_task_group() as deliveries:
            deliveries.start_soon(exchange(poor).take_given, "a.1", message)
            deliveries.start_soon(exchange(poor).take_given, "a.1", message)
        await exchange(poor).take_given("a.1", message)
        assert poor.accounts["w"].ledger.available == before + given.amount
        fleet.table.faults.down = False
        await anyio.sleep(30)
        await poor.drain()
        await rich.drain()
        await check_all_returned(fleet, "w")

    run(story)


def test_tokens_given_on_before_they_are_settled() -> None:
    """Tokens pass through three routers while the table is down.

    The one in between has nothing in the table when the last one settles, so
    its row is below zero for a while.  The sum of all grants is right at every
    moment, also when the one in between dies.
    """

    async def story(fleet: MemoryFleet) -> None:
        rich, middle = await two_with_tokens(fleet)
        fleet.table.faults.down = False
        last = await fleet.start("c.1")
        fleet.table.faults.down = True
        fleet.network.part("a.1", "c.1")
        permit = await begin(middle, order("w", "r1", 400))
        await middle.finish(permit, ended(permit, 1))
        await spend(last, "r2", 200, 150)
        fleet.kill("b.1")
        fleet.table.faults.down = False
        await anyio.sleep(30)
        await check_books(fleet)
        await fleet.recover("b.1")
        await check_books(fleet)
        await last.drain()
        await rich.drain()
        assert fleet.budget("w").spent == 1000 + 10 + 1 + 150
        await check_all_returned(fleet, "w")

    run(story)
