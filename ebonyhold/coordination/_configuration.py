"""Configuration versions: accepting one, adopting one, telling what happened.

A version is accepted when a transaction has moved the head row on by one; that
is the only moment that counts.  The same transaction writes a history row with
the publication's own key, so that an operator whose answer was lost can tell
its own success from another's.
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
"""The key of the top-up that a new workspace gets from the document."""


@frozen
class HeadRow:
    """One accepted version: at ``config/head``, and for ever in its history row.

    Attributes:
        version: Counts the accepted versions, from 1.
        digest: The digest of the whole document's parts.
        manifest: SHA-256 of the object that says how to get them.
        based_on: The version that the operator had seen.
        author: The operator.
        at: When it was accepted, in seconds since the epoch.
        publication: Unique for each attempt to publish.
    """

    version: int
    digest: str
    manifest: str
    based_on: int
    author: str
    at: float
    publication: str


class Fate(Enum):
    """What became of a publication whose answer was lost."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    OPEN = "open"


@frozen
class TopUp:
    """The first top-up of a new workspace, and its budget as read before.

    Attributes:
        workspace: Who gets it.
        amount: How much, in tokens.
        budget: The budget row as read, or None when there is none.
    """

    workspace: WorkspaceName
    amount: Tokens
    budget: Row | None = None


def head_of(row: Row | None) -> HeadRow | None:
    """Decode a head row or a history row."""
    return None if row is None else from_json(row.value, HeadRow)


def plan_apply(
    current: Row | None,
    head: HeadRow,
    topups: tuple[TopUp, ...] = (),
    forgotten: tuple[int, ...] = (),
) -> Transaction | None:
    """Plan to accept a version.

    Args:
        current: The head row as read.
        head: The version to accept; it is based on the one in `current`.
        topups: First top-ups of workspaces that it adds.
        forgotten: Old versions whose history rows go.

    Returns:
        The transaction, or None when the version is based on an older one: then
        another operator was first and this one must look at what changed.
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
    writes.extend(Delete(config_version_key(old)) for old in forgotten)
    filling = plan_initial_topups(topups, head.author, head.at)
    return Transaction((check, *filling.checks), (*writes, *filling.writes))


def plan_initial_topups(
    topups: tuple[TopUp, ...], author: str, at: float
) -> Transaction:
    """Plan the first top-ups of workspaces; committing them twice counts once."""
    checks: list[Check] = []
    writes: list[Write] = []
    for topup in topups:
        part = plan_initial_topup(topup, author, at)
        checks.extend(part.checks)
        writes.extend(part.writes)
    return Transaction(tuple(checks), tuple(writes))


def plan_initial_topup(topup: TopUp, author: str, at: float) -> Transaction:
    """Plan the first top-up of one workspace."""
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


def resolve_publication(history: Row | None, publication: str) -> Fate:
    """Tell what became of a publication, from its version's history row.

    The head alone would not do: another operator may have published the next
    version in the meantime, and a success would look like a lost race.

    Args:
        history: The history row of the version that was to be accepted.
        publication: The key of this publication.
    """
    found = head_of(history)
    if found is None:
        return Fate.OPEN
    return Fate.ACCEPTED if found.publication == publication else Fate.REFUSED


def may_adopt(own: int, offered: int) -> bool:
    """Tell whether a router at one version may adopt another.

    A configuration never reverts: a router with an old copy, an answer that
    was long under way, or a peer that was paused can only offer a version that
    is not larger, and that is refused here.
    """
    return offered > own
