"""Status of a router's grants, bills and journal, for operators."""

from __future__ import annotations

from attrs import frozen

from ebonyhold.coordination import BudgetRow
from ebonyhold.money._journal import JournalTarget
from ebonyhold.money._workspace_grant import WorkspaceGrant
from ebonyhold.types import RouterId, Tokens, WorkspaceName


@frozen
class GrantStatus:
    """Status of one grant, in tokens.

    Attributes:
        workspace: Name of the workspace.
        available: Tokens that are free for new holds.
        held: Tokens held by running requests.
        unfiled: Charged tokens whose bills are not in the table yet.
        given: Tokens given to other routers, not settled in the table yet.
        received: Tokens received from other routers, not settled in the table yet.
        budget: The budget as last read or written; None if unknown.
        reachable: Whether the last call to the table succeeded.
    """

    workspace: WorkspaceName
    available: Tokens
    held: Tokens
    unfiled: Tokens
    given: Tokens
    received: Tokens
    budget: BudgetRow | None
    reachable: bool


@frozen
class MoneyStatus:
    """Status of the grants, the journal and the bills of one router.

    Attributes:
        router: Identifier of the incarnation.
        sealed: Whether another router has sealed the incarnation.
        target: Where the journal's last append was written.
        unfiled: Number of bills that are not in the table yet.
        running: Number of requests that have a hold.
        segments: Number of journal segments in the table that are not settled.
        grants: Status of each grant.
    """

    router: RouterId
    sealed: bool
    target: JournalTarget
    unfiled: int
    running: int
    segments: int
    grants: tuple[GrantStatus, ...]


def grant_status(grant: WorkspaceGrant) -> GrantStatus:
    """Return the status of one grant."""
    ledger = grant.ledger
    return GrantStatus(
        workspace=grant.workspace,
        available=ledger.available,
        held=ledger.held,
        unfiled=ledger.unfiled,
        given=ledger.given,
        received=ledger.received,
        budget=grant.budget,
        reachable=grant.reachable,
    )
