"""All grants of a router: their return at a stop, and failures of a single grant."""

from __future__ import annotations

from functools import partial

import anyio
import pytest

from ebonyhold.coordination import Delete, Put, Transaction, from_json
from ebonyhold.exceptions import (
    BudgetUnreachableError,
)
from ebonyhold.gateway import Supervisor
from ebonyhold.prepaid import GrantManager, PrepaidRow, WorkspaceGrant, budget_row_key
from ebonyhold.standins import RowHistory
from ebonyhold.types import Json
from tests.prepaid.kit import (
    WORKSPACE,
    Router,
    budget,
    grants,
    router,
    successor_of_killed,
)
from tests.virtual import anyio_backend

pytestmark = pytest.mark.anyio
__all__ = ["anyio_backend"]


def manager_of(one: Router) -> GrantManager:
    """Return a grant manager that has the grant of a router."""
    manager = GrantManager(
        one.router,
        one.store,
        lambda name: (1, 100_000),
        lambda: [WORKSPACE],
        lambda: 3,
        one.renewals.limits,
        one.renew,
        one.renewals.is_store_reachable,
    )
    manager.grants[WORKSPACE] = one.grant
    return manager


async def test_stopping_router_retries_returns_until_its_timeout() -> None:
    """Guards against giving up long before the timeout while writes are throttled.

    The tokens would stay granted until a successor of this router reclaims them.
    """
    history = RowHistory()
    one = router(history)
    await one.renewals.step()
    await one.grant.hold(1000, "r")
    one.grant.state.settle(1000, 400)
    manager = manager_of(one)
    one.store.faults.throttled = 6
    assert await manager.close(5.0)
    assert budget(history).budget.outstanding == 0


async def test_stopping_router_reports_grants_not_returned() -> None:
    history = RowHistory()
    one = router(history)
    await one.renewals.step()
    await one.grant.hold(1000, "r")
    manager = manager_of(one)
    one.store.faults.down = True
    assert not await manager.close(2.0)


async def test_stopping_router_draws_nothing_after_its_return() -> None:
    """Guards against periodic rounds that draw again after the return of a grant.

    The rounds continue until the process ends, so at each planned stop the tokens of a
    whole grant would stay granted.
    """
    history = RowHistory()
    one = router(history)
    await one.renew()
    await one.grant.hold(1000, "r")
    one.grant.state.settle(1000, 400)
    manager = manager_of(one)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(manager.run)
        await anyio.sleep(2.0)
        assert await manager.close(5.0)
        await anyio.sleep(2.0)
        tasks.cancel_scope.cancel()
    assert budget(history).budget.outstanding == 0


@pytest.mark.parametrize("late", ["stock", "request"])
async def test_grant_opened_during_the_return_draws_nothing(late: str) -> None:
    """Guards against draws of a grant that is opened while a router returns its grants.

    The grant is opened by a request, or by the task that opens grants ahead of
    requests.  The return covers only grants that were open when it began, so the tokens
    of the new grant would stay granted.
    """
    history = RowHistory()
    one = router(history)
    await one.renew()
    await one.grant.hold(1000, "r")
    manager = manager_of(one)
    manager.workspaces = lambda: [WORKSPACE, "blue"]
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(manager.run)
        one.store.faults.down = True
        tasks.start_soon(manager.close, 30.0)
        await anyio.sleep(10.0)
        if late == "request":
            assert manager.grant("blue") is not None
        one.store.faults.down = False
        await one.renew()
        await anyio.sleep(10.0)
        tasks.cancel_scope.cancel()
    row = history.rows.get(budget_row_key("blue"))
    assert row is None or from_json(row.value, PrepaidRow).budget.outstanding == 0


