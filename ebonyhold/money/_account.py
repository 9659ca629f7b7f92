"""The task that owns one workspace's grant: holds, draws, bills, returns."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from functools import partial

import anyio
from attrs import define, field, frozen

from ebonyhold.coordination import (
    Bill,
    BudgetRow,
    Filed,
    GrantLedger,
    GrantSize,
    GrantView,
    LedgerChange,
    Settlement,
    Table,
    Verdict,
    find_grant_policy,
)
from ebonyhold.document import Policy
from ebonyhold.exceptions import (
    BudgetError,
    BudgetExhaustedError,
    BudgetUnreachableError,
    PlatformError,
    SealedError,
    UnavailableError,
)
from ebonyhold.money._demand import DemandEstimate
from ebonyhold.money._grant_writer import GrantRows, GrantWriter
from ebonyhold.money._journal import Append, Journal
from ebonyhold.money._options import MoneyOptions
from ebonyhold.money._transfer_book import TransferBook
from ebonyhold.money._waiters import Waiter, WaitingRequests
from ebonyhold.types import RouterId, Seconds, Tokens, WorkspaceName

SETTLE_ROUNDS = 50
"""Settlements of one round, before waiting requests are looked at again."""

SETTLE_TRIES = 8
"""Tries of one settlement against other writers, before the next round."""


@frozen
class Unfiled:
    """A bill that is not in the table yet, and the append of its outcome."""

    bill: Bill
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
        unfiled: Bills on their way, by run.
        transfers: Tokens on their way to and from other routers.
        waiters: Requests that wait for a hold.
        writer: Reads and writes the budget and the grant.
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
    unfiled: dict[str, Unfiled] = field(factory=dict)
    transfers: TransferBook = field(init=False)
    waiters: WaitingRequests = field(factory=WaitingRequests)
    writer: GrantWriter = field(init=False)
    reachable: bool = True
    urgent: bool = False
    closing: bool = False
    wake: anyio.Event = field(factory=anyio.Event)
    used_at: float = field(factory=anyio.current_time)
    pause: float = 0.0
    drawn: Tokens = 0

    def __attrs_post_init__(self) -> None:
        """Make the parts that share the ledger."""
        self.writer = GrantWriter(
            self.workspace, self.journal, self.table, self._take_effect, self._drop
        )
        self.transfers = TransferBook(
            self.workspace, self.ledger, self.journal, self.table, self.options
        )

    @property
    def budget(self) -> BudgetRow | None:
        """Return the budget as last read or written."""
        return self.writer.budget

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
        waiter = Waiter(need, now, self.writer.reads_begun)
        self.waiters.join(waiter)
        self.poke(urgent=True)
        try:
            with anyio.move_on_after(self.options.acquire_within):
                await waiter.done.wait()
        except BaseException:
            if waiter.granted:
                self.release(need, 0)
            raise
        finally:
            self.waiters.leave(waiter)
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
        """Queue a bill."""
        self.unfiled[run] = Unfiled(bill, append)
        self.poke(urgent=urgent)

    def arrive(self, transfer: str, amount: Tokens) -> None:
        """Add tokens from another router, whose receipt is durable."""
        self.transfers.arrive(transfer, amount)
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
        return GrantView(
            need=max(self.waiters.need - self.ledger.available, 0),
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
        if self.unfiled or self.waiters or self.writer.doubt is not None:
            return False
        if self.transfers.arrivals:
            return False
        if self.closing:
            return self.transfers.announced and not self.ledger.mine
        return not self.transfers.given and self.ledger.empty

    async def settle(self) -> None:
        """File, draw, return: until nothing is wanted of the table now.

        Raises:
            PlatformError: The table could not be reached.
            SealedError: This incarnation is over.
        """
        await self.transfers.settle()
        if self.closing:
            await self.transfers.announce()
        for _ in range(SETTLE_ROUNDS):
            if not await self._settle_once():
                break
            self._serve()
        self.reachable = True

    async def _settle_once(self) -> bool:
        """Make one settlement; False when the table is not wanted now."""
        for _ in range(SETTLE_TRIES):
            bills = self._ready_bills()
            doubt = self.writer.doubt
            if not (bills or self.waiters or doubt or self._wants_resize()):
                return False
            rows = await self.writer.read(bills)
            if self.writer.resolve(rows):
                return True
            plan = self.writer.doubt or self._plan(rows, bills)
            if plan is None:
                return False
            if await self.writer.commit(plan):
                return True
            await anyio.sleep(
                self.journal.random.random() * self.options.conflict_pause
            )
        reason = "did not answer" if self.writer.doubt else "met other writers"
        raise UnavailableError(f"the budget of {self.workspace} {reason}")

    def _ready_bills(self) -> tuple[Bill, ...]:
        chosen: dict[str, Bill] = {}
        for unfiled in self.unfiled.values():
            if len(chosen) >= self.options.bills_at_once:
                break
            chosen.setdefault(unfiled.bill.key, unfiled.bill)
        return tuple(chosen.values())

    def _plan(self, rows: GrantRows, bills: tuple[Bill, ...]) -> Settlement | None:
        size = self._size()
        left = self.budget.remaining if self.budget else 0
        draw = min(size.draw, max(left, 0))
        give_back = min(size.give_back, self.ledger.spare)
        if not (bills or draw or give_back):
            return None
        plan = self.writer.plan(rows, LedgerChange(bills, draw, give_back))
        self.ledger.available -= plan.returned
        return plan

    def _size(self) -> GrantSize:
        view = self.view()
        idle = view.idle >= self.options.evict_after and not view.need
        if self.closing or idle:
            return GrantSize(give_back=self.ledger.spare)
        return find_grant_policy(self.policy().grants).size(view)

    def _take_effect(self, plan: Settlement) -> None:
        self.ledger.available += plan.drawn
        self.drawn += plan.drawn - plan.returned
        for filed in plan.filed:
            self._filed(filed)

    def _drop(self, plan: Settlement) -> None:
        self.ledger.available += plan.returned

    def _filed(self, filed: Filed) -> None:
        for run, unfiled in list(self.unfiled.items()):
            if unfiled.bill is filed.bill:
                del self.unfiled[run]
                self.ledger.filed(filed.bill.charge, filed.paid)
                self._forget_run(run, unfiled.append, filed.verdict)

    def _forget_run(self, run: str, append: Append, verdict: Verdict) -> None:
        """Let the journal drop a run whose bill is decided.

        Its own row is all that recovery needs to know of it.  Where another
        run's bill stands in the row, only the outcome tells how this one ended.
        """
        if verdict is not Verdict.LEAVE:
            self.journal.withdraw(append)
        settle = partial(self.journal.settle, run)
        if append.done.is_set():
            settle()
        else:
            append.then = settle

    def _serve(self) -> None:
        self.waiters.serve(self.ledger)

    def _wants_resize(self) -> bool:
        size = self._size()
        return bool(size.draw or size.give_back)

    async def _refuse_the_rest(self) -> None:
        """Refuse whom the budget, read just now, cannot serve."""
        self._serve()
        for waiter in self.waiters.judged_by(self.writer.last_read):
            if self._exhausted(waiter.need):
                self.waiters.refuse(waiter, self._refusal(waiter.need))
        judged = self.waiters.judged_by(self.writer.last_read)
        if not judged:
            return
        await self._beg()
        now = anyio.current_time()
        patience = find_grant_policy(self.policy().grants).patience
        for waiter in judged:
            if not waiter.granted and now >= waiter.since + patience:
                self.waiters.refuse(waiter, self._refusal(waiter.need))
        if self.waiters:
            await self._wait_for_returns()

    async def _wait_for_returns(self) -> None:
        """Give other requests a moment to end, here and at other routers."""
        with anyio.move_on_after(self.options.patience_step):
            await self.wake.wait()
        self.poke(urgent=True)

    def _exhausted(self, need: Tokens) -> bool:
        # The row of a new workspace comes with its first top-up, maybe seconds later.
        if self.budget is None:
            return False
        return self.budget.prepaid - self.budget.spent < need

    def _refusal(self, need: Tokens) -> BudgetError:
        if self.budget is None:
            return BudgetUnreachableError(
                f"the first top-up of {self.workspace} is not made yet"
            )
        if self._exhausted(need):
            left = self.budget.prepaid - self.budget.spent
            return BudgetExhaustedError(
                f"{self.workspace} has {left} tokens left, "
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
        for waiter in self.waiters:
            self.waiters.refuse(waiter, BudgetUnreachableError(reason))
        longer = max(self.options.retry_pause, self.pause * 2)
        self.pause = min(longer, self.options.most_pause)
        await self._pause(self.pause)

    async def _beg(self) -> None:
        lack = self.waiters.need - self.ledger.available
        if lack > 0:
            await self.ask_peers(self, lack)
        self._serve()

    def fail(self, error: SealedError) -> None:
        """Fail everybody: this incarnation is over."""
        for waiter in self.waiters:
            self.waiters.refuse(waiter, error)
