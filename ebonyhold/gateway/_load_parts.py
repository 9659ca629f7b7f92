"""The parts of a gateway that share the load of servers with other gateways."""

from __future__ import annotations

from collections.abc import Callable

from attrs import define

from ebonyhold.forwarding import Ruleset
from ebonyhold.gateway._load_exchange import LoadExchange
from ebonyhold.gateway._metrics import GatewayMetrics
from ebonyhold.gateway._presence import Presence
from ebonyhold.gateway._routing_state import RoutingState
from ebonyhold.gateway._server_reports import ServerReports
from ebonyhold.gateway._supervision import GuardedTasks, Supervisor
from ebonyhold.gateway._types import PlatformAdapter, RawRow


@define(eq=False)
class LoadParts:
    """The parts of a gateway that share the load of servers.

    Attributes:
        routing: The configuration and the servers.
        exchange: The exchange of loads with other gateways.
        reports: Reads the servers' reports while this gateway collects.
    """

    routing: RoutingState
    exchange: LoadExchange
    reports: ServerReports

    def replace_rules(self, rows: tuple[RawRow, ...], after_outage: bool) -> None:
        """Use the configuration and the evacuations in all rows of the table."""
        self.routing.replace_rules(rows, after_outage)
        self.exchange.review()

    def apply_rules(self, rows: tuple[RawRow, ...], after_outage: bool) -> None:
        """Use the configuration in these rows if it is newer than the current one."""
        self.routing.apply_rules(rows, after_outage)
        self.exchange.review()

    def start(self, supervisor: Supervisor) -> None:
        """Start the tasks."""
        supervisor.start("load exchange", self.exchange.run)
        self.reports.tasks = GuardedTasks(supervisor, "server connection")
        supervisor.start("server reports", self.reports.run, self.exchange.started)


def open_load(
    platform: PlatformAdapter,
    routing: RoutingState,
    presence: Presence,
    rules: Callable[[], Ruleset | None],
    metrics: GatewayMetrics,
) -> LoadParts:
    """Create the parts, which do nothing while the load is not to be shared.

    Servers' reports matter where servers crash above their memory, and where some
    routers do not share their load.
    """
    settings = platform.settings
    exchange = LoadExchange(
        presence,
        (settings.host, settings.peers_port),
        settings.link_rate,
        routing.backends,
        rules,
        metrics,
    )
    reports = ServerReports(
        routing.backends,
        settings.domain,
        platform.report_target,
        platform.read_report,
        exchange.record_report,
        lambda: (
            exchange.collects and (settings.memory_pressure or exchange.misses_routers)
        ),
    )
    return LoadParts(routing, exchange, reports)
