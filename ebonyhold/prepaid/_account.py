"""One workspace's prepaid tokens at one router."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable

import anyio
from attrs import define, evolve, field

from ebonyhold.coordination import (
    BudgetRow,
    GrantLedger,
    GrantPolicy,
    GrantSize,
    GrantView,
    find_grant_policy,
)
from ebonyhold.exceptions import (
    BudgetExhaustedError,
    BudgetUnreachableError,
    ConflictError,
    PlatformError,
    UnavailableError,
    UnknownOutcomeError,
)
from ebonyhold.prepaid._books import Books
from ebonyhold.prepaid._changes import Moves, make_change
from ebonyhold.prepaid._demand import Demand
from ebonyhold.prepaid._release import ReleaseSchedule
from ebonyhold.prepaid._types import (
    Change,
    Committed,
    Known,
    PrepaidOptions,
    PrepaidRow,
    PrepaidStore,
)
from ebonyhold.types import RequestId, RouterId, Seconds, Tokens, WorkspaceName

log = logging.getLogger(__name__)

TRIES = 12
"""Tries of one round against other routers that write the same budget."""

LOW_ROOM = 0.6
"""The part of the wanted room below which the ceiling is raised ahead of need.

A cut may come at any moment, and nothing above the ceiling is spent in its first
2.3 s; a larger part costs more calls.
"""

RACE_PAUSE: Seconds = 0.02
"""The longest pause after a lost race; a transaction takes some 12 ms."""


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
        prepaid: Returns the version of the configuration and the prepaid tokens
            that it names.
        routers: Returns how many routers share the budget.
        elapsed: Returns the time since this router last renewed its presence.
        schedule: When the reserve above the ceiling is released.
        policy: Sizes the grant.
        ledger: The tokens of the grant here.
        ceiling: The most tokens that may be used in all while in touch; it is
            never above what the store says, or may soon say.
        demand: What this router expects to be asked for.
        books: Both rows in the store.
        doubtful: A change whose effect is unknown.
        filed_at: When charges were last filed.
        asked: The size of the request that waits for a draw; 0 if none does.
        reachable: Whether the last round reached the store.
        charged: Tokens that requests have cost since the start.
        lock: Held by the one round that may be under way.
    """

    workspace: WorkspaceName
    router: RouterId
    store: PrepaidStore
    prepaid: Callable[[], tuple[int, Tokens]]
    routers: Callable[[], int]
    elapsed: Callable[[], Seconds]
    schedule: ReleaseSchedule = field(factory=ReleaseSchedule)
    options: PrepaidOptions = field(factory=PrepaidOptions)
    policy: GrantPolicy = field(factory=lambda: find_grant_policy("outage_cover"))
    ledger: GrantLedger = field(factory=GrantLedger)
    ceiling: Tokens = 0
    demand: Demand = field(init=False)
    books: Books = field(init=False)
    doubtful: Change | None = None
    filed_at: Seconds = -1e9
    asked: Tokens = 0
    reachable: bool = True
    charged: Tokens = 0
    lock: anyio.Lock = field(factory=anyio.Lock)

    def __attrs_post_init__(self) -> None:
        self.demand = Demand(self.options.demand_memory)
        self.books = Books(self.workspace, self.router, self.store)

    @property
    def used(self) -> Tokens:
        """Tokens charged since the start, and those held now."""
        return self.charged + self.ledger.held

    @property
    def covered(self) -> bool:
        """Whether the store's row allows all that is used here.

        It does not after an outage that took from the reserve, until the row is
        written again.
        """
        return self.used <= self.ceiling

    @property
    def limit(self) -> Tokens:
        """The most tokens that may be used in all now."""
        granted = self.used + self.ledger.available
        return self.schedule.limit(granted, self.ceiling, self.elapsed())

    def take(self, amount: Tokens) -> bool:
        """Set tokens aside if they are here, and tell whether they were."""
        return self.used + amount <= self.limit and self.ledger.hold(amount)

    async def hold(self, amount: Tokens, request: RequestId) -> None:
        """Set tokens aside for a request, drawing them if they are not here.

        Args:
            amount: The most that it can cost.
            request: Its identifier, for logs.

        Raises:
            BudgetExhaustedError: The budget surely cannot cover it.
            BudgetUnreachableError: Tokens may exist, but not here and now.
        """
        self.demand.asked(amount, anyio.current_time())
        if self.take(amount):
            return
        if self.reachable:
            with anyio.move_on_after(self.options.patience):
                await self.draw_for(amount)
            if self.take(amount):
                return
        self.log_refusal(amount, request)
        if self.books.surely_spent(amount, self.ledger):
            raise BudgetExhaustedError(f"{self.workspace}: {amount} exceed the rest")
        raise BudgetUnreachableError(f"{self.workspace}: {amount} not at hand")

    def log_refusal(self, amount: Tokens, request: RequestId) -> None:
        """Write the line that says what a refusal rests on, and how old that is."""
        budget = self.books.known.budget.budget if self.books.known else BudgetRow()
        log.info(
            "tokens refused",
            extra={
                "request": request,
                "workspace": self.workspace,
                "amount": amount,
                "available": self.ledger.available,
                "room": self.limit - self.used,
                "prepaid": budget.prepaid,
                "spent": budget.spent,
                "remaining": budget.remaining,
                "budget_age": round(self.books.age(), 2),
                "presence_age": round(self.elapsed(), 2),
                "store_reachable": self.reachable,
            },
        )

    async def draw_for(self, amount: Tokens) -> None:
        """Draw what a request lacks; other requests may take it first."""
        async with self.lock:
            if self.used + amount <= self.limit:
                return
            self.asked = amount
            try:
                await self.round()
            except PlatformError as error:
                self.reachable = False
                log.warning(
                    "draw failed",
                    extra={"workspace": self.workspace, "error": error.code},
                )
            finally:
                self.asked = 0

    def settle(self, hold: Tokens, charge: Tokens) -> None:
        """End a request's hold with what it cost."""
        self.ledger.settle(hold, min(charge, hold))
        self.charged += min(charge, hold)

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
                if change is not None:
                    await self.send(change)
                self.reachable = True
                return
            except ConflictError as error:
                self.books.lost_race(error)
                await anyio.sleep(random.random() * RACE_PAUSE)
            except PlatformError:
                self.reachable = False
                raise

    async def confirm(self) -> None:
        """Make sure that both rows are known, and nothing is in doubt."""
        if self.doubtful is not None:
            await self.send_again(self.doubtful)
        await self.books.confirm(self.need, holding=self.ledger.available > 0)

    @property
    def need(self) -> Tokens:
        """Tokens that the request waiting for a draw lacks."""
        return max(0, self.asked - self.ledger.available)

    def plan(self, closing: bool) -> Change | None:
        """Decide how both rows should change, if at all."""
        known = self.books.known or Known()
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
        low = self.ceiling_is_low()
        if not (size.draw or size.give_back or due or low or base != known.budget):
            return None
        moves = bool(size.draw or size.give_back or base != known.budget)
        return self.make_change(known, base, size, unfiled if moves or due else 0)

    def ceiling_is_low(self) -> bool:
        """Tell whether the ceiling should rise before requests meet it."""
        room = self.ceiling - self.used
        free = self.ledger.available
        if self.asked and room < self.asked <= free:
            return True
        return room < min(free, int(self.open_wanted() * LOW_ROOM))

    def open_wanted(self) -> Tokens:
        """Return the room that the ceiling should leave above what is used."""
        if self.demand.started_at is None:
            return 0
        rate = self.demand.rate(anyio.current_time())
        few = self.options.open_requests * self.demand.typical
        return int(max(rate * self.options.open_time, few, self.asked))

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
        free = self.ledger.available - returned + drawn
        ceiling = self.used + min(free, self.open_wanted())
        # Returned tokens leave the ledger before the store hears of it: an answer
        # that is lost must not leave them spendable here and in the budget.
        # A lower ceiling holds at once for the same reason.
        self.ledger.available -= returned
        self.ceiling = min(self.ceiling, ceiling)
        moves = Moves(drawn, returned, billed, ceiling)
        return make_change(self.workspace, self.router, known, base, moves)

    async def send(self, change: Change) -> None:
        """Commit a change and carry its effect to the ledger.

        Raises:
            ConflictError: Another router was first; nothing was changed.
            UnavailableError: The store certainly did nothing.
            UnknownOutcomeError: It may take effect; it is now `doubtful`.
        """
        try:
            committed = await self.store.commit(change.transaction)
        except (ConflictError, UnavailableError):
            self.ledger.available += change.returned
            raise
        except (UnknownOutcomeError, anyio.get_cancelled_exc_class()):
            self.doubtful = change
            raise
        self.took_effect(change, committed)

    async def send_again(self, change: Change) -> None:
        """Find out what became of a change whose answer was lost.

        The same change is sent again under the same checks, so it takes effect
        at most once.  When the checks fail, the sequence of the own row says
        whether the first sending was what made them fail; if not, neither of
        them can take effect any more, since versions only grow.
        """
        try:
            committed = await self.store.commit(change.transaction)
        except ConflictError:
            known = await self.books.read()
            self.doubtful = None
            if known.note.grant.sequence == change.after.note.grant.sequence:
                self.apply(change)
            else:
                self.ledger.available += change.returned
            return
        self.doubtful = None
        self.took_effect(change, committed)

    def took_effect(self, change: Change, committed: Committed) -> None:
        """Carry a change to the ledger whose versions are known."""
        self.books.written(change, committed)
        self.apply(change)

    def apply(self, change: Change) -> None:
        """Carry a change to the ledger."""
        self.ledger.available += change.drawn
        self.ceiling = change.after.note.ceiling
        if change.billed:
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
                "ceiling": self.ceiling - self.used,
                "sequence": change.after.note.grant.sequence,
            },
        )
