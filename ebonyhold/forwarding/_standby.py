"""Finds another server for a request whose server is silent."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from attrs import frozen

from ebonyhold.forwarding._attempt import Attempt
from ebonyhold.forwarding._entry import BackendEntry
from ebonyhold.forwarding._exchange import AttemptEnd, AttemptResult, Exchange
from ebonyhold.forwarding._refusals import Refusal
from ebonyhold.forwarding._silence import OtherServers, StandbyResult

if TYPE_CHECKING:
    from ebonyhold.forwarding._dispatcher import Dispatcher


@frozen
class Standbys:
    """Finds other servers, and runs attempts there beside silent ones.

    Attributes:
        dispatcher: Chooses servers, and decides on retries.
    """

    dispatcher: Dispatcher

    def find(self, exchange: Exchange, silent: Attempt) -> Attempt | StandbyResult:
        """Return an attempt at another server for a request whose server is silent.

        Its retry is taken from the budget. If there is none, return why.
        """
        paths, crashes = self.dispatcher.paths, self.dispatcher.crashes
        reachable = paths.reach.is_connected or paths.uses_relays
        able = exchange.may_connect and crashes.may_retry(exchange)
        if not (reachable and able):
            return StandbyResult.NO_SERVER
        # By way of other routers, servers may answer that seem to be silent from here.
        others = OtherServers()
        if not paths.uses_relays:
            since = silent.watch.waiting_since
            others = self.dispatcher.silences.compare(silent.entry, since)
        is_over = silent.watch.is_very_long and not others.ends_now
        if others.share_silence and not is_over:
            return StandbyResult.COMMON_SILENCE
        known = crashes.suspicion(exchange)
        suspect = known.exists or bool(exchange.losses)
        entry = self.choose(exchange, suspect, others)
        if isinstance(entry, Refusal):
            # The request is not refused, so no time to return is stated for it, and
            # servers may have memory again at the next look.
            exchange.retry_after = None
            exchange.roomless.clear()
            if others.silent and others.share_silence:
                return StandbyResult.COMMON_SILENCE
            gone = self.dispatcher.is_version_gone(exchange, but=silent.entry)
            return StandbyResult.OTHER_VERSION if gone else StandbyResult.NO_SERVER
        now = anyio.current_time()
        if not self.dispatcher.retries.take(exchange.match.service, now):
            return StandbyResult.NO_RETRY
        return self.dispatcher.new_attempt(exchange, entry, known, suspect)

    def choose(
        self, exchange: Exchange, suspect: bool, others: OtherServers
    ) -> BackendEntry | Refusal:
        """Return another server that is not silent, or a refusal if there is none.

        It is one that is heard, unless there is none or it is full.

        Args:
            exchange: The request.
            suspect: Whether it may crash the server.
            others: What the other servers did while its server was silent.
        """
        if others.heard:
            avoided = others.silent | others.idle
            entry = self.dispatcher.next_entry(exchange, suspect, avoided)
            now = anyio.current_time()
            if isinstance(entry, BackendEntry) and entry.full_until <= now:
                return entry
        return self.dispatcher.next_entry(exchange, suspect, others.silent)

    async def run(self, attempt: Attempt) -> AttemptResult:
        """Get memory for an attempt beside another one, and run it."""
        exchange = attempt.exchange
        if not await self.dispatcher.get_room(exchange, attempt.entry):
            return AttemptResult(AttemptEnd.WITHHELD, reason="withheld: memory")
        attempt.room, exchange.room = exchange.room, None
        return await attempt.run()

    def give_retry_back(self, exchange: Exchange) -> None:
        """Count a retry no more that was never sent."""
        service, now = exchange.match.service, anyio.current_time()
        self.dispatcher.retries.give_back(service, now)
