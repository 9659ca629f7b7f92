"""Reading and writing the rows of one grant, one settlement at a time."""

from __future__ import annotations

import time
from collections.abc import Callable

from attrs import define, frozen

from ebonyhold.coordination import (
    Bill,
    BudgetRow,
    GrantRow,
    LedgerChange,
    Observed,
    RequestRow,
    Settlement,
    Table,
    budget_key,
    grant_key,
    observe_row,
    plan_settlement,
    router_key,
)
from ebonyhold.exceptions import ConflictError, SealedError, UnknownOutcomeError
from ebonyhold.money._journal import Journal
from ebonyhold.types import WorkspaceName


@frozen
class GrantRows:
    """The rows that one settlement reads."""

    budget: Observed[BudgetRow]
    grant: Observed[GrantRow]
    requests: dict[str, Observed[RequestRow]]


@define(eq=False)
class GrantWriter:
    """Makes the settlements of one grant, one after the other.

    Attributes:
        workspace: Name of the workspace.
        on_applied: Called once when a settlement has taken effect.
        on_discarded: Called once when a settlement can no longer take effect.
        budget: The budget as last read or written; None if it has no row or was not
            read.
        in_doubt: The planned settlement whose outcome is not known yet; None if there
            is none.
        reads_started: Number of reads started.
        last_read: Number of the latest read that succeeded; 0 before.
    """

    workspace: WorkspaceName
    journal: Journal
    table: Table
    on_applied: Callable[[Settlement], None]
    on_discarded: Callable[[Settlement], None]
    budget: BudgetRow | None = None
    in_doubt: Settlement | None = None
    reads_started: int = 0
    last_read: int = 0

    async def read(self, bills: tuple[Bill, ...] = ()) -> GrantRows:
        """Read the budget, the grant and the rows of some bills.

        Raises:
            UnavailableError: The table could not be reached.
            SealedError: This incarnation was sealed.
        """
        owner = self.journal.self_id
        keys = (
            router_key(owner),
            budget_key(self.workspace),
            grant_key(owner, self.workspace),
            *(bill.key for bill in bills),
        )
        self.reads_started += 1
        number = self.reads_started
        router, budget, grant, *requests = await self.table.read(keys)
        if router is None or router.version != self.journal.router.version:
            raise SealedError(f"{owner} was sealed")
        rows = GrantRows(
            observe_row(keys[1], budget, BudgetRow),
            observe_row(keys[2], grant, GrantRow),
            {
                key: observe_row(key, row, RequestRow)
                for key, row in zip(keys[3:], requests, strict=True)
            },
        )
        self.budget = rows.budget.value
        self.last_read = number
        return rows

    def resolve(self, rows: GrantRows) -> bool:
        """Apply the settlement in doubt if it took effect; return whether it did.

        The sequence number of the grant's row shows whether the settlement took effect.
        """
        in_doubt = self.in_doubt
        grant = rows.grant.value or GrantRow()
        if in_doubt is None or grant.sequence < in_doubt.sequence:
            return False
        self._finish(in_doubt)
        return True

    def plan(self, rows: GrantRows, change: LedgerChange) -> Settlement:
        """Plan a settlement, and record it as in doubt until its outcome is known."""
        self.in_doubt = plan_settlement(
            self.journal.self_id,
            self.journal.router,
            rows.budget,
            rows.grant,
            rows.requests,
            change,
            time.time(),
        )
        return self.in_doubt

    async def commit(self, plan: Settlement) -> bool:
        """Commit a plan; return False if it is not known to have taken effect.

        A plan in doubt may be committed again. It checks the versions of the rows that
        it read, so it takes effect at most once. After a conflict, the grant's sequence
        number shows whether the earlier commit took effect.

        Raises:
            UnavailableError: The table could not be reached.
            SealedError: This incarnation was sealed.
        """
        if plan.returned:
            # The returned tokens may come from holds whose outcomes are not in the
            # journal yet. If the router crashed after the return, recovery would charge
            # these holds, though their tokens are back in the budget.
            await self.journal.flush()
        try:
            await self.table.commit(plan.transaction)
        except ConflictError:
            if self.resolve(await self.read()):
                return True
            # A row changed, and its version never recurs, so the plan can no longer
            # take effect.
            self.in_doubt = None
            self.on_discarded(plan)
            return False
        except UnknownOutcomeError:
            return False
        self._finish(plan)
        return True

    def _finish(self, plan: Settlement) -> None:
        self.in_doubt = None
        self.budget = plan.budget
        self.on_applied(plan)
