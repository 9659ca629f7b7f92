"""Carrying operators' top-ups and refunds to the table, each at most once."""

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
    plan_refund,
    plan_ruling,
    plan_topup,
    refund_key,
    request_key,
    seen,
    topup_key,
)
from ebonyhold.exceptions import (
    ConflictError,
    UnavailableError,
    UnknownOutcomeError,
)
from ebonyhold.types import RequestId, Tokens, WorkspaceName

TRIES = 30
"""Tries against routers that draw from the same budget."""


Rows: TypeAlias = tuple[Row | None, ...]
"""Rows as read, in the order of their keys."""


async def commit_once(
    table: Table,
    keys: tuple[str, ...],
    plan: Callable[[Rows], Transaction | None],
    what: str,
) -> bool:
    """Commit what is planned on the rows of some keys, against other writers.

    A lost answer is not taken for either outcome: the rows are read again, and
    the plan, which finds its own row there, says whether anything is left to do.

    Args:
        table: The table.
        keys: The rows that the plan needs.
        plan: Returns the transaction, or None when it has been done.
        what: Names the change in an error.

    Returns:
        Whether this call made the change; False when it had been made before.

    Raises:
        ValueError: The plan refuses.
        PlatformError: The table could not be written; try again.
    """
    unclear = False
    for _ in range(TRIES):
        wish = plan(await table.read(keys))
        if wish is None:
            return unclear
        try:
            await table.commit(wish)
        except ConflictError:
            continue
        except UnknownOutcomeError:
            unclear = True
            continue
        return True
    raise UnavailableError(f"{what} met other writers")


async def top_up(
    table: Table, workspace: WorkspaceName, key: str, amount: Tokens, operator: str = ""
) -> bool:
    """Add prepaid tokens to a workspace's budget, once for each key.

    Returns:
        Whether this call made the top-up; False when the key was used before.

    Raises:
        ValueError: The amount is not above zero, or the key was used for another.
        PlatformError: The table could not be written; try again with the key.
    """
    keys = (topup_key(workspace, key), budget_key(workspace))

    def plan(rows: Rows) -> Transaction | None:
        return plan_topup(
            seen(keys[0], rows[0], TopUpRow),
            seen(keys[1], rows[1], BudgetRow),
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
    """Give back a part of a request's charge, once for each key.

    Returns:
        Whether this call made the refund; False when the key was used before.

    Raises:
        ValueError: There is no such bill, too little of it is left, or the key
            was used for another refund.
        PlatformError: The table could not be written; try again with the key.
    """
    keys = (
        refund_key(workspace, key),
        budget_key(workspace),
        request_key(workspace, request),
    )

    def plan(rows: Rows) -> Transaction | None:
        return plan_refund(
            seen(keys[0], rows[0], RefundRow),
            seen(keys[1], rows[1], BudgetRow),
            seen(keys[2], rows[2], RequestRow),
            RefundRow(request, amount, operator, time.time()),
        )

    return await commit_once(table, keys, plan, f"the refund {key}")


async def rule(
    table: Table, workspace: WorkspaceName, request: RequestId, *, ran: bool
) -> bool:
    """Settle a request whose outcome is unknown, on an operator's word.

    Returns:
        Whether this call settled it; False when it had been settled that way.

    Raises:
        ValueError: There is no such request, or its outcome is not unknown.
        PlatformError: The table could not be written; try again.
    """
    keys = (request_key(workspace, request), budget_key(workspace))

    def plan(rows: Rows) -> Transaction | None:
        return plan_ruling(
            seen(keys[0], rows[0], RequestRow),
            seen(keys[1], rows[1], BudgetRow),
            ran=ran,
        )

    return await commit_once(table, keys, plan, request)
