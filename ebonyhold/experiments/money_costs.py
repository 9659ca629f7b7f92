"""What the money costs: memory for each workspace in use, row writes a request.

``python -m ebonyhold.experiments.money_costs`` prints both tables.
"""

from __future__ import annotations

import gc
import random
import tracemalloc
from collections.abc import Awaitable, Callable

import anyio
import trio
import trio.testing
from attrs import frozen

from ebonyhold.coordination import BudgetRow, budget_key, to_json
from ebonyhold.document import Policy
from ebonyhold.experiments._counting import CountingTable, Writes
from ebonyhold.experiments._memory_fleet import MemoryFleet, ended, order
from ebonyhold.experiments.money_policies import TABLE_DELAY, percentile
from ebonyhold.money import GrantManager, Permit
from ebonyhold.standins import Faults

IDLE_BUDGETS = 130_000
"""Prepaid budgets at the size that the letter names."""

IN_USE = (100, 400)
"""Workspaces in use by one router."""

RATES = (1.0, 10.0, 100.0, 400.0)
"""Requests a second through one router."""

FILED_WITHIN = 60.0
"""After this long all bills are filed, in seconds."""

WORKSPACES = 10
"""As many as each deployment has today."""


@frozen
class MemoryCost:
    """Memory of one router's money.

    Attributes:
        in_use: Workspaces that had a request lately.
        budgets: Budgets in the table.
        growth: Bytes that the router's money takes for them.
        after: Bytes that are left once they were evicted.
    """

    in_use: int
    budgets: int
    growth: int
    after: int


@frozen
class WriteCost:
    """Table writes of one router.

    Attributes:
        rate: Requests a second.
        writes: Row writes a second, those of bills filed later counted in.
        segments: Journal segments a second.
        added_p95: Latency that the money adds to 95 in 100 requests, in seconds.
    """

    rate: float
    writes: float
    segments: float
    added_p95: float


def play(story: Callable[[MemoryFleet], Awaitable[None]]) -> None:
    """Run a story under a virtual clock."""

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            await story(MemoryFleet(tasks, Policy()))
            tasks.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


async def one(manager: GrantManager, workspace: str, name: str, lasts: float) -> float:
    """Carry one request and return what the money added to its latency."""
    started = anyio.current_time()
    permit = await manager.begin(order(workspace, name))
    added = anyio.current_time() - started
    assert isinstance(permit, Permit)
    await anyio.sleep(lasts)
    await manager.finish(permit, ended(permit, 40))
    return added


def measure_memory(in_use: int) -> MemoryCost:
    """Measure the memory of the workspaces in use, and after their eviction."""
    found: list[MemoryCost] = []

    async def story(fleet: MemoryFleet) -> None:
        for number in range(IDLE_BUDGETS):
            key = budget_key(f"w{number}")
            fleet.table.put(key, to_json(BudgetRow(1_000_000)))
        manager = await fleet.start("a.1")
        gc.collect()
        tracemalloc.start()
        for number in range(in_use):
            await one(manager, f"w{number}", "r", 0.0)
        await anyio.sleep(30)
        rows = _table_bytes()
        growth = _traced() - rows
        await anyio.sleep(2 * fleet.options.evict_after)
        assert not manager.grants
        after = _traced() - _table_bytes()
        tracemalloc.stop()
        found.append(MemoryCost(in_use, IDLE_BUDGETS, growth, after))

    play(story)
    return found[0]


def _traced() -> int:
    gc.collect()
    return tracemalloc.get_traced_memory()[0]


def _table_bytes() -> int:
    gc.collect()
    snapshot = tracemalloc.take_snapshot()
    ours = [
        tracemalloc.Filter(inclusive=True, filename_pattern=f"*{name}")
        for name in ("standins/_table.py", "json/decoder.py", "json/__init__.py")
    ]
    return sum(
        stat.size for stat in snapshot.filter_traces(ours).statistics("filename")
    )


def measure_writes(rate: float, requests: int = 2000) -> WriteCost:
    """Measure the table writes of one router at a rate of requests."""
    found: list[WriteCost] = []

    async def story(fleet: MemoryFleet) -> None:
        counter = Writes()
        chance = random.Random(int(rate))
        for number in range(WORKSPACES):
            await fleet.top_up(f"w{number}", 100_000_000, "t")
        shared = fleet.table
        table = CountingTable(
            Faults(delay=TABLE_DELAY),
            shared.writes,
            shared.reads,
            shared.rows,
            shared.order,
            counter=counter,
        )
        manager = await fleet.start("a.1", table)
        latencies: list[float] = []

        async def request(number: int) -> None:
            workspace = f"w{number % WORKSPACES}"
            latencies.append(await one(manager, workspace, f"r{number}", 3.0))

        counter.rows = 0
        started = anyio.current_time()
        async with anyio.create_task_group() as callers:
            for number in range(requests):
                callers.start_soon(request, number)
                await anyio.sleep(chance.expovariate(rate))
        lasted = anyio.current_time() - started
        await anyio.sleep(FILED_WITHIN)
        assert manager.status().unfiled == 0
        assert manager.journal is not None
        segments = sum(manager.journal.segments.values()) / lasted
        p95 = percentile(latencies, 0.95)
        found.append(WriteCost(rate, counter.rows / requests * rate, segments, p95))

    play(story)
    return found[0]


def main() -> None:
    """Print both tables."""
    print("| in use | budgets | bytes each | MB in all | bytes each after eviction |")
    print("| --- | --- | --- | --- | --- |")
    for count in IN_USE:
        cost = measure_memory(count)
        each = cost.growth / count
        print(
            f"| {count} | {cost.budgets} | {each:.0f} | {cost.growth / 1e6:.2f} "
            f"| {cost.after / count:.0f} |"
        )
    print()
    print(
        "| requests/s | row writes/s | writes a request | segments/s | added p95 ms |"
    )
    print("| --- | --- | --- | --- | --- |")
    for rate in RATES:
        writes = measure_writes(rate)
        print(
            f"| {rate:.0f} | {writes.writes:.1f} | {writes.writes / rate:.2f} "
            f"| {writes.segments:.1f} | {1000 * writes.added_p95:.1f} |"
        )


if __name__ == "__main__":
    main()
