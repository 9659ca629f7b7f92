"""The configuration and the backend servers by which a gateway routes requests."""

from __future__ import annotations

import logging
from collections.abc import Iterable

import anyio
from attrs import define, field

from ebonyhold.exceptions import ConfigurationError, MalformedEntryError
from ebonyhold.forwarding import Backend, BackendTable, CallerLimits, Ruleset
from ebonyhold.gateway._types import PlatformAdapter, RawRow
from ebonyhold.types import BackendName, Tokens, WorkspaceName

log = logging.getLogger(__name__)


@define(eq=False)
class RoutingState:
    """Decodes rows from the watchers and keeps the current state.

    Attributes:
        platform: Decodes the rows.
        rules: The current configuration; None before the first.
        backends: The listed backend servers.
    """

    platform: PlatformAdapter
    rules: Ruleset | None = None
    backends: BackendTable = field(factory=BackendTable)

    def replace_rules(self, rows: tuple[RawRow, ...], after_outage: bool) -> None:
        """Use the configuration and the evacuations in all rows of the table."""
        self.apply_rules(rows, after_outage)
        domains = (self.platform.read_evacuation(row.key) for row in rows)
        self.evacuate(frozenset(domain for domain in domains if domain))

    def apply_rules(self, rows: tuple[RawRow, ...], after_outage: bool) -> None:
        """Use the configuration in these rows if it is newer than the current one.

        An invalid configuration is logged and not used. If the row is deleted, the
        current configuration stays. An evacuation lasts until its row is deleted.
        """
        del after_outage
        for row in rows:
            domain = self.platform.read_evacuation(row.key)
            if domain is not None:
                others = self.backends.evacuated - {domain}
                self.evacuate(others if row.deleted else others | {domain})
            if row.key != self.platform.rules_key or row.deleted:
                continue
            try:
                rules = self.platform.read_rules(row.value)
            except ConfigurationError as error:
                log.error("configuration rejected", extra={"detail": str(error)})
                continue
            if self.rules is not None and rules.version <= self.rules.version:
                continue
            self.rules = rules
            self.backends.services = rules.services
            fields = {"version": rules.version, "hosts": len(rules.routes)}
            log.info("configuration in force", extra=fields)

    def evacuate(self, domains: frozenset[str]) -> None:
        """Set the failure domains that are being evacuated, and log a change."""
        if domains != self.backends.evacuated:
            log.info("evacuations changed", extra={"domains": sorted(domains)})
            self.backends.evacuate(domains, anyio.current_time())

    def replace_servers(self, rows: tuple[RawRow, ...], after_outage: bool) -> None:
        """Replace the list of servers by the valid rows of a snapshot."""
        listed: dict[BackendName, Backend] = {}
        for row in rows:
            backend = self.read_entry(row)
            if backend is not None:
                listed[row.key] = backend
        self.backends.replace(listed, anyio.current_time(), after_outage)

    def update_servers(self, rows: tuple[RawRow, ...], after_outage: bool) -> None:
        """Apply changes to the list of servers.

        A malformed entry removes its server at once. If an entry was deleted during an
        outage, it may have lapsed only because it could not be renewed, so its server
        is kept for a grace period.
        """
        now = anyio.current_time()
        for row in rows:
            backend = None if row.deleted else self.read_entry(row)
            if backend is not None:
                self.backends.update(backend, now)
            else:
                lapsed = row.deleted and after_outage
                self.backends.remove(row.key, now, lapsed)

    def read_entry(self, row: RawRow) -> Backend | None:
        """Decode a server's entry; log a malformed one and return None."""
        try:
            return self.platform.read_backend(row.key, row.value)
        except MalformedEntryError as error:
            fields = {"backend": row.key, "detail": str(error)}
            log.warning("server entry ignored", extra=fields)
            return None

    def limits(self) -> CallerLimits:
        """Return the limits on callers; defaults before the first configuration."""
        return self.rules.limits if self.rules else CallerLimits()

    def prepaid(self, workspace: WorkspaceName) -> tuple[int, Tokens | None]:
        """Return the configuration version and a workspace's prepaid tokens.

        The version is 0 before the first configuration. The tokens are None for a
        workspace that is unknown or has no limit.
        """
        if self.rules is None:
            return 0, None
        known = self.rules.workspaces.get(workspace)
        return self.rules.version, known.prepaid if known else None

    def workspaces(self) -> Iterable[WorkspaceName]:
        """Return the names of all configured workspaces."""
        return list(self.rules.workspaces) if self.rules else ()
