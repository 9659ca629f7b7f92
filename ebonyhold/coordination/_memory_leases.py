"""Leases of the memory of backend servers: what a lender and a router decide.

A server crashes if the requests at it need more memory than it has.  Half of its memory
is divided among all routers.  The other half is lent by two routers, a quarter each,
request by request.  Nothing here has a clock or does I/O.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from enum import Enum

from attrs import define, field, frozen
from attrs.validators import ge, le

from ebonyhold.coordination._fair_queue import FairQueue, Waiting
from ebonyhold.coordination._memory_lenders import LEASE_MARGIN
from ebonyhold.coordination._memory_pool import MemoryNeed, MemoryPool
from ebonyhold.types import BackendName, Seconds, Tokens

LENT_SHARE = 0.25
"""Share of a server's memory that each of its lenders lends."""

MAX_WAIT: Seconds = 1.0
"""Longest time for which a lender lets a request wait.

Longer than that, a caller is served sooner if it tries another router, and the
connection that the message occupies is worth more.
"""

RETURN_MEMORY: Seconds = 20.0
"""How long a lender remembers returns of leases that it does not know.

A router that gave up on a lease returns it, and the message that asks for it may arrive
later than the return.  Returns are repeated for as long.
"""

MAX_RETURNS = 4096
"""Maximum number of such returns; above it the oldest ones are forgotten."""

RATE_TIME: Seconds = 2.0
"""Time over which the rate is measured at which memory becomes free."""

MIN_RETRY: Seconds = 0.05
"""Shortest time that is stated until memory is expected to be free."""

MAX_RETRY: Seconds = 2.0
"""Longest time that is stated; by then, most requests have ended."""


class LeaseOutcome(Enum):
    """A lender's answer to a request for a lease.

    Attributes:
        GRANTED: The memory is leased.
        FULL: There is no memory for it now.
        UNAVAILABLE: This router lends nothing of this server now.
    """

    GRANTED = "granted"
    FULL = "full"
    UNAVAILABLE = "unavailable"


@frozen
class WantedLease:
    """A request for a lease.

    Attributes:
        lease: Identifies the lease among all leases of all routers.
        server: The server.
        need: The memory that the request needs.
        lasts: Time until the request's deadline, in seconds.
        workspace: The workspace that the request belongs to.
        priority: The request's priority; 0 is the most urgent.
        waits: How long the request can wait, in seconds; 0 if it cannot.
    """

    lease: str
    server: BackendName
    need: MemoryNeed
    lasts: Seconds = field(validator=ge(0))
    workspace: str = ""
    priority: int = 0
    waits: Seconds = field(default=0.0, validator=[ge(0), le(3600)])


@frozen
class LeaseAnswer:
    """A lender's answer.

    Attributes:
        outcome: Whether the memory is leased.
        wait: Time until memory is expected to be free, in seconds; 0 if not known.
    """

    outcome: LeaseOutcome
    wait: Seconds = 0.0


@frozen
class Decision:
    """The answer to a request that waited."""

    lease: str
    answer: LeaseAnswer


@define
class FreedRate:
    """The rate at which memory becomes free, smoothed over RATE_TIME.

    Attributes:
        total: The freed tokens, each weighted by its age.
        at: When `total` was computed.
    """

    total: float = 0.0
    at: Seconds = 0.0

    def add(self, tokens: Tokens, now: Seconds) -> None:
        """Count tokens that have become free."""
        self.total = self.total * self.weight(now) + tokens
        self.at = now

    def rate(self, now: Seconds) -> float:
        """Return the tokens per second."""
        return self.total * self.weight(now) / RATE_TIME

    def weight(self, now: Seconds) -> float:
        """Return the weight of what became free at `at`."""
        return math.exp(-max(0.0, now - self.at) / RATE_TIME)


@define(eq=False)
class LentServer:
    """What one lender has lent of a server.

    A restart of the server does not change it.  The leases of the run before are
    returned, as their requests have ended with their connections, and a request may
    reach the new run before the list of servers shows it.

    Attributes:
        pool: The lent memory.
        queue: The requests that wait.
        wanted: Those requests by lease.
        dropped: Requests that others have taken the place of in the queue.
        freed: The rate at which leases end.
        used_at: When the server was last asked for.
    """

    pool: MemoryPool = field(factory=MemoryPool)
    queue: FairQueue = field(factory=FairQueue)
    wanted: dict[str, WantedLease] = field(factory=dict)
    dropped: list[Waiting] = field(factory=list)
    freed: FreedRate = field(factory=FreedRate)
    used_at: Seconds = 0.0

    def retry_after(self, need: MemoryNeed, now: Seconds) -> Seconds:
        """Return the time until there is expected to be room for a new request."""
        missing = self.pool.used + self.queue.cost + self.pool.added(need)
        missing -= self.pool.size
        rate = self.freed.rate(now)
        if missing <= 0 or rate <= 0:
            return MIN_RETRY if missing <= 0 else MAX_RETRY
        return min(MAX_RETRY, max(MIN_RETRY, missing / rate))


