"""What recovery leaves open can be seen and settled."""

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
def test_a_run_that_nobody_can_tell_about(charge: int | None, spent: int) -> None:
    """An operator settles a run whose engine is gone.

    A workspace's tokens stay out of reach for ever: its router died with a
    stream open, the engine died with it, and the document says to wait.  The
    operator sees the run, says what it cost, and the rest of the hold returns.
    """

    async def story(fleet: MemoryFleet) -> None:
        await fleet.top_up("w", PREPAID, "t")
        treasury = await fleet.start("a.1")
        permit = await treasury.begin(order("w", "q", HOLD))
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
            await story(MemoryFleet(tasks, policy))
            tasks.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
