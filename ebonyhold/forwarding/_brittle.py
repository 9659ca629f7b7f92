"""Servers that state that they are brittle: they fall if they turn requests away."""

from __future__ import annotations

import logging
import math
from collections.abc import Iterable

from attrs import define, field

from ebonyhold.coordination import FIRST_WINDOW, LimitShares, PlaceWindow
from ebonyhold.forwarding._entry import BackendEntry, fields_of
from ebonyhold.forwarding._types import ServiceName
from ebonyhold.types import Seconds

log = logging.getLogger(__name__)

END_DELAY: Seconds = 1.0
"""Time without a statement after which a service counts as brittle no more, once one of
its servers has answered without it. Answers can overtake each other."""

PLACE_WAIT: Seconds = 0.2
"""Time that is told callers until a place may become free."""


@define(eq=False)
class BrittleServers:
    """Which servers are brittle, and whether they have a place for this router.

    All servers of a service become brittle together. So one that has not answered yet,
    such as one that has just come back, counts as brittle while another one of its
    service does.

    Attributes:
        stated_at: When a server of a service last stated that it is brittle.
    """

    stated_at: dict[ServiceName, Seconds] = field(factory=dict)

    def record(
        self,
        entry: BackendEntry,
        stated: bool,
        entries: Iterable[BackendEntry],
        now: Seconds,
    ) -> None:
        """Record whether a server's answer states that it is brittle.

        Args:
            entry: The server.
            stated: Whether it does.
            entries: All servers.
            now: The time.
        """
        service = entry.backend.service
        if stated:
            if not entry.brittle:
                log.info("server brittle", extra=fields_of(entry.backend))
                entry.brittle = True
                # One that runs already has the requests that it was sent before.
                entry.window = entry.window or PlaceWindow(max(1, entry.backend.slots))
            self.stated_at[service] = now
        elif service in self.stated_at:
            entry.brittle = False
            if now - self.stated_at[service] >= END_DELAY:
                self.end(service, entries)

    def end(self, service: ServiceName, entries: Iterable[BackendEntry]) -> None:
        """End the brittleness of a service's servers."""
        del self.stated_at[service]
        log.info("servers brittle no more", extra={"service": service})
        for entry in entries:
            if entry.backend.service == service:
                entry.brittle, entry.window = None, None

    def is_brittle(self, entry: BackendEntry) -> bool:
        """Return whether a server counts as brittle."""
        if not self.stated_at:
            return False
        if entry.brittle is None:
            return entry.backend.service in self.stated_at
        return entry.brittle

    def wait(
        self,
        entry: BackendEntry,
        shares: LimitShares,
        slot: int | None,
        now: Seconds,
    ) -> Seconds:
        """Return the time until a brittle server may get a request from this router.

        Args:
            entry: The server.
            shares: This router's shares of servers' places.
            slot: The current time slot in which a router without a share may send one
                request, if it is this router's; otherwise it would never learn that
                the server is brittle no more.
            now: The time of a monotonic clock.

        Returns:
            The time, 0 if it may get one now, and infinite without a share.
        """
        if entry.window is None:
            entry.window = PlaceWindow(FIRST_WINDOW)
        share = shares.places(entry.backend.name, entry.backend.slots)
        if not share:
            free = slot is not None and slot != entry.probed_in and not entry.in_flight
            return 0.0 if free else math.inf
        wait = entry.window.wait(entry.in_flight, share, now)
        return PLACE_WAIT if wait is None else wait

    def record_answer(self, entry: BackendEntry) -> None:
        """Record that a server has run a request."""
        if entry.window is not None:
            entry.window.record_answer()

    def record_declined(self, entry: BackendEntry, now: Seconds) -> None:
        """Record that a server had no room for a request."""
        if entry.window is not None:
            entry.window.record_declined(entry.in_flight, now)
