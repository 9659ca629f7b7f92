"""Follows one table of the store: a snapshot first, then its changes."""

from __future__ import annotations

import logging
from collections.abc import Callable

import anyio
from attrs import define, field

from ebonyhold.exceptions import HistoryLostError, PlatformError
from ebonyhold.gateway._intervals import scale_interval
from ebonyhold.gateway._types import GatewayStore, RawRow
from ebonyhold.types import Seconds

log = logging.getLogger(__name__)

LONG_POLL_WAIT: Seconds = 0.6
"""Usual time after which the store answers a call for changes even if there are none.

A broken connection is detected only after this time and a margin, and even then changes
must be in force within two seconds.
"""

POLL_PAUSE: Seconds = 0.35
"""Pause between two calls for changes, so that many small changes share one call."""

MAX_POLL_PAUSE: Seconds = 1.2
"""The maximum pause in a large fleet; changes must be in force within two seconds."""

RETRY_DELAY: Seconds = 0.15
"""Delay before the next attempt after a failed call."""

OUTAGE_AFTER: Seconds = 1.5
"""If the store did not answer for this long, its next answer counts as following an
outage. Entries may then have lapsed only because they could not be renewed."""


@define(eq=False)
class Watcher:
    """Follows one table, also through outages and lost history.

    Attributes:
        store: The store.
        table: The table to follow.
        on_snapshot: Called with all rows, and whether the store was down before.
        on_changes: Called with the changed rows, and whether the store was down before.
        count_routers: Returns the number of routers that follow the table.
        wait: Time after which the store answers a call for changes even if there are
            none.
        version: The version after which changes are read; None if a snapshot is needed.
        answered_at: When the last answer of the store was read.
        known_at: The time up to which the last answer tells all changes.
        reachable: Whether the last call was answered.
        first_read: Set after the first snapshot.
    """

    store: GatewayStore
    table: str
    on_snapshot: Callable[[tuple[RawRow, ...], bool], None]
    on_changes: Callable[[tuple[RawRow, ...], bool], None]
    count_routers: Callable[[], int] = lambda: 1
    wait: Seconds = LONG_POLL_WAIT
    version: int | None = None
    answered_at: Seconds | None = None
    known_at: Seconds | None = None
    reachable: bool = True
    first_read: anyio.Event = field(factory=anyio.Event)

    async def run(self) -> None:
        """Follow the table until cancelled; failed calls are logged and repeated."""
        while True:
            try:
                await self.step()
                await anyio.sleep(
                    scale_interval(POLL_PAUSE, self.count_routers(), MAX_POLL_PAUSE)
                )
            except HistoryLostError:
                log.info("history lost", extra={"table": self.table})
                self.version = None
            except PlatformError as error:
                self.record_failure(error)
                await anyio.sleep(RETRY_DELAY)

    async def step(self) -> None:
        """Read a snapshot if one is needed, else wait once for changes."""
        asked_at = anyio.current_time()
        if self.version is None:
            snapshot = await self.store.snapshot(self.table)
            self.known_at = asked_at
            self.on_snapshot(snapshot.rows, self.record_answer())
            self.version = snapshot.version
            self.first_read.set()
            return
        changes = await self.store.changes(self.table, self.version, self.wait)
        after_outage = self.record_answer()
        # An answer may be read long after it was sent, as when this process was paused.
        waited = 0.0 if changes.rows else self.wait
        self.known_at = min(asked_at + waited, anyio.current_time())
        if changes.rows:
            self.on_changes(changes.rows, after_outage)
        self.version = changes.version

    def record_answer(self) -> bool:
        """Record an answer; return whether it follows an outage of the store.

        The first answer does not.
        """
        now = anyio.current_time()
        before = self.answered_at
        self.answered_at = now
        if not self.reachable:
            log.info("store regained", extra={"table": self.table})
            self.reachable = True
        return before is not None and now - before > OUTAGE_AFTER

    def record_failure(self, error: PlatformError) -> None:
        """Record a failed call; log it unless the previous one failed too."""
        if self.reachable:
            fields = {"table": self.table, "error": error.code, "detail": str(error)}
            log.warning("store lost", extra=fields)
        self.reachable = False

    def age(self, now: Seconds) -> Seconds:
        """Return the age of what was last read; infinite before the first answer."""
        return now - self.known_at if self.known_at is not None else float("inf")
