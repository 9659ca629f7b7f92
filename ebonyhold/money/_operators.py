"""Top-ups, refunds and rulings of operators, each written to the table at most once."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TypeAlias

from ebonyhold.coordination import (
    BudgetRow,
    RefundRow,
    RequestRow,
    Row,
    Table,
    TopUpRow,
    Transaction,
    budget_key,
    observe_row,
    plan_refund,
    plan_resolution,
    plan_topup,
    refund_key,
    request_key,
    topup_key,
)
from ebonyhold.exceptions import (
    ConflictError,
    UnavailableError,
    UnknownOutcomeError,
)
from ebonyhold.types import RequestId, Tokens, WorkspaceName

MAX_TRIES = 30
"""Maximum tries of one change.

A change conflicts if a router changes the same budget between the read and the commit.
"""


Rows: TypeAlias = tuple[Row | None, ...]
"""Rows as read, in the order of their keys; None for an absent row."""


async def commit_once(
    table: Table,
    keys: tuple[str, ...],
    plan: Callable[[Rows], Transaction | None],
    label: str,
) -> bool:
    """Commit a planned change of some rows, and retry on conflicts with other writers.

    After an unknown outcome the rows are read and planned again. If the change took
    effect, the plan finds the change in the rows and returns None.

    Args:
        table: The table.
        keys: Keys of the rows that the plan needs.
        plan: Returns the transaction, or None if the change has been made.
        label: Name of the change in error messages.

    Returns:
        Whether this call made the change; False if the change had been made before.

    Raises:
        ValueError: The change is not allowed; raised by `plan`.
        PlatformError: The table could not be written; try again.
    """
    in_doubt = False
    for _ in range(MAX_TRIES):
        transaction = plan(await table.read(keys))
        if transaction is None:
            return in_doubt
        try:
            await table.commit(transaction)
        except ConflictError:
            continue
        except UnknownOutcomeError:
            in_doubt = True
            continue
        return True
    raise UnavailableError(f"{label} met other writers")


async def top_up(
    table: Table, workspace: WorkspaceName, key: str, amount: Tokens, operator: str = ""
) -> bool:
    """Add prepaid tokens to a workspace's budget, at most once per key.

    Returns:
        Whether this call made the top-up; False if an earlier call with the key did.

    Raises:
        ValueError: The amount is not above zero, or the key was used for another
            top-up.
        PlatformError: The table could not be written; try again with the same key.
    """
    keys = (topup_key(workspace, key), budget_key(workspace))

    def plan(rows: Rows) -> Transaction | None:
        return plan_topup(
            observe_row(keys[0], rows[0], TopUpRow),
            observe_row(keys[1], rows[1], BudgetRow),
            TopUpRow(amount, operator, time.time()),
        )

    return await commit_once(table, keys, plan, f"the top-up {key}")


async def refund(
    table: Table,
    workspace: WorkspaceName,
    request: RequestId,
    key: str,
    amount: Tokens,
    operator: str = "",
) -> bool:
    """Return all or part of a request's charge to the budget, at most once per key.

    Returns:
        Whether this call made the refund; False if an earlier call with the key did.

    Raises:
        ValueError: The request has no bill, too little of its charge is left, or the
            key was used for another refund.
        PlatformError: The table could not be written; try again with the same key.
    """
    keys = (
        refund_key(workspace, key),
        budget_key(workspace),
        request_key(workspace, request),
    )

    def plan(rows: Rows) -> Transaction | None:
        return plan_refund(
            observe_row(keys[0], rows[0], RefundRow),
            observe_row(keys[1], rows[1], BudgetRow),
            observe_row(keys[2], rows[2], RequestRow),
            RefundRow(request, amount, operator, time.time()),
        )

    return await commit_once(table, keys, plan, f"the refund {key}")


async def rule_on_request(
    table: Table, workspace: WorkspaceName, request: RequestId, *, ran: bool
) -> bool:
    """Settle a billed request whose outcome is unknown, as an operator decided.

    The charge is kept if the request ran, else it is returned to the budget.

    Args:
        table: The table.
        workspace: Workspace of the request.
        request: The request.
        ran: Whether the operator found that the request ran.

    Returns:
        Whether this call settled the request; False if it had been settled the same
            way before.

    Raises:
        ValueError: There is no such request, its outcome is known, or it was refunded.
        PlatformError: The table could not be written; try again.
    """
    keys = (request_key(workspace, request), budget_key(workspace))

    def plan(rows: Rows) -> Transaction | None:
        return plan_resolution(
            observe_row(keys[0], rows[0], RequestRow),
            observe_row(keys[1], rows[1], BudgetRow),
            ran=ran,
        )

    return await commit_once(table, keys, plan, request)
