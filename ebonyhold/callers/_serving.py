"""What an endpoint needs of the application that serves it."""

from __future__ import annotations

from typing import Protocol

from ebonyhold.backends import Backends
from ebonyhold.callers._gate import Gate
from ebonyhold.coordination import RetryBudget
from ebonyhold.document import BackendKind
from ebonyhold.fleet import FleetView
from ebonyhold.metrics import Metrics
from ebonyhold.money import Money


class Serving(Protocol):
    """The application's parts, as its endpoints use them.

    Attributes:
        money: Permits and bills.
        fleet: The document in force and who is leaving.
        backends: The backend servers.
        metrics: Counts requests, attempts and times.
        retries: The budget of further attempts.
    """

    money: Money
    fleet: FleetView
    backends: Backends
    metrics: Metrics
    retries: RetryBudget

    def gate(self, kind: BackendKind, name: str) -> Gate:
        """Return the gate of a model or a plain service."""
        ...
