"""What a killed router provably left of its grants, for its successor to take."""

from __future__ import annotations

from attrs import evolve, field, frozen

from ebonyhold.coordination import (
    AtVersion,
    GrantRow,
    Put,
    Row,
    Transaction,
    change_grant,
    read_row,
    to_json,
)
from ebonyhold.prepaid._changes import check
from ebonyhold.prepaid._limits import NOTHING, Limits
from ebonyhold.prepaid._types import (
    Change,
    Known,
    PrepaidStore,
    grant_row_key,
)
from ebonyhold.types import RouterId, Seconds, Tokens, WorkspaceName

CLOCK_MARGIN: Seconds = 0.2
"""By how much the clocks of two lives and the store may run apart meanwhile."""


@frozen
class Predecessor:
    """The life of this VM's router before this one.

    That this one runs proves that the other has ended: a VM runs one process.

    Attributes:
        router: Which life.
        elapsed: The longest time that it can have gone on since it last renewed its
            limits.
        limits: What that renewal said.
    """

    router: RouterId
    elapsed: Seconds
    limits: Limits = field(factory=dict)

    def limit(self, workspace: WorkspaceName) -> Tokens:
        """Return the most that it can have used of a grant."""
        limit = self.limits.get(workspace, NOTHING)
        return limit.after(self.elapsed + CLOCK_MARGIN)


@frozen
class Inheritance:
    """What can be proved of a predecessor's grant.

    Attributes:
        row: The predecessor's row.
        grant: What it holds.
        limit: The most that the predecessor can have used.
    """

    row: Row
    grant: GrantRow
    limit: Tokens

    @property
    def granted(self) -> Tokens:
        """All tokens that the predecessor got and kept."""
        return self.grant.drawn - self.grant.returned

    @property
    def left(self) -> Tokens:
        """The tokens that it provably did not use."""
        return max(0, self.granted - self.limit)


async def find_inheritance(
    store: PrepaidStore, workspace: WorkspaceName, predecessor: Predecessor
) -> Inheritance | None:
    """Return what a predecessor left; None if it had no grant.

    Raises:
        PlatformError: The store cannot be reached, or the row is damaged.
    """
    key = grant_row_key(workspace, predecessor.router)
    for row in await store.scan(key):
        if row.key == key:
            grant = read_row(row, GrantRow)
            return Inheritance(row, grant, predecessor.limit(workspace))
    return None


def inherit_change(
    workspace: WorkspaceName, router: RouterId, known: Known, left: Inheritance
) -> Change:
    """Return the change that moves what is left to the successor's own grant.

    The rest stays out for ever and so counts as spent.  Writing the row also makes a
    late write of the predecessor fail its check, and a second inheritance finds
    nothing: what remains is no more than the limit.  The budget's row is left out,
    since after a power cut all routers would meet at it.
    """
    own_key = grant_row_key(workspace, router)
    grant = change_grant(known.grant, drawn=left.left)
    before = change_grant(left.grant, returned=left.left)
    transaction = Transaction(
        (
            AtVersion(left.row.key, left.row.version),
            check(own_key, known.grant_version),
        ),
        (Put(left.row.key, to_json(before)), Put(own_key, to_json(grant))),
    )
    after = evolve(known, grant=grant)
    return Change(transaction, after, drawn=left.left, writes_budget=False)
