"""Tests of budgets and bills read from and written to the table."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
import pytest

from ebonyhold.coordination import (
    BudgetRow,
    RequestKind,
    RequestRow,
    RequestState,
    budget_key,
    request_key,
    to_json,
)
from ebonyhold.exceptions import BudgetError
from ebonyhold.operators import BillingTable, Budget
from ebonyhold.standins import MemoryTable

pytestmark = pytest.mark.anyio


def billed(charge: int) -> RequestRow:
    """Return the row of a complete request with a charge in tokens."""
    return RequestRow(
        RequestState.COMPLETE, RequestKind.CHAT, "r.1", "a", "e", "d", charge,
        filed_at=1.0,
    )  # fmt: skip


@pytest.fixture
def anyio_backend() -> str:
    return "trio"


@pytest.fixture
async def accounts() -> BillingTable:
    """Return workspace w: 100 tokens prepaid, q1 billed at 10 and q2 at 20."""
    table = MemoryTable()
    found = BillingTable(table)
    await found.top_up("w", "first", 100, "ana")
    table.put(budget_key("w"), to_json(BudgetRow(100, 0, 30)))
    for name, charge in (("q1", 10), ("q2", 20)):
        table.put(request_key("w", name), to_json(billed(charge)))
    return found


async def test_budgets(accounts: BillingTable) -> None:
    """A workspace without a budget row has a budget of all zeros."""
    assert await accounts.budgets(("w", "new")) == (
        Budget("w", 100, 0, 30),
        Budget("new", 0, 0, 0),
    )


async def test_pages_of_bills(accounts: BillingTable) -> None:
    """A page that is not full has no next page."""
    page = await accounts.bills("w", "", 1)
    assert ([each.request for each in page.bills], page.next_after) == (["q1"], "q1")
    page = await accounts.bills("w", page.next_after, 2)
    assert ([each.request for each in page.bills], page.next_after) == (["q2"], "")


async def test_refund_is_made_once_per_key(accounts: BillingTable) -> None:
    """A repeated refund with the same key must not give the tokens back twice."""
    for _ in range(2):
        budget = await accounts.refund("w", "k", "q1", 4, "ana")
        assert budget.spent == 26
    assert (await accounts.verify(("w",))).discrepancies == ()


async def test_verify_reports_discrepancies(accounts: BillingTable) -> None:
    """A wrong sum is reported, but not if only another workspace is checked."""
    assert isinstance(accounts.table, MemoryTable)
    accounts.table.put(budget_key("w"), to_json(BudgetRow(100, 0, 25)))
    (found,) = (await accounts.verify(("w",))).discrepancies
    assert (found.workspace, found.expected, found.found) == ("w", 30, 25)
    assert (await accounts.verify(("other",))).discrepancies == ()


@pytest.mark.parametrize(
    "change",
    [
        lambda accounts: accounts.top_up("w", "first", 99, "ana"),
        lambda accounts: accounts.refund("w", "k", "q1", 11, "ana"),
        lambda accounts: accounts.refund("w", "k", "none", 1, "ana"),
    ],
)
async def test_invalid_changes_are_refused(
    accounts: BillingTable, change: Callable[[BillingTable], Awaitable[Budget]]
) -> None:
    """A reused key, too large a refund and a refund without a bill are refused."""
    with pytest.raises(BudgetError):
        await change(accounts)


def test_verify_without_names_checks_all_rows() -> None:
    """Discrepancies of workspaces removed from the document must be reported.

    They are missed if ``bill verify`` checks only the workspaces of the document in
    force, since a removed workspace keeps its rows.
    """

    async def verify_all() -> tuple[int, list[str]]:
        table = MemoryTable()
        table.put(budget_key("taken-out"), to_json(BudgetRow(0, 0, 7)))
        found = await BillingTable(table).verify(())
        return found.workspaces, [each.workspace for each in found.discrepancies]

    count, workspaces = anyio.run(verify_all, backend="trio")
    assert count == 1
    assert set(workspaces) == {"taken-out"}
