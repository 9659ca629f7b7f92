"""Rounds of one workspace's grant at one router: draws, returns and filings."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable, Coroutine

import anyio
from attrs import define, evolve, field

from ebonyhold.coordination import (
    BudgetRow,
    GrantPolicy,
    GrantSize,
    GrantView,
    find_grant_policy,
    outage_cover,
)
from ebonyhold.exceptions import ConflictError, PlatformError
from ebonyhold.prepaid._allowance import AllowanceInputs, allowance
from ebonyhold.prepaid._changes import ChangeAmounts, make_change
from ebonyhold.prepaid._demand import Demand
from ebonyhold.prepaid._grant_state import GrantState
from ebonyhold.prepaid._last_tokens import SizeDemand
from ebonyhold.prepaid._limits import LimitTracker, SpendingLimit
from ebonyhold.prepaid._reclaim import Predecessor
from ebonyhold.prepaid._transfers import TransferPeers
from ebonyhold.prepaid._types import (
    Change,
    GrantRows,
    PrepaidOptions,
    PrepaidRow,
    PrepaidStore,
)
from ebonyhold.types import RouterId, Seconds, Tokens, WorkspaceName

log = logging.getLogger(__name__)

MAX_ATTEMPTS = 12
"""Maximum number of commits tried in one round, while each of them conflicts."""

CONFLICT_BACKOFF: Seconds = 0.02
"""Maximum random delay after the first conflict of a round.

