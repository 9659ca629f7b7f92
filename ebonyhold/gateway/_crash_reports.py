"""Exchanges reports of crashes with the other gateways.

Each gateway publishes what it has seen in a row of its own, and follows the table of
all rows. While it cannot reach the store, it sends its report to other gateways.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

import anyio
from attrs import define, field, frozen

from ebonyhold.coordination import (
    DECODE_ERRORS,
    CrashRecords,
    CrashReport,
    Put,
    Transaction,
    from_bytes,
    to_json,
)
from ebonyhold.exceptions import PlatformError
from ebonyhold.gateway._intervals import scale_interval
from ebonyhold.gateway._transfers import GatewayPeers
from ebonyhold.gateway._types import GatewayStore, RawRow
from ebonyhold.types import Seconds

log = logging.getLogger(__name__)

TABLE = "crashes"
"""The table with one report per VM, all in the part with the empty name."""

CRASHES_TARGET = b"/crashes"

WATCH_WAIT: Seconds = 3.0
"""Time after which the store answers a call for reports even if there are none.

Reports are rare, and each call has its price.
"""

PUBLISH_INTERVAL: Seconds = 0.4
"""Interval between two checks whether there is something to publish.

Most lost requests are answered by another server within this time and need not be
published at all.
"""

MAX_PUBLISH_INTERVAL: Seconds = 1.2
"""The maximum interval in a large fleet, in which many gateways lose requests in the
same crash."""

PEER_TIMEOUT: Seconds = 0.2
"""Timeout of a report to another gateway."""


@frozen
class CrashReportAnswer:
    """The confirmation of a report by another gateway."""


@define(eq=False)
class CrashReports:
    """Publishes this gateway's report of crashes, and merges those of the others.

    Attributes:
        store: The store.
        name: This VM's name.
        records: What is known of crashes.
        count_routers: Returns the number of gateways.
        is_store_reachable: Returns whether the store seems reachable.
        peers: Sends messages to the other gateways.
        published: The last report in this VM's row.
        sent: The last report that was sent to other gateways.
    """

    store: GatewayStore
    name: str
    records: CrashRecords
    count_routers: Callable[[], int]
    is_store_reachable: Callable[[], bool]
    peers: GatewayPeers
    published: CrashReport = field(factory=CrashReport)
    sent: CrashReport = field(factory=CrashReport)

    def merge_rows(self, rows: tuple[RawRow, ...], after_outage: bool) -> None:
        """Merge the reports in rows of the table; a damaged one is logged.

        The row of this VM is the report of an earlier process, or this one's own.
        """
        del after_outage
        for row in rows:
            if row.deleted:
                continue
            try:
                report = from_bytes(row.value, CrashReport)
            except DECODE_ERRORS as error:
                fields = {"row": row.key, "detail": repr(error)}
                log.warning("crash report damaged", extra=fields)
                continue
            self.merge(report, own=row.key == self.name)

    def merge(self, report: CrashReport, own: bool = False) -> None:
        """Merge a report, and log which requests are rejected from now on."""
        before = self.records.rejected
        self.records.merge(report, time.time(), own)
        for digest in self.records.rejected - before:
            log.warning("request rejected from now on", extra={"content": digest})

    async def run(self) -> None:
        """Publish the report whenever it has changed, until cancelled."""
        while True:
            await anyio.sleep(
                scale_interval(
                    PUBLISH_INTERVAL, self.count_routers(), MAX_PUBLISH_INTERVAL
                )
            )
            self.records.expire(time.time())
            if self.records.changed:
                await self.publish()

    async def publish(self) -> None:
        """Write this gateway's row, and tell other gateways if the store is away."""
        report = self.records.report()
        if report == self.published:
            return
        if not self.is_store_reachable():
            await self.send_to_peers(report)
        put = Put(f"{TABLE}//{self.name}", to_json(report))
        try:
            await self.store.commit(Transaction((), (put,)))
        except PlatformError as error:
            self.records.changed = True
            log.info("crash report not published", extra={"error": error.code})
        else:
            self.published = report

    async def send_to_peers(self, report: CrashReport) -> None:
        """Send a report to a few other gateways, unless it is the one sent last."""
        if report == self.sent:
            return
        self.sent = report
        async with anyio.create_task_group() as tasks:
            for peer in self.peers.sample(anyio.current_time()):
                tasks.start_soon(
                    self.peers.post,
                    peer,
                    CRASHES_TARGET,
                    report,
                    CrashReportAnswer,
                    PEER_TIMEOUT,
                )
