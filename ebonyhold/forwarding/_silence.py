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


class SilenceOutcome(Enum):
    """What became of a request whose server sent nothing for too long.

    Attributes:
        LEFT: The server was left, before it was known whether another one answers.
    """

    LEFT = "left"


@frozen
class OtherServers:
    """What the other servers of a service did while one of them was silent.

    Attributes:
        heard: Those that have sent something.
        silent: Those that have requests of this router and have sent nothing either.
        idle: Those that have had no request for long enough to tell.
    """

    heard: frozenset[BackendName] = frozenset()
    silent: frozenset[BackendName] = frozenset()
    idle: frozenset[BackendName] = frozenset()


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
    busy = {
        entry.backend.name
        for entry in others
        if entry.in_flight and entry.busy_since <= middle
    }
    names = {entry.backend.name for entry in others}
    return OtherServers(
        frozenset(heard), frozenset(busy - heard), frozenset(names - heard - busy)
    )


@define(eq=False)
class SilenceRecorder:
    """Logs and counts the silences of servers.

    Attributes:
        backends: The known servers.
        on_outcome: Called with the service and what became of the request.
    """

    backends: BackendTable
    on_outcome: Callable[[ServiceName, SilenceOutcome], None] = field(
        default=lambda service, outcome: None
    )

    def began(self, exchange: Exchange, entry: BackendEntry, since: Seconds) -> None:
        """Log that a server has sent nothing for too long."""
        now = anyio.current_time()
        others = compare(entry, self.backends.entries.values(), since, now)
        log.info(
            "server silent",
            extra={
                "request": exchange.caller.request_id,
                "backend": entry.backend.name,
                "events": exchange.events,
                "silent_ms": round((now - since) * 1000),
                "others_heard": len(others.heard),
                "others_silent": len(others.silent),
                "others_idle": len(others.idle),
            },
        )

    def ended(self, exchange: Exchange, outcome: SilenceOutcome) -> None:
        """Count what became of a request whose server was silent."""
        self.on_outcome(exchange.match.service, outcome)
