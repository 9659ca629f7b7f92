"""What operators see of a router's money."""

from __future__ import annotations

from attrs import frozen

from ebonyhold.coordination import BudgetRow
from ebonyhold.money._account import Account
from ebonyhold.money._journal import Place
from ebonyhold.types import RouterId, Tokens, WorkspaceName


@frozen
class GrantStatus:
    """One grant, for operators."""

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
    """The money side of a router, for operators.

    Attributes:
        router: The incarnation.
        sealed: Whether another router has recovered it.
        place: Where the journal's last append went.
        unfiled: Bills that are not in the table yet.
        running: Requests with a hold.
        segments: Journal segments in the table that are not settled.
        grants: What is held, by workspace.
    """

    router: RouterId
    sealed: bool
    place: Place
    unfiled: int
    running: int
    segments: int
    grants: tuple[GrantStatus, ...]


def grant_status(account: Account) -> GrantStatus:
    """Describe one grant."""
    ledger = account.ledger
    return GrantStatus(
        workspace=account.workspace,
        available=ledger.available,
        held=ledger.held,
        unfiled=ledger.unfiled,
        given=ledger.given,
        received=ledger.received,
        budget=account.budget,
        reachable=account.reachable,
    )
