"""Follows one table of the store: a whole reading, then its changes."""

from __future__ import annotations

import logging
from collections.abc import Callable

import anyio
from attrs import define, field

from ebonyhold.exceptions import HistoryLostError, PlatformError
from ebonyhold.gateway._pace import stretch
from ebonyhold.gateway._types import GatewayStore, RawRow
from ebonyhold.types import Seconds

log = logging.getLogger(__name__)

WAIT: Seconds = 0.6
"""How long the store may hold a call for changes.

A connection that went silent shows as a call that is not answered after this and
a margin; changes must be in force within two seconds all the same.
"""

PAUSE: Seconds = 0.35
"""Between two calls for changes, so that many small changes share a call."""

MOST_PAUSE: Seconds = 1.2
"""The same in a fleet of any size: changes must be in force within two seconds."""

RETRY: Seconds = 0.15
"""Before the next try after a failed one."""

OUTAGE: Seconds = 1.5
"""Without an answer for this long, entries may have lapsed for the store's fault."""


@define(eq=False)
class Watcher:
    """Follows one table, through outages and lost history.

    Attributes:
        store: The store.
        table: The table to follow.
        replaced: Is given all rows, and whether an outage came before.
        changed: Is given the rows that changed, and the same.
        routers: Returns how many routers follow it.
        version: The version to go on from; None if all must be read again.
        answered_at: When the store answered last.
        reachable: Whether the last call was answered.
    """

    store: GatewayStore
    table: str
    replaced: Callable[[tuple[RawRow, ...], bool], None]
    changed: Callable[[tuple[RawRow, ...], bool], None]
    routers: Callable[[], int] = lambda: 1
    version: int | None = None
    answered_at: Seconds | None = None
    reachable: bool = True
    first: anyio.Event = field(factory=anyio.Event)

    async def run(self) -> None:
        """Follow the table, for ever."""
        while True:
            try:
                await self.step()
                await anyio.sleep(stretch(PAUSE, self.routers(), MOST_PAUSE))
            except HistoryLostError:
                log.info("history lost", extra={"table": self.table})
                self.version = None
            except PlatformError as error:
                self.note_lost(error)
                await anyio.sleep(RETRY)

    async def step(self) -> None:
        """Read the table or wait for its changes, once."""
        if self.version is None:
            snapshot = await self.store.snapshot(self.table)
            self.replaced(snapshot.rows, self.note_answer())
            self.version = snapshot.version
            self.first.set()
            return
        changes = await self.store.changes(self.table, self.version, WAIT)
        after_outage = self.note_answer()
        if changes.rows:
            self.changed(changes.rows, after_outage)
        self.version = changes.version

    def note_answer(self) -> bool:
        """Note an answer; tell whether there had been none for long."""
        now = anyio.current_time()
        before = self.answered_at
        self.answered_at = now
        if not self.reachable:
            log.info("store regained", extra={"table": self.table})
            self.reachable = True
        return before is not None and now - before > OUTAGE

    def note_lost(self, error: PlatformError) -> None:
        """Log the first of several failed calls."""
        if self.reachable:
            fields = {"table": self.table, "error": error.code, "detail": str(error)}
            log.warning("store lost", extra=fields)
        self.reachable = False

    def age(self, now: Seconds) -> Seconds:
        """Return how old what is known of the table is."""
        return now - self.answered_at if self.answered_at is not None else float("inf")
