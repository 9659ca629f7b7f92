"""One workspace's prepaid tokens at one router."""

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
from ebonyhold.exceptions import (
    BudgetExhaustedError,
    BudgetUnreachableError,
    ConflictError,
    PlatformError,
)
from ebonyhold.prepaid._allowance import Outlook, allowance
from ebonyhold.prepaid._changes import Moves, make_change
from ebonyhold.prepaid._demand import Demand
from ebonyhold.prepaid._grant import Grant
from ebonyhold.prepaid._limits import LimitBook, SpendingLimit
from ebonyhold.prepaid._reclaim import Predecessor
from ebonyhold.prepaid._transfers import TransferPeers, choose_givers
from ebonyhold.prepaid._types import (
    Change,
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

Of all routers that draw on one budget at once only one wins while a transaction takes,
and the others' tries count against the store's rate.
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
        usual: Returns the size of a usual request at this router; 0 if unknown.
        limits: How much may be used, by what this router last wrote to the store.
        renew: Writes what may be used anew, at once.
        in_touch: Returns whether such writes arrive.
        peers: The other routers' grants; None where nobody can be asked.
        holding: Returns whether this router is a holder of the workspace.
        policy: Sizes the grant.
        demand: What this router expects to be asked for.
        grant: The tokens here, and the rows in the store.
        asked: The size of the requests that wait for tokens, in all.
        reachable: Whether the last round reached the store.
        closing: Whether the process is about to end: nothing is drawn any more, since
            nobody would return it.
        lock: Held by the one round that may be under way.
    """

    workspace: WorkspaceName
    router: RouterId
    store: PrepaidStore
    prepaid: Callable[[], tuple[int, Tokens]]
    routers: Callable[[], int]
    usual: Callable[[], float]
    limits: LimitBook
    renew: Callable[[], Coroutine[None, None, None]]
    in_touch: Callable[[], bool]
    peers: TransferPeers | None = None
    holding: Callable[[], bool] = lambda: True
    options: PrepaidOptions = field(factory=PrepaidOptions)
    policy: GrantPolicy = field(factory=lambda: find_grant_policy("outage_cover"))
    demand: Demand = field(init=False)
    grant: Grant = field(init=False)
    asked: Tokens = 0
    reachable: bool = True
    closing: bool = False
    lock: anyio.Lock = field(factory=anyio.Lock)

    def __attrs_post_init__(self) -> None:
        self.demand = Demand(self.options.demand_memory)
        self.grant = Grant(self.workspace, self.router, self.store, self.routers)

    def limit(self) -> Tokens:
        """Return the most tokens that may be used in all now."""
        return self.limits.limit(self.workspace, anyio.current_time())

    def take(self, amount: Tokens) -> bool:
        """Set tokens aside if they may be used here now, and tell whether they were.

        Only these count as demand.  Callers that are refused ask again elsewhere, and
        a budget that is nearly spent would be drawn on, and held, for each of them.
        """
        taken = self.grant.used + amount <= self.limit() and self.grant.ledger.hold(
            amount
        )
        if taken:
            self.demand.served(amount, anyio.current_time())
        return taken

    async def hold(self, amount: Tokens, request: RequestId) -> None:
        """Set tokens aside for a request, drawing them if they are not here.

        Args:
            amount: The most that it can cost.
            request: Its identifier, for logs.

        Raises:
            BudgetExhaustedError: The budget surely cannot cover it.
            BudgetUnreachableError: Tokens may exist, but not here and now.
        """
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
        if self.peers is not None and await self.collect(amount, self.peers):
            return
        self.log_refusal(amount, request)
        if self.is_surely_spent(amount):
            raise BudgetExhaustedError(f"{self.workspace}: {amount} exceed the rest")
        raise BudgetUnreachableError(f"{self.workspace}: {amount} not at hand")

    def is_surely_spent(self, amount: Tokens) -> bool:
        """Tell whether the budget, as the configuration names it, is too small."""
        known = self.grant.books.known or Known()
        prepaid = self.under_rules(known.budget).budget.prepaid
        return self.grant.books.surely_spent(amount, self.grant.ledger, prepaid)

    async def collect(self, amount: Tokens, peers: TransferPeers) -> bool:
        """Have other routers pass on what a request lacks; tell whether it has it.

        A router that is cut off from the store, or finds the budget drawn, would else
        refuse what lies idle in the grants of its neighbours.
        """
        offers = await peers.offers(self.workspace)
        for peer in choose_givers(offers, amount - self.spare):
            lacking = amount - self.spare
            if lacking <= 0:
                break
            self.grant.receive(await peers.transfer(peer, self.workspace, lacking))
        return self.take(amount)

    @property
    def spare(self) -> Tokens:
        """Tokens that are free here and may be used now."""
        room = self.limit() - self.grant.used
        return max(0, min(self.grant.ledger.available, room))

    @property
    def offer(self) -> Tokens:
        """Tokens that another router may expect from here.

        In touch with the store these are also what the budget itself holds: a router
        that is cut off alone draws through its neighbours.
        """
        if self.closing:
            return 0
        if self.reachable and self.in_touch():
            return self.grant.ledger.available + max(0, self.budget.remaining)
        return self.spare

    async def give(self, amount: Tokens) -> Tokens:
        """Pass tokens on to another router that asks for them; return how many."""
        if amount > self.spare and self.reachable and self.in_touch():
            with anyio.move_on_after(self.options.patience):
                await self.make_room(amount)
        # The process may have begun to return the grant during that wait.
        given = 0 if self.closing else min(amount, self.spare)
        self.grant.give(given)
        return given

    def log_refusal(self, amount: Tokens, request: RequestId) -> None:
        """Write the line that says what a refusal rests on, and how old that is."""
        budget = self.budget
        log.info(
            "tokens refused",
            extra={
                "request": request,
                "workspace": self.workspace,
                "amount": amount,
                "available": self.grant.ledger.available,
                "room": self.limit() - self.grant.used,
                "prepaid": budget.prepaid,
                "spent": budget.spent,
                "remaining": budget.remaining,
                "budget_age": round(self.grant.books.age(), 2),
                "limit_age": round(self.limits.age(anyio.current_time()), 2),
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
                if self.grant.used + amount > self.limit():
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

    async def tick(self) -> None:
        """Look after the grant: draw ahead, return, file charges.

        Raises:
            PlatformError: The store did not do what was asked.
        """
        async with self.lock:
            await self.round()

    def settle(self, hold: Tokens, charge: Tokens) -> None:
        """End a request's hold with what it cost."""
        self.grant.settle(hold, charge)

    async def close(self) -> None:
        """File all charges and return what is free, before the process ends.

        Raises:
            PlatformError: The store did not do what was asked.
        """
        self.closing = True
        async with self.lock:
            await self.round()

    async def inherit(self, predecessor: Predecessor) -> bool:
        """Take what a predecessor provably left of its grant.

        Returns:
            Whether that is done; a process that is about to end leaves it to the next,
            since it may have returned its own grant already.

        Raises:
            PlatformError: The store did not do what was asked.
        """
        async with self.lock:
            if self.closing:
                return False
            await self.confirm()
            await self.grant.inherit(predecessor)
            return True

    async def round(self) -> None:
        """Bring both rows and the ledger to where they should be."""
        for lost in range(TRIES):
            try:
                await self.confirm()
                change = self.plan()
                if change is not None:
                    await self.grant.send(change)
                self.reachable = True
                return
            except ConflictError as error:
                self.grant.books.lost_race(error)
                await anyio.sleep(random.random() * RACE_PAUSE * 2 ** min(lost, 4))
            except PlatformError:
                self.reachable = False
                raise

    async def confirm(self) -> None:
        """Make sure that both rows are known, and nothing is in doubt."""
        await self.grant.resolve()
        holding = self.grant.ledger.available > 0
        await self.grant.books.confirm(self.need, holding=holding)

    @property
    def need(self) -> Tokens:
        """Tokens that the requests waiting for them lack."""
        return max(0, self.asked - self.grant.ledger.available)

    def plan(self) -> Change | None:
        """Decide how both rows should change, if at all."""
        known = self.grant.books.known or Known()
        base = self.under_rules(known.budget)
        size = self.size(base.budget)
        now = anyio.current_time()
        overdue = now - self.grant.filed_at > self.options.file_after
        unfiled = self.grant.ledger.unfiled
        due = unfiled and (overdue or self.closing)
        moves = bool(size.draw or size.give_back or base != known.budget)
        if not (moves or due):
            return None
        return self.make_change(known, base, size)

    def under_rules(self, row: PrepaidRow) -> PrepaidRow:
        """Return a budget with what a later configuration than its own prepays."""
        version, prepaid = self.prepaid()
        if version <= row.rules_version or prepaid == row.budget.prepaid:
            return row
        return PrepaidRow(version, evolve(row.budget, prepaid=prepaid))

    def wanted_limit(self) -> SpendingLimit:
        """Return what the next renewal should say of this grant."""
        budget = self.budget
        unspent = max(0, budget.prepaid - budget.spent)
        outlook = Outlook(
            # A successor may take back no more than the grant's own row holds.
            used=max(0, self.grant.used),
            asked=self.asked,
            rate=self.demand.rate(anyio.current_time()),
            typical=self.typical,
            cover=outage_cover(self.view(budget)),
            horizon=self.options.horizon,
            level=unspent / max(1, budget.prepaid),
            delay=self.limits.delay,
        )
        return allowance(outlook)

    @property
    def typical(self) -> float:
        """Return the size of a usual request of this workspace, as far as known."""
        return self.demand.typical or self.usual()

    @property
    def budget(self) -> BudgetRow:
        """Return the budget as it was last seen."""
        return (
            self.grant.books.known.budget.budget
            if self.grant.books.known
            else BudgetRow()
        )

    def size(self, budget: BudgetRow) -> GrantSize:
        """Say how much to draw or to return."""
        available = self.grant.ledger.available
        if self.closing:
            return GrantSize(give_back=available)
        if budget.remaining < 0:
            # The operator lowered the budget below what is out: all routers give
            # back what they do not need, and draw again from what is left.
            return GrantSize(give_back=min(available, -budget.remaining))
        if not self.holding():
            # Requests here ask a holder; what lies here is missing there.
            lacking = min(self.need, budget.remaining)
            return GrantSize(draw=lacking, give_back=0 if self.asked else available)
        return self.policy.size(self.view(budget))

    def view(self, budget: BudgetRow) -> GrantView:
        """Return what the policy decides on."""
        return GrantView(
            need=min(self.need, max(budget.remaining, 0)),
            available=self.grant.ledger.available,
            rate=self.demand.rate(anyio.current_time()),
            typical=int(self.typical),
            routers=self.routers(),
            budget=budget,
            horizon=self.options.horizon,
        )

    def make_change(self, known: Known, base: PrepaidRow, size: GrantSize) -> Change:
        """Return the change, with what is returned already out of the ledger."""
        drawn = min(size.draw, max(base.budget.remaining, 0))
        returned = min(size.give_back, self.grant.ledger.available)
        # Returned tokens leave the ledger before the store hears of it: an answer
        # that is lost must not leave them spendable here and in the budget.
        self.grant.ledger.available -= returned
        ledger = self.grant.ledger
        moves = Moves(drawn, returned, ledger.unfiled, ledger.given, ledger.received)
        return make_change(self.workspace, self.router, known, base, moves)
