"""The size in two years that capacity is worked out for, and lines fitted to slopes."""

from __future__ import annotations

from collections.abc import Sequence

import numpy as np
from attrs import frozen

from ebonyhold.types import Seconds

NODES = 330
REQUESTS = 6400.0
TOKENS = 2_200_000.0
BUDGETS = 130_000
WORKSPACES = 4500
DOMAINS = 17
CHANGES_A_DAY = 4800
FAILED_A_DAY = 22
DAY = 86_400.0

BYTES_LIMIT = 15_000.0
MEMORY_LIMIT = 32e6

TABLE_WRITES = 300.0
"""The table's ceiling in row writes a second: "several hundred" in the brief."""

WORKSPACES_IN_USE = (100, 400, 1000)
WRITE_RATES = (1.0, 5.0, 20.0)
DOCUMENT_SIZES = (1000, WORKSPACES, 10_000)
DOCUMENT_CHANGES = 200
"""Enough that the manifest has its usual length; a fresh one is shorter."""
FLEETS = (9, 30, 100)
OPEN_RUNS = (10, 100, 400)
STEADY: Seconds = 30.0
LOADS = ((5.0, 50), (10.0, 100), (20.0, 100), (20.0, 250))
"""Requests a second, and tokens of each answer."""

LOAD_SECONDS: Seconds = 6.0
PROCESS_SIZES = (10, 300, 1000)
SETTLED: Seconds = 3.0


@frozen
class Section:
    """One table of the page, as Markdown."""

    name: str
    lines: tuple[str, ...]


@frozen
class Line:
    """A straight line through measured points."""

    slope: float
    base: float

    def at(self, size: float) -> float:
        """Return the value at a size."""
        return self.base + self.slope * size


def fit(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """Fit a line through three or more points by least squares."""
    slope, base = np.polyfit(np.array(sizes), np.array(values), 1)
    return Line(float(slope), float(base))


def table(headers: Sequence[str], rows: Sequence[Sequence[str]]) -> tuple[str, ...]:
    """Return a Markdown table."""
    lines = ["| " + " | ".join(headers) + " |", "| " + "--- | " * len(headers)]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return tuple(line.rstrip() for line in lines)