The maximum doubles with each of the next four conflicts, up to 0.32 s.  When several
routers draw on one budget, only one transaction can succeed at a time, and the failed
attempts count against the store's rate limit.
"""


@define(eq=False)
class GrantRounds:
    """Changes one workspace's grant at this router in the store.

    A transaction moves tokens from the budget to the router's grant and writes the
    router's grant row.  Requests spend only tokens of committed transactions, so no
    failure of a router, of the store or of the network can overspend the budget.  At
    worst, tokens stay in the grant of a router that is gone and count as spent.

    Attributes:
        workspace: The workspace that owns the budget.
        router: The router that owns the grant.
        store: The store of budgets and grants.
        prepaid: Returns the configuration's version and the workspace's prepaid tokens
            in that configuration.
        routers: Returns how many routers share the budget.
        default_typical: Returns the typical request size over all workspaces of this
            router; 0 if unknown.
        limits: The spending limits of this router's renewals.
        renew: Renews the limits in the store immediately.
        can_renew: Returns whether renewals currently reach the store.
        peers: Calls to other routers for transfers; None if none can be called.
        is_holder: Returns whether this router is a holder of the workspace.
        reached: Returns how many of the routers that share the budget get requests for
            its tokens; None if all do.
        options: The options of the prepaid budgets.
        policy: Computes how much to draw or return.
        demand: The estimated demand at this router.
        sizes: The workspace's demand at this router by the size of requests.
        all_sizes: The same of all workspaces.
        state: The grant's ledger and its stored rows.
        asked: Total tokens needed by the requests and transfers that wait for a draw
            or a renewal.
        reachable: Whether the last completed round reached the store.
        closing: Whether the process is shutting down.  Nothing is drawn any more,
            because it would not be returned.
        lock: Held during a round, so that only one runs at a time.
    """

    workspace: WorkspaceName
    router: RouterId
    store: PrepaidStore
    prepaid: Callable[[], tuple[int, Tokens]]
    routers: Callable[[], int]
    default_typical: Callable[[], float]
    limits: LimitTracker
    renew: Callable[[], Coroutine[None, None, None]]
    can_renew: Callable[[], bool]
    peers: TransferPeers | None = None
    is_holder: Callable[[], bool] = lambda: True
    reached: Callable[[], int] | None = None
    options: PrepaidOptions = field(factory=PrepaidOptions)
    policy: GrantPolicy = field(factory=lambda: find_grant_policy("outage_cover"))
    demand: Demand = field(init=False)
    sizes: SizeDemand = field(factory=SizeDemand)
    all_sizes: SizeDemand = field(factory=SizeDemand)
    state: GrantState = field(init=False)
    asked: Tokens = 0
    reachable: bool = True
    closing: bool = False
    lock: anyio.Lock = field(factory=anyio.Lock)

    def __attrs_post_init__(self) -> None:
        self.demand = Demand(self.options.demand_time_constant)
        self.state = GrantState(self.workspace, self.router, self.store, self.routers)

    def limit(self) -> Tokens:
        """Return the maximum number of tokens that this incarnation may have used."""
        return self.limits.limit(self.workspace, anyio.current_time())

    @property
    def is_store_reachable(self) -> bool:
        """Whether both the last round and the renewals reached the store."""
        return self.reachable and self.can_renew()

    @property
    def configured(self) -> BudgetRow:
        """The cached budget, with the prepaid tokens that are configured here."""
        rows = self.state.cache.rows or GrantRows()
        return self.apply_configuration(rows.budget).budget

    @property
    def budget(self) -> BudgetRow:
        """The cached budget, or an empty one before the first read."""
        return (
            self.state.cache.rows.budget.budget
            if self.state.cache.rows
            else BudgetRow()
        )

    @property
    def typical(self) -> float:
        """Typical request size of this workspace, in tokens.

        Before the first request here, it is the mean over this router's workspaces.
        """
        return self.demand.typical or self.default_typical()

    @property
    def need(self) -> Tokens:
        """Tokens that waiting requests need beyond the available ones."""
        return max(0, self.asked - self.state.ledger.available)

    async def draw(self) -> None:
        """Run a round, unless another task has drawn the needed tokens in the meantime.

        A store error is only logged.
        """
        async with self.lock:
            if not self.need:
                return
            try:
                await self.reconcile()
            except PlatformError as error:
                log.warning(
                    "draw failed",
                    extra={"workspace": self.workspace, "error": error.code},
                )

    async def tick(self) -> None:
        """Run a round: draw in advance, return excess tokens and file old charges.

        Raises:
            PlatformError: The store call failed.
        """
        async with self.lock:
            await self.reconcile()

    async def close(self) -> None:
        """Run a round that files all charges and returns all available tokens.

        From now on nothing is drawn.  After `MAX_ATTEMPTS` conflicts the method returns
        normally, though nothing was filed or returned.

        Raises:
            PlatformError: The store call failed.
        """
        self.closing = True
        async with self.lock:
            await self.reconcile()

    async def reclaim(self, predecessor: Predecessor) -> bool:
        """Reclaim the tokens that a predecessor provably left unused.

        Returns:
            False if this process is shutting down, else True.  A process that is
            shutting down may already have returned its own grant, so it leaves the
            tokens to the next incarnation.

        Raises:
            PlatformError: The store call failed.
        """
        async with self.lock:
            if self.closing:
                return False
            await self.refresh()
            await self.state.reclaim(predecessor)
            return True

    async def reconcile(self) -> None:
        """Refresh the cached rows and commit the change that is due, if any.

        After `MAX_ATTEMPTS` conflicts the change is left to the next round.

        Raises:
            PlatformError: The store call failed.
        """
        for conflicts in range(MAX_ATTEMPTS):
            try:
                await self.refresh()
                change = self.plan_change()
                if change is not None:
                    await self.state.send(change)
                self.reachable = True
                return
            except ConflictError as error:
                self.state.cache.update_from_conflict(error)
                await anyio.sleep(
                    random.random() * CONFLICT_BACKOFF * 2 ** min(conflicts, 4)
                )
            except PlatformError:
                self.reachable = False
                raise

    async def refresh(self) -> None:
        """Resolve a change in doubt, and read rows that are unknown or outdated.

        Raises:
            PlatformError: The store call failed.
        """
        await self.state.resolve_in_doubt()
        holding = self.state.ledger.available > 0
        await self.state.cache.refresh(self.need, holding=holding)

    def plan_change(self) -> Change | None:
        """Return the change of both rows that is due; None if there is none."""
        rows = self.state.cache.rows or GrantRows()
        base = self.apply_configuration(rows.budget)
        size = self.grant_size(base.budget)
        now = anyio.current_time()
        overdue = now - self.state.filed_at > self.options.file_after
        unfiled = self.state.ledger.unfiled
        due = unfiled and (overdue or self.closing)
        moves = bool(size.draw or size.give_back or base != rows.budget)
        if not (moves or due):
            return None
        return self.make_change(rows, base, size)

    def apply_configuration(self, row: PrepaidRow) -> PrepaidRow:
        """Return a budget row with the prepaid tokens of this router's configuration.

        The row is returned unchanged if its configuration version is not older than
        this router's, or if the prepaid tokens are equal.
        """
        version, prepaid = self.prepaid()
        if version <= row.rules_version or prepaid == row.budget.prepaid:
            return row
        return PrepaidRow(version, evolve(row.budget, prepaid=prepaid))

    def grant_size(self, budget: BudgetRow) -> GrantSize:
        """Return how many tokens to draw from or return to the budget."""
        available = self.state.ledger.available
        if self.closing:
            return GrantSize(give_back=available)
        if budget.remaining < 0:
            # The operator lowered the budget below the granted and spent tokens.  Each
            # router returns available tokens until the budget is no longer exceeded.
            return GrantSize(give_back=min(available, -budget.remaining))
        if not self.is_holder():
            # Requests at this router use a holder's tokens, so available tokens here
            # go back to the budget, where holders can draw them.
            lacking = min(self.need, budget.remaining)
            return GrantSize(draw=lacking, give_back=0 if self.asked else available)
        return self.policy.size(self.policy_view(budget))

    def policy_view(self, budget: BudgetRow) -> GrantView:
        """Return the inputs of the grant policy."""
        return GrantView(
            need=min(self.need, max(budget.remaining, 0)),
            available=self.state.ledger.available,
            rate=self.demand.rate(anyio.current_time()),
            typical=int(self.typical),
            routers=self.routers(),
            budget=budget,
            horizon=self.options.horizon,
        )

    def make_change(self, rows: GrantRows, base: PrepaidRow, size: GrantSize) -> Change:
        """Return the change of both rows, and remove returned tokens from the ledger.

        The tokens are removed before the change is sent.  Otherwise, if the answer is
        lost, they could be spent here and also be drawn by another router.
        """
        drawn = min(size.draw, max(base.budget.remaining, 0))
        returned = min(size.give_back, self.state.ledger.available)
        self.state.ledger.available -= returned
        ledger = self.state.ledger
        amounts = ChangeAmounts(
            drawn, returned, ledger.unfiled, ledger.given, ledger.received
        )
        return make_change(self.workspace, self.router, rows, base, amounts)

    def wanted_limit(self) -> SpendingLimit:
        """Return this grant's spending limit for the next renewal."""
        budget = self.budget
        unspent = max(0, budget.prepaid - budget.spent)
        inputs = AllowanceInputs(
            # Received tokens can make `used` negative.  A negative limit would let a
            # successor reclaim more than this grant's own row holds.
            used=max(0, self.state.used),
            asked=self.asked,
            rate=self.demand.rate(anyio.current_time()),
            typical=self.typical,
            cover=outage_cover(self.policy_view(budget)),
            horizon=self.options.horizon,
            level=unspent / max(1, budget.prepaid),
            delay=self.limits.delay,
        )
        limit = allowance(inputs)
        return evolve(limit, used=inputs.used, held=self.state.ledger.held)

    def settle(self, hold: Tokens, charge: Tokens) -> None:
        """End a request's hold and charge the request's cost, at most the hold."""
        self.state.settle(hold, charge)
