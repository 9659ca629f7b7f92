"""The two rows of a budget that one router changes, as the store has them."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import anyio
from attrs import define, evolve

from ebonyhold.coordination import GrantLedger, GrantRow, Row, read_row
from ebonyhold.exceptions import ConflictError
from ebonyhold.prepaid._types import (
    Change,
    Committed,
    Known,
    PrepaidRow,
    PrepaidStore,
    budget_row_key,
    grant_row_key,
)
from ebonyhold.types import RouterId, Seconds, Tokens, WorkspaceName

REREAD_AFTER: Seconds = 0.2
"""How old the budget may be when a request needs more than it showed.

Every refused request would else cost two calls; five readings a second for each
workspace follow what other routers return closely enough.
"""

STALE_AFTER: Seconds = 0.3
"""How old the budget may be, for each router, by whose level a grant is kept.

Others that need tokens show there only; older, a grant that is not needed stays.  So
all routers together read each budget some three times a second, however many they are.
"""

LEAST_SHARERS = 10
"""The routers that are counted at least; fewer need not read more often than in 3 s."""

TRUST: Seconds = 2.0
"""How old the budget may be that a final refusal rests on.

Tokens come back to a budget when others return grants or it is topped up; an
older reading could refuse for good what would be granted now.
"""


@define(eq=False)
class Books:
    """Reads both rows and remembers them with their versions.

    Attributes:
        workspace: Whose budget.
        router: Whose grant; nobody else writes its row while it lives.
        store: Where both are kept.
        routers: Returns how many routers share the budget.
        known: Both rows; None before the first reading and after a lost race whose
            answer did not hold them.
        checked_at: When the budget was last confirmed by the store.
    """

    workspace: WorkspaceName
    router: RouterId
    store: PrepaidStore
    routers: Callable[[], int]
    known: Known | None = None
    checked_at: Seconds = -1e9

    @property
    def budget_key(self) -> str:
        """Return the key of the budget."""
        return budget_row_key(self.workspace)

    @property
    def grant_key(self) -> str:
        """Return the key of this router's grant."""
        return grant_row_key(self.workspace, self.router)

    def age(self) -> Seconds:
        """Return the time since the budget was last confirmed."""
        return anyio.current_time() - self.checked_at

    def surely_spent(
        self, amount: Tokens, ledger: GrantLedger, prepaid: Tokens
    ) -> bool:
        """Tell whether the budget cannot cover a request, whoever holds what.

        Grants of other routers may come back, so only what is filed as spent
        counts against the budget here.  Charges that are not filed yet make the
        budget look fuller than it is, which costs the caller one more try.

        Args:
            amount: What the request can cost.
            ledger: What this router holds.
            prepaid: What is prepaid in all.  The row may not say so yet, or may not be
                there yet, where the configuration has just named it.
        """
        if self.known is None or self.age() > TRUST:
            return False
        budget = evolve(self.known.budget.budget, prepaid=prepaid)
        unspent = budget.prepaid - budget.spent
        if amount > unspent:
            return True
        if budget.remaining + ledger.available >= amount:
            return False
        return unspent - ledger.unfiled < amount

    async def confirm(self, need: Tokens, *, holding: bool) -> None:
        """Make sure that both rows are known, and the budget recently enough.

        Args:
            need: Tokens that a waiting request lacks.
            holding: Whether this router has tokens that others may need.

        Raises:
            UnavailableError: The store cannot be reached.
        """
        if self.known is None:
            await self.read()
        elif self.is_outdated(self.known, need, holding):
            rows = await self.store.scan(self.budget_key)
            fresh = self.decode(rows)
            self.remember(
                evolve(
                    self.known,
                    budget=fresh.budget,
                    budget_version=fresh.budget_version,
                )
            )

    def is_outdated(self, known: Known, need: Tokens, holding: bool) -> bool:
        """Tell whether the budget must be read again before it is decided on."""
        if need > known.budget.budget.remaining:
            return self.age() > REREAD_AFTER
        return holding and self.age() > STALE_AFTER * max(LEAST_SHARERS, self.routers())

    async def read(self) -> Known:
        """Read both rows.

        Raises:
            UnavailableError: The store cannot be reached.
        """
        budget_rows = await self.store.scan(self.budget_key)
        grant_rows = await self.store.scan(self.grant_key)
        return self.remember(self.decode([*budget_rows, *grant_rows]))

    def remember(self, known: Known) -> Known:
        """Take rows that the store has just confirmed."""
        self.known = known
        self.checked_at = anyio.current_time()
        return known

    def decode(self, rows: Iterable[object]) -> Known:
        """Read both rows from those that the store sent."""
        known = Known()
        for row in rows:
            if not isinstance(row, Row):
                continue
            if row.key == self.budget_key:
                budget = read_row(row, PrepaidRow)
                known = evolve(known, budget=budget, budget_version=row.version)
            elif row.key == self.grant_key:
                grant = read_row(row, GrantRow)
                known = evolve(known, grant=grant, grant_version=row.version)
        return known

    def lost_race(self, conflict: ConflictError) -> None:
        """Take both rows from a conflict's answer; else they are read again.

        Many routers write one budget, and two more calls for each lost race would
        make the next one more likely.
        """
        known = self.decode(conflict.rows)
        self.known = None
        if known.budget_version and known.grant_version:
            self.remember(known)

    def written(self, change: Change, committed: Committed) -> None:
        """Take both rows from a change that took effect."""
        version = committed.version
        if change.writes_budget:
            self.remember(
                evolve(change.after, budget_version=version, grant_version=version)
            )
        elif self.known is not None:
            grant = change.after.grant
            self.known = evolve(self.known, grant=grant, grant_version=version)
