"""One workspace's prepaid tokens at one router."""

from __future__ import annotations

import logging
from collections.abc import Callable

import anyio
from attrs import define, evolve, field

from ebonyhold.coordination import (
    Absent,
    AtVersion,
    BudgetRow,
    Check,
    GrantLedger,
    GrantPolicy,
    GrantRow,
    GrantSize,
    GrantView,
    Put,
    Transaction,
    change_budget,
    change_grant,
    find_grant_policy,
    from_json,
    to_json,
)
from ebonyhold.exceptions import (
    BudgetExhaustedError,
    BudgetUnreachableError,
    ConflictError,
    PlatformError,
    UnavailableError,
    UnknownOutcomeError,
)
from ebonyhold.prepaid._demand import Demand
from ebonyhold.prepaid._types import (
    Change,
    Known,
    PrepaidOptions,
    PrepaidRow,
    PrepaidStore,
    budget_row_key,
    grant_row_key,
    grant_rows_prefix,
)
from ebonyhold.types import RouterId, Seconds, Tokens, WorkspaceName

log = logging.getLogger(__name__)

TRIES = 12
"""Tries of one round against other routers that write the same budget."""

REREAD_AFTER: Seconds = 0.2
"""How old the budget may be when a request needs more than it showed.

Every refused request would else cost two calls; five readings a second for each
workspace follow what other routers return closely enough.
"""

TRUST: Seconds = 2.0
"""How old the budget may be that a final refusal rests on.

Tokens come back to a budget when others return grants or it is topped up; an
older reading could refuse for good what would be granted now.
"""