@define(eq=False)
class MemoryLender:
    """The leases of one lender.

    Attributes:
        servers: What it has lent of each server.
        returned: When leases were returned that were not known, by lease.
    """

    servers: dict[BackendName, LentServer] = field(factory=dict)
    returned: dict[str, Seconds] = field(factory=dict)

    @property
    def lent(self) -> Tokens:
        """The tokens that are lent."""
        return sum(server.pool.used for server in self.servers.values())

    @property
    def waiting(self) -> int:
        """Number of requests that wait."""
        return sum(len(server.queue) for server in self.servers.values())

    def ask(
        self, wanted: WantedLease, size: Tokens, max_time: Seconds, now: Seconds
    ) -> LeaseAnswer | None:
        """Decide on a lease.

        Args:
            wanted: The request.
            size: The memory that this lender lends of the server.
            max_time: The longest time-out of a request.  Lenders rely on it, so a lease
                that lasts longer is not granted.
            now: The time.

        Returns:
            The answer; None if the request waits, and a later `Decision` has it.
        """
        if wanted.lease in self.returned or wanted.lasts > max_time:
            return LeaseAnswer(LeaseOutcome.UNAVAILABLE)
        server = self.servers.setdefault(wanted.server, LentServer())
        server.pool.size, server.used_at = size, now
        server.pool.expire(now)
        if wanted.lease in server.pool.occupants:
            return LeaseAnswer(LeaseOutcome.GRANTED)
        if wanted.lease in server.wanted:
            # The message came twice, and the first one is answered when it is decided.
            return LeaseAnswer(LeaseOutcome.UNAVAILABLE)
        if not server.queue and server.pool.fits(wanted.need):
            self.grant(server, wanted, now)
            return LeaseAnswer(LeaseOutcome.GRANTED)
        full = LeaseAnswer(LeaseOutcome.FULL, server.retry_after(wanted.need, now))
        waits = min(wanted.waits, MAX_WAIT, wanted.lasts)
        if waits <= 0 or server.pool.size < wanted.need.total:
            return full
        cost, until = wanted.need.total, now + waits
        waiting = Waiting(wanted.lease, wanted.workspace, wanted.priority, cost, until)
        server.wanted[wanted.lease] = wanted
        refused = server.queue.add(waiting)
        if refused is waiting:
            del server.wanted[wanted.lease]
            return full
        if refused is not None:
            # It is reported with the next decisions.
            server.dropped.append(refused)
        return None

    def grant(self, server: LentServer, wanted: WantedLease, now: Seconds) -> None:
        """Lease memory, for which there is room."""
        expires_at = now + wanted.lasts + LEASE_MARGIN
        server.pool.add(wanted.lease, wanted.need, now, expires_at)

    def give_back(self, leases: Iterable[str], now: Seconds) -> None:
        """End leases, and requests for leases that wait; others are remembered."""
        for lease in leases:
            if not any(self.end(s, lease, now) for s in self.servers.values()):
                self.returned.setdefault(lease, now)
                while len(self.returned) > MAX_RETURNS:
                    del self.returned[next(iter(self.returned))]

    def end(self, server: LentServer, lease: str, now: Seconds) -> bool:
        """End a lease of a server, or the wait for it; return whether it is known."""
        if lease in server.wanted:
            del server.wanted[lease]
            server.queue.remove(lease)
            # The message may be on its way twice.
            self.returned[lease] = now
            return True
        freed = server.pool.remove(lease)
        if freed is None:
            return False
        self.returned[lease] = now
        server.freed.add(freed, now)
        return True

    def decide(self, now: Seconds) -> list[Decision]:
        """Return the answers that can be given to waiting requests now.

        The owner calls this after leases were returned, and at short intervals.
        """
        decisions: list[Decision] = []
        for server in self.servers.values():
            for late in server.pool.expire(now):
                self.returned[late] = now
            decisions += self.refuse_late(server, now)
            while (head := server.queue.next()) is not None:
                wanted = server.wanted[head.name]
                if not server.pool.fits(wanted.need):
                    break
                server.queue.serve()
                del server.wanted[head.name]
                self.grant(server, wanted, now)
                answer = LeaseAnswer(LeaseOutcome.GRANTED)
                decisions.append(Decision(head.name, answer))
        self.forget(now)
        return decisions

    def refuse_late(self, server: LentServer, now: Seconds) -> list[Decision]:
        """Return the refusals of requests that can wait no longer."""
        late = [*server.queue.expire(now), *server.dropped]
        server.dropped.clear()
        decisions: list[Decision] = []
        for waiting in late:
            wanted = server.wanted.pop(waiting.name, None)
            if wanted is not None:
                wait = server.retry_after(wanted.need, now)
                answer = LeaseAnswer(LeaseOutcome.FULL, wait)
                decisions.append(Decision(waiting.name, answer))
        return decisions

    def forget(self, now: Seconds) -> None:
        """Forget old returns, and servers of which nothing is lent."""
        while self.returned:
            lease, at = next(iter(self.returned.items()))
            if now - at < RETURN_MEMORY:
                break
            del self.returned[lease]
        for name, server in list(self.servers.items()):
            idle = now - server.used_at >= RETURN_MEMORY
            if idle and not server.pool.occupants and not server.queue:
                del self.servers[name]
