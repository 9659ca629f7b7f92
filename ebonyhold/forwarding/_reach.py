"""What this router's own connections tell of its links to the backend servers.

A server that cannot be reached from here may be down, or only this router's links are.
Its own failures cannot tell the two apart. So they raise a suspicion, and what other
routers reach decides.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Container
from enum import Enum

import anyio
from attrs import define, field

from ebonyhold.forwarding._pool import ConnectOutcome
from ebonyhold.types import BackendName, Seconds

log = logging.getLogger(__name__)

EVIDENCE_TIME: Seconds = 1.0
"""Time for which the outcome of an attempt to connect counts."""

MIN_FAILED_SERVERS = 3
"""Number of servers that must fail for a suspicion, or all if fewer are listed.

With fewer, the servers themselves may be down.
"""

SILENCE_TIME: Seconds = 0.5
"""Time in which no server sends a byte, though several have requests, for a suspicion.
"""

LONE_SILENCE_TIME: Seconds = 1.0
"""The same if only one server has requests, which may take this long to read one."""

CALM_TIME: Seconds = 2.0
"""Time after an unfounded suspicion in which silence raises no other."""

MAX_VERDICT_WAIT: Seconds = 0.8
"""Maximum time for which a request that failed waits until a suspicion is examined."""


class Reach(Enum):
    """Whether this router reaches the servers.

    Attributes:
        CONNECTED: It reaches some, or nothing speaks against it.
        PARTITIONED: It reaches none, and other routers reach some.
        UNREACHABLE: Neither this router nor those that it has asked reach any.
        ISOLATED: It reaches no server, and no other router has answered. Others may
            serve its callers.
    """

    CONNECTED = "connected"
    PARTITIONED = "partitioned"
    UNREACHABLE = "unreachable"
    ISOLATED = "isolated"


@define
class ServerContact:
    """The last attempt to connect to a server.

    Attributes:
        at: When it ended.
        made: Whether a connection was made.
    """

    at: Seconds
    made: bool


@define(eq=False)
class Reachability:
    """Collects the evidence on this router's links, and keeps the verdict.

    Attributes:
        count_servers: Returns the number of listed servers.
        state: The verdict; whoever examines a suspicion sets it by `decide`.
        silent: Whether open connections carry nothing while the router is partitioned.
        contacts: The last attempt to connect to each server.
        waiting: Since when a server with requests has sent nothing, for each.
        heard_at: When any server last sent something.
        suspected: Set while a suspicion is to be examined, then replaced.
        examined: Set at the end of each examination, then replaced.
        examining: Whether a suspicion is to be examined.
        calm_until: Until when silence raises no further suspicion.
    """

    count_servers: Callable[[], int] = lambda: MIN_FAILED_SERVERS
    state: Reach = Reach.CONNECTED
    silent: bool = False
    contacts: dict[BackendName, ServerContact] = field(factory=dict)
    waiting: dict[BackendName, Seconds] = field(factory=dict)
    heard_at: Seconds = -math.inf
    suspected: anyio.Event = field(factory=anyio.Event)
    examined: anyio.Event = field(factory=anyio.Event)
    examining: bool = False
    calm_until: Seconds = -math.inf

    @property
    def is_connected(self) -> bool:
        """Whether requests are sent to servers as usual."""
        return self.state is Reach.CONNECTED

    def record_connect(
        self, server: BackendName, outcome: ConnectOutcome, now: Seconds
    ) -> None:
        """Record an attempt to connect to a server."""
        made = outcome is ConnectOutcome.MADE
        self.contacts[server] = ServerContact(now, made)
        if not made and self.most_connects_failed(now):
            self.suspect()

    def record_sent(self, server: BackendName, now: Seconds) -> None:
        """Record that a request was written to a server's connection."""
        self.waiting.setdefault(server, now)

    def record_heard(self, server: BackendName, now: Seconds) -> None:
        """Record that a server has sent something."""
        self.heard_at = now
        self.waiting.pop(server, None)

    def record_idle(self, server: BackendName) -> None:
        """Record that a server has no request of this router any more."""
        self.waiting.pop(server, None)

    def most_connects_failed(self, now: Seconds) -> bool:
        """Return whether the recent attempts to connect have failed at all servers."""
        since = now - EVIDENCE_TIME
        recent = [seen for seen in self.contacts.values() if seen.at >= since]
        enough = min(MIN_FAILED_SERVERS, max(1, self.count_servers()))
        return len(recent) >= enough and not any(seen.made for seen in recent)

    def is_silent(self, now: Seconds) -> bool:
        """Return whether servers have requests, and none sends anything."""
        if now - self.heard_at < SILENCE_TIME or now < self.calm_until:
            return False
        waits = [now - since for since in self.waiting.values()]
        several = sum(wait >= SILENCE_TIME for wait in waits) > 1
        return several or max(waits, default=0.0) >= LONE_SILENCE_TIME

    def check_silence(self, now: Seconds) -> None:
        """Raise a suspicion if no server sends anything; called at short intervals."""
        if self.waiting and self.is_connected and self.is_silent(now):
            self.suspect()

    def suspect(self) -> None:
        """Ask for an examination, unless one is under way."""
        if not self.examining and self.is_connected:
            self.examining = True
            self.suspected.set()

    def decide(self, state: Reach, silent: bool, now: Seconds) -> None:
        """Set the verdict of an examination, and wake the requests that wait for it.

        Args:
            state: The verdict.
            silent: Whether open connections carry nothing.
            now: The time.
        """
        if state is Reach.CONNECTED:
            self.calm_until = now + CALM_TIME
        if state is not self.state:
            fields = {"reach": state.value, "before": self.state.value}
            log.warning("reach of servers changed", extra={**fields, "silent": silent})
        self.state, self.silent = state, silent
        self.examining = False
        self.suspected = anyio.Event()
        self.examined.set()
        self.examined = anyio.Event()

    async def settle(self) -> None:
        """Wait until a suspicion is examined, at most for MAX_VERDICT_WAIT."""
        if self.examining:
            with anyio.move_on_after(MAX_VERDICT_WAIT):
                await self.examined.wait()

    def forget_unlisted(self, listed: Container[BackendName]) -> None:
        """Forget the servers that are not listed any more."""
        if all(name in listed for name in self.contacts):
            return
        self.contacts = {n: seen for n, seen in self.contacts.items() if n in listed}
        self.waiting = {n: since for n, since in self.waiting.items() if n in listed}

    def count_contacts(self, now: Seconds) -> dict[str, int]:
        """Return how many servers were reached and not reached in EVIDENCE_TIME."""
        since = now - EVIDENCE_TIME
        recent = [seen.made for seen in self.contacts.values() if seen.at >= since]
        return {"reached": sum(recent), "failed": len(recent) - sum(recent)}
