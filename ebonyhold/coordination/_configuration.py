"""Configuration versions: accept and adopt them, and look up a publication's result.

A version of the configuration document is accepted by a transaction that increases the
version in the head row by one.  The same transaction writes a history row of that
version, which contains the publication's own key.  An operator whose request got no
answer can thereby distinguish its own publication from another's.
"""

from __future__ import annotations

from enum import Enum

from attrs import frozen

from ebonyhold.coordination._codec import from_json, to_json
from ebonyhold.coordination._keys import (
    CONFIG_HEAD,
    budget_key,
    config_version_key,
    topup_key,
)
from ebonyhold.coordination._rows import BudgetRow, TopUpRow
from ebonyhold.coordination._transactions import (
    Absent,
    AtVersion,
    Check,
    Delete,
    Put,
    Row,
    Transaction,
    Write,
)
from ebonyhold.types import Tokens, WorkspaceName

INITIAL_TOPUP = "initial"
"""Key of the top-up that a new workspace gets from the configuration document."""


@frozen
class HeadRow:
    """An accepted version of the configuration document.

    It is stored at ``config/head`` while it is the latest, and in its history row.

    Attributes:
        version: Counts the accepted versions, from 1.
        digest: The digest of all parts of the document.
        manifest: SHA-256 of the object that lists the parts.
        based_on: The version that the operator's change is based on.
        author: The operator.
        at: When it was accepted, in seconds since the epoch.
        publication: The key of the publication, unique for each attempt to publish.
    """

    version: int
    digest: str
    manifest: str
    based_on: int
    author: str
    at: float
    publication: str


class PublicationResult(Enum):
    """The result of a publication whose outcome was unknown to the operator.

    Attributes:
        ACCEPTED: Its version was accepted.
        REFUSED: Another publication was accepted with the same version number.
        OPEN: There is no history row of that version, so none was accepted yet.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    OPEN = "open"


@frozen
class TopUp:
    """The first top-up of a new workspace, with its budget row as read before.

    Attributes:
        workspace: The workspace that gets it.
        amount: Its size, in tokens.
        budget: The budget row as read, or None when there is none.
    """

    workspace: WorkspaceName
    amount: Tokens
    budget: Row | None = None


def head_of(row: Row | None) -> HeadRow | None:
    """Decode a head row or a history row; None if there is none."""
    return None if row is None else from_json(row.value, HeadRow)


def plan_apply(
    current: Row | None,
    head: HeadRow,
    topups: tuple[TopUp, ...] = (),
    expired: tuple[int, ...] = (),
) -> Transaction | None:
    """Plan the transaction that accepts a version.

    Args:
        current: The head row as read.
        head: The version to accept; it is based on the one in `current`.
        topups: First top-ups of the workspaces that the version adds.
        expired: Old versions whose history rows are deleted.

    Returns:
        The transaction, or None if the version is not based on the current one.
        Another operator has then published in between, and the changes must be
        reviewed.
    """
    before = head_of(current)
    version = before.version if before else 0
    if head.based_on != version or head.version != version + 1:
        return None
    check: Check = Absent(CONFIG_HEAD)
    if current is not None:
        check = AtVersion(CONFIG_HEAD, current.version)
    value = to_json(head)
    writes: list[Write] = [
        Put(CONFIG_HEAD, value),
        Put(config_version_key(head.version), value),
    ]
    writes.extend(Delete(config_version_key(old)) for old in expired)
    filling = plan_initial_topups(topups, head.author, head.at)
    return Transaction((check, *filling.checks), (*writes, *filling.writes))


def plan_initial_topups(
    topups: tuple[TopUp, ...], author: str, at: float
) -> Transaction:
    """Return the transaction that adds the first top-ups of several workspaces.

    It fails as a whole if one of them already has its first top-up.
    """
    checks: list[Check] = []
    writes: list[Write] = []
    for topup in topups:
        part = plan_initial_topup(topup, author, at)
        checks.extend(part.checks)
        writes.extend(part.writes)
    return Transaction(tuple(checks), tuple(writes))


def plan_initial_topup(topup: TopUp, author: str, at: float) -> Transaction:
    """Return the transaction that adds the first top-up of a workspace.

    It fails if the workspace already has it, or if its budget row has changed.
    """
    key = topup_key(topup.workspace, INITIAL_TOPUP)
    row = topup.budget
    check: Check = Absent(budget_key(topup.workspace))
    budget = BudgetRow()
    if row is not None:
        check = AtVersion(row.key, row.version)
        budget = from_json(row.value, BudgetRow)
    filled = BudgetRow(budget.prepaid + topup.amount, budget.outstanding, budget.spent)
    return Transaction(
        (Absent(key), check),
        (
            Put(key, to_json(TopUpRow(topup.amount, author, at))),
            Put(budget_key(topup.workspace), to_json(filled)),
        ),
    )


def resolve_publication(history: Row | None, publication: str) -> PublicationResult:
    """Return the result of a publication, according to its version's history row.

    The head row is not enough: after another operator has published the next version,
    it no longer shows whose publication was accepted before.

    Args:
        history: The history row of the version that was to be accepted.
        publication: The key of this publication.
    """
    found = head_of(history)
    if found is None:
        return PublicationResult.OPEN
    return (
        PublicationResult.ACCEPTED
        if found.publication == publication
        else PublicationResult.REFUSED
    )


def may_adopt(own: int, offered: int) -> bool:
    """Return whether a router may adopt an offered version instead of its own.

    A router adopts only a larger version.  It thereby ignores an outdated version in a
    delayed message or from a router that has an old copy.
    """
    return offered > own
