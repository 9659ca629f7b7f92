"""The Prometheus metrics of one daemon."""

from __future__ import annotations

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

FIRST_TOKEN_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.42, 0.6, 1.0, 2.0, 5.0)
"""Histogram bounds in seconds; 0.42 s is the target for the first token."""

PERMIT_BUCKETS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 1.0, 5.0)
"""Histogram bounds in seconds, for the time to permit a request."""


class Metrics:
    """All metrics of one daemon, in a registry that no other instance shares."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "ebonyhold_requests_total",
            "Requests by how they ended: complete, interrupted or a refusal's code.",
            ("kind", "ended"),
            registry=self.registry,
        )
        self.first_token = Histogram(
            "ebonyhold_first_token_seconds",
            "Time from the request's arrival to the first byte of its answer.",
            buckets=FIRST_TOKEN_BUCKETS,
            registry=self.registry,
        )
        self.permit = Histogram(
            "ebonyhold_permit_seconds",
            "Time to hold the budget, claim the request and journal the intent.",
            buckets=PERMIT_BUCKETS,
            registry=self.registry,
        )
        self.in_flight = Gauge(
            "ebonyhold_in_flight",
            "Requests that have a permit and have not ended.",
            registry=self.registry,
        )
        self.attempts = Counter(
            "ebonyhold_attempts_total",
            "Dispatches to backend servers by result.",
            ("backend", "result"),
            registry=self.registry,
        )
        self.platform_calls = Gauge(
            "ebonyhold_platform_calls",
            "What became of calls to the platform since the start, by service, by"
            " class, and by what is counted.",
            ("service", "priority", "counted"),
            registry=self.registry,
        )
        self.peer_messages = Gauge(
            "ebonyhold_peer_messages",
            "Messages between routers since the start, by what became of them.",
            ("counted",),
            registry=self.registry,
        )
        self.configuration_version = Gauge(
            "ebonyhold_configuration_version",
            "The version of the document in force here; 0 before the first.",
            registry=self.registry,
        )
        self.tokens_held = Gauge(
            "ebonyhold_tokens_held",
            "Tokens of grants that this router could still spend.",
            registry=self.registry,
        )
        self.unfiled_bills = Gauge(
            "ebonyhold_unfiled_bills",
            "Outcomes in the journal that are not yet filed as bills.",
            registry=self.registry,
        )
        self.alive_routers = Gauge(
            "ebonyhold_alive_routers",
            "Other routers believed alive.",
            registry=self.registry,
        )

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        text: bytes = generate_latest(self.registry)
        return text
