"""The servers of which this gateway lends memory, and how much there is of each."""

from __future__ import annotations

import logging
from collections.abc import Callable

from attrs import define

from ebonyhold.coordination import (
    LENT_SHARE,
    VIEW_INTERVALS,
    LenderView,
    RouterRun,
    own_share,
)
from ebonyhold.forwarding import BackendTable, Ruleset
from ebonyhold.gateway._presence import Presence, vm_of
from ebonyhold.prepaid import Fleet
from ebonyhold.types import BackendName, Seconds, Tokens

log = logging.getLogger(__name__)

DEFAULT_MAX_TIME: Seconds = 60.0
"""The longest time-out of a request before the configuration is read."""


@define(eq=False)
class MemoryRoles:
    """The own shares and the lenders of each server's memory.

    Attributes:
        backends: The known servers.
        presence: The known routers.
        rules: Returns the current rules.
        view: The lenders, as this gateway sees them.
        routers: The highest number of gateways that was counted; 0 before a count.
        has_leases: Whether this gateway may have lent or leased memory.
        lent: The servers of which it was a lender at the last count.
    """

    backends: BackendTable
    presence: Presence
    rules: Callable[[], Ruleset | None]
    view: LenderView
    routers: int = 0
    has_leases: bool = False
    lent: frozenset[BackendName] = frozenset()

    def memory_of(self, server: BackendName) -> Tokens:
        """Return the memory of a server; 0 if it is not known or not stated."""
        entry = self.backends.entries.get(server)
        if entry is None:
            return 0
        service = self.backends.services.get(entry.backend.service)
        return service.memory if service is not None else 0

    def lent_size(self, server: BackendName) -> Tokens:
        """Return how much memory each lender of a server lends."""
        return self.lent_share(self.memory_of(server))

    def lent_share(self, memory: Tokens) -> Tokens:
        """Return how much each lender lends of a server with so much memory."""
        return int(memory * LENT_SHARE)

    def own_size(self, memory: Tokens) -> Tokens:
        """Return this gateway's own share of a server with so much memory.

        It is nothing until the gateways were counted: this gateway may be one of many.
        """
        return own_share(memory, self.routers)

    def max_time(self) -> Seconds:
        """Return the longest time-out of a request."""
        rules = self.rules()
        if rules is None:
            return DEFAULT_MAX_TIME
        return max(
            (route.timeout for by in rules.routes.values() for route in by.values()),
            default=DEFAULT_MAX_TIME,
        )

    def may_lend(self, server: BackendName, now: Seconds) -> bool:
        """Return whether this gateway may lend memory of a server now."""
        if self.view.quiet_left(server, now, self.max_time()) > 0.0:
            return False
        self.has_leases = True
        return True

    def update(self, fleet: Fleet) -> None:
        """Use a new reading of the rows of presence, and log a change of the roles."""
        presence = self.presence
        self.routers = max(self.routers, presence.count(), presence.max_counted)
        rows = {vm_of(key): seen.row for key, seen in presence.observed.items()}
        lending = {vm: domain for vm, domain in fleet.items() if rows[vm].lends_memory}
        # A router that is cut off from the store is left out, and may have leases.
        runs = {vm: RouterRun(row.router, row.has_leases) for vm, row in rows.items()}
        valid_for = VIEW_INTERVALS * presence.interval
        self.view.update(lending, presence.stored_at, valid_for, runs)
        lent = frozenset(s for s in self.backends.entries if self.view.is_chosen(s))
        if lent != self.lent:
            fields = {
                "begun": sorted(lent - self.lent),
                "ceased": sorted(self.lent - lent),
                "routers": len(lending),
                "leased_before": len(self.view.earlier),
            }
            log.info("lender of memory changed", extra=fields)
            self.lent = lent
