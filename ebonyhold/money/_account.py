"""The task that owns one workspace's grant: holds, draws, bills, returns."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable

import anyio
from attrs import define, field, frozen

from ebonyhold.coordination import (
    Bill,
    BudgetRow,
    GrantLedger,
    GrantRow,
    GrantView,
    RequestRow,
    RouterRow,
    RouterState,
    Seen,
    Settlement,
    Table,
    TransferRow,
    TransferState,
    Wish,
    budget_key,
    find_grant_policy,
    grant_key,
    grant_keys,
    plan_settlement,
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
from ebonyhold.types import RouterId, Tokens, WorkspaceName

SETTLE_TRIES = 8
"""Tries of one settlement against other writers, before the next round."""


@define(eq=False)
class Waiter:
    """A request that waits for a hold."""

    need: Tokens
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
    ask_peers: Callable[[Account, Tokens], object]
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
    settlements: int = 0

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
        waiter = Waiter(need)
        self.waiters.append(waiter)
        self.poke(urgent=True)
        try:
            with anyio.move_on_after(self.options.acquire_within):
                await waiter.done.wait()
        finally:
            if waiter in self.waiters:
                self.waiters.remove(waiter)
            if waiter.granted and not waiter.done.is_set():
                waiter.granted = False
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
        self.poke(urgent=urgent)

    def give(self, transfer: str, amount: Tokens, append: Append) -> None:
        """Take tokens out for another router."""
        self.ledger.give(amount)
        self.given[transfer] = Given(transfer, amount, append)

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
                self.fail(error)
                return
            except PlatformError as error:
                await self._out_of_reach(error)
            else:
                self.pause = 0.0
                await self._refuse_the_rest()
            if self._forgettable():
                return

    async def _wait_for_work(self) -> None:
        # Filing waits for company; a request in need or a booking does not.
        with anyio.move_on_after(self.options.resize_interval):
            await self.wake.wait()
        if not self.urgent:
            with anyio.move_on_after(self.options.filing_interval):
                while not self.urgent and not self.closing:
                    self.wake = anyio.Event()
                    await self.wake.wait()
        self.wake = anyio.Event()
        self.urgent = False

    def _forgettable(self) -> bool:
        idle = anyio.current_time() - self.used_at
        if idle < self.options.evict_after and not self.closing:
            return False
        busy = self.unfiled or self.arrivals or self.given or self.waiters
        return not busy and self.doubt is None and self.ledger.empty

    async def settle(self) -> None:
        """File, draw, return: until nothing is wanted of the table now.

        Raises:
            PlatformError: The table could not be reached.
            SealedError: This incarnation is over.
        """
        for arrival in list(self.arrivals.values()):
            await self._settle_arrival(arrival)
        while await self._settle_once():
            self._serve()
        self.reachable = True

    async def _settle_once(self) -> bool:
        for _ in range(SETTLE_TRIES):
            bills = self._ready_bills()
            if not (bills or self.waiters or self.doubt or self.given):
                if not self._wants_resize():
                    return False
            rows = await self._read(bills)
            if self._resolve_doubt(rows):
                return True
            self._note_settled_gifts(rows)
            wish = await self._wish(bills)
            if wish is None:
                return False
            if await self._commit(self._plan(rows, wish)):
                return True
        return False

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

    async def _wish(self, bills: tuple[Bill, ...]) -> Wish | None:
        view = self.view()
        policy = find_grant_policy(self.policy().grants)
        size = policy.size(view)
        if self.closing:
            draw, give_back = 0, self.ledger.available
        elif view.idle >= self.options.evict_after and not view.need:
            draw, give_back = 0, self.ledger.available
        else:
            draw, give_back = size.draw, size.give_back
        left = self.budget.remaining if self.budget else 0
        draw = min(draw, max(left, 0))
        give_back = min(give_back, self.ledger.spare)
        if not (bills or draw or give_back or self.doubt):
            return None
        return Wish(bills, draw, give_back)

    def _plan(self, rows: _Rows, wish: Wish) -> Settlement:
        return plan_settlement(
            self.me,
            self.journal.router,
            rows.budget,
            rows.grant,
            rows.requests,
            wish,
            time.time(),
        )

    async def _commit(self, plan: Settlement) -> bool:
        if self.doubt is not None:
            # The lost call may still arrive.  It carries the version of the
            # grant that it read, so sending it again can take effect once at
            # most; a conflict says which of the two it was.
            plan = self.doubt
        else:
            self.ledger.available -= plan.returned
        self.doubt = plan
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
        except UnavailableError:
            raise
        self._took_effect(plan)
        return True

    async def _after_conflict(self, plan: Settlement) -> bool:
        rows = await self._read(())
        grant = rows.grant.value or GrantRow()
        if grant.sequence >= plan.sequence:
            self._took_effect(plan)
            return True
        # A check failed and will fail for ever, so this plan is dead.
        self.doubt = None
        self.ledger.available += plan.returned
        await anyio.sleep(0)
        return False

    def _took_effect(self, plan: Settlement) -> None:
        self.doubt = None
        self.settlements += 1
        self.budget = plan.budget
        self.ledger.available += plan.drawn
        for filed in plan.filed:
            self._filed(filed.bill, filed.paid)

    def _filed(self, bill: Bill, paid: Tokens) -> None:
        for run, unfiled in list(self.unfiled.items()):
            if unfiled.bill is bill:
                del self.unfiled[run]
                self.ledger.filed(bill.charge, paid)
                self.journal.settle(run)

    def _note_settled_gifts(self, rows: _Rows) -> None:
        grant = rows.grant.value or GrantRow()
        moved = self.ledger.total - grant.held
        if not self.given or moved <= 0:
            return
        self.urgent = True

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

    async def settle_gifts(self) -> None:
        """Find out which transfers to others are settled, or can never be.

        Raises:
            PlatformError: The table could not be reached.
        """
        for given in list(self.given.values()):
            await self._settle_gift(given)

    async def _settle_gift(self, given: Given) -> None:
        _, to = transfer_ends(given.transfer)
        keys = (transfer_key(given.transfer), router_key(to))
        row, receiver = await self.table.read(keys)
        transfer = seen(keys[0], row, TransferRow)
        if transfer.value is not None:
            self._gift_ended(given, transfer.value.state)
            return
        router = seen(keys[1], receiver, RouterRow)
        closed = router.value is not None and router.value.state is RouterState.CLOSED
        if not closed:
            return
        # A closed receiver has settled all it received: this one was lost.
        from ebonyhold.coordination import Transaction

        lapsed = TransferRow(
            self.workspace, self.me, to, given.amount, TransferState.LAPSED
        )
        wish = Transaction(
            (self.journal.router.check, transfer.check, router.check),
            (transfer.put(lapsed),),
        )
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
        while self.waiters and self.ledger.hold(self.waiters[0].need):
            waiter = self.waiters.popleft()
            waiter.granted = True
            waiter.done.set()

    def _wants_resize(self) -> bool:
        size = find_grant_policy(self.policy().grants).size(self.view())
        return bool(size.draw or size.give_back)

    async def _refuse_the_rest(self) -> None:
        """Refuse whom the budget, read just now, cannot serve."""
        self._serve()
        if not self.waiters:
            return
        await self._beg()
        for waiter in list(self.waiters):
            waiter.error = self._refusal(waiter.need)
            waiter.done.set()
            self.waiters.remove(waiter)

    def _refusal(self, need: Tokens) -> BudgetError:
        row = self.budget or BudgetRow()
        if row.prepaid - row.spent < need:
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
        for waiter in list(self.waiters):
            waiter.error = BudgetUnreachableError(
                f"the budget of {self.workspace} cannot be reached: {error}"
            )
            waiter.done.set()
            self.waiters.remove(waiter)
        longer = max(self.options.retry_pause, self.pause * 2)
        self.pause = min(longer, self.options.most_pause)
        with anyio.move_on_after(self.pause):
            while not self.urgent:
                await self.wake.wait()
                self.wake = anyio.Event()

    async def _beg(self) -> None:
        need = sum(waiter.need for waiter in self.waiters) - self.ledger.available
        if need > 0:
            await self.ask_peers(self, need)  # type: ignore[misc]
        self._serve()

    def fail(self, error: SealedError) -> None:
        """Fail everybody: this incarnation is over."""
        for waiter in self.waiters:
            waiter.error = error
            waiter.done.set()
        self.waiters.clear()


@frozen
class _Rows:
    budget: Seen[BudgetRow]
    grant: Seen[GrantRow]
    requests: dict[str, Seen[RequestRow]]
