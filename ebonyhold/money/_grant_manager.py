"""Holds, claims, journal and bills of one incarnation of a router."""

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
from ebonyhold.money._claims import ClaimReading, Claims, claim_unavailable, needs_claim
from ebonyhold.money._exchange import TokenExchange
from ebonyhold.money._interface import AttemptLookup, Order, Permit, Replay
from ebonyhold.money._journal import Journal, PendingAppend
from ebonyhold.money._options import MoneyOptions
from ebonyhold.money._registration import register, unregister
from ebonyhold.money._status import MoneyStatus, grant_status
from ebonyhold.money._workspace_grant import WorkspaceGrant
from ebonyhold.routers import PeerLink
from ebonyhold.types import BackendName, RouterId, Tokens, WorkspaceName


@frozen
class _Run:
    """A run of a request that has its hold and has not ended."""

    intent: Intent
    hold: Tokens
    claimed: bool = False


class GrantManager:
    """Manages holds, claims, the journal and bills of one incarnation.

    Attributes:
        router: Identifier of the incarnation.
        grants: The grants of the workspaces in use; idle ones are discarded.
        runs: Runs of requests that have a hold and have not ended, by name.
        journal: The journal; None until `open` has registered the incarnation.
        draining: Whether `drain` was called; new requests are refused.
        serial: Number of runs started; numbers their names.
    """

    def __init__(
        self,
        router: RouterId,
        table: Table,
        objects: Objects,
        policy: Callable[[], Policy],
        peers: PeerLink | None = None,
        attempt_lookup: AttemptLookup | None = None,
        address: str = "",
        domain: str = "",
        options: MoneyOptions | None = None,
    ) -> None:
        self.router = router
        self.table = table
        self.objects = objects
        self.policy = policy
        self.peers = peers
        self.attempt_lookup = attempt_lookup
        self.address = address
        self.domain = domain
        self.options = options or MoneyOptions()
        self.grants: dict[WorkspaceName, WorkspaceGrant] = {}
        self.runs: dict[str, _Run] = {}
        self.journal: Journal | None = None
        self.claims: Claims | None = None
        self.draining = False
        self.serial = 0
        self.exchange: TokenExchange | None = None
        self.tasks: TaskGroup | None = None

    @property
    def sealed(self) -> bool:
        """Whether this incarnation was sealed by another router, or closed."""
        return self.journal is not None and self.journal.sealed.is_set()

    async def open(self) -> None:
        """Register the incarnation in the table.

        Requests are refused before that, because other routers can recover an
        incarnation only if its row is in the table.

        Raises:
            PlatformError: The table could not be written.
        """
        router = await register(self.table, self.router, self.domain, self.address)
        self.journal = Journal(
            self.router, self.table, self.objects, self.options, router
        )
        self.claims = Claims(router, self.table)
        self.exchange = TokenExchange(
            self.router,
            self.peers,
            self.journal,
            self.policy,
            self.options,
            self.grants,
            self._grant,
            lambda: self.sealed or self.draining,
        )

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Run the tasks of journal and grants until the journal is sealed or closed.

        Requests that still wait for a hold at that time are refused.
        """
        journal = self._journal()
        self._exchange().register_handlers()
        try:
            async with anyio.create_task_group() as tasks:
                self.tasks = tasks
                tasks.start_soon(journal.run)
                for grant in self.grants.values():
                    tasks.start_soon(self._run_grant, grant)
                task_status.started()
                await journal.sealed.wait()
                tasks.cancel_scope.cancel()
        finally:
            # Requests may still be settled while the daemon stops. The grants that they
            # open must not start tasks in a task group that has ended.
            self.tasks = None
        self._fail_all()

    def _fail_all(self) -> None:
        error = SealedError(f"{self.router} was sealed")
        for grant in self.grants.values():
            grant.fail(error)

    def _journal(self) -> Journal:
        if self.journal is None:
            raise UnavailableError(f"{self.router} is not registered yet")
        return self.journal

    def _exchange(self) -> TokenExchange:
        if self.exchange is None:
            raise UnavailableError(f"{self.router} is not registered yet")
        return self.exchange

    async def begin(self, order: Order) -> Permit | Replay:
        """Take a hold, write a claim if needed, and make the intent durable.

        Raises:
            BudgetExhaustedError: The budget in the table has too few tokens left.
            BudgetUnreachableError: Too few tokens are available now, but the budget may
                have more.
            KeyReusedError: The key was used before with another body.
            ClaimUnavailableError: A needed claim cannot be written now.
            OutcomeUnknownError: The request must not be repeated and may have run
                already.
            UnavailableError: The intent cannot be made durable; nothing ran.
            SealedError: Another router has recovered this incarnation.
        """
        if self.sealed:
            raise SealedError(f"{self.router} was sealed")
        if self.draining:
            raise UnavailableError(f"{self.router} is stopping")
        self._journal()
        reading = await self._read_claim(order)
        if reading is not None and reading.decision.kept is not None:
            return _replay(reading)
        unbilled = _unbilled(reading)
        hold = 0 if unbilled else order.hold
        if hold:
            await self._grant(order.workspace).acquire(hold)
        return await self._start(order, reading, hold, unbilled)

    async def _read_claim(self, order: Order) -> ClaimReading | None:
        if self.claims is None or not (order.keyed or order.claim_needed):
            return None
        try:
            return await self.claims.read(order)
        except UnavailableError as error:
            if needs_claim(order):
                raise claim_unavailable(error) from error
            return None

    async def _start(
        self, order: Order, reading: ClaimReading | None, hold: Tokens, unbilled: bool
    ) -> Permit | Replay:
        self.serial += 1
        attempt = first_attempt(self.router, self.serial)
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
            await self._journal().enqueue(intent, retry=False).wait()
            if reading is not None and self.claims is not None:
                reading = await self._write_claim(order, reading, permit)
        except BaseException:
            # Nothing was dispatched, but the intent may be durable. The outcome is
            # queued behind the intent before the tokens can be held again.
            self._end_not_run(permit)
            raise
        if reading is not None and reading.decision.kept is not None:
            self._end_not_run(permit)
            return _replay(reading)
        return permit

    async def _write_claim(
        self, order: Order, reading: ClaimReading, permit: Permit
    ) -> ClaimReading:
        assert self.claims is not None
        try:
            return await self.claims.write(order, reading, permit.attempt)
        except UnavailableError as error:
            if needs_claim(order):
                raise claim_unavailable(error) from error
            return reading

    def _end_not_run(self, permit: Permit) -> None:
        order = permit.order
        outcome = Outcome(
            order.workspace, order.request, permit.attempt, RequestState.NOT_RUN, 0
        )
        self._end(permit, outcome)

    async def retry(self, permit: Permit, backend: BackendName, boot: str) -> Permit:
        """Make the intent of a further attempt durable, under the same hold.

        Raises:
            UnavailableError: The intent cannot be made durable; nothing ran.
            SealedError: Another router has recovered this incarnation.
        """
        run = self.runs.get(run_of(permit.attempt))
        if run is None or self.sealed:
            raise SealedError(f"{permit.attempt} is no attempt of {self.router}")
        attempt = next_attempt(permit.attempt)
        intent = evolve(run.intent, attempt=attempt, backend=backend, boot=boot)
        await self._journal().enqueue(intent, retry=False).wait()
        return evolve(permit, attempt=attempt)

    async def finish(
        self, permit: Permit, outcome: Outcome, *, durable_within: float = 0.0
    ) -> None:
        """Settle the request: release its hold and queue its outcome and bill.

        Nothing is done if the incarnation was sealed: the router that recovers it
        settles the request.

        Args:
            permit: The last permit of the request.
            outcome: How the request ended.
            durable_within: Maximum time to wait until the outcome is in the journal, in
                seconds. A timeout is no error, as the outcome stays queued.
        """
        append = self._end(permit, outcome)
        if append is None or durable_within <= 0:
            return
        with anyio.move_on_after(durable_within):
            await append.done.wait()

    def _end(self, permit: Permit, outcome: Outcome) -> PendingAppend | None:
        # The router that recovers a sealed incarnation settles its requests.
        run = self.runs.pop(run_of(permit.attempt), None)
        if run is None or self.sealed:
            return None
        bill = make_bill(run.intent, outcome)
        urgent = run.intent.kind is RequestKind.BOOKING
        # Recovery can look up a chat at its backend server, so a chat's outcome may
        # wait. Other outcomes are written at once, because recovery may be unable to
        # find out that a request did not run, or what a service answered.
        chat = run.intent.kind is RequestKind.CHAT
        lazy = chat and outcome.state is not RequestState.NOT_RUN
        entry = evolve(outcome, charge=bill.charge)
        append = self._journal().enqueue(entry, lazy=lazy)
        grant = self._grant(run.intent.workspace)
        grant.release(run.hold, bill.charge)
        grant.file(run_of(permit.attempt), bill, append, urgent=urgent)
        return append

    def _grant(self, workspace: WorkspaceName) -> WorkspaceGrant:
        grant = self.grants.get(workspace)
        if grant is not None:
            return grant
        grant = WorkspaceGrant(
            workspace,
            self._journal(),
            self.table,
            self.options,
            self.policy,
            self._exchange().count_routers,
            self._exchange().ask_peers,
        )
        grant.closing = self.draining
        self.grants[workspace] = grant
        if self.tasks is not None and not self.sealed:
            self.tasks.start_soon(self._run_grant, grant)
        return grant

    async def _run_grant(self, grant: WorkspaceGrant) -> None:
        await grant.run()
        if self.grants.get(grant.workspace) is grant and not self.sealed:
            del self.grants[grant.workspace]

    async def drain(self) -> None:
        """File all bills, return all unspent tokens and close the incarnation.

        Call this method after all requests have ended. If it fails or is cancelled,
        another router recovers the rest. There is no time limit.

        Raises:
            PlatformError: The incarnation's row could not be closed in the table.
            SealedError: Another router has recovered this incarnation.
        """
        self.draining = True
        journal = self._journal()
        await journal.flush()
        for grant in list(self.grants.values()):
            grant.closing = True
            grant.notify(urgent=True)
        while self.grants:
            if self.sealed:
                raise SealedError(f"{self.router} was sealed")
            await anyio.sleep(self.options.min_retry_delay)
        await unregister(self.table, journal)

    def status(self) -> MoneyStatus:
        """Return the status for operators.

        Raises:
            UnavailableError: The incarnation is not registered yet.
        """
        journal = self._journal()
        grants = tuple(grant_status(grant) for grant in self.grants.values())
        return MoneyStatus(
            router=self.router,
            sealed=self.sealed,
            target=journal.target,
            unfiled=sum(len(one.unfiled) for one in self.grants.values()),
            running=len(self.runs),
            segments=len(journal.pins),
            grants=grants,
        )


def _replay(reading: ClaimReading) -> Replay:
    row = reading.request.value
    assert row is not None
    assert reading.decision.kept is not None
    return Replay(row, reading.decision.kept)


def _unbilled(reading: ClaimReading | None) -> bool:
    if reading is None:
        return False
    return reading.decision.answer is ClaimAnswer.RUN_UNBILLED
