"""Returns what a killed router provably left of its grants."""

from __future__ import annotations

import logging
import random

import anyio
from attrs import evolve, field, frozen

from ebonyhold.coordination import (
    AtVersion,
    GrantRow,
    Put,
    Row,
    Transaction,
    change_budget,
    change_grant,
    from_json,
    to_json,
)
from ebonyhold.exceptions import ConflictError, UnavailableError
from ebonyhold.prepaid._limits import NOTHING, Limits
from ebonyhold.prepaid._types import (
    PrepaidRow,
    PrepaidStore,
    budget_row_key,
    grant_row_key,
)
from ebonyhold.types import RouterId, Seconds, Tokens, WorkspaceName

log = logging.getLogger(__name__)

TRIES = 20
"""Tries against other routers that write the same budget."""

PAUSE: Seconds = 0.06
"""The longest pause between two tries.

After a power cut of all VMs every router reclaims from the same few budgets at
once; without pauses drawn by chance they conflict until all have given up.
"""

CLOCK_MARGIN: Seconds = 0.2
"""By how much the clocks of two lives and the store may run apart meanwhile."""


@frozen
class Predecessor:
    """The life of this VM's router before this one.

    That this one runs proves that the other has ended: a VM runs one process.

    Attributes:
        router: Which life.
        elapsed: The longest time that it can have gone on since it last renewed its
            presence.
        limits: What that renewal said.
    """

    router: RouterId
    elapsed: Seconds
    limits: Limits = field(factory=dict)

    def limit(self, workspace: WorkspaceName) -> Tokens:
        """Return the most that it can have used of a grant."""
        limit = self.limits.get(workspace, NOTHING)
        return limit.after(self.elapsed + CLOCK_MARGIN)


async def reclaim_grant(
    store: PrepaidStore,
    workspace: WorkspaceName,
    predecessor: Predecessor,
) -> Tokens:
    """Return to the budget what a predecessor provably left of its grant.

    The rest stays out for ever and so counts as spent.  Writing the row also makes
    a late write of the predecessor fail its check.  A second reclaim finds nothing:
    what remains is no more than the predecessor's limit.

    Returns:
        The tokens returned.

    Raises:
        PlatformError: The store did not do what was asked.
    """
    budget_key = budget_row_key(workspace)
    grant_key = grant_row_key(workspace, predecessor.router)
    for _ in range(TRIES):
        budget_row = find(await store.scan(budget_key), budget_key)
        grant_row = find(await store.scan(grant_key), grant_key)
        if budget_row is None or grant_row is None:
            return 0
        grant = from_json(grant_row.value, GrantRow)
        granted = grant.drawn - grant.returned
        limit = predecessor.limit(workspace)
        left = max(0, granted - limit)
        fields = {
            "workspace": workspace,
            "predecessor": predecessor.router,
            "returned": left,
            "granted": granted,
            "limit": limit,
            "filed": grant.billed,
            "elapsed": round(predecessor.elapsed, 2),
        }
        if not left:
            log.info("grant not reclaimed", extra=fields)
            return 0
        try:
            await store.commit(give_back(budget_row, grant_row, grant, left))
        except ConflictError:
            await anyio.sleep(random.random() * PAUSE)
            continue
        log.info("grant reclaimed", extra=fields)
        return left
    raise UnavailableError(f"{workspace}: lost {TRIES} races for the budget")


def give_back(
    budget_row: Row, grant_row: Row, grant: GrantRow, left: Tokens
) -> Transaction:
    """Return the transaction that moves tokens from a grant to its budget."""
    prepaid = from_json(budget_row.value, PrepaidRow)
    budget = change_budget(prepaid.budget, returned=left)
    return Transaction(
        (
            AtVersion(budget_row.key, budget_row.version),
            AtVersion(grant_row.key, grant_row.version),
        ),
        (
            Put(budget_row.key, to_json(evolve(prepaid, budget=budget))),
            Put(grant_row.key, to_json(change_grant(grant, returned=left))),
        ),
    )


def find(rows: list[Row], key: str) -> Row | None:
    """Return the row with a key."""
    return next((row for row in rows if row.key == key), None)
