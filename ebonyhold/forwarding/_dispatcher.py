"""Sends a request to one backend server after the other until it has an answer."""

from __future__ import annotations

import logging
import random
import time
from collections.abc import Callable, Collection, Sequence

import anyio
from attrs import Factory, define

from ebonyhold.forwarding._attempt import Attempt
from ebonyhold.forwarding._backends import BackendTable
from ebonyhold.forwarding._choice import choose, with_fewest_suspects
from ebonyhold.forwarding._crash_detection import CrashDetector, Suspicion
from ebonyhold.forwarding._dialect import Dialect
from ebonyhold.forwarding._early_refusal import check_early
from ebonyhold.forwarding._entry import BackendEntry
from ebonyhold.forwarding._exchange import (
    AttemptEnd,
    AttemptResult,
    Exchange,
    ExpectedRead,
)
from ebonyhold.forwarding._hedge import Hedge
from ebonyhold.forwarding._paths import Paths
from ebonyhold.forwarding._place_queue import PlaceQueue, wait_until
from ebonyhold.forwarding._refusals import Refusal
from ebonyhold.forwarding._retries import FleetRetryBudget
from ebonyhold.forwarding._rooms import MAX_SERVERS_ASKED, RoomAllocator
from ebonyhold.forwarding._shared_choice import RatedServer, SharedChoice
from ebonyhold.forwarding._silence import SilenceRecorder
from ebonyhold.forwarding._standby import Standbys
from ebonyhold.forwarding._streams import (
    StreamVersions,
    UnknownVersionError,
    takes_up,
)
from ebonyhold.forwarding._work import prompt_size, shared_tokens
from ebonyhold.types import BackendName, Seconds

log = logging.getLogger(__name__)

MIN_TIME_LEFT: Seconds = 0.005
"""Minimum time left before the deadline for a request to be sent to a server."""


MAY_WAIT = frozenset({Refusal.SERVERS_LIMITED, Refusal.SERVER_LOST})
"""The refusals for want of a server, which a place that becomes free may spare."""

MIN_LIMIT_WAIT: Seconds = 0.05
"""Minimum Retry-After of a request that no server may get now."""

MAX_LIMIT_WAIT: Seconds = 1.0
"""Maximum Retry-After of such a request: limits and rests differ between routers."""

MAX_MEMORY_WAIT: Seconds = 2.0
"""Maximum Retry-After of a request for which no server has memory."""


