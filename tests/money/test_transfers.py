"""Transfers of tokens between routers, with lost replies, outages and crashes."""

from __future__ import annotations

import anyio
import pytest

from ebonyhold.exceptions import (
    BudgetUnreachableError,
)
from ebonyhold.experiments._memory_fleet import MemoryFleet, ended, order
from ebonyhold.money import GrantManager
from ebonyhold.routers import TransferGiven
from tests.money.scenarios import (
    begin,
    check_all_returned,
    check_bills,
    exchange,
    run,
    spend,
)


async def start_giver_and_receiver(
    fleet: MemoryFleet,
) -> tuple[GrantManager, GrantManager]:
    """Start a router with many tokens and one with few, then take the table down."""
    await fleet.top_up("w", 10_000, "t")
    giver = await fleet.start("a.1")
    receiver = await fleet.start("b.1")
    for number in range(10):
        await spend(giver, f"a{number}", 500, 100)
    await spend(receiver, "b", 10, 10)
    await anyio.sleep(3)
    fleet.table.faults.down = True
    return giver, receiver


def test_transfer_while_the_table_is_down() -> None:
    """A router runs out of tokens while the table is down, and a peer has some left.

    The router requests tokens and receives some; both routers journal the transfer in
    the object store. Once the table is back, the transfer is settled and no token is
    missing or left over.
    """

    async def scenario(fleet: MemoryFleet) -> None:
        giver, receiver = await start_giver_and_receiver(fleet)
        await spend(receiver, "r1", 400, 300)
        fleet.table.faults.down = False
        await anyio.sleep(30)
        await check_bills(fleet)
        await receiver.drain()
        await giver.drain()
        assert fleet.budget("w").spent == 1000 + 10 + 300
        await check_all_returned(fleet, "w")

    run(scenario)


@pytest.mark.parametrize("giver_first", [True, False])
@pytest.mark.parametrize("lost", [True, False])
def test_transfer_between_routers_that_crash(giver_first: bool, lost: bool) -> None:
    """Both routers crash while tokens are in transfer between them.

    If the transfer was lost, its tokens are stranded until both journals are sealed,
    and are returned then. If it arrived, they are returned from the receiver's grant.
    In both cases they must be counted once.
    """

    async def scenario(fleet: MemoryFleet) -> None:
        await start_giver_and_receiver(fleet)
        receiver = fleet.routers["b.1"].grant_manager
        fleet.network.lose_replies = 1 if lost else 0
        try:
            await begin(receiver, order("w", "r1", 400))
        except BudgetUnreachableError:
            assert lost
        fleet.table.faults.down = False
        fleet.kill("a.1")
        fleet.kill("b.1")
        for name in ("a.1", "b.1") if giver_first else ("b.1", "a.1"):
            await fleet.recover(name)
            await check_bills(fleet)
        assert await fleet.recovery("s.1").sweep() == 0
        budget = fleet.budget("w")
        assert budget.outstanding == 0
        assert budget.spent == 1000 + 10
        await check_bills(fleet)

    run(scenario)


def test_lost_transfer_is_sent_again() -> None:
    """A reply that carries tokens is lost, and the receiver requests tokens again.

    The giver sends the same transfer again, and the receiver counts it once.
    """

    async def scenario(fleet: MemoryFleet) -> None:
        giver, receiver = await start_giver_and_receiver(fleet)
        fleet.network.lose_replies = 1
        with pytest.raises(BudgetUnreachableError):
            await begin(receiver, order("w", "r1", 400))
        await spend(receiver, "r2", 400, 300)
        assert exchange(giver).serial == 1
        fleet.table.faults.down = False
        await anyio.sleep(30)
        await receiver.drain()
        await giver.drain()
        await check_all_returned(fleet, "w")

    run(scenario)


