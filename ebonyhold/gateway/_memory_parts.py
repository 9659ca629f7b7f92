"""The parts of a gateway that account for the memory of servers."""

from __future__ import annotations

from collections.abc import Callable

from attrs import define, field
from prometheus_client import CollectorRegistry, Counter, Gauge

from ebonyhold.coordination import LeaseOutcome, LenderView
from ebonyhold.forwarding import BackendTable, Ruleset
from ebonyhold.gateway._memory import LeaseClient, LeaseServer
from ebonyhold.gateway._memory_roles import MemoryRoles
from ebonyhold.gateway._presence import Presence
from ebonyhold.gateway._server_memory import GatewayMemory
from ebonyhold.gateway._supervision import Supervisor
from ebonyhold.gateway._transfers import GatewayPeers
from ebonyhold.gateway._types import GatewaySettings
from ebonyhold.prepaid import Fleet


class MemoryMetrics:
    """The metrics of a gateway that accounts for the memory of servers."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.tokens = Gauge(
            "ebonyhold_gateway_memory_tokens",
            "Tokens of servers' memory in common, in the own share, leased, and lent.",
            ("part",),
            registry=registry,
        )
        self.waiting = Gauge(
            "ebonyhold_gateway_memory_waiting",
            "Requests of all routers that wait here for memory of a server.",
            registry=registry,
        )
        self.leases = Counter(
            "ebonyhold_gateway_memory_leases_total",
            "Leases of servers' memory that this router asked for, by answer.",
            ("outcome",),
            registry=registry,
        )

    def count(self, outcome: LeaseOutcome) -> None:
        """Count the answer to a request for a lease."""
        self.leases.labels(outcome.value).inc()


@define(eq=False)
class MemoryParts:
    """The parts of a gateway that account for the memory of servers.

    Attributes:
        roles: The own shares and the lenders.
        lease_server: Lends memory.
        client: Asks for leases.
        memory: Gets room for requests.
        metrics: Their metrics.
    """

    roles: MemoryRoles
    lease_server: LeaseServer
    client: LeaseClient
    memory: GatewayMemory
    metrics: MemoryMetrics = field()

    def update_fleet(self, fleet: Fleet) -> None:
        """Use a new list of the routers."""
        self.roles.update(fleet)

    def start(self, supervisor: Supervisor) -> None:
        """Start the tasks."""
        supervisor.start("memory leases", self.lease_server.run)
        supervisor.start("memory returns", self.client.run)
        supervisor.start("memory expiry", self.memory.run)

    def set_gauges(self) -> None:
        """Set the gauges."""
        used = self.memory.memory
        self.metrics.tokens.labels("common").set(used.common_tokens())
        self.metrics.tokens.labels("own").set(used.used())
        self.metrics.tokens.labels("leased").set(used.leased_tokens())
        self.metrics.tokens.labels("lent").set(self.lease_server.lender.lent)
        self.metrics.waiting.set(self.lease_server.lender.waiting)


def open_memory(
    settings: GatewaySettings,
    incarnation: str,
    backends: BackendTable,
    presence: Presence,
    rules: Callable[[], Ruleset | None],
    peers: GatewayPeers,
    closing: Callable[[], bool],
    registry: CollectorRegistry,
) -> MemoryParts | None:
    """Create the parts, and let the servers and the row of presence use them.

    Returns:
        None where servers do not crash above their memory; nothing is accounted for.
    """
    if not settings.memory_pressure:
        return None
    view = LenderView(settings.name, settings.domain)
    roles = MemoryRoles(backends, presence, rules, view)
    metrics = MemoryMetrics(registry)
    lease_server = LeaseServer(roles, closing)
    client = LeaseClient(settings.name, peers, lease_server, metrics.count)
    memory = GatewayMemory(incarnation, roles, client)
    backends.memory = memory
    presence.memory_state = lambda: (not closing(), roles.has_leases)
    return MemoryParts(roles, lease_server, client, memory, metrics)
