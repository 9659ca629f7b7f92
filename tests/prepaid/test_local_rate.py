"""Routers that get many requests of one workspace keep tokens of their own."""

from __future__ import annotations

import anyio
import pytest
from attrs import define

from ebonyhold.exceptions import BudgetUnreachableError
from ebonyhold.prepaid import GrantManager, HoldOutcome, WantedHold
from ebonyhold.prepaid._local_rate import (
    FEW_REQUESTS,
    MANY_REQUESTS,
    LocalRates,
)
from ebonyhold.standins import RowHistory
from tests.prepaid.kit import WORKSPACE, Router, budget, router
from tests.prepaid.test_grant_manager import manager_of
from tests.virtual import anyio_backend

pytestmark = pytest.mark.anyio
__all__ = ["anyio_backend"]


@pytest.mark.parametrize(
    ("rate", "many"),
    [(1.0, False), (MANY_REQUESTS * 0.8, False), (MANY_REQUESTS * 1.5, True)],
)
def test_few_routers_get_many_requests(rate: float, many: bool) -> None:
    """A router with the usual requests must not split a budget further."""
    rates = LocalRates()
    for number in range(int(20 * rate)):
        rates.record(WORKSPACE, number / rate)
    assert rates.has_many(WORKSPACE, 20.0) is many
    assert not rates.has_many("other", 20.0)


def test_router_has_many_requests_until_few_are_left() -> None:
    """A rate between both limits must not make a router draw and return in turn."""
    rates = LocalRates()
    states = set()
    now = 0.0
    for rate in (2 * MANY_REQUESTS, (FEW_REQUESTS + MANY_REQUESTS) / 2):
        for _ in range(int(10 * rate)):
            now += 1 / rate
            rates.record(WORKSPACE, now)
        states.add(rates.has_many(WORKSPACE, now))
    assert states == {True}
    assert not rates.has_many(WORKSPACE, now + 10.0)


@define(eq=False)
class CutOffHolders:
    """Holders that do not answer, as over a network link that is full."""

    asked: int = 0

    async def hold(self, peer: str, wanted: WantedHold) -> HoldOutcome:
        """Return that the holder is unavailable, after the usual timeout."""
        self.asked += 1
        await anyio.sleep(0.4)
        return HoldOutcome.UNAVAILABLE

    def settle(self, peer: str, hold: str, charge: int) -> None:
        """Do nothing."""


def large_fleet(one: Router, holders: CutOffHolders) -> GrantManager:
    """Return the grant manager of a router that is no holder of the workspace."""
    manager = manager_of(one)
    manager.holders = holders
    others = [f"vm-{number}" for number in range(2, 40)]
    manager.holder_table.choose = lambda workspace, fleet: others[:6]
    manager.holder_table.router = "vm-1"
    manager.holder_table.update(dict.fromkeys(others, "a"))
    one.grant.is_holder = lambda: manager.is_holder(WORKSPACE)
    return manager


async def ask(manager: GrantManager, number: int, late: list[float]) -> None:
    """Hold tokens for one request, settle them, and record how long that took."""
    began_at = anyio.current_time()
    hold = manager.open_hold(WORKSPACE)
    assert hold is not None
    try:
        await hold.hold(100, f"r{number}")
    except BudgetUnreachableError:
        late.append(float("inf"))
        return
    late.append(anyio.current_time() - began_at)
    hold.settle(100, 10)


async def test_surge_at_one_router_needs_no_other_router() -> None:
    """Requests of a large caller must not wait for holders behind a full link."""
    history = RowHistory()
    one = router(history)
    await one.renewals.step()
    manager, taken = large_fleet(one, holders := CutOffHolders()), list[float]()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(manager.run)
        async with anyio.create_task_group() as callers:
            for number in range(200):
                callers.start_soon(ask, manager, number, taken)
                await anyio.sleep(1 / 60)
        in_time = sum(each < 0.1 for each in taken)
        assert in_time >= 0.7 * len(taken)
        assert holders.asked < 0.3 * 3 * len(taken)
        await anyio.sleep(20.0)
        tasks.cancel_scope.cancel()
    # Nothing stays granted here once the surge is over.
    assert budget(history).budget.outstanding == 0


async def test_holders_are_asked_when_the_own_grant_does_not_suffice() -> None:
    """A surge that exceeds a router's own tokens must not be refused for it."""
    one = router(RowHistory())
    await one.renewals.step()
    manager = large_fleet(one, holders := CutOffHolders())
    for _ in range(100):
        manager.rates.record(WORKSPACE, anyio.current_time())
    one.store.faults.down = True
    await one.renew()
    await one.renew()
    taken: list[float] = []
    await ask(manager, 1, taken)
    assert holders.asked == 3