async def test_grant_opened_after_the_return_draws_nothing() -> None:
    """Guards against draws of a grant that is opened after the return of all grants.

    Nothing would return its tokens: the return is over, and a stop that returned all
    grants removes the row of limits, without which no successor can reclaim them.
    """
    history = RowHistory()
    one = router(history)
    await one.renew()
    manager = manager_of(one)
    del manager.grants[WORKSPACE]
    async with anyio.create_task_group() as tasks:
        assert await manager.close(5.0)
        tasks.start_soon(manager.run)
        await anyio.sleep(30.0)
        late = manager.grant(WORKSPACE)
        assert late is not None
        with pytest.raises(BudgetUnreachableError):
            await late.hold(1000, "r")
        tasks.cancel_scope.cancel()
    assert budget(history).budget.outstanding == 0


async def test_stopping_router_reclaims_nothing() -> None:
    """Guards against a reclaim after a stopping router has returned its own grant.

    Nothing would return the reclaimed tokens.  The router is stopped before it has
    reclaimed its predecessor's grant.
    """
    history = RowHistory()
    two = await successor_of_killed(history)
    [before] = two.renewals.unreclaimed
    left = budget(history).budget.outstanding
    manager = manager_of(two)
    assert await manager.close(5.0)
    assert not await manager.reclaim(before)
    one, other = grants(history)["vm-1.a"], grants(history).get("vm-1.b")
    assert one.returned == 0
    assert other is None or other.drawn == other.returned
    assert budget(history).budget.outstanding == left


async def test_stop_waits_for_a_running_reclaim() -> None:
    """Guards against a return that misses tokens reclaimed at the same time."""
    history = RowHistory()
    two = await successor_of_killed(history)
    [before] = two.renewals.unreclaimed
    manager = manager_of(two)
    two.store.faults.answer_delay = 0.05
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(manager.reclaim, before)
        await anyio.sleep(0.01)
        assert await manager.close(5.0)
    other = grants(history)["vm-1.b"]
    assert other.drawn == other.returned > 0


DAMAGED: list[Json] = [None, [], "x", {"budget": 7}, {"budget": {"prepaid": "many"}}]


@pytest.mark.parametrize("value", DAMAGED)
async def test_damaged_budget_row_affects_only_its_workspace(value: Json) -> None:
    """Guards against an invalid budget row that ends the rounds for all budgets.

    Another client writes the row.  An error in decoding it must be handled like a store
    error.
    """
    history = RowHistory()
    one = router(history)
    await one.renewals.step()
    history.apply(Transaction((), (Put(budget_row_key(WORKSPACE), value),)))
    manager = manager_of(one)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(manager.run)
        await anyio.sleep(2.0)
        with pytest.raises(BudgetUnreachableError):
            await one.grant.hold(1000, "r")
        history.apply(Transaction((), (Delete(budget_row_key(WORKSPACE)),)))
        await anyio.sleep(2.0)
        await one.grant.hold(1000, "r")
        tasks.cancel_scope.cancel()


async def test_failing_grant_does_not_prevent_other_returns(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an unexpected error in one grant that ends the whole stop.

    The other grants would not be returned, and open requests would be aborted.
    """
    history = RowHistory()
    one = router(history)
    await one.renew()
    await one.grant.hold(1000, "r")
    one.grant.state.settle(1000, 400)
    manager = manager_of(one)
    manager.workspaces = lambda: [WORKSPACE, "blue"]
    blue = manager.grant("blue")
    assert blue is not None
    close = WorkspaceGrant.close

    async def broken(self: WorkspaceGrant) -> None:
        if self is blue:
            raise KeyError("blue")
        await close(self)

    monkeypatch.setattr(WorkspaceGrant, "close", broken)
    counted: list[tuple[str, str]] = []
    before = anyio.current_time()
    async with anyio.create_task_group() as tasks:
        supervisor = Supervisor(tasks, lambda *what: counted.append(what), lambda: None)
        manager.guard = partial(supervisor.guard, "return")
        assert not await manager.close(5.0)
    assert anyio.current_time() - before < 1.0
    assert budget(history).budget.outstanding == 0
    assert counted == [("return", "ends alone")]
