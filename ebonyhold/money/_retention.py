"""Deletion of rows older than the retention period set in the document."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import TypeVar

from attrs import define, frozen

from ebonyhold.coordination import (
    GRANT_PREFIX,
    REQUEST_PREFIX,
    ROUTER_PREFIX,
    TRANSFER_PREFIX,
    ArchiveRow,
    Delete,
    Objects,
    Observed,
    RequestRow,
    RouterRow,
    RouterState,
    Table,
    Transaction,
    TransferRow,
    TransferState,
    archive_key,
    journal_prefix,
    observe_row,
    plan_archive,
)
from ebonyhold.exceptions import ConflictError, UnknownOutcomeError
from ebonyhold.scans import scan_rows
from ebonyhold.types import RouterId, Seconds, WorkspaceName

BILL_BATCH = 50
"""Maximum number of request rows checked and deleted in one transaction."""

T = TypeVar("T")


@define
class RetentionReport:
    """Numbers of rows that one sweep deleted."""

    bills: int = 0
    transfers: int = 0
    routers: int = 0


@frozen
class Retention:
    """Deletes the rows of old bills, ended transfers and closed routers.

    Several routers may do so at once: each deletion is conditional on the row being
    unchanged since it was read.

    Attributes:
        table: The table.
        objects: The object store.
        keep: How long bills, claims and seals are kept, in seconds.
    """

    table: Table
    objects: Objects
    keep: Seconds

    async def sweep(self, now: float) -> RetentionReport:
        """Delete the rows that have expired.

        A retry of a request whose row was deleted counts as a new request. So a booking
        may run again after the retention period, and callers must not repeat its key.
        Rows whose deletion conflicts with another writer are left to the next sweep.

        Args:
            now: Seconds since the epoch.

        Raises:
            PlatformError: The table or the object store could not be reached; sweep
                again later.
        """
        report = RetentionReport()
        await self._bills(now - self.keep, report)
        routers = await self._routers()
        await self._transfers(routers, report)
        await self._closed_routers(routers, now - self.keep, report)
        return report

    async def _bills(self, before: float, report: RetentionReport) -> None:
        batches: dict[WorkspaceName, list[Observed[RequestRow]]] = {}
        async for row in self._scan(REQUEST_PREFIX, RequestRow):
            workspace = row.key.split("/", 2)[1]
            batch = batches.setdefault(workspace, [])
            batch.append(row)
            if len(batch) >= BILL_BATCH:
                await self._archive(workspace, batch, before, report)
                batch.clear()
        for workspace, batch in batches.items():
            await self._archive(workspace, batch, before, report)

    async def _archive(
        self,
        workspace: WorkspaceName,
        batch: list[Observed[RequestRow]],
        before: float,
        report: RetentionReport,
    ) -> None:
        key = archive_key(workspace)
        (row,) = await self.table.read((key,))
        transaction = plan_archive(observe_row(key, row, ArchiveRow), batch, before)
        if transaction is not None and await self._commit(transaction):
            report.bills += len(transaction.writes) - 1

    async def _routers(self) -> dict[RouterId, Observed[RouterRow]]:
        return {
            row.key.removeprefix(ROUTER_PREFIX): row
            async for row in self._scan(ROUTER_PREFIX, RouterRow)
        }

    async def _transfers(
        self, routers: dict[RouterId, Observed[RouterRow]], report: RetentionReport
    ) -> None:
        """Delete ended transfers whose giver and receiver are both closed.

        While one of these routers is open, its journal may list the transfer, and only
        the transfer's row shows that the transfer has ended.
        """
        async for row in self._scan(TRANSFER_PREFIX, TransferRow):
            transfer = row.value
            if transfer is None or transfer.state is TransferState.PENDING:
                continue
            if _closed(routers, transfer.source) and _closed(routers, transfer.to):
                transaction = Transaction((row.check,), (Delete(row.key),))
                report.transfers += await self._commit(transaction)

    async def _closed_routers(
        self,
        routers: dict[RouterId, Observed[RouterRow]],
        before: float,
        report: RetentionReport,
    ) -> None:
        for name, row in routers.items():
            value = row.value
            if value is None or value.state is not RouterState.CLOSED:
                continue
            if not 0 < value.closed_at < before:
                continue
            if await self.table.scan(f"{GRANT_PREFIX}{name}/", "", 1):
                continue
            # The row is deleted last, so that a later sweep completes an interrupted
            # deletion of the journal.
            while keys := await self.objects.keys(journal_prefix(name)):
                for key in keys:
                    await self.objects.delete(key)
            transaction = Transaction((row.check,), (Delete(row.key),))
            report.routers += await self._commit(transaction)

    async def _scan(self, prefix: str, as_type: type[T]) -> AsyncIterator[Observed[T]]:
        async for row in scan_rows(self.table, prefix):
            yield observe_row(row.key, row, as_type)

    async def _commit(self, transaction: Transaction) -> bool:
        try:
            await self.table.commit(transaction)
        except (ConflictError, UnknownOutcomeError):
            return False
        return True


def _closed(routers: dict[RouterId, Observed[RouterRow]], name: RouterId) -> bool:
    row = routers.get(name)
    if row is None or row.value is None:
        return True
    return row.value.state is RouterState.CLOSED
