"""Tells the silence of one server from a silence of all, which is no server's fault.

The load handled here is many requests at servers that all stop sending for a moment,
since their host, the network or a store that they share is frozen.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from enum import Enum

import anyio
from attrs import define, field, frozen

from ebonyhold.forwarding._backends import BackendTable
from ebonyhold.forwarding._entry import BackendEntry
from ebonyhold.forwarding._exchange import Exchange
from ebonyhold.forwarding._types import ServiceName
from ebonyhold.types import BackendName, Seconds

log = logging.getLogger(__name__)


RETURN_TIME: Seconds = 0.25
"""Time after the end of a common silence in which each server may still return."""


END_SPREAD: Seconds = 0.1
"""Time between the servers' first bytes if they all go on at the end of a silence."""


class SilenceOutcome(Enum):
    """What became of a request whose server sent nothing for too long.

    Attributes:
        MOVED: Another server has answered, so this one was left.
        WENT_ON: The server has sent something again.
        LEFT: The server was left before another one had answered.
        ENDED: The server's connection ended.
        UNANSWERED: The request ended, since its caller left or its time was over.
    """

    MOVED = "moved"
    WENT_ON = "went_on"
    LEFT = "left"
    ENDED = "ended"
    UNANSWERED = "unanswered"


class StandbyResult(Enum):
    """What came of looking for another server while one is silent.

    Attributes:
        ANSWERED: It has answered.
        WITHDRAWN: The attempt there was ended in favour of the silent server.
        FAILED: It could not be reached, declined, failed or broke off.
        NO_RETRY: No retry is left in the budget.
        NO_SERVER: No other server may get the request now.
        OTHER_VERSION: The other servers have other versions than the stream.
        COMMON_SILENCE: All that may get the request are silent too.
    """

    ANSWERED = "answered"
    WITHDRAWN = "withdrawn"
    FAILED = "failed"
    NO_RETRY = "no_retry"
    NO_SERVER = "no_server"
    OTHER_VERSION = "other_version"
    COMMON_SILENCE = "common_silence"


@frozen
class OtherServers:
    """What the other servers of a service did while one of them was silent.

    Attributes:
        heard: Those that have sent something.
        returned: Those of them that have only just begun to send again.
        ends_now: Whether one of these has begun in the last END_SPREAD.
        silent: Those that have requests of this router and have sent nothing either.
        idle: Those that have had no request for long enough to tell.
    """

    heard: frozenset[BackendName] = frozenset()
    returned: frozenset[BackendName] = frozenset()
    silent: frozenset[BackendName] = frozenset()
    idle: frozenset[BackendName] = frozenset()
    ends_now: bool = False

    @property
    def share_silence(self) -> bool:
        """Whether most are silent too, or have been until a moment ago.

        Then the silence is a common one, which may be over at any moment.
        """
        steady = len(self.heard - self.returned)
        return len(self.silent | self.returned) > steady


def compare(
    silent: BackendEntry, entries: Iterable[BackendEntry], since: Seconds, now: Seconds
) -> OtherServers:
    """Return what the other servers did in the second half of a silence.

    A silence that concerns all of them began at about the same time for each, so in the
    first half they may have sent what came right before it.

    Args:
        silent: The server that is silent.
        entries: The known servers.
        since: When it last sent something, or was sent the request.
        now: The time.
    """
    middle = (since + now) / 2
    others = [
        entry
        for entry in entries
        if entry is not silent and entry.backend.service == silent.backend.service
    ]
    heard = {entry.backend.name for entry in others if entry.heard_at > middle}
    busy = {entry.backend.name for entry in others if entry.busy_since <= middle}
    returned = {
        entry.backend.name
        for entry in others
        if entry.backend.name in heard and entry.heard_since > now - RETURN_TIME
    }
    names = {entry.backend.name for entry in others}
    since_return = [
        now - entry.heard_since for entry in others if entry.backend.name in returned
    ]
    return OtherServers(
        frozenset(heard),
        frozenset(returned),
        frozenset(busy - heard),
        frozenset(names - heard - busy),
        ends_now=min(since_return, default=END_SPREAD) < END_SPREAD,
    )


def prefers_second(
    first: BackendEntry,
    second: BackendEntry,
    since: Seconds,
    unanswered_since: Seconds | None,
) -> bool:
    """Return which of two attempts to keep if neither server has answered.

    The first one is left only if something was heard from the second server on any
    connection, and the silence concerns the first server alone, or only this request
    there: then its answer may be lost. Servers begin answers in the order of requests.

    Args:
        first: The server that has been silent for too long.
        second: The server that the request was sent to besides.
        since: When it was sent there.
        unanswered_since: When it was sent to the first one; None if that has begun to
            answer it.
    """
    if second.heard_at <= since:
        return False
    if first.heard_at <= since or unanswered_since is None:
        return True
    return first.newest_answered > unanswered_since


@define(eq=False)
class SilenceRecorder:
    """Logs and counts the silences of servers.

    Attributes:
        backends: The known servers.
        on_outcome: Called with the service and what became of the request.
        on_standby: Called with the service and what came of looking for another server.
    """

    backends: BackendTable
    on_outcome: Callable[[ServiceName, SilenceOutcome], None] = field(
        default=lambda service, outcome: None
    )
    on_standby: Callable[[ServiceName, StandbyResult], None] = field(
        default=lambda service, result: None
    )

    def began(self, exchange: Exchange, entry: BackendEntry, since: Seconds) -> None:
        """Log that a server has sent nothing for too long."""
        now = anyio.current_time()
        others = self.compare(entry, since)
        log.info(
            "server silent",
            extra={
                "request": exchange.caller.request_id,
                "backend": entry.backend.name,
                "events": exchange.events,
                "silent_ms": round((now - since) * 1000),
                "others_heard": len(others.heard),
                "others_returned": len(others.returned),
                "others_silent": len(others.silent),
                "others_idle": len(others.idle),
            },
        )

    def compare(self, entry: BackendEntry, since: Seconds) -> OtherServers:
        """Return what the other servers have done while one was silent until now."""
        now = anyio.current_time()
        return compare(entry, self.backends.entries.values(), since, now)

    def kept(
        self, exchange: Exchange, entry: BackendEntry, result: StandbyResult
    ) -> None:
        """Log and count why no other server gets the request of a silent one."""
        self.on_standby(exchange.match.service, result)
        log.info(
            "silent server kept",
            extra={
                "request": exchange.caller.request_id,
                "backend": entry.backend.name,
                "why": result.value,
            },
        )

    def ended(
        self,
        exchange: Exchange,
        entry: BackendEntry,
        since: Seconds,
        outcome: SilenceOutcome,
        to: BackendName = "",
    ) -> None:
        """Log and count what became of a request whose server was silent.

        Args:
            exchange: The request.
            entry: The server.
            since: When it last sent something, or was sent the request.
            outcome: What became of the request.
            to: The server that goes on, if it is another one.
        """
        self.on_outcome(exchange.match.service, outcome)
        now = anyio.current_time()
        log.info(
            "silence ended",
            extra={
                "request": exchange.caller.request_id,
                "backend": entry.backend.name,
                "outcome": outcome.value,
                "to": to,
                "silent_ms": round((now - since) * 1000),
            },
        )
