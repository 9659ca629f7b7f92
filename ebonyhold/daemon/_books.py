"""Budgets and bills in the table, for the operators' interface."""

from __future__ import annotations

from attrs import frozen

from ebonyhold.coordination import (
    REQUEST_PREFIX,
    BudgetRow,
    RequestRow,
    Table,
    budget_key,
    from_json,
)
from ebonyhold.money import refund, top_up, verify_bills
from ebonyhold.operators import Bill, BillPage, Budget, Discrepancy, Verification
from ebonyhold.scans import scan_rows
from ebonyhold.types import RequestId, Tokens, WorkspaceName


@frozen
class Books:
    """The table's budgets and bills; it keeps nothing itself."""

    table: Table

    async def budgets(
        self, workspaces: tuple[WorkspaceName, ...]
    ) -> tuple[Budget, ...]:
        """Return budgets; a workspace without a row has all zeros.

        Raises:
            UnavailableError: The table cannot be reached.
        """
        rows = await self.table.read(tuple(budget_key(name) for name in workspaces))
        values = [from_json(row.value, BudgetRow) if row else None for row in rows]
        return tuple(
            as_budget(name, value)
            for name, value in zip(workspaces, values, strict=True)
        )

    async def top_up(
        self, workspace: WorkspaceName, key: str, amount: Tokens, operator: str
    ) -> Budget:
        """Add prepaid tokens; the same key adds them once.

        Raises:
            PlatformError: The table did not answer; repeat it with the same key.
            KeyReusedError: The key was used for another amount.
        """
        await top_up(self.table, workspace, key, amount, operator)
        return (await self.budgets((workspace,)))[0]

    async def refund(
        self,
        workspace: WorkspaceName,
        key: str,
        request: RequestId,
        amount: Tokens,
        operator: str,
    ) -> Budget:
        """Give billed tokens back; the same key gives them back once.

        Raises:
            PlatformError: The table did not answer; repeat it with the same key.
            KeyReusedError: The key was used for another amount.
            BudgetError: The request was not billed as much.
        """
        await refund(self.table, workspace, request, key, amount, operator)
        return (await self.budgets((workspace,)))[0]

    async def bills(self, workspace: WorkspaceName, after: str, limit: int) -> BillPage:
        """Return a page of a workspace's bills, in the order of their requests.

        Raises:
            UnavailableError: The table cannot be reached.
        """
        prefix = f"{REQUEST_PREFIX}{workspace}/"
        start = f"{prefix}{after}" if after else ""
        rows = await self.table.scan(prefix, start, limit)
        bills = tuple(
            Bill(
                workspace,
                row.key.removeprefix(prefix),
                from_json(row.value, RequestRow),
            )
            for row in rows
        )
        return BillPage(bills, bills[-1].request if len(rows) == limit else "")

    async def verify(self, workspaces: tuple[WorkspaceName, ...]) -> Verification:
        """Check that all bills add up to the budgets.

        Raises:
            UnavailableError: The table cannot be reached.
        """
        found = await verify_bills(self.table)
        bills = 0
        for workspace in workspaces:
            async for _ in scan_rows(self.table, f"{REQUEST_PREFIX}{workspace}/"):
                bills += 1
        discrepancies = tuple(
            Discrepancy(
                workspace_of(one.key),
                one.finding,
                f"{one.key}: expected {one.expected}, found {one.found}",
            )
            for one in found
        )
        return Verification(len(workspaces), bills, discrepancies)


def as_budget(name: WorkspaceName, row: BudgetRow | None) -> Budget:
    """Turn a row into what operators see."""
    if row is None:
        return Budget(name, 0, 0, 0)
    return Budget(name, row.prepaid, row.outstanding, row.spent)


def workspace_of(key: str) -> WorkspaceName:
    """Return the workspace in a row's key, or the whole key when it has none.

    >>> workspace_of("request/dawn-patrol/q1")
    'dawn-patrol'
    """
    parts = key.split("/")
    return parts[2] if parts[0] == "grant" and len(parts) > 2 else parts[1]
