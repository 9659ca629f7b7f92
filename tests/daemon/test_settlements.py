"""Operators can list and settle runs that recovery leaves open."""

from __future__ import annotations

import anyio
import pytest
import trio
import trio.testing

from ebonyhold.coordination import BudgetRow
from ebonyhold.daemon._settlements import Settlements
from ebonyhold.document import Policy, UnknownOutcome
from ebonyhold.exceptions import BudgetError
from ebonyhold.experiments._memory_fleet import MemoryFleet, order
from ebonyhold.money import Permit, verify_bills

PREPAID = 1000
HOLD = 100


@pytest.mark.parametrize(("charge", "spent"), [(40, 40), (0, 0), (None, 0)])
def test_run_with_unknown_outcome(charge: int | None, spent: int) -> None:
    """Guards against tokens of a workspace that are held forever.

    A router and the engine of its open request both fail, and the policy is to wait
    for the outcome. An operator lists the run and settles it with a charge, and the
    rest of its hold returns to the budget.
    """

    async def scenario(fleet: MemoryFleet) -> None:
        await fleet.top_up("w", PREPAID, "t")
        manager = await fleet.start("a.1")
        permit = await manager.begin(order("w", "q", HOLD))
        assert isinstance(permit, Permit)
        fleet.engine.down = True
        fleet.kill("a.1")
        settlements = Settlements(fleet.table, lambda: fleet.recovery("s.1"))
        assert await settlements.open_runs() == ()
        await fleet.recover("a.1")
        (run,) = await settlements.open_runs()
        assert (run.router, run.request, run.hold) == ("a.1", "q", HOLD)
        assert fleet.budget("w") == BudgetRow(PREPAID, HOLD, 0)
        with pytest.raises(BudgetError):
            await settlements.settle("a.1", "a.1~9~1", 1)
        await settlements.settle(run.router, run.attempt, charge)
        assert fleet.budget("w") == BudgetRow(PREPAID, 0, spent)
        assert await settlements.open_runs() == ()
        assert await verify_bills(fleet.table) == []
        with pytest.raises(BudgetError):
            await settlements.settle(run.router, run.attempt, charge)

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            policy = Policy(unknown_outcome=UnknownOutcome.WAIT)
            await scenario(MemoryFleet(tasks, policy))
            tasks.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
