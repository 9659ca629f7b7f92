"""The task that owns one workspace's grant: holds, draws, bills, returns."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Awaitable, Callable
from contextlib import suppress
from functools import partial

import anyio
from attrs import define, field, frozen

from ebonyhold.coordination import (
    Bill,
    BudgetRow,
    GrantLedger,
    GrantRow,
    GrantSize,
    GrantView,
    LedgerChange,
    RequestRow,
    RouterRow,
    Seen,
    Settlement,
    Table,
    TransferRow,
    TransferState,
    announce_transfer,
    budget_key,
    find_grant_policy,
    grant_key,
    grant_keys,
    plan_settlement,
    revoke_transfer,
    router_key,
    seen,
    settle_transfer,
    transfer_ends,
    transfer_key,
)
from ebonyhold.document import Policy
from ebonyhold.exceptions import (
    BudgetError,
    BudgetExhaustedError,
    BudgetUnreachableError,
    ConflictError,
    PlatformError,
    SealedError,
    UnavailableError,
    UnknownOutcomeError,
)
from ebonyhold.money._demand import DemandEstimate
from ebonyhold.money._journal import Append, Journal
from ebonyhold.money._options import MoneyOptions
from ebonyhold.types import RouterId, Seconds, Tokens, WorkspaceName

SETTLE_ROUNDS = 50
"""Settlements of one round, before waiting requests are looked at again."""

SETTLE_TRIES = 8
"""Tries of one settlement against other writers, before the next round."""


@define(eq=False)
class Waiter:
    """A request that waits for a hold.

    Attributes:
        need: Tokens it wants to hold.
        since: When it came.
        joined: How often the budget had been read when it came: only a read
            after that is fresh enough to refuse it.
        done: Set when it is granted or refused.
        granted: Whether it has its hold.
        error: Why it was refused.
    """

    need: Tokens
    since: float
    joined: int
    done: anyio.Event = field(factory=anyio.Event)
    granted: bool = False
    error: BudgetError | SealedError | None = None


@frozen
class Unfiled:
    """A bill that is not in the table yet, and the append of its outcome."""

    bill: Bill
    append: Append


@frozen
class Arrival:
    """A received transfer that is not settled in the table yet."""

    transfer: str
    amount: Tokens


@frozen
class Given:
    """A transfer to another router that is not settled in the table yet."""

    transfer: str
    amount: Tokens
    append: Append


@define(eq=False)
class Account:
    """One workspace's grant, as long as it is in use here.

    Requests take holds from the ledger at once where they can.  All calls to
    the table are made by the one task in `run`, one after the other, so at most
    one settlement is ever in doubt.

    Attributes:
        workspace: Whose grant.
        ledger: The tokens of the grant.
        budget: The budget as last read or written.
        unfiled: Bills on their way, by run.
        arrivals: Received transfers on their way.
        given: Transfers to others on their way, by name.
        doubt: A settlement that may or may not have taken effect.
        reachable: Whether the last call to the table succeeded.
    """

    workspace: WorkspaceName
    journal: Journal
    table: Table
    options: MoneyOptions
    policy: Callable[[], Policy]
    routers: Callable[[], int]
    ask_peers: Callable[[Account, Tokens], Awaitable[None]]
    ledger: GrantLedger = field(factory=GrantLedger)
    demand: DemandEstimate = field(factory=DemandEstimate)
    budget: BudgetRow | None = None
    unfiled: dict[str, Unfiled] = field(factory=dict)
    arrivals: dict[str, Arrival] = field(factory=dict)
    given: dict[str, Given] = field(factory=dict)
    waiters: deque[Waiter] = field(factory=deque)
    doubt: Settlement | None = None
    reachable: bool = True
    urgent: bool = False
    closing: bool = False
    wake: anyio.Event = field(factory=anyio.Event)
    used_at: float = field(factory=anyio.current_time)
    pause: float = 0.0
    drawn: Tokens = 0
    reads: int = 0
    settlements: int = 0
    gifts_checked_at: float = 0.0
    gifts_announced: bool = False

    @property
    def me(self) -> RouterId:
        """Return the incarnation that this account belongs to."""
        return self.journal.me

    async def acquire(self, need: Tokens) -> None:
        """Take a hold.

        Raises:
            BudgetExhaustedError: The table says that too little is left.
            BudgetUnreachableError: Tokens may exist elsewhere.
            SealedError: This incarnation is over.
        """
        now = anyio.current_time()
        self.used_at = now
        self.demand.note(need, now)
        if not self.waiters and self.ledger.hold(need):
            if self._wants_resize():
                self.poke()
            return
        waiter = Waiter(need, now, self.reads)
        self.waiters.append(waiter)
        self.poke(urgent=True)
        try:
            with anyio.move_on_after(self.options.acquire_within):
                await waiter.done.wait()
        except BaseException:
            if waiter.granted:
                self.release(need, 0)
            raise
        finally:
            if waiter in self.waiters:
                self.waiters.remove(waiter)
        if waiter.granted:
            return
        if waiter.error is not None:
            raise waiter.error
        raise BudgetUnreachableError(f"no tokens of {self.workspace} came in time")

    def release(self, hold: Tokens, charge: Tokens) -> None:
        """End a hold."""
        self.used_at = anyio.current_time()
        self.ledger.settle(hold, charge)
        self._serve()

    def file(self, run: str, bill: Bill, append: Append, *, urgent: bool) -> None:
        """Queue a bill; it is filed once its outcome is durable."""
        self.unfiled[run] = Unfiled(bill, append)
        append.then = partial(self.poke, urgent=urgent)
        if append.done.is_set():
            append.then()

    def give(self, transfer: str, amount: Tokens, append: Append) -> Given:
        """Take tokens out for another router."""
        self.ledger.give(amount)
        given = Given(transfer, amount, append)
        self.given[transfer] = given
        return given

    def arrive(self, transfer: str, amount: Tokens) -> None:
        """Add tokens whose receipt is durable."""
        self.ledger.receive(amount)
        self.arrivals[transfer] = Arrival(transfer, amount)
        self._serve()
        self.poke()

    def poke(self, *, urgent: bool = False) -> None:
        """Wake the task."""
        self.urgent = self.urgent or urgent
        self.wake.set()

    def view(self) -> GrantView:
        """Return what a policy may look at."""
        now = anyio.current_time()
        policy = self.policy()
        need = sum(waiter.need for waiter in self.waiters)
        return GrantView(
            need=max(need - self.ledger.available, 0),
            available=self.ledger.available,
            rate=self.demand.rate(now),
            typical=self.demand.typical,
            drawn=self.drawn,
            idle=now - self.used_at,
            routers=self.routers(),
            budget=self.budget,
            horizon=policy.grant_horizon,
            reserve_share=policy.reserve_share,
        )

    async def run(self) -> None:
        """Settle with the table until the account has nothing left to keep."""
        while not self.journal.sealed.is_set():
            await self._wait_for_work()
            try:
                await self.settle()
            except SealedError as error:
                self.journal.seal([], error)
                self.fail(error)
                return
            except PlatformError as error:
                await self._out_of_reach(error)
            else:
                self.pause = 0.0
                await self._refuse_the_rest()
            if self._forgettable():
                return
            if self.closing:
                await anyio.sleep(self.options.retry_pause)

    async def _wait_for_work(self) -> None:
        # Filing waits for company; a request in need or a booking does not.
        await self._pause(self.options.resize_interval, until_poked=True)
        await self._pause(self.options.filing_interval)
        self.wake = anyio.Event()
        self.urgent = False

    async def _pause(self, longest: Seconds, *, until_poked: bool = False) -> None:
        """Wait until something urgent comes, or just something, or time is up."""
        with anyio.move_on_after(longest):
            while not (self.urgent or self.closing):
                await self.wake.wait()
                if until_poked:
                    return
                self.wake = anyio.Event()

    def _forgettable(self) -> bool:
        idle = anyio.current_time() - self.used_at
        if idle < self.options.evict_after and not self.closing:
            return False
        if self.unfiled or self.arrivals or self.waiters or self.doubt is not None:
            return False
        if self.closing:
            return self.gifts_announced and not self.ledger.mine
        return not self.given and self.ledger.empty

    async def settle(self) -> None:
        """File, draw, return: until nothing is wanted of the table now.

        Raises:
            PlatformError: The table could not be reached.
            SealedError: This incarnation is over.
        """
        for arrival in list(self.arrivals.values()):
            await self._settle_arrival(arrival)
        await self._settle_gifts()
        if self.closing:
            await self._announce_gifts()
        for _ in range(SETTLE_ROUNDS):
            if not await self._settle_once():
                break
            self._serve()
        self.reachable = True

    async def _settle_once(self) -> bool:
        """Make one settlement; False when the table is not wanted now."""
        for _ in range(SETTLE_TRIES):
            bills = self._ready_bills()
            if not (bills or self.waiters or self.doubt or self._wants_resize()):
                return False
            rows = await self._read(bills)
            if self._resolve_doubt(rows):
                return True
            plan = self.doubt or self._plan(rows, bills)
            if plan is None:
                return False
            if await self._commit(plan):
                return True
            await anyio.sleep(
                self.journal.random.random() * self.options.conflict_pause
            )
        reason = "did not answer" if self.doubt else "met other writers"
        raise UnavailableError(f"the budget of {self.workspace} {reason}")

    def _ready_bills(self) -> tuple[Bill, ...]:
        chosen: dict[str, Bill] = {}
        for unfiled in self.unfiled.values():
            if len(chosen) >= self.options.bills_at_once:
                break
            if unfiled.append.done.is_set():
                chosen.setdefault(unfiled.bill.key, unfiled.bill)
        return tuple(chosen.values())

    async def _read(self, bills: tuple[Bill, ...]) -> _Rows:
        keys = (
            router_key(self.me),
            budget_key(self.workspace),
            grant_key(self.me, self.workspace),
            *(bill.key for bill in bills),
        )
        router, budget, grant, *requests = await self.table.read(keys)
        if router is None or router.version != self.journal.router.version:
            raise SealedError(f"{self.me} was sealed")
        rows = _Rows(
            seen(keys[1], budget, BudgetRow),
            seen(keys[2], grant, GrantRow),
            {
                key: seen(key, row, RequestRow)
                for key, row in zip(keys[3:], requests, strict=True)
            },
        )
        self.budget = rows.budget.value
        self.reads += 1
        return rows

    def _resolve_doubt(self, rows: _Rows) -> bool:
        """Learn from the grant's sequence number whether a lost commit took effect."""
        if self.doubt is None:
            return False
        doubt = self.doubt
        grant = rows.grant.value or GrantRow()
        if grant.sequence >= doubt.sequence:
            self._took_effect(doubt)
            return True
        return False

    def _plan(self, rows: _Rows, bills: tuple[Bill, ...]) -> Settlement | None:
        size = self._size()
        left = self.budget.remaining if self.budget else 0
        draw = min(size.draw, max(left, 0))
        give_back = min(size.give_back, self.ledger.spare)
        if not (bills or draw or give_back):
            return None
        plan = plan_settlement(
            self.me,
            self.journal.router,
            rows.budget,
            rows.grant,
            rows.requests,
            LedgerChange(bills, draw, give_back),
            time.time(),
        )
        self.ledger.available -= plan.returned
        self.doubt = plan
        return plan

    def _size(self) -> GrantSize:
        view = self.view()
        idle = view.idle >= self.options.evict_after and not view.need
        if self.closing or idle:
            return GrantSize(give_back=self.ledger.spare)
        return find_grant_policy(self.policy().grants).size(view)

    async def _commit(self, plan: Settlement) -> bool:
        """Commit a plan, perhaps for the second time; False when it did not count.

        A call whose answer was lost may still arrive.  It carries the versions
        of the rows that it read, so sending it again takes effect once at most;
        a conflict then says, by the grant's sequence number, which it was.
        """
        if plan.returned:
            # What goes back may have been set free by outcomes that only this
            # router knows; recovery must not charge a hold that has left.
            await self.journal.flush()
        try:
            await self.table.commit(plan.transaction)
        except ConflictError:
            return await self._after_conflict(plan)
        except UnknownOutcomeError:
            return False
        self._took_effect(plan)
        return True

    async def _after_conflict(self, plan: Settlement) -> bool:
        rows = await self._read(())
        grant = rows.grant.value or GrantRow()
        if grant.sequence >= plan.sequence:
            self._took_effect(plan)
            return True
        # A check failed, and a version never comes back: this plan is dead.
        self.doubt = None
        self.ledger.available += plan.returned
        return False

    def _took_effect(self, plan: Settlement) -> None:
        self.doubt = None
        self.settlements += 1
        self.budget = plan.budget
        self.ledger.available += plan.drawn
        self.drawn += plan.drawn - plan.returned
        for filed in plan.filed:
            self._filed(filed.bill, filed.paid)

    def _filed(self, bill: Bill, paid: Tokens) -> None:
        for run, unfiled in list(self.unfiled.items()):
            if unfiled.bill is bill:
                del self.unfiled[run]
                self.ledger.filed(bill.charge, paid)
                self.journal.settle(run)

    async def _settle_arrival(self, arrival: Arrival) -> None:
        source_key, own_key = grant_keys(arrival.transfer, self.workspace)
        keys = (
            transfer_key(arrival.transfer),
            router_key(self.me),
            source_key,
            own_key,
        )
        for _ in range(SETTLE_TRIES):
            transfer, router, source, own = await self.table.read(keys)
            if router is None or router.version != self.journal.router.version:
                raise SealedError(f"{self.me} was sealed")
            wish = settle_transfer(
                seen(keys[0], transfer, TransferRow),
                seen(keys[1], router, RouterRow),
                seen(keys[2], source, GrantRow),
                seen(keys[3], own, GrantRow),
                self.workspace,
                arrival.amount,
            )
            if wish is None:
                del self.arrivals[arrival.transfer]
                self.ledger.received -= arrival.amount
                self.journal.settle(arrival.transfer)
                return
            try:
                await self.table.commit(wish)
            except (ConflictError, UnknownOutcomeError):
                continue
        raise UnavailableError(f"transfer {arrival.transfer} met other writers")

    async def _settle_gifts(self) -> None:
        """Find out which transfers to others are settled, or can never be."""
        now = anyio.current_time()
        if now < self.gifts_checked_at + self.options.resize_interval:
            return
        self.gifts_checked_at = now
        for given in list(self.given.values()):
            await self._settle_gift(given)

    async def _announce_gifts(self) -> None:
        """Leave transfers that nobody settled yet to whoever sweeps later."""
        for given in self.given.values():
            key = transfer_key(given.transfer)
            for _ in range(SETTLE_TRIES):
                (row,) = await self.table.read((key,))
                wish = announce_transfer(
                    seen(key, row, TransferRow), self.workspace, given.amount
                )
                if wish is None:
                    break
                with suppress(ConflictError, UnknownOutcomeError):
                    await self.table.commit(wish)
            else:
                raise UnavailableError(f"{given.transfer} could not be announced")
        self.gifts_announced = True

    async def _settle_gift(self, given: Given) -> None:
        _, to = transfer_ends(given.transfer)
        keys = (transfer_key(given.transfer), router_key(to))
        row, receiver = await self.table.read(keys)
        transfer = seen(keys[0], row, TransferRow)
        if transfer.value is not None:
            self._gift_ended(given, transfer.value.state)
            return
        router = seen(keys[1], receiver, RouterRow)
        wish = revoke_transfer(
            self.journal.router, transfer, router, self.workspace, given.amount
        )
        if wish is None:
            return
        try:
            await self.table.commit(wish)
        except (ConflictError, UnknownOutcomeError):
            return
        self._gift_ended(given, TransferState.LAPSED)

    def _gift_ended(self, given: Given, state: TransferState) -> None:
        if state is TransferState.PENDING:
            return
        if self.given.pop(given.transfer, None) is None:
            return
        self.ledger.given -= given.amount
        if state is TransferState.LAPSED:
            self.ledger.available += given.amount
        self.journal.settle(given.transfer)

    def _serve(self) -> None:
        for waiter in list(self.waiters):
            if self.ledger.hold(waiter.need):
                self.waiters.remove(waiter)
                waiter.granted = True
                waiter.done.set()

    def _wants_resize(self) -> bool:
        size = self._size()
        return bool(size.draw or size.give_back)

    async def _refuse_the_rest(self) -> None:
        """Refuse whom the budget, read just now, cannot serve."""
        self._serve()
        for waiter in self._judged():
            if self._exhausted(waiter.need):
                self._refuse(waiter, self._refusal(waiter.need))
        judged = self._judged()
        if not judged:
            return
        await self._beg()
        now = anyio.current_time()
        patience = find_grant_policy(self.policy().grants).patience
        for waiter in judged:
            if not waiter.granted and now >= waiter.since + patience:
                self._refuse(waiter, self._refusal(waiter.need))
        if self.waiters:
            await self._wait_for_returns()

    async def _wait_for_returns(self) -> None:
        """Give other requests a moment to end, here and at other routers."""
        with anyio.move_on_after(self.options.patience_step):
            await self.wake.wait()
        self.poke(urgent=True)

    def _judged(self) -> list[Waiter]:
        return [waiter for waiter in self.waiters if waiter.joined < self.reads]

    def _refuse(self, waiter: Waiter, error: BudgetError | SealedError) -> None:
        if waiter in self.waiters:
            self.waiters.remove(waiter)
        waiter.error = error
        waiter.done.set()

    def _exhausted(self, need: Tokens) -> bool:
        row = self.budget or BudgetRow()
        return row.prepaid - row.spent < need

    def _refusal(self, need: Tokens) -> BudgetError:
        if self._exhausted(need):
            row = self.budget or BudgetRow()
            return BudgetExhaustedError(
                f"{self.workspace} has {row.prepaid - row.spent} tokens left, "
                f"and the request may cost {need}"
            )
        return BudgetUnreachableError(
            f"{self.workspace} has tokens left, but other requests hold them"
        )

    async def _out_of_reach(self, error: PlatformError) -> None:
        self.reachable = False
        self._serve()
        if self.waiters:
            await self._beg()
        reason = f"the budget of {self.workspace} cannot be reached: {error}"
        for waiter in list(self.waiters):
            self._refuse(waiter, BudgetUnreachableError(reason))
        longer = max(self.options.retry_pause, self.pause * 2)
        self.pause = min(longer, self.options.most_pause)
        await self._pause(self.pause)

    async def _beg(self) -> None:
        need = sum(waiter.need for waiter in self.waiters) - self.ledger.available
        if need > 0:
            await self.ask_peers(self, need)
        self._serve()

    def fail(self, error: SealedError) -> None:
        """Fail everybody: this incarnation is over."""
        for waiter in list(self.waiters):
            self._refuse(waiter, error)


@frozen
class _Rows:
    budget: Seen[BudgetRow]
    grant: Seen[GrantRow]
    requests: dict[str, Seen[RequestRow]]
