"""What backend servers have stated, and whether they may get requests."""

from __future__ import annotations

import logging
import random
import time
from collections.abc import Iterable

import anyio
from attrs import define, field

from ebonyhold.coordination import (
    EndedLimit,
    EndedLimits,
    FleetLoad,
    LimitShares,
    MemoryNeed,
    NoFleetLoad,
    SendingLimit,
)
from ebonyhold.forwarding._brittle import BrittleServers
from ebonyhold.forwarding._early_refusal import Readings
from ebonyhold.forwarding._entry import BackendEntry, fields_of
from ebonyhold.forwarding._memory import MemoryRoom, NoServerMemory, ServerMemory
from ebonyhold.forwarding._outliers import FleetOutliers, Outliers, ejected_by_fleet
from ebonyhold.forwarding._server_list import ServerList
from ebonyhold.forwarding._stray import StrayFilter
from ebonyhold.forwarding._types import (
    AnswerFacts,
    BackendState,
    ServiceName,
    SoftwareVersion,
)
from ebonyhold.forwarding._withheld import Cause, Withheld
from ebonyhold.forwarding._work import AnswerTimer, RequestWork
from ebonyhold.types import BackendName, Seconds

log = logging.getLogger(__name__)

FULL_BACKOFF: Seconds = 0.15
"""How long a server that declined a request is avoided, unless no other is left."""

MAX_REST: Seconds = 300.0
"""Longest rest that is granted, so that a wrong value hides no server for good."""

REST_SPREAD = 0.1
"""By up to this share each rest is made longer.

A server tells many routers and requests at once; they do not all return at once.
"""


