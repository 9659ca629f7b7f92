"""Checks that budgets match the sums of bills, grants, top-ups and refunds."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import AsyncIterator
from typing import TypeVar

from attrs import define, field, frozen

from ebonyhold.coordination import (
    ARCHIVE_PREFIX,
    BUDGET_PREFIX,
    GRANT_PREFIX,
    REFUND_PREFIX,
    REQUEST_PREFIX,
    ROUTER_PREFIX,
    TOPUP_PREFIX,
    ArchiveRow,
    BudgetRow,
    GrantRow,
    RefundRow,
    RequestRow,
    RequestState,
    RouterRow,
    RouterState,
    Table,
    TopUpRow,
    from_json,
)
from ebonyhold.scans import scan_rows
from ebonyhold.types import Json, RouterId, Tokens, WorkspaceName

T = TypeVar("T")


@frozen
class Discrepancy:
    """A row that does not match the other rows or cannot be read.

    Attributes:
        key: Key of the row.
        finding: What is wrong with the row.
        expected: Tokens according to the other rows.
        found: Tokens according to this row.
    """

    key: str
    finding: str
    expected: Tokens
    found: Tokens


@define
class _Sums:
    """Sums of the rows of one workspace, in tokens.

    Attributes:
        prepaid: Top-ups.
        held: Tokens held by grants.
        charged: Charges of bills.
        refunded: Refunds according to the requests' rows.
        recorded_refunds: Refunds according to each request's row, by key.
        refund_sums: Sum of the refunds' own rows, by key of the request.
    """

    prepaid: Tokens = 0
    held: Tokens = 0
    charged: Tokens = 0
    refunded: Tokens = 0
    recorded_refunds: dict[str, Tokens] = field(factory=dict)
    refund_sums: dict[str, Tokens] = field(factory=dict)


async def verify_bills(table: Table) -> list[Discrepancy]:
    """Check that every budget equals the sum of the rows that it summarises.

    Run the check while no router writes, or repeat it: rows are read page by page, so
    changes in the meantime can appear as discrepancies, which a second check does not
    find again.

    Returns:
        The discrepancies; none if all rows match.

    Raises:
        UnavailableError: The table could not be read.
    """
    found: list[Discrepancy] = []
    sums: dict[WorkspaceName, _Sums] = defaultdict(_Sums)
    await _add_topups(table, sums)
    await _add_grants(table, sums, found)
    await _add_requests(table, sums, found)
    await _add_refunds(table, sums, found)
    seen_budgets = set()
    async for key, row in _rows(table, BUDGET_PREFIX, BudgetRow, found):
        workspace = key.removeprefix(BUDGET_PREFIX)
        seen_budgets.add(workspace)
        _check_budget(key, row, sums[workspace], found)
    for workspace, total in sums.items():
        if workspace not in seen_budgets and total != _Sums():
            found.append(
                Discrepancy(
                    f"{BUDGET_PREFIX}{workspace}", "no such budget", total.prepaid, 0
                )
            )
    return found


def _check_budget(
    key: str, row: BudgetRow, sums: _Sums, found: list[Discrepancy]
) -> None:
    spent = sums.charged - sums.refunded
    pairs = (
        ("prepaid is not the sum of the top-ups", sums.prepaid, row.prepaid),
        ("outstanding is not the sum of the grants", sums.held, row.outstanding),
        ("spent is not the bills less the refunds", spent, row.spent),
    )
    for finding, expected, value in pairs:
        if expected != value:
            found.append(Discrepancy(key, finding, expected, value))
    if row.remaining < 0:
        found.append(Discrepancy(key, "overspent", 0, row.remaining))


async def _add_topups(table: Table, sums: dict[WorkspaceName, _Sums]) -> None:
    found: list[Discrepancy] = []
    async for key, row in _rows(table, TOPUP_PREFIX, TopUpRow, found):
        sums[_workspace(key, TOPUP_PREFIX)].prepaid += row.amount


async def _add_grants(
    table: Table, sums: dict[WorkspaceName, _Sums], found: list[Discrepancy]
) -> None:
    closed: set[RouterId] = set()
    async for key, router in _rows(table, ROUTER_PREFIX, RouterRow, found):
        if router.state is RouterState.CLOSED:
            closed.add(key.removeprefix(ROUTER_PREFIX))
    async for key, row in _rows(table, GRANT_PREFIX, GrantRow, found):
        _, owner, workspace = key.split("/", 2)
        sums[workspace].held += row.held
        # The row of an open router may be below zero for a time: the router may have
        # given away tokens that it received in a transfer that is not settled yet.
        if row.held < 0 and owner in closed:
            found.append(Discrepancy(key, "holds less than nothing", 0, row.held))


async def _add_requests(
    table: Table, sums: dict[WorkspaceName, _Sums], found: list[Discrepancy]
) -> None:
    async for key, row in _rows(table, REQUEST_PREFIX, RequestRow, found):
        total = sums[_workspace(key, REQUEST_PREFIX)]
        total.charged += row.charge
        if row.refunded:
            total.recorded_refunds[key] = row.refunded
        if row.state in (RequestState.RUNNING, RequestState.NOT_RUN) and row.charge:
            found.append(
                Discrepancy(key, f"{row.state.value}, but charged", 0, row.charge)
            )
        if not 0 <= row.refunded <= row.charge:
            found.append(
                Discrepancy(key, "refunded more than charged", row.charge, row.refunded)
            )
    async for key, old in _rows(table, ARCHIVE_PREFIX, ArchiveRow, found):
        total = sums[key.removeprefix(ARCHIVE_PREFIX)]
        total.charged += old.charged
        total.refunded += old.refunded


async def _add_refunds(
    table: Table, sums: dict[WorkspaceName, _Sums], found: list[Discrepancy]
) -> None:
    async for key, row in _rows(table, REFUND_PREFIX, RefundRow, found):
        workspace = _workspace(key, REFUND_PREFIX)
        request = f"{REQUEST_PREFIX}{workspace}/{row.request}"
        rows = sums[workspace].refund_sums
        rows[request] = rows.get(request, 0) + row.amount
    for total in sums.values():
        total.refunded += sum(total.recorded_refunds.values())
        for key, amount in total.recorded_refunds.items():
            expected = total.refund_sums.get(key, 0)
            if amount != expected:
                found.append(
                    Discrepancy(
                        key, "refunded is not the sum of its refunds", expected, amount
                    )
                )


async def _rows(
    table: Table, prefix: str, as_type: type[T], found: list[Discrepancy]
) -> AsyncIterator[tuple[str, T]]:
    async for row in scan_rows(table, prefix):
        typed = _typed(row.key, row.value, as_type, found)
        if typed is not None:
            yield row.key, typed


def _typed(
    key: str, value: Json, as_type: type[T], found: list[Discrepancy]
) -> T | None:
    try:
        return from_json(value, as_type)
    except Exception as error:
        found.append(Discrepancy(key, f"cannot be read: {error}", 0, 0))
        return None


def _workspace(key: str, prefix: str) -> WorkspaceName:
    return key.removeprefix(prefix).split("/", 1)[0]
