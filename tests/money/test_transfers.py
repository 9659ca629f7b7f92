"""Transfers of tokens between routers, some of which die on the way."""

from __future__ import annotations

import anyio
import pytest

from ebonyhold.exceptions import (
    BudgetUnreachableError,
)
from ebonyhold.experiments._memory_fleet import MemoryFleet, ended, order
from ebonyhold.money import Treasury
from ebonyhold.routers import TransferGiven
from tests.money.stories import (
    begin,
    check_all_returned,
    check_books,
    exchange,
    run,
    spend,
)


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
