"""Recovery of an incarnation by other routers; several may recover it at once."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable

from attrs import define, field, frozen

from ebonyhold.coordination import (
    AttemptEvidence,
    AttemptState,
    AttemptStatus,
    Bill,
    BudgetRow,
    FilingDecision,
    GrantRow,
    Intent,
    JournalContents,
    LedgerChange,
    Objects,
    Observed,
    Outcome,
    RequestRow,
    RequestState,
    RouterRow,
    RouterState,
    Table,
    Transaction,
    TransferRow,
    TransferState,
    announce_transfer,
    budget_key,
    close_grant,
    close_transaction,
    grant_key,
    grant_keys,
    grant_prefix,
    lapse_transfer,
    make_bill,
    observe_row,
    plan_settlement,
    request_key,
    router_key,
    run_of,
    settle_run,
    settle_transfer,
    transfer_key,
)
from ebonyhold.document import Policy, UnknownOutcome
from ebonyhold.exceptions import (
    ConflictError,
    EbonyholdError,
    UnavailableError,
    UnknownOutcomeError,
)
from ebonyhold.money._interface import AttemptLookup
from ebonyhold.money._sealing import SealedJournal
from ebonyhold.scans import scan_rows
from ebonyhold.types import AttemptId, RouterId, Tokens, WorkspaceName

MAX_TRIES = 20
"""Maximum tries of one write, which may conflict with concurrent recoveries."""


@frozen
class UnsettledRun:
    """A run of a request whose outcome is unknown, so that its hold is kept."""

    workspace: WorkspaceName
    request: str
    attempt: str
    backend: str
    hold: Tokens


@define
class RecoveryReport:
    """Result of one recovery.

    Attributes:
        router: The incarnation that was recovered.
        closed: Whether the incarnation is closed, with no run unsettled.
        billed: Number of bills that this recovery filed.
        paid: Tokens charged by these bills.
        returned: Tokens that were returned to the budgets.
        stranded: Tokens of unsettled runs and pending transfers, not returned yet.
        unsettled: Runs of requests whose outcome is unknown.
    """

    router: RouterId
    closed: bool = False
    billed: int = 0
    paid: Tokens = 0
    returned: Tokens = 0
    stranded: Tokens = 0
    unsettled: list[UnsettledRun] = field(factory=list)


@frozen
class Recovery:
    """Recovers incarnations on behalf of the router `self_id`.

    Recovery is safe even if the incarnation is still running, and depends on no timing.
    A sealed incarnation can write neither to the table nor to the object store, so its
    journal lists all attempts that it can have dispatched.
    """

    table: Table
    objects: Objects
    self_id: RouterId
    attempt_lookup: AttemptLookup | None
    policy: Callable[[], Policy]

    async def recover(self, router: RouterId) -> RecoveryReport:
        """Seal an incarnation, file its bills and return its tokens.

        The incarnation is closed unless the outcome of a run is unknown. The method may
        be called again, and by several routers at once: each write is conditional on
        the rows that were read.

        Raises:
            PlatformError: The table or the object store could not be reached; call
                again later.
        """
        report = RecoveryReport(router)
        journal = SealedJournal(self.table, self.objects, router, self.self_id)
        row = await journal.seal()
        if row.value is None or row.value.state is RouterState.CLOSED:
            report.closed = True
            return report
        reading = await journal.read()
        await self._settle_receipts(row, reading)
        pending_tokens = await self._announce_given(reading)
        bills = [*reading.bills(), *await self._bill_open_runs(row, reading, report)]
        await self._file_all(row, bills, report)
        await self._return_all(row, report, pending_tokens)
        if not report.unsettled:
            await self._close(row)
            await journal.delete()
            report.closed = True
        return report

    async def rule_on_run(
        self, router: RouterId, attempt: AttemptId, state: RequestState, charge: Tokens
    ) -> None:
        """File the bill of a run whose outcome is unknown, as an operator decided.

        Call `recover` again afterwards to return the rest of the run's hold.

        Raises:
            ValueError: The router is not sealed, or its journal has no such open run.
            PlatformError: The table or the object store could not be reached; call
                again later.
        """
        journal = SealedJournal(self.table, self.objects, router, self.self_id)
        row = await journal.row()
        if row.value is None or row.value.state is not RouterState.SEALED:
            raise ValueError(f"{router} is not sealed")
        reading = await journal.read()
        for attempts in reading.open_runs():
            if run_of(attempts[0].attempt) == run_of(attempt):
                intent = attempts[-1]
                outcome = Outcome(
                    intent.workspace, intent.request, intent.attempt, state, charge
                )
                bill = make_bill(intent, outcome)
                await self._file(row, bill, RecoveryReport(router))
                return
        raise ValueError(f"{attempt} is not open in the journal of {router}")

    async def _settle_receipts(
        self, router: Observed[RouterRow], reading: JournalContents
    ) -> None:
        for receipt in reading.received.values():
            source, own = grant_keys(receipt.transfer, receipt.workspace)
            keys = (transfer_key(receipt.transfer), source, own)
            for _ in range(MAX_TRIES):
                rows = await self.table.read(keys)
                transaction = settle_transfer(
                    observe_row(keys[0], rows[0], TransferRow),
                    router,
                    observe_row(keys[1], rows[1], GrantRow),
                    observe_row(keys[2], rows[2], GrantRow),
                    receipt.workspace,
                    receipt.amount,
                )
                if transaction is None or await self._commit(transaction):
                    break
            else:
                raise UnavailableError(f"{receipt.transfer} could not be settled")

    async def _announce_given(
        self, reading: JournalContents
    ) -> dict[WorkspaceName, Tokens]:
        """Write missing rows of given transfers, and return tokens of lost transfers.

        A transfer is lost if its receiver was closed without having settled it. Its
        tokens go back to the budget.

        Returns:
            The tokens of transfers that are still pending, by workspace.
        """
        pending_tokens: dict[WorkspaceName, Tokens] = {}
        for given in reading.given.values():
            key = transfer_key(given.transfer)
            for _ in range(MAX_TRIES):
                (raw,) = await self.table.read((key,))
                row = observe_row(key, raw, TransferRow)
                transaction = announce_transfer(row, given.workspace, given.amount)
                if transaction is None:
                    break
                await self._commit(transaction)
            else:
                raise UnavailableError(f"{given.transfer} could not be announced")
            is_pending = (
                row.value is not None and row.value.state is TransferState.PENDING
            )
            if is_pending and not await self._lapse(row):
                total = pending_tokens.get(given.workspace, 0)
                pending_tokens[given.workspace] = total + given.amount
        return pending_tokens

    async def _lapse(self, transfer: Observed[TransferRow]) -> bool:
        value = transfer.value
        assert value is not None
        keys = (
            router_key(value.to),
            grant_key(value.source, value.workspace),
            budget_key(value.workspace),
        )
        for _ in range(MAX_TRIES):
            rows = await self.table.read((*keys, transfer.key))
            current = observe_row(transfer.key, rows[3], TransferRow)
            transaction = lapse_transfer(
                current,
                observe_row(keys[0], rows[0], RouterRow),
                observe_row(keys[1], rows[1], GrantRow),
                observe_row(keys[2], rows[2], BudgetRow),
            )
            if transaction is None:
                ended = current.value
                return ended is None or ended.state is not TransferState.PENDING
            await self._commit(transaction)
        return False

    async def sweep(self) -> int:
        """End pending transfers that can never arrive, and return their tokens.

        A transfer can never arrive if its receiver is closed without having settled it.

        Returns:
            The number of transfers that are still pending.

        Raises:
            PlatformError: The table could not be reached.
        """
        left = 0
        async for row in scan_rows(self.table, transfer_key("")):
            transfer = observe_row(row.key, row, TransferRow)
            value = transfer.value
            if value is None or value.state is not TransferState.PENDING:
                continue
            if not await self._lapse(transfer):
                left += 1
        return left

    async def _bill_open_runs(
        self,
        router: Observed[RouterRow],
        reading: JournalContents,
        report: RecoveryReport,
    ) -> list[Bill]:
        bills: list[Bill] = []
        charge_unknown = self.policy().unknown_outcome is UnknownOutcome.CHARGE_HOLD
        for attempts in reading.open_runs():
            if await self._is_settled(attempts[0]):
                continue
            evidence = [
                AttemptEvidence(intent, await self._look_up(intent))
                for intent in attempts
            ]
            bill = settle_run(evidence, charge_unknown=charge_unknown)
            if bill is None:
                report.unsettled.append(_unsettled(attempts[-1]))
            else:
                bills.append(bill)
        return bills

    async def _is_settled(self, intent: Intent) -> bool:
        """Return whether the request's row has the final state of this run.

        The journal may then lack the run's outcome, because settled segments are
        deleted.
        """
        key = request_key(intent.workspace, intent.request)
        (raw,) = await self.table.read((key,))
        row = observe_row(key, raw, RequestRow).value
        if row is None or row.state is RequestState.RUNNING:
            return False
        return run_of(row.attempt) == run_of(intent.attempt)

    async def _look_up(self, intent: Intent) -> AttemptStatus:
        if self.attempt_lookup is None:
            return AttemptStatus(AttemptState.UNKNOWN)
        try:
            return await self.attempt_lookup.close_attempt(
                intent.backend, intent.attempt
            )
        except EbonyholdError:
            return AttemptStatus(AttemptState.UNKNOWN)

    async def _file_all(
        self, router: Observed[RouterRow], bills: Iterable[Bill], report: RecoveryReport
    ) -> None:
        for bill in bills:
            await self._file(router, bill, report)

    async def _file(
        self, router: Observed[RouterRow], bill: Bill, report: RecoveryReport
    ) -> None:
        owner = report.router
        keys = (
            budget_key(bill.workspace),
            grant_key(owner, bill.workspace),
            bill.key,
        )
        for _ in range(MAX_TRIES):
            rows = await self.table.read(keys)
            request = observe_row(keys[2], rows[2], RequestRow)
            if _is_filed(request.value, bill):
                return
            plan = plan_settlement(
                owner,
                router,
                observe_row(keys[0], rows[0], BudgetRow),
                observe_row(keys[1], rows[1], GrantRow),
                {bill.key: request},
                LedgerChange((bill,)),
                time.time(),
            )
            if plan.filed[0].decision is FilingDecision.LEAVE:
                return
            if await self._commit(plan.transaction):
                report.billed += 1
                report.paid += plan.filed[0].paid
                return
        raise UnavailableError(f"{bill.key} could not be filed")

    async def _return_all(
        self,
        router: Observed[RouterRow],
        report: RecoveryReport,
        pending_tokens: dict[WorkspaceName, Tokens],
    ) -> None:
        reservations = dict(pending_tokens)
        for run in report.unsettled:
            reservations[run.workspace] = reservations.get(run.workspace, 0) + run.hold
        report.stranded = sum(reservations.values())
        prefix = grant_prefix(report.router)
        async for row in scan_rows(self.table, prefix):
            workspace = row.key.removeprefix(prefix)
            reserved = reservations.get(workspace, 0)
            await self._return(router, row.key, workspace, reserved, report)

    async def _return(
        self,
        router: Observed[RouterRow],
        key: str,
        workspace: WorkspaceName,
        reserved: Tokens,
        report: RecoveryReport,
    ) -> None:
        budget = budget_key(workspace)
        for _ in range(MAX_TRIES):
            rows = await self.table.read((budget, key))
            grant = observe_row(key, rows[1], GrantRow)
            transaction = close_grant(
                router, observe_row(budget, rows[0], BudgetRow), grant, reserved
            )
            if transaction is None:
                return
            if await self._commit(transaction):
                assert grant.value is not None
                report.returned += max(grant.value.held - reserved, 0)
                return
        raise UnavailableError(f"{key} could not be returned")

    async def _close(self, router: Observed[RouterRow]) -> None:
        transaction = close_transaction(router, time.time())
        if transaction is not None:
            await self._commit(transaction)

    async def _commit(self, transaction: Transaction) -> bool:
        """Commit; return False if the transaction is not known to have taken effect."""
        try:
            await self.table.commit(transaction)
        except (ConflictError, UnknownOutcomeError):
            return False
        return True


def _is_filed(row: RequestRow | None, bill: Bill) -> bool:
    if row is None or row.state is RequestState.RUNNING:
        return False
    return run_of(row.attempt) == run_of(bill.attempt) and row.state is bill.state


def _unsettled(intent: Intent) -> UnsettledRun:
    return UnsettledRun(
        intent.workspace, intent.request, intent.attempt, intent.backend, intent.hold
    )
