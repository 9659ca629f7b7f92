"""The part of the application that endpoints use."""

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
    """The application, as its endpoints use it.

    Attributes:
        money: Issues permits and files bills.
        fleet: The document in force and the servers that are leaving.
        backends: The backend servers and their state.
        metrics: Counts requests and attempts, and measures times.
        retries: The budget of attempts that may repeat work.
    """

    money: Money
    fleet: FleetView
    backends: Backends
    metrics: Metrics
    retries: RetryBudget

    def gate(self, kind: BackendKind, name: str) -> Gate:
        """Return the gate of a model or a plain service."""
        ...
