"""Whether the routers of a fleet share their knowledge of the servers' load."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import define, frozen

from ebonyhold.types import Tokens

MAX_TOKENS_PER_SLOT: Tokens = 16_384
"""Memory per slot below which a server's memory is exhausted before its slots are.

Long requests have some 10,000 tokens. Where a slot has more memory than that, the
number of requests in flight says enough about a server.
"""

ROUTERS_PER_SERVER = 2
"""Routers per server from which on one router sees little of a server's load."""


@frozen
class ServiceSize:
    """What a configuration states of the servers of a service.

    Attributes:
        name: The name of the service.
        slots: Requests that each server runs at once; 0 if not stated.
        memory: Tokens that the memory of each server holds; 0 if not stated.
    """

    name: str
    slots: int = 0
    memory: Tokens = 0

    @property
    def is_bound_by_memory(self) -> bool:
        """Whether the memory of a server is exhausted before its slots are."""
        if self.slots <= 0:
            return False
        return 0 < self.memory / self.slots < MAX_TOKENS_PER_SLOT


@define
class LoadScope:
    """Decides for which services load is shared.

    Attributes:
        max_routers: The highest number of routers so far.
        max_servers: The highest number of listed servers so far.
        many: Whether there have been enough routers for each server.
        services: The services for which load is shared.
    """

    max_routers: int = 0
    max_servers: int = 0
    many: bool = False
    services: frozenset[str] = frozenset()

    def update(
        self, services: Iterable[ServiceSize], routers: int, servers: int
    ) -> bool:
        """Consider the configuration and the fleet; return whether `services` changed.

        The counts are kept at their highest, so that a loss of servers does not begin
        sharing. Once begun, it does not end when VMs are lost, which is when it is
        needed most, nor when servers are replaced while the earlier ones are listed.

        Args:
            services: All services of the configuration.
            routers: The number of routers counted now; 0 if it is not reliable yet.
            servers: The number of servers listed now; 0 if unknown.
        """
        self.max_routers = max(self.max_routers, routers)
        self.max_servers = max(self.max_servers, servers)
        known = list(services)
        bound = any(service.is_bound_by_memory for service in known)
        if bound and 0 < self.max_servers * ROUTERS_PER_SERVER <= self.max_routers:
            self.many = True
        names = (service.name for service in known) if bound and self.many else ()
        before, self.services = self.services, frozenset(names)
        return self.services != before
