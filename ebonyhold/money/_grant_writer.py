"""Reading and writing one grant, one settlement at a time."""

from __future__ import annotations

import time
from collections.abc import Callable

from attrs import define, frozen

from ebonyhold.coordination import (
    Bill,
    BudgetRow,
    GrantRow,
    LedgerChange,
    RequestRow,
    Seen,
    Settlement,
    Table,
    budget_key,
    grant_key,
    plan_settlement,
    router_key,
    seen,
)
from ebonyhold.exceptions import ConflictError, SealedError, UnknownOutcomeError
from ebonyhold.money._journal import Journal
from ebonyhold.types import WorkspaceName


@frozen
class GrantRows:
    """The rows that one settlement rests on."""

    budget: Seen[BudgetRow]
    grant: Seen[GrantRow]
    requests: dict[str, Seen[RequestRow]]


@define(eq=False)
class GrantWriter:
    """Makes the settlements of one grant, one after the other.

    Attributes:
        workspace: Whose grant.
        took_effect: Called once for a settlement that took effect.
        dropped: Called once for a settlement that never will.
        budget: The budget as last read or written.
        doubt: The settlement that may or may not have taken effect yet.
        reads_begun: How many reads were begun.
        last_read: The number of the last read that was answered.
    """

    workspace: WorkspaceName
    journal: Journal
    table: Table
    took_effect: Callable[[Settlement], None]
    dropped: Callable[[Settlement], None]
    budget: BudgetRow | None = None
    doubt: Settlement | None = None
    reads_begun: int = 0
    last_read: int = 0

    async def read(self, bills: tuple[Bill, ...] = ()) -> GrantRows:
        """Read the budget, the grant and the rows of some bills.

        Raises:
            UnavailableError: The table could not be reached.
            SealedError: This incarnation is over.
        """
        me = self.journal.me
        keys = (
            router_key(me),
            budget_key(self.workspace),
            grant_key(me, self.workspace),
            *(bill.key for bill in bills),
        )
        self.reads_begun += 1
        number = self.reads_begun
        router, budget, grant, *requests = await self.table.read(keys)
        if router is None or router.version != self.journal.router.version:
            raise SealedError(f"{me} was sealed")
        rows = GrantRows(
            seen(keys[1], budget, BudgetRow),
            seen(keys[2], grant, GrantRow),
            {
                key: seen(key, row, RequestRow)
                for key, row in zip(keys[3:], requests, strict=True)
            },
        )
        self.budget = rows.budget.value
        self.last_read = number
        return rows

    def resolve(self, rows: GrantRows) -> bool:
        """Learn from the grant's sequence number whether a lost commit took effect."""
        doubt = self.doubt
        grant = rows.grant.value or GrantRow()
        if doubt is None or grant.sequence < doubt.sequence:
            return False
        self._end(doubt)
        return True

    def plan(self, rows: GrantRows, change: LedgerChange) -> Settlement:
        """Plan a settlement; it is in doubt until it is known to be over."""
        self.doubt = plan_settlement(
            self.journal.me,
            self.journal.router,
            rows.budget,
            rows.grant,
            rows.requests,
            change,
            time.time(),
        )
        return self.doubt

    async def commit(self, plan: Settlement) -> bool:
        """Commit a plan, perhaps for the second time; False when it did not count.

        A call whose answer was lost may still arrive.  It carries the versions
        of the rows that it read, so sending it again takes effect once at most;
        a conflict then says, by the grant's sequence number, which it was.

        Raises:
            UnavailableError: The table could not be reached.
            SealedError: This incarnation is over.
        """
        if plan.returned:
            # What goes back may have been set free by outcomes that only this
            # router knows; recovery must not charge a hold that has left.
            await self.journal.flush()
        try:
            await self.table.commit(plan.transaction)
        except ConflictError:
            if self.resolve(await self.read()):
                return True
            # A check failed, and a version never comes back: the plan is dead.
            self.doubt = None
            self.dropped(plan)
            return False
        except UnknownOutcomeError:
            return False
        self._end(plan)
        return True

    def _end(self, plan: Settlement) -> None:
        self.doubt = None
        self.budget = plan.budget
        self.took_effect(plan)
