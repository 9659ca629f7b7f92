"""How routers share the requests per second that a server takes from all of them.

A server may state such a limit, and it has one while it is cold.

A few routers, the server's senders, have equal shares of its limit; all others send it
nothing. The fewer the requests, the fewer the senders, so that no share is so small
that saving up for a single request adds up, over all routers, to more than the limit.
All routers compute the same senders from the list of routers, without messages.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Callable, Collection

from attrs import define, field, frozen

from ebonyhold.coordination._bucket import TokenBucket
from ebonyhold.coordination._crashes import ServerRun
from ebonyhold.types import BackendName, Seconds

MIN_SENDER_RATE = 1.0
"""The smallest share of a limit, in requests per second, if there are several senders.

A sender may save up one request. With shares of at least this size, all saved requests
together are no more than the server takes in `SAVED_TIME`.
"""

SAVED_TIME: Seconds = 1.0
"""Time for which unused requests are saved up, if that is at least one request."""

COLD_SHARE = 0.5
"""Share of the requests that a cold server tolerates which are sent to it.

In one second, requests that the senders have saved up come on top of their shares: up
to twice the limit. Sent this share, it gets no more in any second than it tolerates.
"""

MIN_LIMIT = 0.1
"""Smallest limit, in requests per second, that is applied.

If a server with a limit of 0 were sent nothing, nobody would notice the limit's end.
"""

PROBE_SLOT: Seconds = 2.0
"""Length of the time slots in which routers that are no senders may send a request.

Otherwise such a router would never notice the end of the limit. The slots of different
routers do not overlap, because their requests come on top of the limit.
"""

MIN_PROBE_SLOTS = 15
"""Minimum number of slots until a router's next one."""

END_DELAY: Seconds = 1.0
"""Time after which the end of a limit is reported, unless the server names one again.

Answers on different connections can overtake each other.
"""

END_EXPIRY: Seconds = 900.0
"""Time after which the end of a limit is no longer reported; each router had a slot of
its own by then."""

MAX_REPORTED_ENDS = 100
"""Maximum number of ended limits in a router's report; the latest ones are kept."""

MAX_CACHED = 4096
"""Maximum number of shares that are cached."""


def choose_senders(
    server: BackendName, limit: float, routers: Collection[str]
) -> list[str]:
    """Return the routers that send requests to a server with a limit.

    They are chosen by rendezvous hashing, so a router that joins or leaves changes only
    the senders of few servers, and a higher limit only adds senders.

    >>> routers = [f"vm-{number}" for number in range(195)]
    >>> [len(choose_senders("s", limit, routers)) for limit in (0.0, 2.3, 50, 500)]
    [1, 2, 50, 195]
    """
    count = max(1, int(limit / MIN_SENDER_RATE))
    return sorted(routers, key=lambda router: hash_of(f"{server}\n{router}"))[:count]


