"""The transaction by which a router changes its grant and the budget."""

from __future__ import annotations

from attrs import frozen

from ebonyhold.coordination import (
    Absent,
    AtVersion,
    Check,
    Put,
    Transaction,
    change_budget,
    change_grant,
    to_json,
)
from ebonyhold.prepaid._types import (
    Change,
    GrantRows,
    PrepaidRow,
    budget_row_key,
    grant_row_key,
)
from ebonyhold.types import RouterId, Tokens, WorkspaceName


@frozen
class ChangeAmounts:
    """Token amounts of one change of the budget and grant rows.

    Attributes:
        drawn: Tokens moved from the budget to the grant.
        returned: Tokens moved back to the budget.
        billed: Charged tokens that are filed.
        given: Tokens given to other routers' grants of the same budget.
        received: Tokens received from other routers' grants.
    """

    drawn: Tokens
    returned: Tokens
    billed: Tokens
    given: Tokens = 0
    received: Tokens = 0


def make_change(
    workspace: WorkspaceName,
    router: RouterId,
    rows: GrantRows,
    base: PrepaidRow,
    amounts: ChangeAmounts,
) -> Change:
    """Return the change of both rows as a transaction that checks their versions.

    Args:
        workspace: The workspace that owns the budget.
        router: The router that owns the grant.
        rows: Both rows before the change.
        base: The budget row of `rows`, with the currently configured prepaid tokens.
        amounts: The amounts to draw, return and file.
    """
    budget = change_budget(
        base.budget,
        drawn=amounts.drawn,
        returned=amounts.returned,
        paid=amounts.billed,
    )
    grant = change_grant(
        rows.grant,
        drawn=amounts.drawn,
        returned=amounts.returned,
        billed=amounts.billed,
        transferred_in=amounts.received,
        transferred_out=amounts.given,
    )
    after = GrantRows(PrepaidRow(base.rules_version, budget), 0, grant, 0)
    grant_key = grant_row_key(workspace, router)
    budget_key = budget_row_key(workspace)
    transaction = Transaction(
        (
            check_version(grant_key, rows.grant_version),
            check_version(budget_key, rows.budget_version),
        ),
        (
            Put(grant_key, to_json(grant)),
            Put(budget_key, to_json(after.budget)),
        ),
    )
    return Change(
        transaction,
        after,
        amounts.drawn,
        amounts.returned,
        amounts.billed,
        amounts.given,
        amounts.received,
    )


def check_version(key: str, version: int) -> Check:
    """Return the check for a row's version; version 0 means that the row is absent."""
    return AtVersion(key, version) if version else Absent(key)
