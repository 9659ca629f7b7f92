"""The list of backend servers, as the store has it."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable, Mapping

import anyio
from attrs import define, field, frozen

from ebonyhold.coordination import EjectionPolicy, Ejector, ServerRun, VersionHistory
from ebonyhold.forwarding._entry import BackendEntry, fields_of
from ebonyhold.forwarding._types import (
    Backend,
    BackendState,
    Service,
    ServiceName,
    SoftwareVersion,
)
from ebonyhold.types import BackendName, Seconds

log = logging.getLogger(__name__)

LAPSE_GRACE: Seconds = 2.2
"""How long a server is kept if its list entry is missing after a store outage.

Servers renew their entries within two seconds of the end of an outage. Without this
grace period, a long outage would remove all running servers at once.
"""

EJECTION = EjectionPolicy(
    errors=4, lost=1, first_duration=0.5, max_duration=4.0, max_unreachable=2.0
)
"""One failed connection is enough for an ejection, and ejections are shorter than by
default.

A server that has recovered is needed at once, and trying a server that is still
unreachable costs only one failed connection.
"""

CURRENT_FOR: Seconds = 2.2
"""Age of the list up to which it is current.

It is less than the time after which a new version is assumed to be known everywhere.
"""

CONFIRMED_AFTER: Seconds = 2.5
"""Time from the end of a server's process after which an entry read is not older."""

UNLISTED_KEPT: Seconds = 60.0
"""How long it is remembered what a server has stated, after it was removed.

An entry that expired during an outage of the store, and any written before the server
began to leave, may be listed again.
"""

STANDS_AFTER: Seconds = 10.0
"""Time after which an entry is used that is older than one read before.

A running server replaces an outdated entry with its next report, and the entry of one
that reports no more expires. So whoever has written an entry that stands this long has
written it again, with a count or a clock that was set back.
"""


@frozen
class OutdatedEntry:
    """An entry in the list that is older than one read before.

    Attributes:
        backend: The entry.
        since: When the list first had an outdated entry of this server.
    """

    backend: Backend
    since: Seconds


