"""The Prometheus metrics of one gateway."""

from __future__ import annotations

from collections.abc import Iterable

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from ebonyhold.forwarding import (
    AnswerEnding,
    BackendTable,
    CallerConnection,
    ConnectOutcome,
    CutCause,
    FlowControl,
    FlowEvent,
    Origin,
    Reach,
    Reachability,
    RelayResult,
    RunAnswer,
    SilenceOutcome,
    StandbyResult,
    StrayAnswer,
)
from ebonyhold.prepaid import HoldOutcome, WorkspaceGrant
from ebonyhold.types import BackendName, Seconds

ANSWER_BUCKETS = (0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.75, 1.0, 2.0, 5.0)
"""Upper bounds of the histogram's buckets in seconds, around usual latency targets."""

MAX_ROUTES = 60
"""Maximum number of routes with their own label; all others count as "other"."""


class GatewayMetrics:
    """All metrics of a gateway, in their own registry."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.routes: set[str] = set()
        self.requests = Counter(
            "ebonyhold_gateway_requests_total",
            "Requests by route and by how they ended.",
            ("route", "ended"),
            registry=self.registry,
        )
        self.seconds = Histogram(
            "ebonyhold_gateway_request_seconds",
            "Time from a request's last byte to the end of its answer.",
            ("route",),
            buckets=ANSWER_BUCKETS,
            registry=self.registry,
        )
        self.rules_version = Gauge(
            "ebonyhold_gateway_rules_version",
            "The version of the configuration in force; 0 before the first.",
            registry=self.registry,
        )
        self.store_age = Gauge(
            "ebonyhold_gateway_store_age_seconds",
            "Time since the store last answered, by table.",
            ("table",),
            registry=self.registry,
        )
        self.servers = Gauge(
            "ebonyhold_gateway_servers",
            "Servers listed, by service and state.",
            ("service", "state"),
            registry=self.registry,
        )
        self.tokens = Gauge(
            "ebonyhold_gateway_tokens",
            "Tokens of this router's grants, by workspace and by what they are.",
            ("workspace", "part"),
            registry=self.registry,
        )
        self.connections = Gauge(
            "ebonyhold_gateway_connections_opened",
            "Connections opened to servers since the start.",
            registry=self.registry,
        )
        self.failures = Counter(
            "ebonyhold_gateway_task_failures_total",
            "Failures of the gateway's own tasks, and what was done.",
            ("task", "then"),
            registry=self.registry,
        )
        self.loop_delay = Gauge(
            "ebonyhold_gateway_loop_delay_seconds",
            "The smoothed delay of the event loop; callers are sent away from 0.1.",
            registry=self.registry,
        )

        self.late_requests = Counter(
            "ebonyhold_gateway_late_requests_total",
            "Requests that came after the signal to stop, taken or refused.",
            ("verdict",),
            registry=self.registry,
        )

        self.holds = Counter(
            "ebonyhold_gateway_holds_total",
            "Requests whose tokens another router was asked to hold, by its answer.",
            ("outcome",),
            registry=self.registry,
        )

        self.servers_withheld = Gauge(
            "ebonyhold_gateway_servers_withheld",
            "Servers that may not get requests from this router now, by cause.",
            ("service", "cause"),
            registry=self.registry,
        )

        self.connects = Counter(
            "ebonyhold_gateway_connects_total",
            "Attempts to open a connection to a server, by outcome.",
            ("outcome",),
            registry=self.registry,
        )
        self.reach = Gauge(
            "ebonyhold_gateway_reach",
            "1 for whether this router reaches servers, 0 for the other states.",
            ("state",),
            registry=self.registry,
        )
        self.servers_contacted = Gauge(
            "ebonyhold_gateway_servers_contacted",
            "Servers connected to in the last second, by the last outcome for each.",
            ("outcome",),
            registry=self.registry,
        )
        self.relayed = Counter(
            "ebonyhold_gateway_relayed_total",
            "Requests of other routers that this one was to send to a server.",
            ("result",),
            registry=self.registry,
        )

        self.answers = Counter(
            "ebonyhold_gateway_answers_total",
            "Answers of servers by how they ended; only a stated end is proof.",
            ("ending",),
            registry=self.registry,
        )

        self.silences = Counter(
            "ebonyhold_gateway_silences_total",
            "Requests whose server sent nothing for too long, by what became of them.",
            ("service", "outcome"),
            registry=self.registry,
        )
        self.standbys = Counter(
            "ebonyhold_gateway_standbys_total",
            "Searches for another server while one was silent, by what came of them.",
            ("service", "result"),
            registry=self.registry,
        )
        self.answers_cut = Counter(
            "ebonyhold_gateway_answers_cut_total",
            "Answers cut after a part of them had been passed on, by cause.",
            ("cause",),
            registry=self.registry,
        )
        self.stray_answers = Counter(
            "ebonyhold_gateway_stray_answers_total",
            "Answers that did not name the request which waited, by what they stated.",
            ("service", "states"),
            registry=self.registry,
        )

        self.versions = Gauge(
            "ebonyhold_gateway_server_versions",
            "Software versions of the servers listed, by service.",
            ("service",),
            registry=self.registry,
        )

        self.streams_taken_up = Counter(
            "ebonyhold_gateway_streams_taken_up_total",
            "Streams that callers took up, by how their version was found.",
            ("origin",),
            registry=self.registry,
        )

        self.run_answers = Counter(
            "ebonyhold_gateway_run_answers_total",
            "Reports that were asked which run of a server answers, by the answer.",
            ("answer",),
            registry=self.registry,
        )

        self.load_age = Gauge(
            "ebonyhold_gateway_load_age_seconds",
            "The age of what is known of other routers' load; infinite if unknown.",
            registry=self.registry,
        )
        self.collects_load = Gauge(
            "ebonyhold_gateway_collects_load",
            "Whether this router adds up the load of its failure domain's routers.",
            registry=self.registry,
        )
        self.load_datagrams = Counter(
            "ebonyhold_gateway_load_datagrams_total",
            "Datagrams about the load of servers, by what became of them.",
            ("result",),
            registry=self.registry,
        )
        self.datagrams_by_result: dict[str, Counter] = {}
        self.held_bytes = Gauge(
            "ebonyhold_gateway_held_bytes",
            "Bytes held of answers and of unfinished request bodies.",
            ("of",),
            registry=self.registry,
        )
        self.slow_callers = Counter(
            "ebonyhold_gateway_slow_callers_total",
            "Callers that were disconnected or refused because they were slow.",
            ("cause",),
            registry=self.registry,
        )
        self.stream_pauses = Counter(
            "ebonyhold_gateway_stream_pauses_total",
            "Pauses of streams that were longer than is on time.",
            ("service",),
            registry=self.registry,
        )
        self.reading_speed = Gauge(
            "ebonyhold_gateway_reading_speed",
            "Prompt tokens that a server reads per second, as observed, by service.",
            ("service",),
            registry=self.registry,
        )

    def count_datagram(self, result: str) -> None:
        """Count a datagram about the load of servers by what became of it."""
        counter = self.datagrams_by_result.get(result)
        if counter is None:
            counter = self.load_datagrams.labels(result)
            self.datagrams_by_result[result] = counter
        counter.inc()

    def count_slow_caller(self, event: FlowEvent) -> None:
        """Count a slow caller by what was done."""
        self.slow_callers.labels(event.value).inc()

    def count_pause(self, service: str, server: BackendName, waited: Seconds) -> None:
        """Count a pause of a stream."""
        del server, waited
        self.stream_pauses.labels(service).inc()

    def set_flow(self, flow: FlowControl[CallerConnection]) -> None:
        """Set the gauges for what is held for peers."""
        self.held_bytes.labels("answers").set(flow.answers.held)
        self.held_bytes.labels("bodies").set(flow.bodies.total)

    def count_stream(self, origin: Origin) -> None:
        """Count a stream that a caller took up."""
        self.streams_taken_up.labels(origin.value).inc()

    def count_run_answer(self, answer: RunAnswer) -> None:
        """Count a report that was asked which run of a server answers."""
        self.run_answers.labels(answer.value).inc()

    def count_answer(self, ending: AnswerEnding) -> None:
        """Count an answer of a server by how it ended."""
        self.answers.labels(ending.value).inc()

    def count_silence(self, service: str, outcome: SilenceOutcome) -> None:
        """Count a silence of a server by what became of the request."""
        self.silences.labels(service, outcome.value).inc()

    def count_standby(self, service: str, result: StandbyResult) -> None:
        """Count a search for another server while one was silent."""
        self.standbys.labels(service, result.value).inc()

    def count_cut(self, cause: CutCause) -> None:
        """Count an answer that was cut by why it was."""
        self.answers_cut.labels(cause.value).inc()

    def count_stray(self, service: str, kind: StrayAnswer) -> None:
        """Count an answer that did not name the request which waited for it."""
        self.stray_answers.labels(service, kind.value).inc()

    def count_hold(self, outcome: HoldOutcome) -> None:
        """Count a hold request to another router by its outcome."""
        self.holds.labels(outcome.value).inc()

    def count_connect(self, outcome: ConnectOutcome) -> None:
        """Count an attempt to open a connection to a server."""
        self.connects.labels(outcome.value).inc()

    def set_servers(self, servers: BackendTable, now: Seconds) -> None:
        """Set the gauges for the servers, and for why they get no requests."""
        self.servers.clear()
        self.versions.clear()
        self.servers_withheld.clear()
        versions: set[tuple[str, str]] = set()
        for entry in servers.entries.values():
            backend = entry.backend
            versions.add((backend.service, backend.version))
            self.servers.labels(backend.service, backend.state.value).inc()
            withheld = servers.withheld(entry, now)
            if withheld is not None:
                cause = withheld.cause.value
                self.servers_withheld.labels(backend.service, cause).inc()
        for service, reading in servers.readings.services.items():
            self.reading_speed.labels(service).set(reading.speed(now) or 0.0)
        for service, _ in versions:
            self.versions.labels(service).inc()

    def set_tokens(self, grants: Iterable[WorkspaceGrant]) -> None:
        """Set the gauges for the tokens of this router's grants."""
        for grant in grants:
            ledger, name = grant.state.ledger, grant.workspace
            self.tokens.labels(name, "available").set(ledger.available)
            self.tokens.labels(name, "held").set(ledger.held)
            self.tokens.labels(name, "unfiled").set(ledger.unfiled)
            self.tokens.labels(name, "charged").set(grant.state.charged)

    def set_reach(self, reach: Reachability, now: Seconds) -> None:
        """Set the gauges for whether servers are reached."""
        for state in Reach:
            self.reach.labels(state.value).set(reach.state is state)
        for outcome, servers in reach.count_contacts(now).items():
            self.servers_contacted.labels(outcome).set(servers)

    def count_relayed(self, result: RelayResult) -> None:
        """Count a request of another router by what became of it."""
        self.relayed.labels(result.value).inc()

    def count_late(self, taken: bool) -> None:
        """Count a request that arrived during the stop, as accepted or refused."""
        self.late_requests.labels("taken" if taken else "refused").inc()

    def count_task_failure(self, task: str, then: str) -> None:
        """Count a failure of a task, by task and by the name of the applied policy."""
        self.failures.labels(task, then).inc()

    def count_request(self, route: str, outcome: str, length: Seconds) -> None:
        """Count an ended request by its outcome, and record its duration."""
        if route not in self.routes and len(self.routes) >= MAX_ROUTES:
            route = "other"
        self.routes.add(route)
        self.requests.labels(route, outcome).inc()
        self.seconds.labels(route).observe(length)

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        text: bytes = generate_latest(self.registry)
        return text
