"""The known backend servers and the state that this router keeps for each."""

from __future__ import annotations

import logging
import random
import time
from collections.abc import Iterable, Mapping

from attrs import define, field

from ebonyhold.coordination import (
    EjectionPolicy,
    Ejector,
    EndedLimit,
    EndedLimits,
    LimitShares,
    SendingLimit,
    ServerRun,
)
from ebonyhold.forwarding._brittle import BrittleServers
from ebonyhold.forwarding._entry import BackendEntry, fields_of
from ebonyhold.forwarding._types import (
    AnswerFacts,
    Backend,
    BackendState,
    Service,
    ServiceName,
)
from ebonyhold.forwarding._withheld import Cause, Withheld
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

FULL_BACKOFF: Seconds = 0.15
"""How long a server that declined a request is avoided, unless no other is left."""

UNLISTED_KEPT: Seconds = 60.0
"""How long it is remembered what a server has stated, after it was removed.

An entry that expired during an outage of the store, and any written before the server
began to leave, may be listed again.
"""

MAX_REST: Seconds = 300.0
"""Longest rest that is granted, so that a wrong value hides no server for good."""

REST_SPREAD = 0.1
"""By up to this share each rest is made longer.

A server tells many routers and requests at once; they do not all return at once.
"""


@define(eq=False)
class BackendTable:
    """All known servers, updated by the tasks that watch the server list.

    Attributes:
        entries: The servers by name.
        unlisted: Runs of servers that were removed in the last UNLISTED_KEPT.
        ejector: Decides which failing servers to avoid.
        shares: This router's shares of the servers' limits.
        brittle: Which servers are brittle.
        ended_limits: The ends of limits that this router has noticed.
        services: The settings of the services.
        evacuated: The failure domains whose servers get no requests.
    """

    entries: dict[BackendName, BackendEntry] = field(factory=dict)
    unlisted: dict[ServerRun, BackendEntry] = field(factory=dict)
    ejector: Ejector = field(factory=lambda: Ejector(EJECTION))
    shares: LimitShares = field(factory=LimitShares)
    brittle: BrittleServers = field(factory=BrittleServers)
    ended_limits: EndedLimits = field(factory=EndedLimits)
    services: Mapping[ServiceName, Service] = field(factory=dict)
    evacuated: frozenset[str] = frozenset()

    def replace(
        self, listed: Mapping[BackendName, Backend], now: Seconds, after_outage: bool
    ) -> None:
        """Update the table from a complete server list.

        Servers that are not listed are removed as in `remove`.
        """
        for backend in listed.values():
            self.update(backend, now)
        for name in [name for name in self.entries if name not in listed]:
            self.remove(name, now, after_outage)

    def update(self, backend: Backend, now: Seconds = 0.0) -> None:
        """Add a server, or update it; a restarted server loses its earlier state.

        A run that is listed again keeps its state.

        Args:
            backend: The server's entry in the server list.
            now: When the entry was read.
        """
        known = self.entries.get(backend.name)
        if known is None or known.backend.started_at != backend.started_at:
            # The server is new, is listed again, or has restarted under the same name.
            if known is not None:
                known.listed = False
            run = ServerRun(backend.name, backend.started_at)
            known = self.unlisted.pop(run, None) or BackendEntry(backend)
            known.listed, known.moved = True, False
            self.entries[backend.name] = known
            self.ejector.succeeded(backend.name)
            log.info("server listed", extra=fields_of(backend))
        if backend.cold_for:
            known.cold_until = max(known.cold_until, now + backend.cold_for)
        if known.backend.state is not backend.state:
            log.info("server changed", extra=fields_of(backend))
        known.moved = known.moved and known.backend.address == backend.address
        known.backend = backend
        known.drop_at = None

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
        """Remove the servers whose LAPSE_GRACE has passed, and forget old runs."""
        for entry in list(self.entries.values()):
            if entry.drop_at is not None and now >= entry.drop_at:
                self.drop(entry, now)
        for run, entry in list(self.unlisted.items()):
            if entry.drop_at is None or now >= entry.drop_at:
                del self.unlisted[run]

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
        self.ejector.succeeded(entry.backend.name)
        log.info("server gone", extra=fields_of(entry.backend))

    def lost(self, entry: BackendEntry, now: Seconds) -> None:
        """Count a failed connection, if the server's run is still listed."""
        if entry.listed:
            self.ejector.lost(entry.backend.name, now)

    def failed(self, entry: BackendEntry, now: Seconds) -> None:
        """Count an error or a lost answer, if the server's run is still listed."""
        if entry.listed:
            self.ejector.failed(entry.backend.name, now)

    def succeeded(self, entry: BackendEntry) -> None:
        """Clear the counted failures, if the server's run is still listed."""
        self.brittle.record_answer(entry)
        if entry.listed:
            self.ejector.succeeded(entry.backend.name)

    def record_statements(
        self, entry: BackendEntry, facts: AnswerFacts, now: Seconds
    ) -> None:
        """Record what a server states about itself in an answer, and log changes.

        A statement holds for the run of the server: neither a list entry nor an answer
        without it takes it back, and a shorter rest does not end a longer one.

        If the server has moved, the answer comes from the server that now has its
        address.
        """
        if not facts.moved:
            self.record_statement(entry, facts, now)
            return
        for other in self.entries.values():
            if other is not entry and other.backend.address == entry.backend.address:
                self.record_statement(other, facts, now)

    def record_statement(
        self, entry: BackendEntry, facts: AnswerFacts, now: Seconds
    ) -> None:
        """Record what the server of an entry states about itself."""
        self.set_limit(entry, facts.request_limit, now)
        self.brittle.record(entry, facts.brittle, self.entries.values(), now)
        if facts.leaving and not entry.leaving:
            entry.leaving = True
            log.info("server leaves, by its answer", extra=fields_of(entry.backend))
        if facts.rest:
            fields = {"backend": entry.backend.name, "seconds": facts.rest}
            log.info("server asks for rest", extra=fields)
            rest = min(facts.rest, MAX_REST) * random.uniform(1.0, 1.0 + REST_SPREAD)
            entry.rest_until = max(entry.rest_until, now + rest)

    def record_declined(
        self, entry: BackendEntry, facts: AnswerFacts, now: Seconds
    ) -> None:
        """Record that a server states in an answer that it did not run a request.

        Its entry is marked as moved or, unless the server has asked for a rest, for
        FULL_BACKOFF as full.
        """
        if facts.moved:
            entry.moved = True
        elif not facts.rest:
            entry.full_until = now + FULL_BACKOFF
            self.brittle.record_declined(entry, now)

    def forget_failures(self) -> None:
        """Forget all failures, which were this router's own and not the servers'."""
        self.ejector.records.clear()

    def set_limit(self, entry: BackendEntry, limit: float | None, now: Seconds) -> None:
        """Store the limit that a server's answer stated, and log a change."""
        known = entry.limit.limit if entry.limit is not None else None
        if limit != known:
            fields = {"backend": entry.backend.name, "limit": limit}
            log.info("server limit changed", extra=fields)
        if limit is None:
            if entry.limit is not None:
                self.ended_limits.add(entry.run, time.time())
            entry.limit = None
            return
        self.ended_limits.discard(entry.run)
        if entry.limit is None:
            entry.limit = SendingLimit(limit)
        entry.limit.limit = limit
        entry.limit.heard_at = time.time()
        entry.limit.set_rate(self.shares.rate(entry.backend.name, limit), now)

    def end_limit(self, ended: EndedLimit) -> None:
        """End a server's limit that another router has seen end.

        What the server has told this router since then counts instead.
        """
        entry = self.entries.get(ended.run.server)
        if entry is None or entry.limit is None or entry.run != ended.run:
            return
        if ended.at > entry.limit.heard_at:
            entry.limit = None
            fields = {"backend": entry.backend.name}
            log.info("server limit ended, by another router", extra=fields)

    def withheld(
        self, entry: BackendEntry, now: Seconds, relayed: bool = False
    ) -> Withheld | None:
        """Return why a server may not get a request from this router now, or None.

        No other place decides this. It is asked when a server is chosen, and again
        right before a request is sent to it.

        Args:
            entry: The server.
            now: The time.
            relayed: Whether another router sends the request. Then this router's share
                of the server's limits does not count, but the other one's, which asks
                the same question.
        """
        backend = entry.backend
        if not entry.listed:
            return Withheld(Cause.GONE)
        if backend.state is not BackendState.READY:
            return Withheld(Cause.DRAINING)
        if entry.leaving:
            return Withheld(Cause.LEAVING)
        if entry.moved:
            return Withheld(Cause.MOVED)
        if backend.domain in self.evacuated:
            return Withheld(Cause.EVACUATED)
        # Of the causes that end, the one that lasts longest is kept.
        cause, wait = Cause.RESTING, max(0.0, entry.rest_until - now)
        if now >= entry.cold_until:
            entry.cold_limit = None
        elif not relayed:
            cold_wait = self.cold_wait(entry, now)
            if cold_wait > wait:
                cause, wait = Cause.COLD, cold_wait
        if entry.limit is not None and not relayed:
            limit_wait = self.limit_wait(entry, entry.limit, now)
            if limit_wait > wait:
                cause, wait = Cause.LIMITED, limit_wait
        if self.brittle.is_brittle(entry) and not relayed:
            brittle_wait = self.brittle_wait(entry, now)
            if brittle_wait > wait:
                cause, wait = Cause.BRITTLE, brittle_wait
        if not wait and now < entry.full_until:
            cause, wait = Cause.FULL, entry.full_until - now
        return Withheld(cause, wait) if wait else None

    def admit(
        self, entry: BackendEntry, now: Seconds, relayed: bool = False
    ) -> Withheld | None:
        """Count a request that is about to be sent to a server, unless it is withheld.

        One that another router sends counts there.

        Returns:
            Why it must not be sent; None if it may be, and is counted.
        """
        withheld = self.withheld(entry, now, relayed)
        if withheld is not None and withheld.cause.is_binding:
            return withheld
        if not relayed:
            self.count_request(entry, now)
        return None

    def brittle_wait(self, entry: BackendEntry, now: Seconds) -> Seconds:
        """Return the time until a brittle server may get a request; 0 if it may now."""
        slot = self.shares.probe_slot(entry.backend.name, time.time())
        return self.brittle.wait(entry, self.shares, slot, now)

    def limit_wait(
        self, entry: BackendEntry, limit: SendingLimit, now: Seconds
    ) -> Seconds:
        """Return the time until a server's limit allows a request from this router.

        It is infinite if this router has no share of the limit.
        """
        name = entry.backend.name
        limit.set_rate(self.shares.rate(name, limit.limit), now)
        return limit.wait(self.shares.probe_slot(name, time.time()), now)

    def cold_wait(self, entry: BackendEntry, now: Seconds) -> Seconds:
        """Return the time until a cold server's limit allows a request; else 0.

        A router without a share sends nothing. It need not probe for the end of this
        limit, which is known.
        """
        service = self.services.get(entry.backend.service)
        if now >= entry.cold_until or service is None or not service.cold_rate:
            entry.cold_limit = None
            return 0.0
        if entry.cold_limit is None:
            entry.cold_limit = SendingLimit(service.cold_rate)
        rate = self.shares.cold_rate(entry.backend.name, service.cold_rate)
        entry.cold_limit.set_rate(rate, now)
        return entry.cold_limit.wait(None, now)

    def count_request(self, entry: BackendEntry, now: Seconds) -> None:
        """Count a request that is sent to a server against its limits."""
        if entry.limit is not None:
            slot = self.shares.probe_slot(entry.backend.name, time.time())
            entry.limit.take(slot, now)
        if entry.cold_limit is not None:
            entry.cold_limit.take(None, now)
        if self.brittle.is_brittle(entry):
            name = entry.backend.name
            entry.probed_in = self.shares.probe_slot(name, time.time())

    def usable(
        self,
        service: ServiceName,
        now: Seconds,
        tried: Iterable[BackendName] = (),
        relayed: bool = False,
    ) -> list[BackendEntry]:
        """Return the servers of a service that may get a request now.

        None of them is in `tried` or withheld by a binding cause (see `withheld`). If
        only full servers are left, they are returned, and if only ejected ones are
        left, these.
        """
        excluded = set(tried)
        known: list[BackendEntry] = []
        free: list[BackendEntry] = []
        full: list[BackendEntry] = []
        for entry in self.entries.values():
            if entry.backend.service != service:
                continue
            withheld = self.withheld(entry, now, relayed)
            if withheld is None or withheld.cause.ends:
                known.append(entry)
            if entry.backend.name in excluded:
                continue
            if withheld is None:
                free.append(entry)
            elif not withheld.cause.is_binding:
                full.append(entry)
        ejected = self.ejected(known, now)

        def healthy(entries: list[BackendEntry]) -> list[BackendEntry]:
            return [entry for entry in entries if entry.backend.name not in ejected]

        return healthy(free) or healthy(full) or free + full

    def ejected(
        self, entries: Iterable[BackendEntry], now: Seconds
    ) -> frozenset[BackendName]:
        """Return the servers, among all of a service, that are ejected for failures."""
        if not self.ejector.records:
            return frozenset()
        domains = {entry.backend.name: entry.backend.domain for entry in entries}
        return self.ejector.ejected(domains, now)

    def in_flight(self, service: ServiceName) -> int:
        """Return the number of this router's requests at the servers of a service."""
        return sum(
            entry.in_flight
            for entry in self.entries.values()
            if entry.backend.service == service
        )

    def waits_for_place(self, service: ServiceName, now: Seconds) -> bool:
        """Return whether a place of this router's at a brittle server may free up."""
        return any(
            entry.backend.service == service
            and entry.in_flight > 0
            and (withheld := self.withheld(entry, now)) is not None
            and withheld.cause is Cause.BRITTLE
            for entry in self.entries.values()
        )

    def next_allowed(self, service: ServiceName, now: Seconds) -> Seconds | None:
        """Return the time until a server of a service may get a request.

        It is infinite if that is not known. None if no server is withheld by a binding
        cause that ends.
        """
        found = [
            withheld
            for entry in self.entries.values()
            if entry.backend.service == service
            if (withheld := self.withheld(entry, now)) is not None
            if withheld.cause.ends
        ]
        if not any(withheld.cause.is_binding for withheld in found):
            return None
        return min(withheld.wait for withheld in found)