@define(eq=False)
class ServerList:
    """The known runs of servers, updated by the tasks that watch the server list.

    Attributes:
        entries: The servers by name.
        unlisted: Runs of servers that were removed in the last UNLISTED_KEPT.
        newest: The entry that was used last of each server in `entries` or `unlisted`.
        outdated: Entries that are not used, by server: the store may perform a write
            seconds late, after the server has reported something newer.
        ejector: Decides which failing servers to avoid.
        services: The settings of the services.
        evacuated: The failure domains whose servers get no requests.
        versions: The software versions in play.
        was_read: Whether a list with servers was read.
        read_age: Returns the age of the list.
        on_version: Called with a service in which a version is listed beside another.
        on_restart: Called with the earlier run of a server that is listed under the
            same name with another version.
        was_current: Whether the list was current when that was last checked.
        on_old_list: Called when it is current no more.
    """

    entries: dict[BackendName, BackendEntry] = field(factory=dict)
    unlisted: dict[ServerRun, BackendEntry] = field(factory=dict)
    newest: dict[BackendName, Backend] = field(factory=dict)
    outdated: dict[BackendName, OutdatedEntry] = field(factory=dict)
    ejector: Ejector = field(factory=lambda: Ejector(EJECTION))
    services: Mapping[ServiceName, Service] = field(factory=dict)
    evacuated: frozenset[str] = frozenset()
    versions: VersionHistory = field(factory=VersionHistory)
    was_read: bool = False
    read_age: Callable[[], Seconds] = lambda: 0.0
    on_version: Callable[[ServiceName], None] = lambda service: None
    on_restart: Callable[[BackendEntry], None] = lambda entry: None
    was_current: bool = True
    on_old_list: Callable[[], None] = lambda: None

    def replace(
        self, listed: Mapping[BackendName, Backend], now: Seconds, after_outage: bool
    ) -> None:
        """Update the table from a complete server list.

        Servers that are not listed are removed as in `remove`.
        """
        first = not self.was_read
        self.was_read = self.was_read or bool(listed)
        # Of several versions, the one that has served for longest is known everywhere.
        for backend in sorted(listed.values(), key=lambda one: one.started_at):
            self.update(backend, now, first)
        for name in {*self.entries, *self.outdated}.difference(listed):
            self.remove(name, now, after_outage)

    def update(self, backend: Backend, now: Seconds = 0.0, first: bool = False) -> None:
        """Add or update a server, unless it has reported something newer before.

        Args:
            backend: The server's entry in the server list.
            now: When the entry was read.
            first: Whether it is in the first list that this router reads.
        """
        newest = self.newest.get(backend.name)
        if newest is not None and backend.is_older_than(newest):
            self.set_aside(backend, newest, now)
            return
        self.outdated.pop(backend.name, None)
        self.apply(backend, now, first)

    def set_aside(self, backend: Backend, newest: Backend, now: Seconds) -> None:
        """Keep an outdated entry for the case that it stands; log the first one."""
        known = self.outdated.get(backend.name)
        if known is None:
            fields = {
                "report": backend.report,
                "newest": newest.report,
                "newest_state": newest.state.value,
            }
            log.warning("outdated server entry", extra={**fields_of(backend), **fields})
        since = known.since if known is not None else now
        self.outdated[backend.name] = OutdatedEntry(backend, since)

    def use_standing(self, now: Seconds) -> None:
        """Use the outdated entries that the list has had for STANDS_AFTER."""
        for name, entry in list(self.outdated.items()):
            if now - entry.since < STANDS_AFTER or not self.is_current:
                continue
            del self.outdated[name]
            self.apply(entry.backend, now)

    def apply(self, backend: Backend, now: Seconds, first: bool = False) -> None:
        """Add a server, or update it; a restarted server loses its earlier state.

        A run that is listed again keeps its state.

        Args:
            backend: The server's entry in the server list.
            now: When the entry was read.
            first: Whether it is in the first list that this router reads.
        """
        newest = self.newest.get(backend.name)
        # Where the list is late, streams of the new run count as those of the last.
        turned = newest is not None and newest.version != backend.version
        if self.versions.record(backend.service, backend.version, now, first or turned):
            fields = {"service": backend.service, "version": backend.version}
            log.info("version listed", extra=fields)
            self.on_version(backend.service)
        known = self.entries.get(backend.name)
        if known is None or known.backend.incarnation != backend.incarnation:
            # The server is new, is listed again, or has restarted under the same name.
            if known is not None:
                known.listed = False
                if known.backend.version != backend.version:
                    self.on_restart(known)
            run = ServerRun(backend.name, backend.started_at)
            known = self.unlisted.pop(run, None) or BackendEntry(backend)
            known.listed, known.moved = True, False
            known.inherited_at = now if first else None
            self.entries[backend.name] = known
            self.ejector.succeeded(backend.name)
            log.info("server listed", extra=fields_of(backend))
        if backend.cold_for:
            known.cold_until = max(known.cold_until, now + backend.cold_for)
        if known.backend.state is not backend.state:
            log.info("server changed", extra=fields_of(backend))
        known.moved = known.moved and known.backend.address == backend.address
        known.backend = self.newest[backend.name] = backend
        known.drop_at = None
        known.confirm(now - CONFIRMED_AFTER)

    def add_versions(
        self, service: ServiceName, seen: Iterable[SoftwareVersion], now: Seconds
    ) -> None:
        """Add versions of a service that other routers or processes have seen.

        They are in play for a time, though no server may have them any more.
        """
        new = [self.versions.record(service, one, now, True) for one in seen]
        if any(new):
            in_play = sorted(self.versions.in_play(service))
            fields = {"service": service, "versions": in_play}
            log.info("versions in play", extra=fields)
            self.on_version(service)

    @property
    def is_current(self) -> bool:
        """Whether the list shows all changes that are two seconds old."""
        return self.read_age() < CURRENT_FOR

    def shows_all_before(self, moment: Seconds) -> bool:
        """Return whether the list shows all changes before a time."""
        return anyio.current_time() - self.read_age() >= moment

    def record_end(self, entry: BackendEntry, now: Seconds) -> None:
        """Record that a server's process has ended; it may be back as another run.

        It may end again before the list shows that, so an entry that is read too soon
        after the last end confirms nothing.
        """
        if entry.ended_at is None:
            entry.ended_at = now
        entry.end_seen_at = max(entry.end_seen_at, now)

    def record_replaced(
        self, entry: BackendEntry, before: Seconds, now: Seconds
    ) -> None:
        """Record that a later run of a server has answered.

        Args:
            entry: The run that is listed.
            before: A time by which it had ended.
            now: When the other one has answered.
        """
        known = before if entry.ended_at is None else entry.ended_at
        proved = max(entry.confirmed_at, self.listed_until(now))
        entry.ended_at = min(known, before, proved)
        entry.end_seen_at, entry.is_replaced = now, True

    def listed_until(self, now: Seconds) -> Seconds:
        """Return the time until which the list shows all runs that have begun."""
        return now - self.read_age() - CONFIRMED_AFTER

    def states_versions(self, service: ServiceName) -> bool:
        """Return whether servers of a service state their versions."""
        return any(self.versions.in_play(service))

    def is_run_proved(
        self, entry: BackendEntry, opened_at: Seconds, now: Seconds
    ) -> bool:
        """Return whether a connection leads to the run of a server that is listed.

        Its report or a list that was read long enough afterwards proves that. What
        shows no more than no sign of a restart is the matter of `is_run_known`.

        Args:
            entry: The server.
            opened_at: When the connection was opened.
            now: The time.
        """
        if opened_at <= entry.confirmed_at:
            return True
        if entry.ended_at is not None and opened_at > entry.ended_at:
            return False
        return opened_at <= self.listed_until(now)

    def is_run_known(
        self, entry: BackendEntry, opened_at: Seconds, now: Seconds
    ) -> bool:
        """Return whether a connection leads to the run of a server that is listed.

        A connection to an earlier run is gone when the server restarts. One that was
        opened since may lead to the next run, which the list does not show yet. With
        an old list that may be one of a version that is not listed.

        Args:
            entry: The server.
            opened_at: When the connection was opened.
            now: The time.
        """
        if opened_at <= entry.confirmed_at:
            return True
        if entry.ended_at is not None and opened_at > entry.ended_at:
            return False
        if self.is_current or not self.states_versions(entry.backend.service):
            return True
        return opened_at <= now - self.read_age()

    def is_run_confirmed(
        self, entry: BackendEntry, opened_at: Seconds, now: Seconds
    ) -> bool:
        """Return whether a connection may carry on a stream that belongs to a version.

        This asks more than `is_run_known`: a router that has just started has not seen
        which servers of its first list had ended by then.
        """
        since = entry.inherited_at
        if opened_at <= entry.confirmed_at:
            return True
        if since is not None and self.versions.are_several(entry.backend.service):
            settled = opened_at >= since + CONFIRMED_AFTER
            return settled and self.is_run_known(entry, opened_at, now)
        return self.is_run_known(entry, opened_at, now)

    def evacuate(self, domains: frozenset[str], now: Seconds) -> None:
        """Set the failure domains whose servers get no requests.

        At the end of an evacuation its servers may be cold, and their entries may state
        that only later. So they count as cold for as long as after a start.
        """
        for entry in self.entries.values():
            if entry.backend.domain in self.evacuated - domains:
                service = self.services.get(entry.backend.service)
                cold_time = service.cold_time if service is not None else 0.0
                entry.cold_until = max(entry.cold_until, now + cold_time)
        self.evacuated = domains

    def remove(self, name: BackendName, now: Seconds, after_outage: bool) -> None:
        """Remove a server that is no longer listed.

        After an outage of the store, a ready server is kept for LAPSE_GRACE first,
        because running servers could not renew their list entries during the outage.
        """
        self.outdated.pop(name, None)
        entry = self.entries.get(name)
        if entry is None:
            return
        if after_outage and entry.backend.state is BackendState.READY:
            if entry.drop_at is None:
                entry.drop_at = now + LAPSE_GRACE
                log.info("server lapsed", extra=fields_of(entry.backend))
            return
        self.drop(entry, now)

    def expire(self, now: Seconds) -> None:
        """Remove the servers whose LAPSE_GRACE has passed, and forget old runs.

        Versions that no server has had for long are forgotten, too.
        """
        was_current, self.was_current = self.was_current, self.is_current
        if was_current and not self.was_current:
            self.on_old_list()
        for entry in self.entries.values():
            backend = entry.backend
            self.versions.record(backend.service, backend.version, now)
        self.versions.expire(now)
        self.use_standing(now)
        for entry in list(self.entries.values()):
            if entry.drop_at is not None and now >= entry.drop_at:
                self.drop(entry, now)
        for run, entry in list(self.unlisted.items()):
            if entry.drop_at is None or now >= entry.drop_at:
                del self.unlisted[run]
                self.forget(entry)

    def drop(self, entry: BackendEntry, now: Seconds) -> None:
        """Remove a server and its failure history.

        A run without a known start is forgotten at once, since it could not be told
        from the server's next run.
        """
        del self.entries[entry.backend.name]
        entry.listed = False
        entry.drop_at = now + UNLISTED_KEPT
        if entry.backend.started_at:
            self.unlisted[entry.run] = entry
        else:
            self.forget(entry)
        self.ejector.succeeded(entry.backend.name)
        log.info("server gone", extra=fields_of(entry.backend))

    def forget(self, entry: BackendEntry) -> None:
        """Forget the newest entry of a server if it is that of a run that is gone."""
        if self.newest.get(entry.backend.name) is entry.backend:
            del self.newest[entry.backend.name]
