"""Partitions, pauses and repeated requests across routers."""

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
from ebonyhold.money import GrantManager, Incarnations, MoneyOptions, Permit, top_up
from tests.money.scenarios import (
    begin,
    check_all_returned,
    check_bills,
    request,
    run,
    spend,
    view_with_own_faults,
)


def test_top_up_during_a_partition() -> None:
    """A router is cut off from the table while the budget is topped up.

    It spends its grant, journals in the object store, and then refuses requests without
    reporting the budget as exhausted. After the partition it draws again, and the sum
    of all bills does not exceed the two top-ups.
    """

    async def scenario(fleet: MemoryFleet) -> None:
        await fleet.top_up("w", 1000, "t1")
        table, objects = view_with_own_faults(fleet)
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

    run(scenario, Policy(grants="adaptive"))


def test_paused_router_resumes_after_recovery() -> None:
    """A router is paused between its durable intent and the dispatch.

    In the meantime another router recovers the paused one, and the caller retries
    there. When the paused router resumes and dispatches, the backend server refuses the
    closed attempt. The next append of that router's journal finds the seal, in the
    table or in the object store.
    """

    async def scenario(fleet: MemoryFleet) -> None:
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

    run(scenario)


def test_paused_router_resumes_after_its_journal_was_deleted() -> None:
    """A router is paused while it is recovered and its journal is deleted.

    The journal's seal in the object store must be kept. Otherwise the router would find
    its next segment number free and spend from a grant that was returned.
    """

    async def scenario(fleet: MemoryFleet) -> None:
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

    run(scenario)


def test_sealed_router_continues_as_a_new_incarnation() -> None:
    """A router that still runs is sealed, and continues to serve its callers.

    The next request runs under a new incarnation with its own grants.
    """

    async def scenario(fleet: MemoryFleet) -> None:
        await fleet.top_up("w", 1000, "t")
        boots = iter(range(1, 9))

        def make(name: str) -> GrantManager:
            return GrantManager(
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

    run(scenario)


@pytest.mark.parametrize("idle", [True, False])
def test_idle_workspaces_are_discarded(idle: bool) -> None:
    """Guards against keeping the state of idle workspaces forever."""

    async def scenario(fleet: MemoryFleet) -> None:
        fleet.options = MoneyOptions(evict_after=60)
        manager = await fleet.start("a.1")
        for number in range(50):
            name = f"w{number}"
            await fleet.top_up(name, 1000, "t")
            permit = await begin(manager, order(name, "r"))
            await manager.finish(permit, ended(permit, 10))
        await anyio.sleep(120 if idle else 5)
        assert len(manager.grants) == (0 if idle else 50)
        assert fleet.budget("w0").spent == 10
        assert (fleet.budget("w0").outstanding == 0) is idle

    run(scenario)


def test_chat_retried_while_the_first_still_runs() -> None:
    """A caller repeats a running chat through another router.

    Both runs complete. The run that is filed first is billed, and the hold of the other
    one is released.
    """

    async def scenario(fleet: MemoryFleet) -> None:
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

    run(scenario)


def test_chat_cut_off_and_retried_is_amended() -> None:
    """A caller disconnects after a part of the answer, then retries with the same key.

    The bill of the whole answer must replace the bill of the part, not add to it.
    """

    async def scenario(fleet: MemoryFleet) -> None:
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

    run(scenario)


def test_engine_that_exceeds_its_bound() -> None:
    """A chat costs more than its hold; the workspace pays only the hold."""

    async def scenario(fleet: MemoryFleet) -> None:
        await fleet.top_up("w", 100, "t")
        one = await fleet.start("a.1")
        permit = await begin(one, order("w", "r", 100))
        await one.finish(permit, ended(permit, 130))
        await anyio.sleep(3)
        row = request(fleet, "w", "r")
        assert row is not None
        assert (row.charge, row.overshoot) == (100, 30)
        assert fleet.budget("w").spent == 100
        await check_bills(fleet)

    run(scenario)


def test_begin_before_registration_is_refused() -> None:
    """A router without a row cannot be recovered, so it must refuse requests."""

    async def scenario(fleet: MemoryFleet) -> None:
        manager = GrantManager("a.1", fleet.table, fleet.objects, lambda: fleet.policy)
        with pytest.raises(UnavailableError):
            await manager.begin(order("w", "r"))

    run(scenario)