@define(eq=False)
class Dispatcher:
    """Chooses the servers of a request, and decides on retries.

    Attributes:
        domain: The failure domain of this router.
        dialect: Decodes and encodes header fields.
        backends: The known servers.
        paths: Opens the ways to servers.
        retries: The retry budget.
        places: The requests that wait for a place at a brittle server.
        crashes: Detects crashes of servers and rejects requests that cause them.
        ages: Returns the age of each cached input in seconds, for logs.
        streams: Finds the versions of streams that callers take up.
        shared: Chooses servers where the load of the other routers is known.
        silences: Logs and counts silences of servers.
    """

    domain: str
    dialect: Dialect
    backends: BackendTable
    paths: Paths
    retries: FleetRetryBudget
    places: PlaceQueue
    crashes: CrashDetector
    ages: Callable[[], dict[str, Seconds]]
    streams: StreamVersions
    shared: SharedChoice = Factory(
        lambda self: SharedChoice(self.domain, self.backends), takes_self=True
    )
    silences: SilenceRecorder = Factory(
        lambda self: SilenceRecorder(self.backends), takes_self=True
    )

    async def dispatch(self, exchange: Exchange) -> Refusal | None:
        """Send a request to servers in turn, until an answer was passed on.

        Returns:
            None if one was passed on; otherwise why the request is given up.
        """
        if takes_up(exchange):
            try:
                exchange.version = await self.streams.find(exchange)
            except UnknownVersionError as error:
                exchange.reasons.append(str(error))
                return Refusal.VERSION_UNKNOWN
        if exchange.need is not None and self.backends.memory.is_too_large(
            exchange.match.service, exchange.need
        ):
            return Refusal.MEMORY_TOO_SMALL
        while True:
            known = self.crashes.suspicion(exchange)
            suspect = known.exists or bool(exchange.losses)
            entry = self.next_entry(exchange, suspect)
            if entry is Refusal.MEMORY_FULL:
                entry = await self.wait_for_memory(exchange, suspect)
            elif isinstance(entry, BackendEntry) and not await self.get_room(
                exchange, entry
            ):
                continue
            if isinstance(entry, Refusal):
                if entry in MAY_WAIT and await self.wait_for_place(exchange):
                    continue
                return entry
            attempt = self.new_attempt(exchange, entry, known, suspect)
            try:
                result = await attempt.run()
                while result.end is AttemptEnd.SILENT:
                    attempt, result = await self.wait_or_hedge(exchange, attempt)
            finally:
                await attempt.release()
            self.record_result(exchange, attempt, result)
            if result.end is AttemptEnd.DELIVERED:
                return None
            if result.end is AttemptEnd.NOT_SENT:
                await self.settle_reach(exchange)
            refusal = self.check_retry(exchange, result)
            if refusal is not None:
                return refusal

    def new_attempt(
        self,
        exchange: Exchange,
        entry: BackendEntry,
        known: Suspicion,
        suspect: bool,
    ) -> Attempt:
        """Return an attempt at a server that was chosen, and log the choice."""
        service, now = exchange.match.service, anyio.current_time()
        attempt = Attempt(
            exchange,
            entry,
            self.paths,
            self.backends,
            self.dialect,
            self.streams,
            self.silences,
            suspect,
            known,
            exchange.room,
            exchange.expected,
        )
        exchange.room = exchange.expected = None
        attempt.held.callback(lambda: self.rooms.free(attempt.room, attempt.end))
        attempt.held.callback(self.places.free, service)
        self.shared.record_sent(exchange.caller, service, entry, now)
        if not exchange.reasons and not exchange.sends:
            self.retries.request(service, now)
        self.log_dispatch(exchange, entry)
        return attempt

    def record_result(
        self, exchange: Exchange, attempt: Attempt, result: AttemptResult
    ) -> None:
        """Record how an attempt has ended."""
        self.record_reading(exchange, attempt.expected)
        if result.end is AttemptEnd.DELIVERED:
            self.crashes.answered(exchange, result.written)
            return
        if result.end is not AttemptEnd.WITHHELD:
            # A further attempt may ask all servers for memory again.
            exchange.roomless.clear()
            exchange.waited_for_memory = False
        if result.broken:
            self.crashes.lost(exchange, attempt.entry, attempt.known)
        self.record_failure(exchange, attempt.entry.backend.name, result)
        self.streams.recheck(exchange)

    async def wait_or_hedge(
        self, exchange: Exchange, silent: Attempt
    ) -> tuple[Attempt, AttemptResult]:
        """Wait for a silent server, or for another one too; return what ended last.

        The silent server is not left before another one has answered: a sound server
        may be silent for a moment, as all may be at the same time.
        """
        standbys = Standbys(self)
        found = standbys.find(exchange, silent)
        if isinstance(found, Attempt):
            return await Hedge(standbys, exchange, silent, found).run()
        if found is not silent.kept_for:
            silent.kept_for = found
            self.silences.kept(exchange, silent.entry, found)
        return silent, await silent.resume()

    @property
    def rooms(self) -> RoomAllocator:
        """What gets and frees the memory of requests at servers."""
        return RoomAllocator(self.backends)

    async def get_room(self, exchange: Exchange, entry: BackendEntry) -> bool:
        """Get memory for an attempt at a server; return whether it may be made.

        Where another router is to send the request, that one gets the memory.
        """
        if exchange.need is None or self.paths.goes_by_relay(entry.backend):
            return True
        return await self.rooms.get(exchange, entry)

    async def wait_for_memory(
        self, exchange: Exchange, suspect: bool
    ) -> BackendEntry | Refusal:
        """Wait for memory at the first server in order; return it, if it may be used.

        Memory at a server that must not get the request any more is given back.

        Args:
            exchange: The request.
            suspect: Whether it may crash the server.
        """
        # The time of the wait says nothing about how fast a server reads.
        exchange.expected = None
        short = self.rooms.short(exchange)
        if short and self.rooms.may_wait(exchange):
            entries = with_fewest_suspects(short) if suspect else short
            entry = choose(exchange.caller, entries, self.domain, anyio.current_time())
            if await self.rooms.get(exchange, entry, wait=True):
                now, version = anyio.current_time(), exchange.version
                if self.backends.withheld(entry, now, version=version) is None:
                    return entry
                room, exchange.room = exchange.room, None
                self.rooms.free(room, AttemptEnd.NOT_SENT)
        if exchange.may_have_run:
            return Refusal.SERVER_LOST
        now, memory = anyio.current_time(), self.backends.memory
        wait = min((memory.expected(entry, now) for entry in short), default=0.0)
        exchange.retry_after = min(max(wait, MIN_LIMIT_WAIT), MAX_MEMORY_WAIT)
        return Refusal.MEMORY_FULL

    async def wait_for_place(self, exchange: Exchange) -> bool:
        """Wait until a request at a brittle server has ended; return whether one has.

        Requests wait here, since one that a brittle server turns away may cost all that
        are there. As many may wait as are in flight, so each waits for about one.
        """
        now, match = anyio.current_time(), exchange.match
        if not self.backends.waits_for_place(match.service, now):
            return False
        if exchange.waits_until is None:
            target, deadline = match.route.target, exchange.deadline
            exchange.waits_until = wait_until(now, target, deadline)
        in_flight = self.backends.in_flight(match.service)
        freed = await self.places.wait(
            match.service, match.priority, exchange.waits_until, in_flight
        )
        if freed:
            exchange.retry_after = None
        return freed

    async def settle_reach(self, exchange: Exchange) -> None:
        """Wait until it is known whether a server or this router cannot be reached.

        If it is this router, the servers may be tried again by way of another one.
        """
        was_connected = self.paths.reach.is_connected
        await self.paths.reach.settle()
        if was_connected and self.paths.uses_relays:
            exchange.try_again_elsewhere()

    def log_dispatch(self, exchange: Exchange, entry: BackendEntry) -> None:
        """Log the server that was chosen, and the data used for the choice."""
        now = anyio.current_time()
        log.info(
            "dispatched",
            extra={
                "request": exchange.caller.request_id,
                "backend": entry.backend.name,
                "attempt": exchange.sends + 1,
                "in_flight": entry.in_flight,
                "work": round(entry.work.waiting),
                "ms_left": round((exchange.deadline - now) * 1000),
                "version": entry.backend.version,
                "after_event": exchange.last_event,
                "resumes": exchange.caller.resumes,
                **self.ages(),
            },
        )

    def next_entry(
        self, exchange: Exchange, suspect: bool, avoided: Collection[BackendName] = ()
    ) -> BackendEntry | Refusal:
        """Return the next server to try, or a refusal if there is none.

        Args:
            exchange: The request.
            suspect: Whether it may crash the server.
            avoided: Servers that are not chosen.
        """
        exchange.expected = None
        if self.crashes.is_rejected(exchange):
            return Refusal.CRASHES_SERVERS
        now = anyio.current_time()
        if exchange.deadline - now < MIN_TIME_LEFT:
            ran = exchange.may_have_run
            return Refusal.NO_ANSWER if ran else Refusal.NOT_STARTED
        service = exchange.match.service
        relayed = self.paths.uses_relays
        entries = self.backends.usable(
            service,
            now,
            [*exchange.tried, *exchange.roomless, *avoided],
            relayed,
            exchange.version,
            begins=exchange.match.route.resumable and exchange.version is None,
            need=exchange.need,
        )
        if len(exchange.roomless) >= MAX_SERVERS_ASKED:
            entries = []
        if not entries:
            if exchange.need is not None and self.rooms.short(exchange):
                return Refusal.MEMORY_FULL
            wait = self.backends.next_allowed(service, now, exchange.version)
            if wait is not None:
                exchange.retry_after = min(max(wait, MIN_LIMIT_WAIT), MAX_LIMIT_WAIT)
            return self.no_server_left(exchange)
        allowed = entries
        if suspect:
            entries = with_fewest_suspects(entries)
        shared = self.shared.choose(exchange.caller, service, entries, now, time.time())
        if shared is not None:
            if self.refuses_early(exchange, shared, allowed, now):
                return Refusal.SERVERS_BUSY
            exchange.expected = ExpectedRead(shared.work, now)
            return shared.entry
        return choose(exchange.caller, entries, self.domain, now)

    def refuses_early(
        self,
        exchange: Exchange,
        chosen: RatedServer,
        entries: Sequence[BackendEntry],
        now: Seconds,
    ) -> bool:
        """Return whether no server can begin to answer a request before its deadline.

        Only requests that no server has got yet are refused.
        """
        reading = self.backends.readings.of(exchange.match.service)
        speed, time_left = reading.speed(now), exchange.deadline - now
        if exchange.sends or speed is None or chosen.work <= speed * time_left:
            return False
        caller = exchange.caller
        early = check_early(
            self.shared.named_loads(entries, now),
            prompt_size(caller) - shared_tokens(caller),
            speed,
            time_left,
        )
        if early is None:
            return False
        exchange.retry_after = reading.refuse(early, now, random.random())
        log.info(
            "refused early",
            extra={
                "request": caller.request_id,
                "service": exchange.match.service,
                "backend": early.server,
                "unread": early.unread,
                "tokens_per_second": round(early.speed),
                "expected_ms": round(early.expected * 1000),
                "ms_left": round(early.time_left * 1000),
                "retry_ms": round(exchange.retry_after * 1000),
            },
        )
        return True

    def record_reading(self, exchange: Exchange, expected: ExpectedRead | None) -> None:
        """Record how long a server has read until the first event of a stream."""
        first_at = exchange.first_event_at
        if expected is None or first_at is None or first_at < expected.since:
            return
        reading = self.backends.readings.of(exchange.match.service)
        reading.observe(expected.tokens, first_at - expected.since, first_at)

    def no_server_left(self, exchange: Exchange) -> Refusal:
        """Return the refusal for a request when no untried server is left.

        SERVERS_FULL means that each server that got the request declined it,
        SERVERS_LIMITED that a server may get requests again later, and VERSION_GONE
        that no server of the stream's version is listed.
        """
        if exchange.may_have_run:
            return Refusal.SERVER_LOST
        if exchange.retry_after is not None:
            return Refusal.SERVERS_LIMITED
        if self.is_version_gone(exchange):
            return Refusal.VERSION_GONE
        return Refusal.SERVERS_FULL if exchange.sends else Refusal.NO_SERVER

    def is_version_gone(
        self, exchange: Exchange, but: BackendEntry | None = None
    ) -> bool:
        """Return whether a stream's version has no server that is listed.

        Args:
            exchange: The request.
            but: A server that does not count.
        """
        service, version = exchange.match.service, exchange.version
        return version is not None and not any(
            entry.backend.service == service and entry.backend.version == version
            for entry in self.backends.entries.values()
            if entry is not but
        )

    def record_failure(
        self, exchange: Exchange, backend: str, result: AttemptResult
    ) -> None:
        """Store why an attempt failed, and the server's error answer if any."""
        exchange.reasons.append(f"{backend}: {result.reason}")
        if result.answer is not None:
            exchange.failure = result.answer
        if result.end in (AttemptEnd.NOT_SENT, AttemptEnd.NO_PATH):
            exchange.connects += 1
        if result.end is AttemptEnd.NOT_SENT:
            exchange.tried.append(backend)
            exchange.unreached.append(backend)
        if result.end is AttemptEnd.WITHHELD and self.paths.uses_relays:
            # The relay decided, and would decide the same again.
            exchange.tried.append(backend)

    def check_retry(self, exchange: Exchange, result: AttemptResult) -> Refusal | None:
        """Return None if another server may be tried, or else the refusal.

        Another try uses the retry budget, unless no connection could be made.
        """
        if result.end is AttemptEnd.WITHHELD:
            return None
        if result.end in (AttemptEnd.NOT_SENT, AttemptEnd.NO_PATH):
            # Nothing was sent, so no retry budget is used.
            if exchange.may_connect:
                return None
            return self.no_server_left(exchange)
        lost = result.end in (AttemptEnd.LOST, AttemptEnd.FAILED)
        refusal = Refusal.SERVER_LOST if exchange.may_have_run else Refusal.SERVERS_FULL
        if lost and not exchange.match.route.idempotent:
            return refusal
        if not (exchange.attempts_left and self.crashes.may_retry(exchange)):
            return refusal
        now = anyio.current_time()
        if not self.retries.take(exchange.match.service, now):
            exchange.reasons.append("no retry left in the budget")
            return refusal
        return None
