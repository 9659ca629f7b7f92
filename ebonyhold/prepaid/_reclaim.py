"""Reclaiming the tokens that a killed router provably left unused in its grants."""

from __future__ import annotations

from attrs import evolve, field, frozen

from ebonyhold.coordination import (
    AtVersion,
    GrantRow,
    Put,
    Row,
    Transaction,
    change_grant,
    to_json,
)
from ebonyhold.prepaid._changes import check_version
from ebonyhold.prepaid._limits import ZERO_LIMIT, Limits, SpendingLimit
from ebonyhold.prepaid._row_cache import read_grant
from ebonyhold.prepaid._types import (
    Change,
    GrantRows,
    PrepaidStore,
    grant_row_key,
)
from ebonyhold.types import RouterId, Seconds, Tokens, WorkspaceName

CLOCK_MARGIN: Seconds = 0.2
"""Maximum drift between the clocks of both incarnations and of the store."""


@frozen
class Predecessor:
    """An earlier incarnation of this VM's router.

    A VM runs one router process at a time, so the process of the earlier incarnation
    has ended.

    Attributes:
        router: Identifier of the earlier incarnation.
        elapsed: Maximum time that the earlier incarnation can have run after its last
            renewal.
        limits: The limits of its last renewal.
    """

    router: RouterId
    elapsed: Seconds
    limits: Limits = field(factory=dict)

    def limit(self, workspace: WorkspaceName) -> Tokens:
        """Return the maximum number of tokens of a grant that may have been used."""
        limit = self.limits.get(workspace, ZERO_LIMIT)
        return limit.after(self.elapsed + CLOCK_MARGIN)


@frozen
class PredecessorGrant:
    """A predecessor's grant and the limit of its use.

    Attributes:
        row: The stored row of the grant.
        grant: The decoded row.
        limit: Maximum number of tokens that the predecessor can have used.
        renewed: The limit as of the predecessor's last renewal.
    """

    row: Row
    grant: GrantRow
    limit: Tokens
    renewed: SpendingLimit

    @property
    def granted(self) -> Tokens:
        """Tokens that the predecessor drew and did not return."""
        return self.grant.drawn - self.grant.returned

    @property
    def left(self) -> Tokens:
        """Tokens that the predecessor provably did not use."""
        return max(0, self.granted - self.limit)


async def find_predecessor_grant(
    store: PrepaidStore, workspace: WorkspaceName, predecessor: Predecessor
) -> PredecessorGrant | None:
    """Return a predecessor's grant of a workspace; None if it has no grant row.

    Raises:
        PlatformError: The store cannot be reached, or the row is damaged.
    """
    key = grant_row_key(workspace, predecessor.router)
    for row in await store.scan(key):
        if row.key == key:
            grant = read_grant(row)
            renewed = predecessor.limits.get(workspace, ZERO_LIMIT)
            limit = predecessor.limit(workspace)
            return PredecessorGrant(row, grant, limit, renewed)
    return None


def make_reclaim_change(
    workspace: WorkspaceName, router: RouterId, rows: GrantRows, found: PredecessorGrant
) -> Change:
    """Return the change that moves provably unused tokens to the successor's grant.

    Tokens up to the limit stay in the old grant for good and so count as spent; a
    second reclaim finds nothing more to move.  Because the predecessor's row gets a new
    version, a delayed write of the predecessor fails its check.

    The change does not write the budget row, because after a power cut of all VMs the
    writes of all routers would conflict there.
    """
    own_key = grant_row_key(workspace, router)
    grant = change_grant(rows.grant, drawn=found.left)
    before = change_grant(found.grant, returned=found.left)
    transaction = Transaction(
        (
            AtVersion(found.row.key, found.row.version),
            check_version(own_key, rows.grant_version),
        ),
        (Put(found.row.key, to_json(before)), Put(own_key, to_json(grant))),
    )
    after = evolve(rows, grant=grant)
    return Change(transaction, after, drawn=found.left, writes_budget=False)