def test_lost_transfer_to_a_router_that_crashed() -> None:
    """A transfer is lost, and its receiver crashes and is recovered.

    The receiver is closed and never settled the transfer, so the giver, which still
    runs, gets the tokens back.
    """

    async def scenario(fleet: MemoryFleet) -> None:
        giver, receiver = await start_giver_and_receiver(fleet)
        fleet.network.lose_replies = 1
        with pytest.raises(BudgetUnreachableError):
            await begin(receiver, order("w", "r1", 400))
        assert giver.grants["w"].ledger.given > 0
        fleet.kill("b.1")
        fleet.table.faults.down = False
        await fleet.recover("b.1")
        await anyio.sleep(30)
        assert giver.grants["w"].ledger.given == 0
        await giver.drain()
        await check_all_returned(fleet, "w")

    run(scenario)


def test_giver_drains_with_an_unsettled_transfer() -> None:
    """A giver stops while its receiver has not settled a transfer.

    The tokens stay in the row of the giver's grant, and the transfer has a row. Once
    the receiver has stopped too, a sweep returns the tokens to the budget.
    """

    async def scenario(fleet: MemoryFleet) -> None:
        giver, receiver = await start_giver_and_receiver(fleet)
        fleet.network.lose_replies = 1
        with pytest.raises(BudgetUnreachableError):
            await begin(receiver, order("w", "r1", 400))
        fleet.table.faults.down = False
        await giver.drain()
        await check_bills(fleet)
        assert await fleet.recovery("s.1").sweep() == 1
        await receiver.drain()
        assert await fleet.recovery("s.1").sweep() == 0
        assert fleet.budget("w").outstanding == 0
        await check_bills(fleet)

    run(scenario)


def test_transfer_for_an_earlier_incarnation_is_refused() -> None:
    """Guards against counting tokens that were given to an earlier incarnation.

    They arrive after the receiver was replaced by a new incarnation.
    """

    async def scenario(fleet: MemoryFleet) -> None:
        giver, receiver = await start_giver_and_receiver(fleet)
        fleet.network.lose_replies = 1
        with pytest.raises(BudgetUnreachableError):
            await begin(receiver, order("w", "r1", 400))
        given = next(iter(giver.grants["w"].transfers.given.values()))
        fleet.table.faults.down = False
        successor = await fleet.start("b.2")
        late = TransferGiven("w", given.transfer, given.amount)
        await exchange(successor).receive_transfer("a.1", late)
        assert "w" not in successor.grants

    run(scenario)


def test_transfer_that_arrives_twice() -> None:
    """Guards against counting a transfer more than once.

    The transfer is delivered three times, two of them at the same time.
    """

    async def scenario(fleet: MemoryFleet) -> None:
        giver, receiver = await start_giver_and_receiver(fleet)
        fleet.network.lose_replies = 1
        with pytest.raises(BudgetUnreachableError):
            await begin(receiver, order("w", "r1", 400))
        given = next(iter(giver.grants["w"].transfers.given.values()))
        message = TransferGiven("w", given.transfer, given.amount)
        before = receiver.grants["w"].ledger.available
        async with anyio.create_task_group() as deliveries:
            deliveries.start_soon(exchange(receiver).receive_transfer, "a.1", message)
            deliveries.start_soon(exchange(receiver).receive_transfer, "a.1", message)
        await exchange(receiver).receive_transfer("a.1", message)
        assert receiver.grants["w"].ledger.available == before + given.amount
        fleet.table.faults.down = False
        await anyio.sleep(30)
        await receiver.drain()
        await giver.drain()
        await check_all_returned(fleet, "w")

    run(scenario)


def test_tokens_passed_on_before_they_are_settled() -> None:
    """Tokens pass through three routers while the table is down.

    The router in the middle has no tokens in the table when the last one settles, so
    its row is below zero for a while. The sum of all grants must be right at every
    moment, also when the router in the middle crashes.
    """

    async def scenario(fleet: MemoryFleet) -> None:
        giver, middle = await start_giver_and_receiver(fleet)
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
        await check_bills(fleet)
        await fleet.recover("b.1")
        await check_bills(fleet)
        await last.drain()
        await giver.drain()
        assert fleet.budget("w").spent == 1000 + 10 + 1 + 150
        await check_all_returned(fleet, "w")

    run(scenario)