def hash_of(text: str) -> int:
    """Return a hash that is the same at all routers."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest())


@define(eq=False)
class LimitShares:
    """One router's share of the limit of each server.

    Attributes:
        router: The router's VM.
        count: Returns the number of routers.
        routers: The known routers.
        position: This router's position among them, in order of their names.
        cached: The shares by server and limit.
    """

    router: str = ""
    count: Callable[[], int] = lambda: 1
    routers: frozenset[str] = frozenset()
    position: int = 0
    cached: dict[tuple[BackendName, float], float] = field(factory=dict)

    def update(self, routers: Collection[str]) -> None:
        """Set the known routers."""
        known = frozenset(routers) | {self.router}
        if self.routers != known:
            self.routers = known
            self.position = sorted(known).index(self.router)
            self.cached.clear()

    @property
    def is_fleet_known(self) -> bool:
        """Whether most routers are known, so that all choose the same senders."""
        return 2 * len(self.routers) > self.count()

    def cold_rate(self, server: BackendName, tolerated: float) -> float:
        """Return how many requests per second this router may send to a cold server.

        None before the other routers are known: with all VMs of a fleet just started,
        equal shares of the assumed number of routers would add up to far too many.

        Args:
            server: The server.
            tolerated: Requests per second that it tolerates from all routers.
        """
        if not self.is_fleet_known:
            return 0.0
        return self.rate(server, tolerated * COLD_SHARE)

    def rate(self, server: BackendName, limit: float) -> float:
        """Return how many requests per second this router may send to a server.

        As long as most routers are not known, each one has an equal share.
        """
        limit = max(limit, MIN_LIMIT)
        if not self.is_fleet_known:
            return limit / self.count()
        share = self.cached.get((server, limit))
        if share is None:
            if len(self.cached) >= MAX_CACHED:
                self.cached.clear()
            senders = choose_senders(server, limit, self.routers)
            share = limit / len(senders) if self.router in senders else 0.0
            self.cached[server, limit] = share
        return share

    def places(self, server: BackendName, places: int) -> int:
        """Return how many of a server's places are this router's.

        The shares of all routers add up to the places. As long as most routers are not
        known, each has an equal share, rounded down.

        Args:
            server: The server.
            places: The requests that it runs at once.
        """
        if not self.is_fleet_known:
            return places // self.count()
        senders = choose_senders(server, places, self.routers)
        if places < 1 or self.router not in senders:
            return 0
        each, more = divmod(places, len(senders))
        return each + (senders.index(self.router) < more)

    def probe_slot(self, server: BackendName, now: Seconds) -> int | None:
        """Return the number of the current time slot if it is this router's, or None.

        Args:
            server: The server; slots are distributed differently for each.
            now: The time, in seconds since the epoch.
        """
        slot = int(now / PROBE_SLOT)
        slots = max(MIN_PROBE_SLOTS, len(self.routers))
        own = (slot + hash_of(server)) % slots == self.position
        return slot if own else None


@define(eq=False)
class SendingLimit:
    """One router's use of its share of a server's limit.

    Attributes:
        limit: Requests per second that the server takes from all routers together.
        heard_at: When the server last stated it, in seconds since the epoch.
        bucket: The requests that this router may send; empty at first.
        probed_in: The last time slot in which this router sent a request without a
            share.
    """

    limit: float
    heard_at: Seconds = 0.0
    bucket: TokenBucket = field(factory=lambda: TokenBucket(0.0, 1.0))
    probed_in: int | None = None

    def set_rate(self, rate: float, now: Seconds) -> None:
        """Set this router's share, in requests per second."""
        if rate != self.bucket.rate:
            self.bucket.refill(now)
            self.bucket.rate = rate
            self.bucket.burst = max(1.0, rate * SAVED_TIME)

    def wait(self, slot: int | None, now: Seconds) -> Seconds:
        """Return the time until a request may be sent; 0 if it may be sent now.

        Without a share it is infinite, except in an own time slot.

        Args:
            slot: The current time slot if it is this router's, or None.
            now: The time of a monotonic clock, in seconds.
        """
        if self.bucket.rate:
            return self.bucket.wait(1.0, now)
        return 0.0 if slot is not None and slot != self.probed_in else math.inf

    def take(self, slot: int | None, now: Seconds) -> None:
        """Count a request that is sent; the arguments are those of `wait`."""
        if self.bucket.rate:
            self.bucket.take(1.0, now)
        else:
            self.probed_in = slot


@frozen
class EndedLimit:
    """The end of a server's limit.

    Attributes:
        run: The run of the server.
        at: When a router noticed the end, in seconds since the epoch.
    """

    run: ServerRun
    at: Seconds


@define(eq=False)
class EndedLimits:
    """The ends of limits that this router has noticed, for its report.

    Attributes:
        ended: When this router noticed each end, in seconds since the epoch.
    """

    ended: dict[ServerRun, Seconds] = field(factory=dict)

    def add(self, run: ServerRun, now: Seconds) -> None:
        """Record that a server no longer states a limit."""
        self.ended.pop(run, None)
        self.ended[run] = now
        if len(self.ended) > MAX_REPORTED_ENDS:
            del self.ended[next(iter(self.ended))]

    def discard(self, run: ServerRun) -> None:
        """Remove the end of a limit, because the server states one again."""
        self.ended.pop(run, None)

    def report(self, now: Seconds) -> tuple[EndedLimit, ...]:
        """Return the ended limits that the other routers should know of."""
        for run, at in list(self.ended.items()):
            if now - at >= END_EXPIRY:
                del self.ended[run]
        return tuple(
            EndedLimit(run, at)
            for run, at in self.ended.items()
            if now - at >= END_DELAY
        )
