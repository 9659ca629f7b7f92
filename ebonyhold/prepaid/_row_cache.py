"""Cached budget and grant rows of one workspace at one router."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import anyio
from attrs import astuple, define, evolve

from ebonyhold.coordination import GrantLedger, GrantRow, Row, read_row
from ebonyhold.exceptions import ConflictError, DamagedRowError
from ebonyhold.prepaid._types import (
    Change,
    Committed,
    GrantRows,
    PrepaidRow,
    PrepaidStore,
    budget_row_key,
    grant_row_key,
)
from ebonyhold.types import RouterId, Seconds, Tokens, WorkspaceName

REREAD_INTERVAL: Seconds = 0.2
"""Minimum time between two reads of a budget that has too few tokens left to draw.

Otherwise each refused request would cost two store calls.  Five reads a second for
each workspace are enough to notice tokens that other routers return.
"""

MAX_AGE_PER_SHARER: Seconds = 0.3
"""Maximum age of the cached budget, per sharing router, if tokens are available here.

Only the budget row shows that other routers need tokens; a router with an older copy
keeps tokens that they need.  Because the maximum age grows with the number of sharing
routers, all of them together read a budget about three times a second.
"""

MIN_SHARERS = 10
"""Lower bound of the number by which `MAX_AGE_PER_SHARER` is multiplied.

With fewer sharing routers the maximum age is still 3 s.
"""

MAX_REFUSAL_AGE: Seconds = 2.0
"""Maximum age of a cached budget that may justify a final refusal.