@define(eq=False)
class BackendTable(ServerList):
    """All known servers, what they have stated, and whether they may get requests.

    Attributes:
        shares: This router's shares of the servers' limits.
        brittle: Which servers are brittle.
        ended_limits: The ends of limits that this router has noticed.
        fleet_load: The load that the other routers put on the servers.
        fleet_outliers: The servers that are slow or failing by that.
        memory: This router's use of the memory of servers.
        readings: How fast servers read prompts.
        strays: Recognizes late answers to other requests.
    """

    shares: LimitShares = field(factory=LimitShares)
    brittle: BrittleServers = field(factory=BrittleServers)
    ended_limits: EndedLimits = field(factory=EndedLimits)
    fleet_load: FleetLoad = field(factory=NoFleetLoad)
    fleet_outliers: FleetOutliers = field(factory=FleetOutliers)
    memory: ServerMemory = field(factory=NoServerMemory)
    readings: Readings = field(factory=Readings)
    strays: StrayFilter = field(factory=StrayFilter)

    def time_answer(self, entry: BackendEntry, work: RequestWork, now: Seconds) -> None:
        """Measure the time to the first event of a request, where load is shared."""
        if self.fleet_load.is_on(entry.backend.service):
            others = self.fleet_load.load(entry.run, now)
            ahead = entry.work.unread + (others.unread if others is not None else 0)
            work.timer = AnswerTimer(entry.evidence, now, ahead)

    def record_attempt(self, entry: BackendEntry, failed: bool, now: Seconds) -> None:
        """Record for all routers how an attempt ended, where load is shared."""
        if self.fleet_load.is_on(entry.backend.service):
            entry.evidence.record_end(failed, now)

    def lost(self, entry: BackendEntry, now: Seconds, relayed: bool = False) -> None:
        """Count a failed connection, if the server's run is still listed."""
        if not relayed:
            # A relay records for all routers what it sees itself.
            self.record_attempt(entry, True, now)
        if entry.listed:
            self.ejector.lost(entry.backend.name, now)

    def failed(self, entry: BackendEntry, now: Seconds, relayed: bool = False) -> None:
        """Count an error or a lost answer, if the server's run is still listed."""
        if not relayed:
            # A relay records for all routers what it sees itself.
            self.record_attempt(entry, True, now)
        if entry.listed:
            self.ejector.failed(entry.backend.name, now)

    def succeeded(self, entry: BackendEntry, relayed: bool = False) -> None:
        """Clear the counted failures, if the server's run is still listed."""
        if not relayed and self.fleet_load.is_on(entry.backend.service):
            entry.evidence.record_end(False, anyio.current_time())
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
        self.record_leaving(entry, facts)
        if facts.rest:
            fields = {"backend": entry.backend.name, "seconds": facts.rest}
            log.info("server asks for rest", extra=fields)
            rest = min(facts.rest, MAX_REST) * random.uniform(1.0, 1.0 + REST_SPREAD)
            entry.rest_until = max(entry.rest_until, now + rest)

    def record_late(self, entry: BackendEntry, facts: AnswerFacts) -> None:
        """Record what still holds of a late answer to another request.

        A server that leaves does not return, but limits and rests may be over.
        """
        if not facts.moved:
            self.record_leaving(entry, facts)

    def record_leaving(self, entry: BackendEntry, facts: AnswerFacts) -> None:
        """Record whether a server states that it leaves."""
        if facts.leaving and not entry.leaving:
            entry.leaving = True
            log.info("server leaves, by its answer", extra=fields_of(entry.backend))

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
        for entry in self.entries.values():
            entry.evidence.forget_ends()

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
        self,
        entry: BackendEntry,
        now: Seconds,
        relayed: bool = False,
        version: SoftwareVersion | None = None,
        begins: bool = False,
        opened_at: Seconds | None = None,
        need: MemoryNeed | None = None,
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
            version: The software version that the request's stream belongs to; None if
                it belongs to none.
            begins: Whether the request begins a stream that callers may take up.
            opened_at: When the connection was opened on which it is to be sent; None
                before one is chosen, or if another router sends it.
            need: The memory that the request needs and does not have yet, if any.
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
        if version is not None and backend.version != version:
            return Withheld(Cause.OTHER_VERSION)
        confirmed = opened_at is None or self.is_run_confirmed(entry, opened_at, now)
        if version is not None and not confirmed:
            return Withheld(Cause.UNCONFIRMED)
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
        if need is not None and not relayed:
            memory_wait = self.memory.wait(entry, need, now)
            if memory_wait > wait:
                cause, wait = Cause.MEMORY, memory_wait
        if not wait and now < entry.full_until:
            cause, wait = Cause.FULL, entry.full_until - now
        if not wait and begins:
            cause = Cause.UNSETTLED
            wait = self.versions.unsettled_for(backend.service, backend.version, now)
        return Withheld(cause, wait) if wait else None

    def admit(
        self,
        entry: BackendEntry,
        now: Seconds,
        relayed: bool = False,
        version: SoftwareVersion | None = None,
        opened_at: Seconds | None = None,
        need: MemoryNeed | None = None,
        room: MemoryRoom | None = None,
    ) -> Withheld | None:
        """Count a request that is about to be sent to a server, unless it is withheld.

        One that another router sends counts there. One that needs memory must have it
        at this run of the server.

        Returns:
            Why it must not be sent; None if it may be, and is counted.
        """
        withheld = self.withheld(entry, now, relayed, version, opened_at=opened_at)
        if withheld is not None and withheld.cause.is_binding:
            return withheld
        if need is not None and not relayed and (not room or room.run != entry.run):
            return Withheld(Cause.MEMORY)
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
        version: SoftwareVersion | None = None,
        begins: bool = False,
        need: MemoryNeed | None = None,
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
            withheld = self.withheld(entry, now, relayed, version, begins, need=need)
            if withheld is None or withheld.cause.ends:
                known.append(entry)
            if entry.backend.name in excluded:
                continue
            if withheld is None:
                free.append(entry)
            elif not withheld.cause.is_binding:
                full.append(entry)
        ejected = self.ejected(known, now)
        if self.fleet_load.is_on(service):
            domains = {entry.backend.name: entry.backend.domain for entry in known}
            failing = self.outliers(service, now).failing
            policy, wall = self.ejector.policy, time.time()
            ejected |= ejected_by_fleet(
                failing, domains, ejected, self.shares, policy, wall
            )

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

    def outliers(self, service: ServiceName, now: Seconds) -> Outliers:
        """Return the servers of a service that are slow or failing at all routers."""
        return self.fleet_outliers.of(
            service, self.entries.values(), self.fleet_load, now
        )

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

    def next_allowed(
        self,
        service: ServiceName,
        now: Seconds,
        version: SoftwareVersion | None = None,
    ) -> Seconds | None:
        """Return the time until a server of a service may get a request.

        It is infinite if that is not known. None if no server is withheld by a binding
        cause that ends.
        """
        found = [
            withheld
            for entry in self.entries.values()
            if entry.backend.service == service
            if (withheld := self.withheld(entry, now, version=version)) is not None
            if withheld.cause.ends
        ]
        if not any(withheld.cause.is_binding for withheld in found):
            return None
        return min(withheld.wait for withheld in found)
