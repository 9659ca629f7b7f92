"""Deleting what is older than the document keeps it."""

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
    RequestRow,
    RouterRow,
    RouterState,
    Seen,
    Table,
    Transaction,
    TransferRow,
    TransferState,
    archive_key,
    journal_prefix,
    plan_archive,
    seen,
)
from ebonyhold.exceptions import ConflictError, UnknownOutcomeError
from ebonyhold.scans import scan_rows
from ebonyhold.types import RouterId, Seconds, WorkspaceName

BILLS_AT_ONCE = 50
"""Bills that one transaction deletes."""

T = TypeVar("T")


@define
class RetentionReport:
    """What one sweep deleted."""

    bills: int = 0
    transfers: int = 0
    routers: int = 0


@frozen
class Retention:
    """Deletes old bills, ended transfers and closed routers.

    Any router may run it, several at once: every deletion is conditional on the
    row being as it was read.

    Attributes:
        table: The table.
        objects: The object store.
        keep: How long bills, claims and seals stay, in seconds.
    """

    table: Table
    objects: Objects
    keep: Seconds

    async def sweep(self, now: float) -> RetentionReport:
        """Delete what has expired.

        A retry of a request whose row is gone counts as a new request.  So a
        booking is at most once for as long as its row is kept, and no caller
        may repeat a key after that.

        Args:
            now: Seconds since the epoch.

        Raises:
            PlatformError: A place could not be reached; sweep again later.
        """
        report = RetentionReport()
        await self._bills(now - self.keep, report)
        routers = await self._routers()
        await self._transfers(routers, report)
        await self._closed_routers(routers, now - self.keep, report)
        return report

    async def _bills(self, before: float, report: RetentionReport) -> None:
        batches: dict[WorkspaceName, list[Seen[RequestRow]]] = {}
        async for row in self._scan(REQUEST_PREFIX, RequestRow):
            workspace = row.key.split("/", 2)[1]
            batch = batches.setdefault(workspace, [])
            batch.append(row)
            if len(batch) >= BILLS_AT_ONCE:
                await self._archive(workspace, batch, before, report)
                batch.clear()
        for workspace, batch in batches.items():
            await self._archive(workspace, batch, before, report)

    async def _archive(
        self,
        workspace: WorkspaceName,
        batch: list[Seen[RequestRow]],
        before: float,
        report: RetentionReport,
    ) -> None:
        key = archive_key(workspace)
        (row,) = await self.table.read((key,))
        wish = plan_archive(seen(key, row, ArchiveRow), batch, before)
        if wish is not None and await self._try(wish):
            report.bills += len(wish.writes) - 1

    async def _routers(self) -> dict[RouterId, Seen[RouterRow]]:
        return {
            row.key.removeprefix(ROUTER_PREFIX): row
            async for row in self._scan(ROUTER_PREFIX, RouterRow)
        }

    async def _transfers(
        self, routers: dict[RouterId, Seen[RouterRow]], report: RetentionReport
    ) -> None:
        """Delete transfers whose two ends are both closed.

        While either end lives, its journal may name the transfer, and only this
        row says that it has been settled.
        """
        async for row in self._scan(TRANSFER_PREFIX, TransferRow):
            transfer = row.value
            if transfer is None or transfer.state is TransferState.PENDING:
                continue
            if _closed(routers, transfer.source) and _closed(routers, transfer.to):
                wish = Transaction((row.check,), (Delete(row.key),))
                report.transfers += await self._try(wish)

    async def _closed_routers(
        self,
        routers: dict[RouterId, Seen[RouterRow]],
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
            # The row goes last, so that a sweep that dies is repeated.
            while keys := await self.objects.keys(journal_prefix(name)):
                for key in keys:
                    await self.objects.delete(key)
            wish = Transaction((row.check,), (Delete(row.key),))
            report.routers += await self._try(wish)

    async def _scan(self, prefix: str, as_type: type[T]) -> AsyncIterator[Seen[T]]:
        async for row in scan_rows(self.table, prefix):
            yield seen(row.key, row, as_type)

    async def _try(self, wish: Transaction) -> bool:
        try:
            await self.table.commit(wish)
        except (ConflictError, UnknownOutcomeError):
            return False
        return True


def _closed(routers: dict[RouterId, Seen[RouterRow]], name: RouterId) -> bool:
    row = routers.get(name)
    if row is None or row.value is None:
        return True
    return row.value.state is RouterState.CLOSED
