"""Servers that are slow or that fail, as all routers together have seen them.

Load that it handles: a server is slow, or fails a large share of its requests while its
health check passes. Each of 131 routers sends such a server one request in some
seconds, so that most of them never see enough to avoid it by themselves.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from attrs import define, field, frozen

from ebonyhold.coordination import (
    EjectionPolicy,
    FleetLoad,
    LimitShares,
    domain_allowance,
)
from ebonyhold.forwarding._entry import BackendEntry
from ebonyhold.forwarding._types import ServiceName
from ebonyhold.types import BackendName, Seconds

FAILING = 0.3
"""Share of failed recent attempts from which on a server counts as ejected."""

SLOW = 2.0
"""Slowness from which on a server is sent trial requests.

A server at less than twice the usual time gets requests often enough by its cost.
"""

KEPT_FOR: Seconds = 0.2
"""How long the outliers are kept; the figures change every 0.1 to 0.3 s."""


@frozen
class Outliers:
    """The servers of one service that need special treatment.

    Attributes:
        read_at: When the figures were read.
        failing: Share of the recent attempts that failed, of those above FAILING.
        slow: The names of the servers above SLOW.
    """

    read_at: Seconds
    failing: Mapping[BackendName, float]
    slow: frozenset[BackendName]


@define(eq=False)
class FleetOutliers:
    """Reads the outliers of each service from the shared load, a few times per second.

    Attributes:
        known: The outliers by service.
    """

    known: dict[ServiceName, Outliers] = field(factory=dict)

    def of(
        self,
        service: ServiceName,
        entries: Iterable[BackendEntry],
        fleet: FleetLoad,
        now: Seconds,
    ) -> Outliers:
        """Return the outliers among the servers of a service.

        Args:
            service: The service.
            entries: All known servers.
            fleet: The shared load.
            now: The time of a monotonic clock, in seconds.
        """
        known = self.known.get(service)
        if known is not None and 0.0 <= now - known.read_at < KEPT_FOR:
            return known
        loads = {
            entry.backend.name: load
            for entry in entries
            if entry.backend.service == service
            and (load := fleet.load(entry.run, now)) is not None
        }
        found = Outliers(
            now,
            {n: load.failing for n, load in loads.items() if load.failing >= FAILING},
            frozenset(n for n, load in loads.items() if load.slowness >= SLOW),
        )
        self.known[service] = found
        return found


def ejected_by_fleet(
    failing: Mapping[BackendName, float],
    servers: Mapping[BackendName, str],
    ejected: frozenset[BackendName],
    shares: LimitShares,
    policy: EjectionPolicy,
    wall: Seconds,
) -> frozenset[BackendName]:
    """Return the servers that are ejected for the failures that all routers saw.

    The servers that this router has ejected itself count against the policy's limits,
    which bound the effect of requests that fail everywhere. Servers that fail most are
    ejected first. A server is not ejected in this router's time slots, which the
    routers have in turn; otherwise no request would show that it has recovered.

    Args:
        failing: Share of the recent attempts that failed, by server.
        servers: The servers of the service that may get requests, with their domains.
        ejected: The servers that this router has ejected.
        shares: Distributes the time slots over the routers.
        policy: The limits on how many servers are ejected.
        wall: The time, in seconds since the epoch.
    """
    outliers = [
        name
        for name, share in failing.items()
        if share >= FAILING and name in servers and name not in ejected
    ]
    if not outliers:
        return frozenset()
    allowed = int(len(servers) * policy.fleet_share) - len(ejected)
    allowance = domain_allowance(servers, policy.domain_share)
    for name in ejected:
        allowance[servers[name]] -= 1
    found: set[BackendName] = set()
    for name in sorted(outliers, key=lambda one: (-failing[one], one)):
        domain = servers[name]
        if len(found) < allowed and allowance[domain] > 0:
            allowance[domain] -= 1
            found.add(name)
    if not shares.is_fleet_known:
        return frozenset(found)
    return frozenset(n for n in found if shares.probe_slot(n, wall) is None)
