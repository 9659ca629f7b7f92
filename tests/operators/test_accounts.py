"""Budgets and bills come from the table's rows."""

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
from ebonyhold.operators import Budget, TableAccounts
from ebonyhold.standins import MemoryTable

pytestmark = pytest.mark.anyio


def billed(charge: int) -> RequestRow:
    return RequestRow(
        RequestState.COMPLETE, RequestKind.CHAT, "r.1", "a", "e", "d", charge,
        filed_at=1.0,
    )  # fmt: skip


@pytest.fixture
def anyio_backend() -> str:
    return "trio"


@pytest.fixture
async def accounts() -> TableAccounts:
    table = MemoryTable()
    found = TableAccounts(table)
    await found.top_up("w", "first", 100, "ana")
    table.put(budget_key("w"), to_json(BudgetRow(100, 0, 30)))
    for name, charge in (("q1", 10), ("q2", 20)):
        table.put(request_key("w", name), to_json(billed(charge)))
    return found


async def test_budgets(accounts: TableAccounts) -> None:
    assert await accounts.budgets(("w", "new")) == (
        Budget("w", 100, 0, 30),
        Budget("new", 0, 0, 0),
    )


async def test_pages_of_bills(accounts: TableAccounts) -> None:
    page = await accounts.bills("w", "", 1)
    assert ([each.request for each in page.bills], page.next_after) == (["q1"], "q1")
    page = await accounts.bills("w", page.next_after, 2)
    assert ([each.request for each in page.bills], page.next_after) == (["q2"], "")


async def test_a_refund_is_made_once(accounts: TableAccounts) -> None:
    for _ in range(2):
        budget = await accounts.refund("w", "k", "q1", 4, "ana")
        assert budget.spent == 26
    assert (await accounts.verify(("w",))).discrepancies == ()


async def test_what_does_not_add_up_is_found(accounts: TableAccounts) -> None:
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
async def test_what_cannot_be(
    accounts: TableAccounts, change: Callable[[TableAccounts], Awaitable[Budget]]
) -> None:
    with pytest.raises(BudgetError):
        await change(accounts)


def test_all_rows_are_verified_without_a_name() -> None:
    """A fault in the books of a workspace that was taken out goes unseen.

    ``bill verify`` looked only at workspaces of the document in force.
    """

    async def story() -> tuple[int, list[str]]:
        table = MemoryTable()
        table.put(budget_key("taken-out"), to_json(BudgetRow(0, 0, 7)))
        found = await TableAccounts(table).verify(())
        return found.workspaces, [each.workspace for each in found.discrepancies]

    count, workspaces = anyio.run(story, backend="trio")
    assert count == 1
    assert set(workspaces) == {"taken-out"}
