"""The money side of one incarnation of a router."""

from __future__ import annotations

from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup, TaskStatus
from attrs import evolve, frozen

from ebonyhold.coordination import (
    ClaimAnswer,
    Intent,
    Objects,
    Outcome,
    RequestKind,
    RequestState,
    Table,
    first_attempt,
    make_bill,
    next_attempt,
    run_of,
)
from ebonyhold.document import Policy
from ebonyhold.exceptions import (
    SealedError,
    UnavailableError,
)
from ebonyhold.money._account import Account
from ebonyhold.money._claims import Claims, Look, needs_claim, unavailable
from ebonyhold.money._exchange import TokenExchange
from ebonyhold.money._interface import BackendTruth, Order, Permit, Replay
from ebonyhold.money._journal import Append, Journal
from ebonyhold.money._options import MoneyOptions
from ebonyhold.money._registration import register, unregister
from ebonyhold.money._status import MoneyStatus, grant_status
from ebonyhold.routers import PeerLink
from ebonyhold.types import BackendName, RouterId, Tokens, WorkspaceName


@frozen
class _Run:
    """A request between its hold and its end."""

    intent: Intent
    hold: Tokens
    claimed: bool = False


class Treasury:
    """Holds, claims, journals and bills for one incarnation.

    Attributes:
        me: The incarnation.
        accounts: The workspaces in use here; idle ones are forgotten.
        runs: Requests between their hold and their end, by run.
        journal: The journal, once `open` has registered the incarnation.
    """

    def __init__(
        self,
        router: RouterId,
        table: Table,
        objects: Objects,
        policy: Callable[[], Policy],
        peers: PeerLink | None = None,
        backend_truth: BackendTruth | None = None,
        address: str = "",
        domain: str = "",
        options: MoneyOptions | None = None,
    ) -> None:
        self.me = router
        self.table = table
        self.objects = objects
        self.policy = policy
        self.peers = peers
        self.backend_truth = backend_truth
        self.address = address
        self.domain = domain
        self.options = options or MoneyOptions()
        self.accounts: dict[WorkspaceName, Account] = {}
        self.runs: dict[str, _Run] = {}
        self.journal: Journal | None = None
        self.claims: Claims | None = None
        self.draining = False
        self.serial = 0
        self.exchange: TokenExchange | None = None
        self.tasks: TaskGroup | None = None

    @property
    def sealed(self) -> bool:
        """Whether another router has recovered this incarnation."""
        return self.journal is not None and self.journal.sealed.is_set()

    async def open(self) -> None:
        """Register the incarnation in the table.

        Without its row nobody could recover it, so nothing is served before.

        Raises:
            PlatformError: The table could not be written.
        """
        router = await register(self.table, self.me, self.domain, self.address)
        self.journal = Journal(self.me, self.table, self.objects, self.options, router)
        self.claims = Claims(router, self.table)
        self.exchange = TokenExchange(
            self.me,
            self.peers,
            self.journal,
            self.policy,
            self.options,
            self.accounts,
            self._account,
            lambda: self.sealed or self.draining,
        )

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Run the tasks; returns once the incarnation is sealed or drained."""
        journal = self._journal()
        self._exchange().listen()
        try:
            async with anyio.create_task_group() as tasks:
                self.tasks = tasks
                tasks.start_soon(journal.run)
                for account in self.accounts.values():
                    tasks.start_soon(self._keep, account)
                task_status.started()
                await journal.sealed.wait()
                tasks.cancel_scope.cancel()
        finally:
            # A request may still settle while the daemon stops: its account
            # must not start a task in a group that has ended.
            self.tasks = None
        self._fail_all()

    def _fail_all(self) -> None:
        error = SealedError(f"{self.me} was sealed")
        for account in self.accounts.values():
            account.fail(error)

    def _journal(self) -> Journal:
        if self.journal is None:
            raise UnavailableError(f"{self.me} is not registered yet")
        return self.journal

    def _exchange(self) -> TokenExchange:
        if self.exchange is None:
            raise UnavailableError(f"{self.me} is not registered yet")
        return self.exchange

    async def begin(self, order: Order) -> Permit | Replay:
        """Take the hold and the claim, and make the intent durable.

        Raises:
            BudgetExhaustedError: The table says that nothing is left.
            BudgetUnreachableError: Tokens may exist elsewhere.
            KeyReusedError: The same key came with another body.
            ClaimUnavailableError: A needed claim cannot be recorded now.
            OutcomeUnknownError: A call that may not be repeated may have run.
            UnavailableError: The intent cannot be made durable; nothing ran.
            SealedError: This incarnation has been recovered by another.
        """
        if self.sealed:
            raise SealedError(f"{self.me} was sealed")
        if self.draining:
            raise UnavailableError(f"{self.me} is stopping")
        self._journal()
        look = await self._look(order)
        if look is not None and look.decision.kept is not None:
            return _replay(look)
        unbilled = _unbilled(look)
        hold = 0 if unbilled else order.hold
        if hold:
            await self._account(order.workspace).acquire(hold)
        return await self._start(order, look, hold, unbilled)

    async def _look(self, order: Order) -> Look | None:
        if self.claims is None or not (order.keyed or order.claim_needed):
            return None
        try:
            return await self.claims.look(order)
        except UnavailableError as error:
            if needs_claim(order):
                raise unavailable(error) from error
            return None

    async def _start(
        self, order: Order, look: Look | None, hold: Tokens, unbilled: bool
    ) -> Permit | Replay:
        self.serial += 1
        attempt = first_attempt(self.me, self.serial)
        intent = Intent(
            workspace=order.workspace,
            request=order.request,
            attempt=attempt,
            backend=order.backend,
            hold=hold,
            kind=order.kind,
            digest=order.digest,
            keyed=order.keyed,
            boot=order.boot,
        )
        permit = Permit(order, attempt, unbilled)
        self.runs[run_of(attempt)] = _Run(intent, hold)
        try:
            await self._journal().put(intent, keep=False).wait()
            if look is not None and self.claims is not None:
                look = await self._claim(order, look, permit)
        except BaseException:
            # Nothing was dispatched.  The intent may be durable all the same,
            # so its outcome follows it, before the hold can be used again.
            self._end_not_run(permit)
            raise
        if look is not None and look.decision.kept is not None:
            self._end_not_run(permit)
            return _replay(look)
        return permit

    async def _claim(self, order: Order, look: Look, permit: Permit) -> Look:
        assert self.claims is not None
        try:
            return await self.claims.take(order, look, permit.attempt)
        except UnavailableError as error:
            if needs_claim(order):
                raise unavailable(error) from error
            return look

    def _end_not_run(self, permit: Permit) -> None:
        order = permit.order
        outcome = Outcome(
            order.workspace, order.request, permit.attempt, RequestState.NOT_RUN, 0
        )
        self._end(permit, outcome)

    async def again(self, permit: Permit, backend: BackendName, boot: str) -> Permit:
        """Make a further attempt of the same request durable, under the same hold.

        Raises:
            UnavailableError: The intent cannot be made durable; nothing ran.
            SealedError: This incarnation has been recovered by another.
        """
        run = self.runs.get(run_of(permit.attempt))
        if run is None or self.sealed:
            raise SealedError(f"{permit.attempt} is no attempt of {self.me}")
        attempt = next_attempt(permit.attempt)
        intent = evolve(run.intent, attempt=attempt, backend=backend, boot=boot)
        await self._journal().put(intent, keep=False).wait()
        return evolve(permit, attempt=attempt)

    async def finish(
        self, permit: Permit, outcome: Outcome, *, durable_within: float = 0.0
    ) -> None:
        """Settle the request: release its hold and queue its bill.

        Args:
            permit: The last permit of the request.
            outcome: How it ended.
            durable_within: How long to wait for the journal, in seconds; the
                outcome is queued either way.
        """
        append = self._end(permit, outcome)
        if append is None or durable_within <= 0:
            return
        with anyio.move_on_after(durable_within):
            await append.done.wait()

    def _end(self, permit: Permit, outcome: Outcome) -> Append | None:
        # What a sealed incarnation began is settled by whoever recovered it.
        run = self.runs.pop(run_of(permit.attempt), None)
        if run is None or self.sealed:
            return None
        bill = make_bill(run.intent, outcome)
        urgent = run.intent.kind is RequestKind.BOOKING
        # What a chat came to can be asked of its engine; that something did not
        # run, and what a service answered, nobody else may be able to tell.
        chat = run.intent.kind is RequestKind.CHAT
        lazy = chat and outcome.state is not RequestState.NOT_RUN
        entry = evolve(outcome, charge=bill.charge)
        append = self._journal().put(entry, lazy=lazy)
        account = self._account(run.intent.workspace)
        account.release(run.hold, bill.charge)
        account.file(run_of(permit.attempt), bill, append, urgent=urgent)
        return append

    def _account(self, workspace: WorkspaceName) -> Account:
        account = self.accounts.get(workspace)
        if account is not None:
            return account
        account = Account(
            workspace,
            self._journal(),
            self.table,
            self.options,
            self.policy,
            self._exchange().routers,
            self._exchange().ask_peers,
        )
        account.closing = self.draining
        self.accounts[workspace] = account
        if self.tasks is not None and not self.sealed:
            self.tasks.start_soon(self._keep, account)
        return account

    async def _keep(self, account: Account) -> None:
        await account.run()
        if self.accounts.get(account.workspace) is account and not self.sealed:
            del self.accounts[account.workspace]

    async def drain(self) -> None:
        """File every bill, return every unspent token and close the incarnation.

        Call it when no request runs any more.  If it fails or is cancelled,
        another router recovers the rest.

        Raises:
            PlatformError: The table could not be reached in the end.
            SealedError: Another router has recovered this incarnation.
        """
        self.draining = True
        journal = self._journal()
        await journal.flush()
        for account in list(self.accounts.values()):
            account.closing = True
            account.poke(urgent=True)
        while self.accounts:
            if self.sealed:
                raise SealedError(f"{self.me} was sealed")
            await anyio.sleep(self.options.retry_pause)
        await unregister(self.table, journal)

    def status(self) -> MoneyStatus:
        """Return what operators see."""
        journal = self._journal()
        grants = tuple(grant_status(account) for account in self.accounts.values())
        return MoneyStatus(
            router=self.me,
            sealed=self.sealed,
            place=journal.place,
            unfiled=sum(len(one.unfiled) for one in self.accounts.values()),
            running=len(self.runs),
            segments=len(journal.pins),
            grants=grants,
        )


def _replay(look: Look) -> Replay:
    row = look.request.value
    assert row is not None
    assert look.decision.kept is not None
    return Replay(row, look.decision.kept)


def _unbilled(look: Look | None) -> bool:
    if look is None:
        return False
    return look.decision.answer is ClaimAnswer.RUN_UNBILLED