@define(eq=False)
class Account:
    """What a router may spend of one workspace's budget.

    Tokens move from the budget to the router's grant in one transaction with
    the router's own row, and only what has arrived is spent.  So no failure of
    a router, of the store or of the path between them can overspend: at worst
    tokens stay in a grant whose router is gone, and count as spent.

    Attributes:
        workspace: Whose tokens.
        router: Whose grant.
        store: Where budgets and grants are kept.
        prepaid: Returns the prepaid tokens and the version of the configuration
            that says so; None where there is no bound.
        routers: Returns how many routers share the budget.
        ledger: The tokens of the grant here.
        known: Both rows; None before the first reading and after a conflict.
        doubtful: A change whose effect is unknown.
        checked_at: When `known` was last confirmed by the store.
        filed_at: When charges were last filed.
    """

    workspace: WorkspaceName
    router: RouterId
    store: PrepaidStore
    prepaid: Callable[[], tuple[int, Tokens]]
    routers: Callable[[], int]
    options: PrepaidOptions = field(factory=PrepaidOptions)
    policy: GrantPolicy = field(factory=lambda: find_grant_policy("outage_cover"))
    ledger: GrantLedger = field(factory=GrantLedger)
    demand: Demand = field(init=False)
    known: Known | None = None
    doubtful: Change | None = None
    checked_at: Seconds = -1e9
    filed_at: Seconds = -1e9
    need: Tokens = 0
    charged: Tokens = 0
    requests: int = 0
    lock: anyio.Lock = field(factory=anyio.Lock)

    def __attrs_post_init__(self) -> None:
        self.demand = Demand(self.options.demand_memory)

    async def hold(self, amount: Tokens) -> None:
        """Set tokens aside for a request, drawing them if they are not here.

        Raises:
            BudgetExhaustedError: The budget surely cannot cover it.
            BudgetUnreachableError: Tokens may exist, but not here and now.
        """
        self.demand.asked(amount, anyio.current_time())
        if self.ledger.hold(amount):
            return
        with anyio.move_on_after(self.options.patience):
            await self.draw_for(amount)
        if self.ledger.hold(amount):
            return
        if await self.surely_spent(amount):
            raise BudgetExhaustedError(f"{self.workspace}: {amount} exceed the rest")
        raise BudgetUnreachableError(f"{self.workspace}: {amount} not at hand")

    async def draw_for(self, amount: Tokens) -> None:
        """Draw what a request lacks; other requests may take it first."""
        async with self.lock:
            lacking = amount - self.ledger.available
            if lacking <= 0:
                return
            self.need = lacking
            try:
                await self.round()
            except PlatformError as error:
                log.warning(
                    "draw failed",
                    extra={"workspace": self.workspace, "error": error.code},
                )
            finally:
                self.need = 0

    def settle(self, hold: Tokens, charge: Tokens) -> None:
        """End a request's hold with what it cost."""
        self.ledger.settle(hold, min(charge, hold))
        self.charged += min(charge, hold)
        self.requests += 1

    async def surely_spent(self, amount: Tokens) -> bool:
        """Tell whether the budget cannot cover a request, whoever holds what.

        Grants of other routers may come back, so only what is filed as spent
        counts against the budget here.  Charges that are not filed yet make the
        budget look fuller than it is, which costs the caller one more try.
        """
        if anyio.current_time() - self.checked_at > TRUST or self.known is None:
            return False
        budget = self.known.budget.budget
        if amount > budget.prepaid - budget.spent:
            return True
        if budget.remaining + self.ledger.available >= amount:
            return False
        return budget.prepaid - budget.spent - self.ledger.unfiled < amount

    async def tick(self) -> None:
        """Look after the grant: draw ahead, return, file charges.

        Raises:
            PlatformError: The store did not do what was asked.
        """
        async with self.lock:
            await self.round()

    async def close(self) -> None:
        """File all charges and return what is free, before the process ends.

        Raises:
            PlatformError: The store did not do what was asked.
        """
        async with self.lock:
            await self.round(closing=True)

    async def round(self, closing: bool = False) -> None:
        """Bring both rows and the ledger to where they should be."""
        for _ in range(TRIES):
            try:
                await self.confirm()
                change = self.plan(closing)
                if change is None:
                    return
                await self.send(change)
                return
            except ConflictError:
                self.known = None

    async def confirm(self) -> None:
        """Make sure that both rows are known, and nothing is in doubt."""
        if self.doubtful is not None:
            await self.send_again(self.doubtful)
        if self.known is None or self.is_outdated(self.known):
            self.known = await self.read()

    def is_outdated(self, known: Known) -> bool:
        """Tell whether others may have returned what a request here lacks."""
        if self.need <= known.budget.budget.remaining:
            return False
        return anyio.current_time() - self.checked_at > REREAD_AFTER

    async def read(self) -> Known:
        """Read both rows."""
        budget_key = budget_row_key(self.workspace)
        grant_key = grant_row_key(self.workspace, self.router)
        known = Known()
        for row in await self.store.scan(budget_key):
            if row.key == budget_key:
                budget = from_json(row.value, PrepaidRow)
                known = evolve(known, budget=budget, budget_version=row.version)
        for row in await self.store.scan(grant_key):
            if row.key == grant_key:
                grant = from_json(row.value, GrantRow)
                known = evolve(known, grant=grant, grant_version=row.version)
        self.checked_at = anyio.current_time()
        return known

    def plan(self, closing: bool) -> Change | None:
        """Decide how both rows should change, if at all."""
        known = self.known or Known()
        version, prepaid = self.prepaid()
        base = known.budget
        if version > base.rules_version and prepaid != base.budget.prepaid:
            budget = evolve(base.budget, prepaid=prepaid)
            base = PrepaidRow(version, budget)
        size = self.size(base.budget, closing)
        now = anyio.current_time()
        overdue = now - self.filed_at > self.options.file_after
        unfiled = self.ledger.unfiled
        due = unfiled and (overdue or closing)
        if not (size.draw or size.give_back or due or base != known.budget):
            return None
        return self.make_change(known, base, size, unfiled)

    def size(self, budget: BudgetRow, closing: bool) -> GrantSize:
        """Say how much to draw or to return."""
        available = self.ledger.available
        if closing:
            return GrantSize(give_back=available)
        if budget.remaining < 0:
            # The operator lowered the budget below what is out: all routers give
            # back what they do not need, and draw again from what is left.
            return GrantSize(give_back=min(available, -budget.remaining))
        now = anyio.current_time()
        return self.policy.size(
            GrantView(
                need=min(self.need, max(budget.remaining, 0)),
                available=available,
                rate=self.demand.rate(now),
                typical=int(self.demand.typical),
                routers=self.routers(),
                budget=budget,
                horizon=self.options.horizon,
            )
        )

    def make_change(
        self, known: Known, base: PrepaidRow, size: GrantSize, billed: Tokens
    ) -> Change:
        """Return the change, with what is returned already out of the ledger."""
        drawn = min(size.draw, max(base.budget.remaining, 0))
        returned = min(size.give_back, self.ledger.available)
        budget = change_budget(base.budget, drawn=drawn, returned=returned, paid=billed)
        grant = change_grant(known.grant, drawn=drawn, returned=returned, billed=billed)
        after = Known(PrepaidRow(base.rules_version, budget), 0, grant, 0)
        budget_key = budget_row_key(self.workspace)
        grant_key = grant_row_key(self.workspace, self.router)
        checks: tuple[Check, ...] = (
            check(budget_key, known.budget_version),
            check(grant_key, known.grant_version),
        )
        writes = (
            Put(budget_key, to_json(after.budget)),
            Put(grant_key, to_json(grant)),
        )
        # Returned tokens leave the ledger before the store hears of it: an answer
        # that is lost must not leave them spendable here and in the budget.
        self.ledger.available -= returned
        return Change(Transaction(checks, writes), after, drawn, returned, billed)

    async def send(self, change: Change) -> None:
        """Commit a change and carry its effect to the ledger.

        Raises:
            ConflictError: Another router was first; nothing was changed.
            UnavailableError: The store certainly did nothing.
            UnknownOutcomeError: It may take effect; it is now `doubtful`.
        """
        try:
            version = await self.store.commit(change.transaction)
        except (ConflictError, UnavailableError):
            self.ledger.available += change.returned
            raise
        except (UnknownOutcomeError, anyio.get_cancelled_exc_class()):
            self.doubtful = change
            raise
        self.took_effect(change, version)

    async def send_again(self, change: Change) -> None:
        """Find out what became of a change whose answer was lost.

        The same change is sent again under the same checks, so it takes effect
        at most once.  When the checks fail, the sequence of the own row says
        whether the first sending was what made them fail; if not, neither of
        them can take effect any more, since versions only grow.
        """
        try:
            version = await self.store.commit(change.transaction)
        except ConflictError:
            known = await self.read()
            self.doubtful = None
            self.known = known
            if known.grant.sequence == change.after.grant.sequence:
                self.apply(change)
            else:
                self.ledger.available += change.returned
            return
        self.doubtful = None
        self.took_effect(change, version)

    def took_effect(self, change: Change, version: int) -> None:
        """Carry a change to the ledger whose versions are known."""
        after = change.after
        self.known = evolve(after, budget_version=version, grant_version=version)
        self.checked_at = anyio.current_time()
        self.apply(change)

    def apply(self, change: Change) -> None:
        """Carry a change to the ledger."""
        self.ledger.available += change.drawn
        self.ledger.filed(change.billed, change.billed)
        self.filed_at = anyio.current_time()
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
                "sequence": change.after.grant.sequence,
            },
        )

    async def others_unspent(self) -> Tokens:
        """Return the tokens in grants of all routers, by the table's word."""
        rows = await self.store.scan(grant_rows_prefix(self.workspace))
        return sum(from_json(row.value, GrantRow).held for row in rows)


def check(key: str, version: int) -> Check:
    """Return the check that a row is still at a version; 0 means absent."""
    return AtVersion(key, version) if version else Absent(key)