Other routers return tokens and operators top budgets up, so with an older copy a router
might finally refuse a request that the budget can now cover.
"""


MAX_NUMBER = 2**63 - 1
"""The largest number in a row; larger ones may be too large for a float."""


def read_budget(row: Row) -> PrepaidRow:
    """Decode a budget row.

    Raises:
        DamagedRowError: No router has written it, for example because it names no
            version of the configuration. If missing numbers counted as 0, tokens that
            are spent could be drawn again.
    """
    found = read_row(row, PrepaidRow)
    budget = found.budget
    check_numbers(row, found.rules_version - 1, budget.spent, abs(budget.prepaid))
    if budget.outstanding >= 0:
        check_numbers(row, budget.outstanding)
        return found
    # Routers return tokens into a row that was replaced while they had them.
    check_numbers(row, budget.prepaid + budget.outstanding)
    return evolve(found, budget=evolve(budget, outstanding=0))


def read_grant(row: Row) -> GrantRow:
    """Decode a grant row.

    Raises:
        DamagedRowError: No router has written it.
    """
    found = read_row(row, GrantRow)
    check_numbers(row, *astuple(found))
    return found


def check_numbers(row: Row, *numbers: int) -> None:
    """Check numbers of a row.

    Raises:
        DamagedRowError: One is negative or too large.
    """
    if not all(0 <= number <= MAX_NUMBER for number in numbers):
        raise DamagedRowError(f"{row.key}: a number is out of range")


@define(eq=False)
class GrantRowCache:
    """Reads the budget and grant rows and caches them with their versions.

    Attributes:
        workspace: The workspace that owns the budget.
        router: The router that owns the grant.  While it runs, no other router
            writes its grant row.
        store: The store of both rows.
        routers: Returns how many routers share the budget.
        rows: Both rows; None before the first read, and after a conflict response
            that did not contain both.
        checked_at: When the budget row was last read or written (monotonic clock).
    """

    workspace: WorkspaceName
    router: RouterId
    store: PrepaidStore
    routers: Callable[[], int]
    rows: GrantRows | None = None
    checked_at: Seconds = -1e9

    @property
    def budget_key(self) -> str:
        """Key of the budget row."""
        return budget_row_key(self.workspace)

    @property
    def grant_key(self) -> str:
        """Key of this router's grant row."""
        return grant_row_key(self.workspace, self.router)

    def age(self) -> Seconds:
        """Return the time since the budget row was last read or written."""
        return anyio.current_time() - self.checked_at

    def is_exhausted(
        self, amount: Tokens, ledger: GrantLedger, prepaid: Tokens
    ) -> bool:
        """Return whether a request exceeds the budget even if all grants are returned.

        Other routers may return their grants, so only filed charges and this router's
        own unfiled ones count as spent.  The unfiled charges of other routers are not
        known here, so the result may be False for an exhausted budget; the refused
        request may then be retried.  The result is also False if the cached budget is
        unknown or too old to decide.

        Args:
            amount: Maximum cost of the request.
            ledger: This router's ledger.
            prepaid: Prepaid tokens in the current configuration.  The stored row may
                be older, or missing if the workspace is new.
        """
        if self.rows is None or self.age() > MAX_REFUSAL_AGE:
            return False
        budget = evolve(self.rows.budget.budget, prepaid=prepaid)
        unspent = budget.prepaid - budget.spent
        if amount > unspent:
            return True
        if budget.remaining + ledger.available >= amount:
            return False
        return unspent - ledger.unfiled < amount

    async def refresh(self, need: Tokens, *, holding: bool) -> None:
        """Read both rows if they are unknown, or the budget row if it is too old.

        Args:
            need: Tokens that waiting requests lack.
            holding: Whether this router has available tokens that others may need.

        Raises:
            UnavailableError: The store cannot be reached.
        """
        if self.rows is None:
            await self.read()
        elif self.is_outdated(self.rows, need, holding):
            rows = await self.store.scan(self.budget_key)
            latest = self.decode(rows)
            self.update(
                evolve(
                    self.rows,
                    budget=latest.budget,
                    budget_version=latest.budget_version,
                )
            )

    def is_outdated(self, rows: GrantRows, need: Tokens, holding: bool) -> bool:
        """Return whether the cached budget is too old, given the tokens needed here."""
        if need > rows.budget.budget.remaining:
            return self.age() > REREAD_INTERVAL
        return holding and self.age() > MAX_AGE_PER_SHARER * max(
            MIN_SHARERS, self.routers()
        )

    async def read(self) -> GrantRows:
        """Read both rows.

        Raises:
            UnavailableError: The store cannot be reached.
        """
        budget_rows = await self.store.scan(self.budget_key)
        grant_rows = await self.store.scan(self.grant_key)
        return self.update(self.decode([*budget_rows, *grant_rows]))

    def update(self, rows: GrantRows) -> GrantRows:
        """Cache rows that the store has just confirmed, and return them."""
        self.rows = rows
        self.checked_at = anyio.current_time()
        return rows

    def decode(self, stored: Iterable[object]) -> GrantRows:
        """Return the budget and grant rows found among stored rows.

        A row that is not found is empty and has version 0.
        """
        rows = GrantRows()
        for row in stored:
            if not isinstance(row, Row):
                continue
            if row.key == self.budget_key:
                budget = read_budget(row)
                rows = evolve(rows, budget=budget, budget_version=row.version)
            elif row.key == self.grant_key:
                grant = read_grant(row)
                rows = evolve(rows, grant=grant, grant_version=row.version)
        return rows

    def update_from_conflict(self, conflict: ConflictError) -> None:
        """Cache both rows of a conflict response; if one is missing, cache none.

        Many routers write the same budget.  Reading both rows after each conflict
        would take two more calls, and make the next conflict more likely.
        """
        rows = self.decode(conflict.rows)
        self.rows = None
        if rows.budget_version and rows.grant_version:
            self.update(rows)

    def update_from_commit(self, change: Change, committed: Committed) -> None:
        """Cache the rows that a committed change wrote."""
        version = committed.version
        if change.writes_budget:
            self.update(
                evolve(change.after, budget_version=version, grant_version=version)
            )
        elif self.rows is not None:
            grant = change.after.grant
            self.rows = evolve(self.rows, grant=grant, grant_version=version)
