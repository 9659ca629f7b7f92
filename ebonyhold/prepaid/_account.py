"""One workspace's prepaid tokens at one router."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable, Coroutine

import anyio
from attrs import define, evolve, field

from ebonyhold.coordination import (
    BudgetRow,
    GrantLedger,
    GrantPolicy,
    GrantSize,
    GrantView,
    find_grant_policy,
    outage_cover,
)
from ebonyhold.exceptions import (
    BudgetExhaustedError,
    BudgetUnreachableError,
    ConflictError,
    PlatformError,
    UnavailableError,
    UnknownOutcomeError,
)
from ebonyhold.prepaid._allowance import Outlook, allowance
from ebonyhold.prepaid._books import Books
from ebonyhold.prepaid._changes import Moves, make_change
from ebonyhold.prepaid._demand import Demand
from ebonyhold.prepaid._limits import SpendingLimit
from ebonyhold.prepaid._reclaim import (
    Inheritance,
    Predecessor,
    find_inheritance,
    inherit_change,
)
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

RACE_PAUSE: Seconds = 0.02
"""The longest pause after a first lost race; it doubles with each further one.

A transaction takes some 12 ms.  Of 84 routers that draw on one budget at once only one
wins in that time, and the others' tries count against the store's rate.
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
        prepaid: Returns the version of the configuration and the prepaid tokens
            that it names.
        routers: Returns how many routers share the budget.
        limit: Returns the most tokens that may be used in all now, by what this
            router last wrote to the store.
        renew: Writes what may be used anew, at once.
        in_touch: Returns whether such writes arrive.
        policy: Sizes the grant.
        ledger: The tokens of the grant here.
        demand: What this router expects to be asked for.
        books: Both rows in the store.
        doubtful: A change whose effect is unknown.
        filed_at: When charges were last filed.
        asked: The size of the requests that wait for tokens, in all.
        reachable: Whether the last round reached the store.
        charged: Tokens that requests have cost since the start.
        closing: Whether the process is about to end: nothing is drawn any more, since
            nobody would return it.
        lock: Held by the one round that may be under way.
    """

    workspace: WorkspaceName
    router: RouterId
    store: PrepaidStore
    prepaid: Callable[[], tuple[int, Tokens]]
    routers: Callable[[], int]
    limit: Callable[[], Tokens]
    renew: Callable[[], Coroutine[None, None, None]]
    in_touch: Callable[[], bool]
    options: PrepaidOptions = field(factory=PrepaidOptions)
    policy: GrantPolicy = field(factory=lambda: find_grant_policy("outage_cover"))
    ledger: GrantLedger = field(factory=GrantLedger)
    demand: Demand = field(init=False)
    books: Books = field(init=False)
    doubtful: Change | None = None
    filed_at: Seconds = -1e9
    asked: Tokens = 0
    reachable: bool = True
    charged: Tokens = 0
    closing: bool = False
    lock: anyio.Lock = field(factory=anyio.Lock)

    def __attrs_post_init__(self) -> None:
        self.demand = Demand(self.options.demand_memory)
        self.books = Books(self.workspace, self.router, self.store, self.routers)

    @property
    def used(self) -> Tokens:
        """Tokens charged since the start, and those held now."""
        return self.charged + self.ledger.held

    def take(self, amount: Tokens) -> bool:
        """Set tokens aside if they may be used here now, and tell whether they were."""
        return self.used + amount <= self.limit() and self.ledger.hold(amount)

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
        if self.reachable and self.in_touch():
            with anyio.move_on_after(self.options.patience):
                await self.make_room(amount)
                if self.take(amount):
                    return
                await self.make_room(amount)
            if self.take(amount):
                return
        self.log_refusal(amount, request)
        if self.books.surely_spent(amount, self.ledger):
            raise BudgetExhaustedError(f"{self.workspace}: {amount} exceed the rest")
        raise BudgetUnreachableError(f"{self.workspace}: {amount} not at hand")

    def log_refusal(self, amount: Tokens, request: RequestId) -> None:
        """Write the line that says what a refusal rests on, and how old that is."""
        budget = self.budget
        log.info(
            "tokens refused",
            extra={
                "request": request,
                "workspace": self.workspace,
                "amount": amount,
                "available": self.ledger.available,
                "room": self.limit() - self.used,
                "prepaid": budget.prepaid,
                "spent": budget.spent,
                "remaining": budget.remaining,
                "budget_age": round(self.books.age(), 2),
                "store_reachable": self.reachable and self.in_touch(),
            },
        )

    async def make_room(self, amount: Tokens) -> None:
        """Draw what a request lacks, and have the limit raised if it is too low."""
        self.asked += amount
        try:
            async with anyio.create_task_group() as tasks:
                if self.need:
                    tasks.start_soon(self.draw)
                if self.used + amount > self.limit():
                    tasks.start_soon(self.renew)
        finally:
            self.asked -= amount

    async def draw(self) -> None:
        """Draw what waiting requests lack; another round may have done so."""
        async with self.lock:
            if not self.need:
                return
            try:
                await self.round()
            except PlatformError as error:
                log.warning(
                    "draw failed",
                    extra={"workspace": self.workspace, "error": error.code},
                )

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
        self.closing = True
        async with self.lock:
            await self.round()

    async def inherit(self, predecessor: Predecessor) -> None:
        """Take what a predecessor provably left of its grant.

        Raises:
            PlatformError: The store did not do what was asked.
        """
        async with self.lock:
            await self.confirm()
            found = await find_inheritance(self.store, self.workspace, predecessor)
            if found is None:
                return
            if found.left:
                change = inherit_change(
                    self.workspace, self.router, self.books.known or Known(), found
                )
                try:
                    await self.send(change)
                except ConflictError as error:
                    self.books.lost_race(error)
                    raise
            self.log_inheritance(predecessor, found)

    def log_inheritance(self, predecessor: Predecessor, found: Inheritance) -> None:
        """Write the line that says what was taken of a grant, and on what grounds."""
        log.info(
            "grant reclaimed" if found.left else "grant not reclaimed",
            extra={
                "workspace": self.workspace,
                "predecessor": predecessor.router,
                "returned": found.left,
                "granted": found.granted,
                "limit": found.limit,
                "filed": found.grant.billed,
                "elapsed": round(predecessor.elapsed, 2),
            },
        )

    async def round(self) -> None:
        """Bring both rows and the ledger to where they should be."""
        for lost in range(TRIES):
            try:
                await self.confirm()
                change = self.plan()
                if change is not None:
                    await self.send(change)
                self.reachable = True
                return
            except ConflictError as error:
                self.books.lost_race(error)
                await anyio.sleep(random.random() * RACE_PAUSE * 2 ** min(lost, 4))
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
        """Tokens that the requests waiting for them lack."""
        return max(0, self.asked - self.ledger.available)

    def plan(self) -> Change | None:
        """Decide how both rows should change, if at all."""
        known = self.books.known or Known()
        version, prepaid = self.prepaid()
        base = known.budget
        if version > base.rules_version and prepaid != base.budget.prepaid:
            budget = evolve(base.budget, prepaid=prepaid)
            base = PrepaidRow(version, budget)
        size = self.size(base.budget)
        now = anyio.current_time()
        overdue = now - self.filed_at > self.options.file_after
        unfiled = self.ledger.unfiled
        due = unfiled and (overdue or self.closing)
        moves = bool(size.draw or size.give_back or base != known.budget)
        if not (moves or due):
            return None
        return self.make_change(known, base, size)

    def wanted_limit(self) -> SpendingLimit:
        """Return what the next renewal should say of this grant."""
        budget = self.budget
        unspent = max(0, budget.prepaid - budget.spent)
        outlook = Outlook(
            used=self.used,
            asked=self.asked,
            rate=self.demand.rate(anyio.current_time()),
            typical=self.demand.typical,
            cover=outage_cover(self.view(budget)),
            horizon=self.options.horizon,
            level=unspent / max(1, budget.prepaid),
        )
        return allowance(outlook, self.options.room)

    @property
    def budget(self) -> BudgetRow:
        """Return the budget as it was last seen."""
        return self.books.known.budget.budget if self.books.known else BudgetRow()

    def size(self, budget: BudgetRow) -> GrantSize:
        """Say how much to draw or to return."""
        available = self.ledger.available
        if self.closing:
            return GrantSize(give_back=available)
        if budget.remaining < 0:
            # The operator lowered the budget below what is out: all routers give
            # back what they do not need, and draw again from what is left.
            return GrantSize(give_back=min(available, -budget.remaining))
        return self.policy.size(self.view(budget))

    def view(self, budget: BudgetRow) -> GrantView:
        """Return what the policy decides on."""
        return GrantView(
            need=min(self.need, max(budget.remaining, 0)),
            available=self.ledger.available,
            rate=self.demand.rate(anyio.current_time()),
            typical=int(self.demand.typical),
            routers=self.routers(),
            budget=budget,
            horizon=self.options.horizon,
        )

    def make_change(self, known: Known, base: PrepaidRow, size: GrantSize) -> Change:
        """Return the change, with what is returned already out of the ledger."""
        drawn = min(size.draw, max(base.budget.remaining, 0))
        returned = min(size.give_back, self.ledger.available)
        # Returned tokens leave the ledger before the store hears of it: an answer
        # that is lost must not leave them spendable here and in the budget.
        self.ledger.available -= returned
        moves = Moves(drawn, returned, self.ledger.unfiled)
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
            if known.grant.sequence == change.after.grant.sequence:
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
                "room": self.limit() - self.used,
                "sequence": change.after.grant.sequence,
            },
        )
