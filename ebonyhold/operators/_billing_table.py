"""Budgets and bills, read from and written to the platform's table."""

from __future__ import annotations

from attrs import frozen

from ebonyhold.coordination import (
    BUDGET_PREFIX,
    GRANT_PREFIX,
    BudgetRow,
    RequestRow,
    Row,
    Table,
    budget_key,
    from_json,
    request_key,
)
from ebonyhold.exceptions import BudgetError
from ebonyhold.money import refund, rule_on_request, top_up, verify_bills
from ebonyhold.operators._interface import (
    Bill,
    BillPage,
    Budget,
    Discrepancy,
    Verification,
)
from ebonyhold.scans import scan_rows
from ebonyhold.types import RequestId, Tokens, WorkspaceName

BUDGETS_PER_READ = 200
"""Maximum number of budget rows in one read of the table."""


@frozen
class BillingTable:
    """Implements `BudgetSource` and `BillSource` on a table."""

    table: Table

    async def budgets(
        self, workspaces: tuple[WorkspaceName, ...]
    ) -> tuple[Budget, ...]:
        """Return the budget of each workspace, all zeros if it has no row."""
        found: list[Budget] = []
        for first in range(0, len(workspaces), BUDGETS_PER_READ):
            names = workspaces[first : first + BUDGETS_PER_READ]
            rows = await self.table.read(tuple(budget_key(name) for name in names))
            found.extend(map(budget_of, names, rows))
        return tuple(found)

    async def top_up(
        self, workspace: WorkspaceName, key: str, amount: Tokens, operator: str
    ) -> Budget:
        """Add prepaid tokens once per key, and return the new budget.

        Raises:
            BudgetError: The key was used for another amount.
        """
        try:
            await top_up(self.table, workspace, key, amount, operator)
        except ValueError as error:
            raise BudgetError(str(error)) from error
        return (await self.budgets((workspace,)))[0]

    async def refund(
        self,
        workspace: WorkspaceName,
        key: str,
        request: RequestId,
        amount: Tokens,
        operator: str,
    ) -> Budget:
        """Refund billed tokens once per key, and return the new budget.

        Raises:
            BudgetError: The request has no bill, the amount exceeds what is left
                of its charge, or the key was used for another refund.
        """
        try:
            await refund(self.table, workspace, request, key, amount, operator)
        except ValueError as error:
            raise BudgetError(str(error)) from error
        return (await self.budgets((workspace,)))[0]

    async def bills(self, workspace: WorkspaceName, after: str, limit: int) -> BillPage:
        """Return a page of a workspace's bills and claims, ordered by request id."""
        prefix = request_key(workspace, "")
        last = request_key(workspace, after) if after else ""
        rows = await self.table.scan(prefix, last, limit)
        bills = tuple(
            Bill(
                workspace,
                row.key.removeprefix(prefix),
                from_json(row.value, RequestRow),
            )
            for row in rows
        )
        return BillPage(bills, bills[-1].request if len(rows) == limit else "")

    async def rule(
        self, workspace: WorkspaceName, request: RequestId, *, ran: bool
    ) -> None:
        """Record whether a request with an unknown outcome ran, and settle its bill.

        Raises:
            BudgetError: There is no such bill, its outcome is known and different,
                or a charge to be removed was partly refunded.
        """
        try:
            await rule_on_request(self.table, workspace, request, ran=ran)
        except ValueError as error:
            raise BudgetError(str(error)) from error

    async def verify(self, workspaces: tuple[WorkspaceName, ...]) -> Verification:
        """Check the budgets of these workspaces, or all if none is given.

        All budgets, top-ups, grants, bills and refunds are read in both cases.
        """
        wanted = set(workspaces)
        found = [
            Discrepancy(workspace_of(each.key), each.finding, each.expected, each.found)
            for each in await verify_bills(self.table)
            if not wanted or workspace_of(each.key) in wanted
        ]
        count = len(wanted) or await self.count_budgets()
        return Verification(count, tuple(found))

    async def count_budgets(self) -> int:
        """Return the number of budget rows in the table."""
        return len([row async for row in scan_rows(self.table, BUDGET_PREFIX)])


def budget_of(workspace: WorkspaceName, row: Row | None) -> Budget:
    """Return the budget in a row, or one of all zeros if there is no row."""
    value = BudgetRow() if row is None else from_json(row.value, BudgetRow)
    return Budget(workspace, value.prepaid, value.outstanding, value.spent)


def workspace_of(key: str) -> WorkspaceName:
    """Return the workspace in the key of a row.

    >>> workspace_of("grant/r.1/w"), workspace_of("request/w/q")
    ('w', 'w')
    """
    rest = key.partition("/")[2]
    if key.startswith(GRANT_PREFIX):
        rest = rest.partition("/")[2]
    return rest.partition("/")[0]
