"""A router's grant from one workspace's budget: its ledger and its stored rows."""

from __future__ import annotations

import logging
from collections.abc import Callable

import anyio
from attrs import define, field

from ebonyhold.coordination import GrantLedger
from ebonyhold.exceptions import (
    ConflictError,
    UnavailableError,
)
from ebonyhold.prepaid._reclaim import (
    Predecessor,
    PredecessorGrant,
    find_predecessor_grant,
    make_reclaim_change,
)
from ebonyhold.prepaid._row_cache import GrantRowCache
from ebonyhold.prepaid._types import Change, Committed, GrantRows, PrepaidStore
from ebonyhold.types import RouterId, Seconds, Tokens, WorkspaceName

log = logging.getLogger(__name__)


@define(eq=False)
class GrantState:
    """Commits changes of a grant and applies them to the local ledger.

    Attributes:
        workspace: The workspace that owns the budget.
        router: The router that owns the grant.
        store: The store of budgets and grants.
        routers: Returns how many routers share the budget.
        ledger: Local counters of the grant's tokens.
        cache: The cached budget and grant rows.
        in_doubt: The change whose outcome is unknown; None if there is none.
        filed_at: When charges were last filed (monotonic clock).
        charged: Tokens charged to requests since the process started.
        net_given: Tokens given to other routers, less those received, since the
            process started.
    """

    workspace: WorkspaceName
    router: RouterId
    store: PrepaidStore
    routers: Callable[[], int]
    ledger: GrantLedger = field(factory=GrantLedger)
    cache: GrantRowCache = field(init=False)
    in_doubt: Change | None = None
    filed_at: Seconds = -1e9
    charged: Tokens = 0
    net_given: Tokens = 0

    def __attrs_post_init__(self) -> None:
        self.cache = GrantRowCache(
            self.workspace, self.router, self.store, self.routers
        )

    @property
    def used(self) -> Tokens:
        """Tokens of the stored grant that are charged, held or given away.

        Tokens received from other routers are subtracted.  They do not count as drawn
        in this router's grant row, from which a successor computes the unused tokens.
        """
        return self.charged + self.ledger.held + self.net_given

    def settle(self, hold: Tokens, charge: Tokens) -> None:
        """End a request's hold and charge the request's cost, at most the hold."""
        self.ledger.settle(hold, min(charge, hold))
        self.charged += min(charge, hold)

    def give(self, amount: Tokens) -> None:
        """Move available tokens to another router.

        The tokens count as used before the answer is sent, so if the answer is lost,
        neither router can spend them.
        """
        self.ledger.give(amount)
        self.net_given += amount

    def receive(self, amount: Tokens) -> None:
        """Add tokens that another router has given."""
        self.ledger.receive(amount)
        self.net_given -= amount

    async def resolve_in_doubt(self) -> None:
        """Determine the outcome of the change in doubt, if there is one.

        Raises:
            PlatformError: The store call failed.
        """
        if self.in_doubt is not None:
            await self.resend(self.in_doubt)

    async def reclaim(self, predecessor: Predecessor) -> None:
        """Move the tokens that a predecessor provably left unused to this grant.

        Nothing is moved if the predecessor has no grant, or may have used all its
        tokens.  No change may be in doubt when this method is called.

        Raises:
            PlatformError: The store call failed, or another router changed a row first.
        """
        found = await find_predecessor_grant(self.store, self.workspace, predecessor)
        if found is None:
            return
        if found.left:
            change = make_reclaim_change(
                self.workspace, self.router, self.cache.rows or GrantRows(), found
            )
            try:
                await self.send(change)
            except ConflictError as error:
                self.cache.update_from_conflict(error)
                raise
        self.log_reclaim(predecessor, found)

    def log_reclaim(self, predecessor: Predecessor, found: PredecessorGrant) -> None:
        """Log how many tokens were reclaimed, and from which row and limit.

        What the limit holds beyond the tokens used at the last renewal was allowed
        ahead of the next one.
        """
        log.info(
            "grant reclaimed" if found.left else "grant not reclaimed",
            extra={
                "workspace": self.workspace,
                "predecessor": predecessor.router,
                "returned": found.left,
                "granted": found.granted,
                "limit": found.limit,
                "ceiling": found.renewed.ceiling,
                "used": found.renewed.used,
                "held": found.renewed.held,
                "filed": found.grant.billed,
                "elapsed": round(predecessor.elapsed, 2),
            },
        )

    async def send(self, change: Change) -> None:
        """Commit a change and apply it to the ledger.

        Raises:
            ConflictError: Another router changed a row first; nothing was written.
            UnavailableError: The change had no effect.
            UnknownOutcomeError: The change may have taken effect or may do so later; it
                is kept as `in_doubt`.
        """
        outcome_known = False
        try:
            committed = await self.store.commit(change.transaction)
            outcome_known = True
        except (ConflictError, UnavailableError):
            outcome_known = True
            self.ledger.available += change.returned
            raise
        finally:
            # The outcome is also unknown after a cancellation or an unexpected
            # exception.  Only a definite answer from the store determines it.
            if not outcome_known:
                self.in_doubt = change
        self.took_effect(change, committed)

    async def resend(self, change: Change) -> None:
        """Send a change in doubt again to determine its outcome.

        The transaction has the same checks as before, so the change takes effect at
        most once.  If the checks fail, the sequence number of this router's row shows
        whether the first attempt took effect.  If the first attempt did not, neither
        can take effect later, because row versions only increase.

        Raises:
            PlatformError: The store call failed; the change stays in doubt.
        """
        try:
            committed = await self.store.commit(change.transaction)
        except ConflictError:
            rows = await self.cache.read()
            self.in_doubt = None
            if rows.grant.sequence == change.after.grant.sequence:
                self.apply(change)
            else:
                self.ledger.available += change.returned
            return
        self.in_doubt = None
        self.took_effect(change, committed)

    def took_effect(self, change: Change, committed: Committed) -> None:
        """Cache the rows of a committed change and apply it to the ledger."""
        self.cache.update_from_commit(change, committed)
        self.apply(change)

    def apply(self, change: Change) -> None:
        """Apply a committed change to the ledger and log the change.

        Returned tokens have already been removed from the ledger.
        """
        self.ledger.available += change.drawn
        if change.billed:
            self.ledger.filed(change.billed, change.billed)
            self.filed_at = anyio.current_time()
        self.ledger.given -= change.given
        self.ledger.received -= change.received
        budget = change.after.budget.budget
        log.info(
            "grant changed",
            extra={
                "workspace": self.workspace,
                "drawn": change.drawn,
                "returned": change.returned,
                "filed": change.billed,
                "available": self.ledger.available,
                "held": self.ledger.held,
                "remaining": budget.remaining,
                "spent": budget.spent,
                "used": self.used,
                "sequence": change.after.grant.sequence,
            },
        )
