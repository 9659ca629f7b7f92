"""Measure a restart storm: all routers of a fleet start within a second.

Run ``python -m ebonyhold.experiments.startup``.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable

from attrs import define, field, frozen
from rich.console import Console
from rich.table import Table

from ebonyhold.coordination import StartupPolicy, TokenBucket
from ebonyhold.types import Seconds

READS = 60
"""Reads of one start: the head, the manifest, the parts, the own rows."""

CEILING = 2000.0
"""Reads a second that the platform serves."""

PARALLEL = 8
"""Reads that one router has under way at once."""

CALL_TIME: Seconds = 0.005
LIMIT: Seconds = 600.0
FIXED_PAUSE: Seconds = 1.0


@frozen
class Storm:
    """What one storm came to.

    Attributes:
        half: When half of the routers had started, in seconds.
        all: When all had.
        calls: Calls made in all, for each router.
        refused: The part of them that the platform refused.
        peak: The most calls within one second.
    """

    half: Seconds
    all: Seconds
    calls: float
    refused: float
    peak: int


@define
class StormRun:
    """A storm in progress.

    Attributes:
        size: How many routers start.
        first_wait: Draws the wait before a router's first call.
        retry_wait: Draws the wait after a refusal, given how many there were.
    """

    size: int
    first_wait: Callable[[random.Random], Seconds]
    retry_wait: Callable[[int, random.Random], Seconds]
    rng: random.Random
    bucket: TokenBucket = field(
        factory=lambda: TokenBucket.full(CEILING, CEILING / 10, 0.0)
    )
    finished: list[Seconds] = field(factory=list)
    seconds: Counter[int] = field(factory=Counter)
    refused: int = 0

    def run(self) -> Storm:
        """Run until all have started, or the limit."""
        numbers = itertools.count()
        events: list[tuple[Seconds, int, int, int]] = []
        for _ in range(self.size):
            start = self.rng.random() + self.first_wait(self.rng)
            for part in range(PARALLEL):
                reads = len(range(part, READS, PARALLEL))
                heapq.heappush(events, (start, next(numbers), reads, 0))
        while events and events[0][0] < LIMIT:
            now, _, left, refusals = heapq.heappop(events)
            self.seconds[int(now)] += 1
            if self.bucket.take(1.0, now):
                left, refusals, wait = left - 1, 0, CALL_TIME
            else:
                self.refused += 1
                refusals += 1
                wait = self.retry_wait(refusals, self.rng)
            if left:
                heapq.heappush(events, (now + wait, next(numbers), left, refusals))
            else:
                self.finished.append(now)
        return self.summary()

    def summary(self) -> Storm:
        """Sum up."""
        calls = sum(self.seconds.values())
        missing = self.size * PARALLEL - len(self.finished)
        done = [*self.finished, *[LIMIT] * missing]
        return Storm(
            done[len(done) // 2],
            done[-1],
            calls / self.size,
            self.refused / calls,
            max(self.seconds.values()),
        )


def fixed_pause(size: int, seed: int) -> Storm:
    """Start at once, and repeat a refused call after a fixed pause."""
    return StormRun(
        size, lambda rng: 0.0, lambda retry, rng: FIXED_PAUSE, random.Random(seed)
    ).run()


def backoff_only(size: int, seed: int) -> Storm:
    """Start at once, and repeat refused calls with backoff and jitter."""
    backoff = StartupPolicy().backoff
    return StormRun(
        size,
        lambda rng: 0.0,
        lambda retry, rng: backoff.wait(retry, rng.random()),
        random.Random(seed),
    ).run()


def admission(size: int, seed: int) -> Storm:
    """Spread the first calls and the retries by the startup policy."""
    policy = StartupPolicy()
    return StormRun(
        size,
        lambda rng: policy.first_wait(size, 0, rng.random()),
        lambda retry, rng: policy.backoff.wait(retry, rng.random()),
        random.Random(seed),
    ).run()


WAYS = {
    "at once, fixed pause": fixed_pause,
    "at once, backoff": backoff_only,
    "spread (StartupPolicy)": admission,
}


def main() -> None:
    """Measure and print the table."""
    table = Table(
        "routers", "way", "half started s", "all started s", "calls/router",
        "refused", "peak calls/s",
        title=f"All start within 1 s; {READS} reads each, ceiling {CEILING:.0f}/s",
    )  # fmt: skip
    for size in (9, 100, 330):
        for name, way in WAYS.items():
            storm = way(size, seed=7)
            table.add_row(
                str(size), name, f"{storm.half:.1f}", f"{storm.all:.1f}",
                f"{storm.calls:.0f}", f"{storm.refused:.0%}", str(storm.peak),
            )  # fmt: skip
    Console(width=110).print(table)


if __name__ == "__main__":
    main()
