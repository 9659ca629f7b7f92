"""Recovering another incarnation's work, safely when several do it at once."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable

from attrs import define, field, frozen

from ebonyhold.coordination import (
    AttemptState,
    AttemptTruth,
    Bill,
    BudgetRow,
    GrantRow,
    Intent,
    JournalReading,
    LedgerChange,
    Objects,
    Outcome,
    RequestRow,
    RequestState,
    RouterRow,
    RouterState,
    Seen,
    Table,
    Transaction,
    TransferRow,
    TransferState,
    Verdict,
    Witness,
    announce_transfer,
    budget_key,
    close_grant,
    close_transaction,
    grant_key,
    grant_keys,
    grant_prefix,
    lapse_transfer,
    make_bill,
    plan_settlement,
    request_key,
    router_key,
    run_of,
    seen,
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
from ebonyhold.money._interface import BackendTruth
from ebonyhold.money._sealing import SealedJournal
from ebonyhold.scans import scan_rows
from ebonyhold.types import AttemptId, RouterId, Tokens, WorkspaceName

TRIES = 20
"""Tries of one step against other writers: two survivors may race each other."""


@frozen
class Unsettled:
    """A run that waits for evidence; its hold stays out of reach until then."""

    workspace: WorkspaceName
    request: str
    attempt: str
    backend: str
    hold: Tokens


@define
class RecoveryReport:
    """What a recovery came to.

    Attributes:
        router: The incarnation.
        closed: Whether nothing of it is left to settle.
        billed: Bills that this recovery filed.
        paid: Tokens of those bills.
        returned: Tokens that went back to the budgets.
        stranded: Tokens that stay out of reach for now.
        unsettled: Runs that wait for evidence.
    """

    router: RouterId
    closed: bool = False
    billed: int = 0
    paid: Tokens = 0
    returned: Tokens = 0
    stranded: Tokens = 0
    unsettled: list[Unsettled] = field(factory=list)


@frozen
class Recovery:
    """Recovers incarnations on behalf of the router `me`.

    No step rests on time or on anyone's word that a router is dead.  Sealing
    takes the right to write from the incarnation in both places; what stands in
    its journal after that is all that it can ever have dispatched.
    """

    table: Table
    objects: Objects
    me: RouterId
    backend_truth: BackendTruth | None
    policy: Callable[[], Policy]

    async def recover(self, router: RouterId) -> RecoveryReport:
        """Seal an incarnation, file its bills and return its tokens.

        It may be called again, and by several routers at once: every step is a
        write that is conditional on what it read.

        Raises:
            PlatformError: A place could not be reached; call it again later.
        """
        report = RecoveryReport(router)
        journal = SealedJournal(self.table, self.objects, router, self.me)
        row = await journal.seal()
        if row.value is None or row.value.state is RouterState.CLOSED:
            report.closed = True
            return report
        reading = await journal.read()
        await self._settle_receipts(row, reading)
        pending = await self._announce_gifts(reading)
        bills = [*reading.bills(), *await self._judge_open(row, reading, report)]
        await self._file_all(row, bills, report)
        await self._return_all(row, report, pending)
        if not report.unsettled:
            await self._close(row)
            await journal.drop()
            report.closed = True
        return report

    async def rule(
        self, router: RouterId, attempt: AttemptId, state: RequestState, charge: Tokens
    ) -> None:
        """Settle a run that waits for evidence, on an operator's word.

        Call `recover` again afterwards: it returns the rest of the hold.

        Raises:
            ValueError: The sealed router's journal has no such run open.
            PlatformError: A place could not be reached; call it again later.
        """
        journal = SealedJournal(self.table, self.objects, router, self.me)
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
        self, router: Seen[RouterRow], reading: JournalReading
    ) -> None:
        for receipt in reading.received.values():
            source, own = grant_keys(receipt.transfer, receipt.workspace)
            keys = (transfer_key(receipt.transfer), source, own)
            for _ in range(TRIES):
                rows = await self.table.read(keys)
                wish = settle_transfer(
                    seen(keys[0], rows[0], TransferRow),
                    router,
                    seen(keys[1], rows[1], GrantRow),
                    seen(keys[2], rows[2], GrantRow),
                    receipt.workspace,
                    receipt.amount,
                )
                if wish is None or await self._try(wish):
                    break
            else:
                raise UnavailableError(f"{receipt.transfer} could not be settled")

    async def _announce_gifts(
        self, reading: JournalReading
    ) -> dict[WorkspaceName, Tokens]:
        """Make unsettled transfers visible, and sum what must stay for them."""
        pending: dict[WorkspaceName, Tokens] = {}
        for gift in reading.given.values():
            key = transfer_key(gift.transfer)
            for _ in range(TRIES):
                (raw,) = await self.table.read((key,))
                row = seen(key, raw, TransferRow)
                wish = announce_transfer(row, gift.workspace, gift.amount)
                if wish is None:
                    break
                await self._try(wish)
            else:
                raise UnavailableError(f"{gift.transfer} could not be announced")
            waits = row.value is not None and row.value.state is TransferState.PENDING
            if waits and not await self._lapse(row):
                total = pending.get(gift.workspace, 0)
                pending[gift.workspace] = total + gift.amount
        return pending

    async def _lapse(self, transfer: Seen[TransferRow]) -> bool:
        value = transfer.value
        assert value is not None
        keys = (
            router_key(value.to),
            grant_key(value.source, value.workspace),
            budget_key(value.workspace),
        )
        for _ in range(TRIES):
            rows = await self.table.read((*keys, transfer.key))
            fresh = seen(transfer.key, rows[3], TransferRow)
            wish = lapse_transfer(
                fresh,
                seen(keys[0], rows[0], RouterRow),
                seen(keys[1], rows[1], GrantRow),
                seen(keys[2], rows[2], BudgetRow),
            )
            if wish is None:
                ended = fresh.value
                return ended is None or ended.state is not TransferState.PENDING
            await self._try(wish)
        return False

    async def sweep(self) -> int:
        """Return to the budgets what closed routers can no longer receive.

        Returns:
            How many transfers are still pending.

        Raises:
            PlatformError: The table could not be reached.
        """
        left = 0
        async for row in scan_rows(self.table, transfer_key("")):
            transfer = seen(row.key, row, TransferRow)
            value = transfer.value
            if value is None or value.state is not TransferState.PENDING:
                continue
            if not await self._lapse(transfer):
                left += 1
        return left

    async def _judge_open(
        self, router: Seen[RouterRow], reading: JournalReading, report: RecoveryReport
    ) -> list[Bill]:
        bills: list[Bill] = []
        charge_unknown = self.policy().unknown_outcome is UnknownOutcome.CHARGE_HOLD
        for attempts in reading.open_runs():
            if await self._settled_before(attempts[0]):
                continue
            witnesses = [
                Witness(intent, await self._ask(intent)) for intent in attempts
            ]
            bill = settle_run(witnesses, charge_unknown=charge_unknown)
            if bill is None:
                report.unsettled.append(_unsettled(attempts[-1]))
            else:
                bills.append(bill)
        return bills

    async def _settled_before(self, intent: Intent) -> bool:
        """Tell whether this very run has its final row, its segments half dropped."""
        key = request_key(intent.workspace, intent.request)
        (raw,) = await self.table.read((key,))
        row = seen(key, raw, RequestRow).value
        if row is None or row.state is RequestState.RUNNING:
            return False
        return run_of(row.attempt) == run_of(intent.attempt)

    async def _ask(self, intent: Intent) -> AttemptTruth:
        if self.backend_truth is None:
            return AttemptTruth(AttemptState.UNKNOWN)
        try:
            return await self.backend_truth.close_attempt(
                intent.backend, intent.attempt
            )
        except EbonyholdError:
            return AttemptTruth(AttemptState.UNKNOWN)

    async def _file_all(
        self, router: Seen[RouterRow], bills: Iterable[Bill], report: RecoveryReport
    ) -> None:
        for bill in bills:
            await self._file(router, bill, report)

    async def _file(
        self, router: Seen[RouterRow], bill: Bill, report: RecoveryReport
    ) -> None:
        owner = report.router
        keys = (
            budget_key(bill.workspace),
            grant_key(owner, bill.workspace),
            bill.key,
        )
        for _ in range(TRIES):
            rows = await self.table.read(keys)
            request = seen(keys[2], rows[2], RequestRow)
            if _final_of(request.value, bill):
                return
            plan = plan_settlement(
                owner,
                router,
                seen(keys[0], rows[0], BudgetRow),
                seen(keys[1], rows[1], GrantRow),
                {bill.key: request},
                LedgerChange((bill,)),
                time.time(),
            )
            if plan.filed[0].verdict is Verdict.LEAVE:
                return
            if await self._try(plan.transaction):
                report.billed += 1
                report.paid += plan.filed[0].paid
                return
        raise UnavailableError(f"{bill.key} could not be filed")

    async def _return_all(
        self,
        router: Seen[RouterRow],
        report: RecoveryReport,
        pending: dict[WorkspaceName, Tokens],
    ) -> None:
        waiting = dict(pending)
        for run in report.unsettled:
            waiting[run.workspace] = waiting.get(run.workspace, 0) + run.hold
        report.stranded = sum(waiting.values())
        prefix = grant_prefix(report.router)
        async for row in scan_rows(self.table, prefix):
            workspace = row.key.removeprefix(prefix)
            stay = waiting.get(workspace, 0)
            await self._return(router, row.key, workspace, stay, report)

    async def _return(
        self,
        router: Seen[RouterRow],
        key: str,
        workspace: WorkspaceName,
        stay: Tokens,
        report: RecoveryReport,
    ) -> None:
        budget = budget_key(workspace)
        for _ in range(TRIES):
            rows = await self.table.read((budget, key))
            grant = seen(key, rows[1], GrantRow)
            wish = close_grant(router, seen(budget, rows[0], BudgetRow), grant, stay)
            if wish is None:
                return
            if await self._try(wish):
                assert grant.value is not None
                report.returned += max(grant.value.held - stay, 0)
                return
        raise UnavailableError(f"{key} could not be returned")

    async def _close(self, router: Seen[RouterRow]) -> None:
        wish = close_transaction(router, time.time())
        if wish is not None:
            await self._try(wish)

    async def _try(self, wish: Transaction) -> bool:
        """Commit; False when it is not known to have taken effect."""
        try:
            await self.table.commit(wish)
        except (ConflictError, UnknownOutcomeError):
            return False
        return True


def _final_of(row: RequestRow | None, bill: Bill) -> bool:
    if row is None or row.state is RequestState.RUNNING:
        return False
    return run_of(row.attempt) == run_of(bill.attempt) and row.state is bill.state


def _unsettled(intent: Intent) -> Unsettled:
    return Unsettled(
        intent.workspace, intent.request, intent.attempt, intent.backend, intent.hold
    )
