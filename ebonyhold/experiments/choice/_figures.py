"""What one run measured."""

from __future__ import annotations

import statistics
from collections.abc import Sequence

from attrs import define, field, frozen

from ebonyhold.types import Seconds, Tokens

FIRST_TARGET: Seconds = 0.42
GAP_TARGET: Seconds = 0.051


@frozen
class Served:
    """One request that was answered."""

    first: Seconds
    gap: Seconds
    prompt: Tokens
    reused: Tokens
    live: bool


@define
class Tally:
    """Everything that a run collects."""

    length: Seconds
    served: list[Served] = field(factory=list)
    gaps: list[Seconds] = field(factory=list)
    refused: int = 0
    asked: int = 0
    imbalance: list[float] = field(factory=list)
    resumed: int = 0
    cut: int = 0
    late_work: int = 0
    emptied: list[Seconds] = field(factory=list)


@frozen
class Figures:
    """The figures of one run.

    Attributes:
        first: Time to the first token of live requests at p50, p95, p99, seconds.
        gap: Time between tokens at p50, p95 and p99, in seconds.
        goodput: Requests a second that met both targets.
        offered: Requests a second that came.
        refused: The part that was refused.
        reuse: The part of the prompt tokens that a cache held.
        imbalance: The busiest engine's load over the mean, on average.
        resumed: Streams that went on at another engine.
        cut: Streams that did not reach their end.
        late_work: Requests that a leaving engine got after a few seconds.
        emptied: The longest time that a leaving engine took to be empty, seconds.
        firsts: Time to the first token of each live request, in seconds.
    """

    first: tuple[float, float, float]
    gap: tuple[float, float, float]
    goodput: float
    offered: float
    refused: float
    reuse: float
    imbalance: float
    resumed: int = 0
    cut: int = 0
    late_work: int = 0
    emptied: Seconds = 0.0
    firsts: tuple[Seconds, ...] = field(default=(), repr=False)


def percentiles(values: Sequence[float]) -> tuple[float, float, float]:
    """Return p50, p95 and p99.

    >>> percentiles(list(range(101)))
    (50, 95, 99)
    """
    ordered = sorted(values) or [0.0]
    last = len(ordered) - 1
    p50, p95, p99 = (ordered[round(last * part)] for part in (0.5, 0.95, 0.99))
    return p50, p95, p99


def figures(tally: Tally) -> Figures:
    """Return the figures of a run."""
    good = sum(
        1
        for item in tally.served
        if item.gap <= GAP_TARGET and (item.first <= FIRST_TARGET or not item.live)
    )
    firsts = [item.first for item in tally.served if item.live]
    prompts = sum(item.prompt for item in tally.served) or 1
    return Figures(
        percentiles(firsts),
        percentiles(tally.gaps),
        good / tally.length,
        tally.asked / tally.length,
        tally.refused / max(1, tally.asked),
        sum(item.reused for item in tally.served) / prompts,
        statistics.fmean(tally.imbalance) if tally.imbalance else 1.0,
        tally.resumed,
        tally.cut,
        tally.late_work,
        max(tally.emptied, default=0.0),
        tuple(firsts),
    )
