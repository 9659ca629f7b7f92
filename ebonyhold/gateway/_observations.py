"""Exchanges observations of servers and requests with the other gateways.

Each gateway publishes what it has seen in a row of its own, and follows the table of
all rows. While it cannot reach the store, it sends them to other gateways.
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
    EndedLimit,
    PartRecords,
    Put,
    Transaction,
    from_bytes,
    to_json,
)
from ebonyhold.exceptions import PlatformError
from ebonyhold.forwarding import BackendTable
from ebonyhold.gateway._intervals import scale_interval
from ebonyhold.gateway._transfers import GatewayPeers
from ebonyhold.gateway._types import GatewayStore, RawRow
from ebonyhold.types import Seconds

log = logging.getLogger(__name__)

TABLE = "observations"
"""The table with one row per VM, all in the part with the empty name."""

OBSERVATIONS_TARGET = b"/observations"

WATCH_WAIT: Seconds = 3.0
"""Time after which the store answers a call for observations even if there are none.

Observations are rare, and each call has its price.
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
"""Timeout of a message with observations to another gateway."""


@frozen
class ObservationsRow:
    """What one gateway has observed, at ``observations//{vm}`` and in messages.

    Attributes:
        crashes: Requests that were lost in crashes.
        ended_limits: Limits that servers no longer state.
        parts: Parts of prompts that were lost in crashes; None from an older version.
            They are apart because that one would take them for requests.
    """

    crashes: CrashReport = field(factory=CrashReport)
    ended_limits: tuple[EndedLimit, ...] = ()
    parts: CrashReport | None = None


@frozen
class ObservationsAnswer:
    """The confirmation of observations by another gateway."""


@define(eq=False)
class Observations:
    """Publishes this gateway's observations, and merges those of the others.

    Attributes:
        store: The store.
        name: This VM's name.
        crashes: What is known of crashes.
        backends: The known servers and their limits.
        count_routers: Returns the number of gateways.
        is_store_reachable: Returns whether the store seems reachable.
        peers: Sends messages to the other gateways.
        parts: What is known of crashes of parts of prompts.
        published: The last content of this VM's row.
        sent: The last observations that were sent to other gateways.
    """

    store: GatewayStore
    name: str
    crashes: CrashRecords
    backends: BackendTable
    count_routers: Callable[[], int]
    is_store_reachable: Callable[[], bool]
    peers: GatewayPeers
    parts: PartRecords = field(factory=PartRecords)
    published: ObservationsRow = field(factory=ObservationsRow)
    sent: ObservationsRow = field(factory=ObservationsRow)

    def merge_rows(self, rows: tuple[RawRow, ...], after_outage: bool) -> None:
        """Merge rows of the table; a damaged one is logged.

        The row of this VM was written by an earlier process or by this one.
        """
        del after_outage
        for row in rows:
            if row.deleted:
                continue
            try:
                observed = from_bytes(row.value, ObservationsRow)
            except DECODE_ERRORS as error:
                fields = {"row": row.key, "detail": repr(error)}
                log.warning("observations damaged", extra=fields)
                continue
            self.merge(observed, own=row.key == self.name)

    def merge(self, observed: ObservationsRow, own: bool = False) -> None:
        """Merge observations, and log what is rejected from now on."""
        requests, parts = self.crashes.rejected, self.parts.rejected
        self.crashes.merge(observed.crashes, time.time(), own)
        if observed.parts is not None:
            self.parts.merge(observed.parts, time.time(), own)
        for ended in observed.ended_limits:
            self.backends.end_limit(ended)
        for digest in self.crashes.rejected - requests:
            log.warning("request rejected from now on", extra={"content": digest})
        for digest in self.parts.rejected - parts:
            log.warning("part rejected from now on", extra={"part": digest})

    async def run(self) -> None:
        """Publish the observations whenever they have changed, until cancelled."""
        while True:
            await anyio.sleep(
                scale_interval(
                    PUBLISH_INTERVAL, self.count_routers(), MAX_PUBLISH_INTERVAL
                )
            )
            self.crashes.expire(time.time())
            self.parts.expire(time.time())
            ended = self.backends.ended_limits.report(time.time())
            changed = self.crashes.changed or self.parts.changed
            if changed or ended != self.published.ended_limits:
                await self.publish()

    async def publish(self) -> None:
        """Write this gateway's row, and tell other gateways if the store is away."""
        ended = self.backends.ended_limits.report(time.time())
        parts = self.parts.report()
        known = parts if parts != CrashReport() else None
        observed = ObservationsRow(self.crashes.report(), ended, known)
        if observed == self.published:
            return
        if not self.is_store_reachable():
            await self.send_to_peers(observed)
        put = Put(f"{TABLE}//{self.name}", to_json(observed))
        try:
            await self.store.commit(Transaction((), (put,)))
        except PlatformError as error:
            self.crashes.changed = self.parts.changed = True
            log.info("observations not published", extra={"error": error.code})
        else:
            self.published = observed

    async def send_to_peers(self, observed: ObservationsRow) -> None:
        """Send observations to a few other gateways, unless they were sent last."""
        if observed == self.sent:
            return
        self.sent = observed
        async with anyio.create_task_group() as tasks:
            for peer in self.peers.sample(anyio.current_time()):
                tasks.start_soon(
                    self.peers.post,
                    peer,
                    OBSERVATIONS_TARGET,
                    observed,
                    ObservationsAnswer,
                    PEER_TIMEOUT,
                )
