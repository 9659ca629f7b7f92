"""What one router has in flight at the servers, and by which right.

A request is in the common half of a server's memory, in the router's own share of that
half, or leased.
"""

from __future__ import annotations

import math

from attrs import define, field

from ebonyhold.coordination._memory_pool import MemoryNeed, MemoryPool
from ebonyhold.types import BackendName, Seconds, Tokens

OWN_SHARE = 0.5
"""Share of a server's memory that routers use without leases.

All use it in common while they know each other's load; otherwise it is divided evenly.
"""

HEADROOM = 16
"""For each 16 routers, one more is assumed, which others may not have counted yet."""


def own_share(memory: Tokens, routers: int) -> Tokens:
    """Return the memory of a server that each router may use without a lease.

    Args:
        memory: The server's memory.
        routers: The highest number of routers known; 0 if none was counted yet.

    >>> own_share(258_964, 90)
    1348
    """
    if not routers:
        return 0
    return int(memory * OWN_SHARE / (routers + math.ceil(routers / HEADROOM)))


@define
class RefusedNeed:
    """A lease that was refused.

    Attributes:
        size: The memory that was asked for.
        until: Until when no such lease is asked for.
        expected_at: When there is expected to be room.
    """

    size: Tokens
    until: Seconds
    expected_at: Seconds


@define(eq=False)
class RouterMemory:
    """What one router has in flight at each server.

    Attributes:
        common: What it has in the common half of each server.
        own: The own share of each server.
        leased: The leased memory of each server; its size does not matter here.
        refused: The smallest lease of each server that was refused lately.
    """

    common: dict[BackendName, MemoryPool] = field(factory=dict)
    own: dict[BackendName, MemoryPool] = field(factory=dict)
    leased: dict[BackendName, MemoryPool] = field(factory=dict)
    refused: dict[BackendName, RefusedNeed] = field(factory=dict)

    def fits_common(
        self, server: BackendName, need: MemoryNeed, others: Tokens, memory: Tokens
    ) -> bool:
        """Return whether a server's requests leave room in the common half.

        Args:
            server: The server.
            need: What a further request needs.
            others: What the other routers have in flight there, by the shared load.
            memory: The server's memory.
        """
        pools = (self.common, self.own, self.leased)
        here = sum(pool[server].used for pool in pools if server in pool)
        return others + here + need.total <= memory * OWN_SHARE

    def record_common(
        self,
        server: BackendName,
        name: str,
        need: MemoryNeed,
        now: Seconds,
        expires_at: Seconds,
    ) -> None:
        """Record a request that uses the common half."""
        pool = self.common.setdefault(server, MemoryPool())
        pool.add(name, need, now, expires_at)

    def take_own(
        self,
        server: BackendName,
        name: str,
        need: MemoryNeed,
        share: Tokens,
        now: Seconds,
        expires_at: Seconds,
    ) -> bool:
        """Use the own share for a request, if there is room for it; return whether.

        Args:
            server: The server.
            name: The name of the attempt.
            need: What it needs.
            share: The size of the own share now.
            now: The time.
            expires_at: When the attempt has ended in any case.
        """
        pool = self.own.setdefault(server, MemoryPool())
        pool.size = share
        pool.expire(now)
        if not pool.fits(need):
            return False
        pool.add(name, need, now, expires_at)
        return True

    def record_leased(
        self,
        server: BackendName,
        name: str,
        need: MemoryNeed,
        now: Seconds,
        expires_at: Seconds,
    ) -> None:
        """Record a lease that was granted to this router."""
        pool = self.leased.setdefault(server, MemoryPool())
        pool.add(name, need, now, expires_at)

    def record_refused(
        self,
        server: BackendName,
        need: MemoryNeed,
        now: Seconds,
        wait: Seconds,
        expected: Seconds,
    ) -> None:
        """Record that nobody leases so much memory of a server.

        Args:
            server: The server.
            need: What was asked for.
            now: The time.
            wait: For how long nobody is asked for as much.
            expected: The time until there is expected to be room.
        """
        known = self.refused.get(server)
        size = need.total
        if known is not None and now < known.until:
            size = min(size, known.size)
        self.refused[server] = RefusedNeed(size, now + wait, now + expected)

    def wait(
        self, server: BackendName, need: MemoryNeed, share: Tokens, now: Seconds
    ) -> Seconds:
        """Return the time until a server is expected to have room; 0 if it may now."""
        refused = self.refused.get(server)
        if refused is None or now >= refused.until or need.total < refused.size:
            return 0.0
        pool = self.own.get(server)
        if pool is not None and pool.used + pool.added(need) <= share:
            return 0.0
        return refused.until - now

    def expected(self, server: BackendName, now: Seconds) -> Seconds:
        """Return the time until a server is expected to have room; 0 if not known."""
        refused = self.refused.get(server)
        return max(0.0, refused.expected_at - now) if refused is not None else 0.0

    def end(
        self, server: BackendName, name: str, now: Seconds, expires_at: Seconds
    ) -> bool:
        """End an attempt's use of memory at a time; return whether it was a lease.

        Args:
            server: The server.
            name: The name of the attempt.
            now: The time.
            expires_at: When the server has certainly noticed the end.
        """
        for pools in (self.common, self.own):
            pool = pools.get(server)
            if pool is not None and name in pool.occupants:
                pool.end_by(name, expires_at)
                pool.expire(now)
                return False
        leased = self.leased.get(server)
        return leased is not None and leased.remove(name) is not None

    def common_tokens(self) -> Tokens:
        """Return the memory used in the common halves of all servers."""
        return sum(pool.used for pool in self.common.values())

    def used(self) -> Tokens:
        """Return the memory used in the own shares of all servers."""
        return sum(pool.used for pool in self.own.values())

    def leased_tokens(self) -> Tokens:
        """Return the memory leased of all servers."""
        return sum(pool.used for pool in self.leased.values())

    def forget(self, now: Seconds) -> None:
        """Forget what has expired, and servers at which nothing is in flight."""
        for pools in (self.common, self.own, self.leased):
            for server, pool in list(pools.items()):
                pool.expire(now)
                if not pool.occupants:
                    del pools[server]
        for server, refused in list(self.refused.items()):
            if now >= max(refused.until, refused.expected_at):
                del self.refused[server]
