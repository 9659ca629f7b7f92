"""The task that manages one workspace's grant: holds, draws, bills and returns."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from functools import partial

import anyio
from attrs import define, field, frozen

from ebonyhold.coordination import (
    Bill,
    BudgetRow,
    Filed,
    FilingDecision,
    GrantLedger,
    GrantSize,
    GrantView,
    LedgerChange,
    Settlement,
    Table,
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
from ebonyhold.money._journal import Journal, PendingAppend
from ebonyhold.money._options import MoneyOptions
from ebonyhold.money._unsettled_transfers import UnsettledTransfers
from ebonyhold.money._waiters import Waiter, WaitingRequests
from ebonyhold.types import RouterId, Seconds, Tokens, WorkspaceName

MAX_SETTLEMENTS = 50
"""Maximum consecutive settlements before waiting requests may be refused."""

MAX_SETTLE_TRIES = 8
"""Maximum tries of one settlement that conflicts with other writers."""


@frozen
class UnfiledBill:
    """A bill that is not in the table yet, and the journal append of its outcome."""

    bill: Bill
    append: PendingAppend


@define(eq=False)
class WorkspaceGrant:
    """The grant of one workspace at one router, kept while the workspace is in use.

    Requests take holds from the ledger at once while enough tokens are available. Only
    the task in `run` calls the table, one call at a time, so at most one settlement is
    in doubt.

    Attributes:
        workspace: Name of the workspace.
        ledger: Counters of the grant's tokens.
        unfiled: Bills that are not in the table yet, by run of a request.
        transfers: Transfers to and from other routers that are not settled in the
            table.
        waiters: Requests that wait for a hold.
        writer: Reads and writes the rows of the budget and the grant.
        reachable: Whether the last call to the table succeeded.
        urgent: Whether the task must not wait for further bills.
        closing: Whether all tokens are to be returned, because the router drains.
        used_at: When a request last took or released a hold (monotonic clock).
        drawn: Tokens drawn from the budget, less those returned.
    """

    workspace: WorkspaceName
    journal: Journal
    table: Table
    options: MoneyOptions
    policy: Callable[[], Policy]
    count_routers: Callable[[], int]
    ask_peers: Callable[[WorkspaceGrant, Tokens], Awaitable[None]]
    ledger: GrantLedger = field(factory=GrantLedger)
    demand: DemandEstimate = field(factory=DemandEstimate)
    unfiled: dict[str, UnfiledBill] = field(factory=dict)
    transfers: UnsettledTransfers = field(init=False)
    waiters: WaitingRequests = field(factory=WaitingRequests)
    writer: GrantWriter = field(init=False)
    reachable: bool = True
    urgent: bool = False
    closing: bool = False
    wake: anyio.Event = field(factory=anyio.Event)
    used_at: float = field(factory=anyio.current_time)
    retry_delay: float = 0.0
    drawn: Tokens = 0

    def __attrs_post_init__(self) -> None:
        """Create the writer and the transfers of this grant."""
        self.writer = GrantWriter(
            self.workspace, self.journal, self.table, self._apply, self._revert
        )
        self.transfers = UnsettledTransfers(
            self.workspace, self.ledger, self.journal, self.table, self.options
        )

    @property
    def budget(self) -> BudgetRow | None:
        """The budget as last read or written; None if it has no row or was not read."""
        return self.writer.budget

    @property
    def self_id(self) -> RouterId:
        """Identifier of the incarnation that owns this grant."""
        return self.journal.self_id

    async def acquire(self, need: Tokens) -> None:
        """Take a hold, and wait for tokens if too few are available.

        Raises:
            BudgetExhaustedError: The budget in the table has too few tokens left.
            BudgetUnreachableError: Too few tokens became available in time, but the
                budget may have more.
            SealedError: This incarnation was sealed.
        """
        now = anyio.current_time()
        self.used_at = now
        self.demand.record(need, now)
        if not self.waiters and self.ledger.hold(need):
            if self._needs_resize():
                self.notify()
            return
        waiter = Waiter(need, now, self.writer.reads_started)
        self.waiters.add(waiter)
        self.notify(urgent=True)
        try:
            with anyio.move_on_after(self.options.acquire_timeout):
                await waiter.done.wait()
        except BaseException:
            if waiter.granted:
                self.release(need, 0)
            raise
        finally:
            self.waiters.remove(waiter)
        if waiter.granted:
            return
        if waiter.error is not None:
            raise waiter.error
        raise BudgetUnreachableError(f"no tokens of {self.workspace} came in time")

    def release(self, hold: Tokens, charge: Tokens) -> None:
        """End a hold: the charge becomes unfiled, the rest available again."""
        self.used_at = anyio.current_time()
        self.ledger.settle(hold, charge)
        self._grant_holds()

    def file(
        self, run: str, bill: Bill, append: PendingAppend, *, urgent: bool
    ) -> None:
        """Queue a bill to be filed in the table, without delay if `urgent`."""
        self.unfiled[run] = UnfiledBill(bill, append)
        self.notify(urgent=urgent)

    def receive(self, transfer: str, amount: Tokens) -> None:
        """Add tokens from another router; call it once their receipt is journalled."""
        self.transfers.receive(transfer, amount)
        self._grant_holds()
        self.notify()

    def notify(self, *, urgent: bool = False) -> None:
        """Wake the task; with `urgent`, the task does not wait for further bills."""
        self.urgent = self.urgent or urgent
        self.wake.set()

    def view(self) -> GrantView:
        """Return the state from which a grant policy computes draws and returns."""
        now = anyio.current_time()
        policy = self.policy()
        return GrantView(
            need=max(self.waiters.need - self.ledger.available, 0),
            available=self.ledger.available,
            rate=self.demand.rate(now),
            typical=self.demand.typical,
            drawn=self.drawn,
            idle=now - self.used_at,
            routers=self.count_routers(),
            budget=self.budget,
            horizon=policy.grant_horizon,
            reserve_share=policy.reserve_share,
        )

    async def run(self) -> None:
        """Settle this grant until it can be discarded or the incarnation is sealed.

        Failures of the table are retried; waiting requests are refused in the meantime.
        """
        while not self.journal.sealed.is_set():
            await self._wait_for_work()
            try:
                await self.settle()
            except SealedError as error:
                self.journal.seal([], error)
                self.fail(error)
                return
            except PlatformError as error:
                await self._handle_platform_error(error)
            else:
                self.retry_delay = 0.0
                await self._refuse_unservable()
            if self._can_evict():
                return
            if self.closing:
                await anyio.sleep(self.options.min_retry_delay)

    async def _wait_for_work(self) -> None:
        # Waits for work, then collects bills for one transaction. Waiting requests and
        # bills of bookings are urgent and end both waits.
        await self._wait(self.options.resize_interval, until_notified=True)
        await self._wait(self.options.filing_interval)
        self.wake = anyio.Event()
        self.urgent = False

    async def _wait(self, max_wait: Seconds, *, until_notified: bool = False) -> None:
        """Wait until work is urgent or the grant closes, for at most `max_wait`.

        With `until_notified`, work that is not urgent ends the wait too.
        """
        with anyio.move_on_after(max_wait):
            while not (self.urgent or self.closing):
                await self.wake.wait()
                if until_notified:
                    return
                self.wake = anyio.Event()

    def _can_evict(self) -> bool:
        idle = anyio.current_time() - self.used_at
        if idle < self.options.evict_after and not self.closing:
            return False
        if self.unfiled or self.waiters or self.writer.in_doubt is not None:
            return False
        if self.transfers.received:
            return False
        if self.closing:
            return self.transfers.announced and not self.ledger.own_tokens
        return not self.transfers.given and self.ledger.empty

    async def settle(self) -> None:
        """Settle transfers, then file bills, draw and return tokens as needed.

        At most `MAX_SETTLEMENTS` settlements are made; the rest is left to the next
        call. A closing grant also writes its unsettled given transfers to the table.

        Raises:
            PlatformError: The table could not be reached or kept conflicting.
            SealedError: This incarnation was sealed.
        """
        await self.transfers.settle()
        if self.closing:
            await self.transfers.announce()
        for _ in range(MAX_SETTLEMENTS):
            if not await self._settle_once():
                break
            self._grant_holds()
        self.reachable = True

    async def _settle_once(self) -> bool:
        """Make one settlement; return False if there is nothing to settle.

        Raises:
            UnavailableError: None of `MAX_SETTLE_TRIES` tries took effect.
        """
        for _ in range(MAX_SETTLE_TRIES):
            bills = self._ready_bills()
            in_doubt = self.writer.in_doubt
            if not (bills or self.waiters or in_doubt or self._needs_resize()):
                return False
            rows = await self.writer.read(bills)
            if self.writer.resolve(rows):
                return True
            plan = self.writer.in_doubt or self._plan(rows, bills)
            if plan is None:
                return False
            if await self.writer.commit(plan):
                return True
            await anyio.sleep(
                self.journal.random.random() * self.options.conflict_delay
            )
        reason = "did not answer" if self.writer.in_doubt else "met other writers"
        raise UnavailableError(f"the budget of {self.workspace} {reason}")

    def _ready_bills(self) -> tuple[Bill, ...]:
        chosen: dict[str, Bill] = {}
        for unfiled in self.unfiled.values():
            if len(chosen) >= self.options.bills_per_transaction:
                break
            chosen.setdefault(unfiled.bill.key, unfiled.bill)
        return tuple(chosen.values())

    def _plan(self, rows: GrantRows, bills: tuple[Bill, ...]) -> Settlement | None:
        size = self._wanted_size()
        left = self.budget.remaining if self.budget else 0
        draw = min(size.draw, max(left, 0))
        give_back = min(size.give_back, self.ledger.returnable)
        if not (bills or draw or give_back):
            return None
        plan = self.writer.plan(rows, LedgerChange(bills, draw, give_back))
        self.ledger.available -= plan.returned
        return plan

    def _wanted_size(self) -> GrantSize:
        view = self.view()
        idle = view.idle >= self.options.evict_after and not view.need
        if self.closing or idle:
            return GrantSize(give_back=self.ledger.returnable)
        return find_grant_policy(self.policy().grants).size(view)

    def _apply(self, plan: Settlement) -> None:
        self.ledger.available += plan.drawn
        self.drawn += plan.drawn - plan.returned
        for filed in plan.filed:
            self._apply_filed(filed)

    def _revert(self, plan: Settlement) -> None:
        self.ledger.available += plan.returned

    def _apply_filed(self, filed: Filed) -> None:
        for run, unfiled in list(self.unfiled.items()):
            if unfiled.bill is filed.bill:
                del self.unfiled[run]
                self.ledger.filed(filed.bill.charge, filed.paid)
                self._unpin_run(run, unfiled.append, filed.decision)

    def _unpin_run(
        self, run: str, append: PendingAppend, decision: FilingDecision
    ) -> None:
        """Let the journal delete a run's segments, since the run's bill is settled.

        The outcome is withdrawn if it is not written yet, because recovery needs only
        the request's row. If that row keeps another run's bill
        (`FilingDecision.LEAVE`), the journal has the only record of this run's outcome,
        which is then not withdrawn.
        """
        if decision is not FilingDecision.LEAVE:
            self.journal.withdraw(append)
        unpin = partial(self.journal.unpin, run)
        if append.done.is_set():
            unpin()
        else:
            append.on_done = unpin

    def _grant_holds(self) -> None:
        self.waiters.grant_holds(self.ledger)

    def _needs_resize(self) -> bool:
        size = self._wanted_size()
        return bool(size.draw or size.give_back)

    async def _refuse_unservable(self) -> None:
        """Refuse waiting requests that cannot be served.

        A request is refused at once if it exceeds the unspent budget, as last read.
        For the others, tokens are requested from peers. A request that still lacks
        tokens is refused when it has waited for the maximum time of the grant policy.
        """
        self._grant_holds()
        for waiter in self.waiters.waiting_before(self.writer.last_read):
            if self._exhausted(waiter.need):
                self.waiters.refuse(waiter, self._refusal(waiter.need))
        waiting = self.waiters.waiting_before(self.writer.last_read)
        if not waiting:
            return
        await self._request_from_peers()
        now = anyio.current_time()
        max_wait = find_grant_policy(self.policy().grants).wait_timeout
        for waiter in waiting:
            if not waiter.granted and now >= waiter.since + max_wait:
                self.waiters.refuse(waiter, self._refusal(waiter.need))
        if self.waiters:
            await self._wait_for_returns()

    async def _wait_for_returns(self) -> None:
        """Wait for `wake` or the recheck interval, then have the budget read again.

        In the meantime requests may end, here or at other routers, and free tokens.
        """
        with anyio.move_on_after(self.options.recheck_interval):
            await self.wake.wait()
        self.notify(urgent=True)

    def _exhausted(self, need: Tokens) -> bool:
        # A new workspace has no row until its first top-up, which may follow seconds
        # later, so a missing row does not mean that the budget is exhausted.
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

    async def _handle_platform_error(self, error: PlatformError) -> None:
        self.reachable = False
        self._grant_holds()
        if self.waiters:
            await self._request_from_peers()
        reason = f"the budget of {self.workspace} cannot be reached: {error}"
        for waiter in self.waiters:
            self.waiters.refuse(waiter, BudgetUnreachableError(reason))
        longer = max(self.options.min_retry_delay, self.retry_delay * 2)
        self.retry_delay = min(longer, self.options.max_retry_delay)
        await self._wait(self.retry_delay)

    async def _request_from_peers(self) -> None:
        shortage = self.waiters.need - self.ledger.available
        if shortage > 0:
            await self.ask_peers(self, shortage)
        self._grant_holds()

    def fail(self, error: SealedError) -> None:
        """Refuse all waiting requests, because this incarnation was sealed."""
        for waiter in self.waiters:
            self.waiters.refuse(waiter, error)
