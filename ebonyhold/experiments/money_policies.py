"""Grant policies side by side: refusals, stranded tokens, latency, table writes.

``python -m ebonyhold.experiments.money_policies`` prints the whole table.  Time
is virtual and every chance comes from the seed, so two runs print the same.
"""

from __future__ import annotations

import random
import sys
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from contextlib import suppress
from itertools import product

import anyio
import trio
import trio.testing
from attrs import define, evolve, field, frozen

from ebonyhold.document import Policy
from ebonyhold.exceptions import EbonyholdError
from ebonyhold.experiments._counting import CountingTable, Writes
from ebonyhold.experiments._memory_fleet import MemoryFleet, ended, order
from ebonyhold.experiments._money_scenarios import (
    ROUTERS,
    Arrival,
    Event,
    Scenario,
    scenarios,
)
from ebonyhold.money import GrantManager, MoneyOptions, Permit, top_up, verify_bills
from ebonyhold.standins import Faults, MemoryObjects
from ebonyhold.types import Seconds, Tokens, WorkspaceName

POLICIES = (
    "static_split",
    "table_call",
    "fixed_grant",
    "adaptive",
    "adaptive_transfer",
)

SEEDS = range(1, 6)

WORKERS = 3
"""Runs at a time; each is one thread of pure computing."""

TABLE_DELAY: Seconds = 0.004
"""One call to the table, in a few failure domains half a millisecond apart."""

OBJECTS_DELAY: Seconds = 0.012

DEATH_NOTICED: Seconds = 15.0
"""After this long a survivor recovers a dead router."""

LONGEST_REQUEST: Seconds = 12.5
"""A router that stops waits this long for its streams."""

SAMPLE: Seconds = 10.0


@frozen
class PolicyResult:
    """What one policy came to in one scenario.

    Attributes:
        scenario: The scenario.
        policy: The grant policy.
        seed: The seed.
        requests: Requests that arrived.
        refused: Requests refused, rightly or not.
        false_refusals: Requests refused that an all-knowing router would have
            served from the same budget in the same moment.
        false_tokens: What those would have cost.
        asked_tokens: What all requests would have cost.
        overspend: The most that any workspace was ever over its prepaid tokens.
        stranded: The most tokens that dead or cut-off routers ever held idle.
        idle: Tokens that lay unused in grants, on average.
        latency_p50: Added latency of the median request, in seconds.
        latency_p95: Added latency of 95 in 100 requests, in seconds.
        writes: Table row writes a second.
        discrepancies: Rows that did not add up in the end.
    """

    scenario: str
    policy: str
    seed: int
    requests: int
    refused: int
    false_refusals: int
    false_tokens: Tokens
    asked_tokens: Tokens
    overspend: Tokens
    stranded: Tokens
    idle: float
    latency_p50: Seconds
    latency_p95: Seconds
    writes: float
    discrepancies: int


@define
class Truth:
    """What an all-knowing router would know of one budget."""

    prepaid: Tokens = 0
    spent: Tokens = 0
    held: Tokens = 0

    @property
    def left(self) -> Tokens:
        """Tokens that nobody spent and no request holds."""
        return self.prepaid - self.spent - self.held


@define
class Slot:
    """One place behind the balancer, and the router that fills it now."""

    number: int
    grant_manager: GrantManager
    table: CountingTable
    objects: MemoryObjects
    lives: int = 1
    up: bool = True
    cut: bool = False


@define
class Trial:
    """One policy in one scenario."""

    fleet: MemoryFleet
    scenario: Scenario
    counter: Writes = field(factory=Writes)
    slots: list[Slot] = field(factory=list)
    truth: dict[WorkspaceName, Truth] = field(factory=dict)
    latencies: list[Seconds] = field(factory=list)
    refused: int = 0
    false_refusals: int = 0
    false_tokens: Tokens = 0
    overspend: Tokens = 0
    stranded: Tokens = 0
    idle: list[Tokens] = field(factory=list)
    ended_at: Seconds = 0.0

    async def play(self) -> None:
        """Play the scenario to its end."""
        for workspace, tokens in self.scenario.prepaid.items():
            await self.fleet.top_up(workspace, tokens, "first")
            self.truth[workspace] = Truth(prepaid=tokens)
        for number in range(ROUTERS):
            self.slots.append(await self.slot(number))
        origin = anyio.current_time()
        async with anyio.create_task_group() as requests:
            requests.start_soon(self.sample, origin)
            requests.start_soon(self.happen, origin)
            for one in self.scenario.arrivals:
                await anyio.sleep_until(origin + one.at)
                requests.start_soon(self.request, one)
        self.ended_at = anyio.current_time() - origin
        await anyio.sleep(30)

    async def slot(self, number: int, life: int = 1) -> Slot:
        """Start a router."""
        shared = self.fleet.table
        table = CountingTable(
            Faults(delay=TABLE_DELAY),
            shared.writes,
            shared.reads,
            shared.rows,
            shared.order,
            counter=self.counter,
        )
        objects = MemoryObjects(
            Faults(delay=OBJECTS_DELAY), objects=self.fleet.objects.objects
        )
        manager = await self.fleet.start(f"r{number}.{life}", table, objects)
        return Slot(number, manager, table, objects, life)

    async def request(self, one: Arrival) -> None:
        """Carry one request through the router that the balancer chose."""
        slot = self.slots[one.router]
        while not slot.up:
            slot = self.slots[(slot.number + 1) % ROUTERS]
        truth = self.truth[one.workspace]
        name = f"{one.at:.6f}"
        started = anyio.current_time()
        try:
            permit = await slot.grant_manager.begin(
                order(one.workspace, name, one.hold)
            )
        except EbonyholdError:
            self.refuse(one, truth)
            return
        assert isinstance(permit, Permit)
        self.latencies.append(anyio.current_time() - started)
        truth.held += one.hold
        self.fleet.engine.start(permit.attempt, one.charge // 2)
        await anyio.sleep(one.duration)
        truth.held -= one.hold
        truth.spent += one.charge
        self.overspend = max(self.overspend, truth.spent - truth.prepaid)
        rest = one.charge - one.charge // 2
        self.fleet.engine.progress(permit.attempt, rest, last=True)
        if slot.grant_manager.router in self.fleet.routers:
            await slot.grant_manager.finish(permit, ended(permit, one.charge))

    def refuse(self, one: Arrival, truth: Truth) -> None:
        """Count a refusal, and whether an all-knowing router would have served."""
        self.refused += 1
        if truth.left >= one.hold:
            self.false_refusals += 1
            self.false_tokens += one.charge

    async def sample(self, origin: Seconds) -> None:
        """Look at the grants every now and then."""
        while anyio.current_time() < origin + self.scenario.length:
            await anyio.sleep(SAMPLE)
            idle = [(slot, _available(slot.grant_manager)) for slot in self.slots]
            self.idle.append(sum(tokens for _, tokens in idle))
            lost = sum(tokens for slot, tokens in idle if slot.cut or not slot.up)
            self.stranded = max(self.stranded, lost)

    async def happen(self, origin: Seconds) -> None:
        """Make the events happen."""
        for event in self.scenario.events:
            await anyio.sleep_until(origin + event.at)
            await self.one_event(event)

    async def one_event(self, event: Event) -> None:
        """Make one event happen."""
        if event.what in ("table_down", "table_up"):
            for slot in self.slots:
                slot.table.faults.down = event.what == "table_down"
        elif event.what == "split":
            self.part(self.slots[: ROUTERS // 2], self.slots[ROUTERS // 2 :])
        elif event.what == "heal":
            self.fleet.network.heal()
            for slot in self.slots:
                slot.cut = slot.table.faults.down = False
        elif event.what == "top_up":
            await top_up(self.fleet.table, event.workspace, "second", event.amount)
            self.truth[event.workspace].prepaid += event.amount
        elif event.what == "kill":
            self.fleet.tasks.start_soon(self.die, self.slots[event.router])
        elif event.what == "replace":
            self.fleet.tasks.start_soon(self.replace, self.slots[event.router])

    def part(self, lucky: list[Slot], unlucky: list[Slot]) -> None:
        """Split the routers; the second half loses the table as well."""
        for slot in unlucky:
            slot.cut = slot.table.faults.down = True
            for other in lucky:
                self.fleet.network.part(
                    slot.grant_manager.router, other.grant_manager.router
                )

    async def die(self, slot: Slot) -> None:
        """End a router without notice, recover it, and start another."""
        slot.up = False
        name = slot.grant_manager.router
        self.fleet.kill(name)
        await anyio.sleep(DEATH_NOTICED)
        await self.fleet.recover(name, by="survivor")
        self.slots[slot.number] = await self.slot(slot.number, slot.lives + 1)

    async def replace(self, slot: Slot) -> None:
        """Stop a router with notice, and start another."""
        slot.up = False
        await anyio.sleep(LONGEST_REQUEST)
        with suppress(EbonyholdError), anyio.move_on_after(30):
            await slot.grant_manager.drain()
        self.fleet.kill(slot.grant_manager.router)
        self.slots[slot.number] = await self.slot(slot.number, slot.lives + 1)


def _available(manager: GrantManager) -> Tokens:
    return sum(grant.ledger.available for grant in manager.grants.values())


def percentile(values: list[float], part: float) -> float:
    """Return a percentile; 0 when there are no values.

    >>> percentile([3.0, 1.0, 2.0], 0.5)
    2.0
    """
    if not values:
        return 0.0
    return sorted(values)[min(int(part * len(values)), len(values) - 1)]


def run_scenario(
    name: str, policy: str, seed: int, knobs: Policy | None = None
) -> PolicyResult:
    """Run one policy in one scenario.

    Args:
        name: The scenario.
        policy: The grant policy.
        seed: The seed of all chance.
        knobs: The document's other knobs; the defaults when None.
    """
    made = scenarios[name](random.Random(f"{name}/{seed}"))
    document = evolve(knobs or Policy(), grants=policy)
    found: list[PolicyResult] = []

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            trial = Trial(MemoryFleet(tasks, document, MoneyOptions()), made)
            await trial.play()
            wrong = await verify_bills(trial.fleet.table)
            found.append(_result(trial, name, policy, seed, len(wrong)))
            tasks.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return found[0]


def _result(
    trial: Trial, name: str, policy: str, seed: int, wrong: int
) -> PolicyResult:
    asked = sum(one.charge for one in trial.scenario.arrivals)
    return PolicyResult(
        scenario=name,
        policy=policy,
        seed=seed,
        requests=len(trial.scenario.arrivals),
        refused=trial.refused,
        false_refusals=trial.false_refusals,
        false_tokens=trial.false_tokens,
        asked_tokens=asked,
        overspend=trial.overspend,
        stranded=trial.stranded,
        idle=sum(trial.idle) / max(len(trial.idle), 1),
        latency_p50=percentile(trial.latencies, 0.5),
        latency_p95=percentile(trial.latencies, 0.95),
        writes=trial.counter.rows / max(trial.ended_at, 1.0),
        discrepancies=wrong,
    )


HEADINGS = (
    "scenario", "policy", "requests", "refused", "false refusals", "false tokens",
    "overspend", "stranded", "idle", "added p50 ms", "added p95 ms", "writes/s",
)  # fmt: skip


def rows(results: Iterable[PolicyResult]) -> list[tuple[str, ...]]:
    """Sum the seeds of each scenario and policy into one row of the table."""
    groups: dict[tuple[str, str], list[PolicyResult]] = {}
    for one in results:
        groups.setdefault((one.scenario, one.policy), []).append(one)
    return [_row(group) for group in groups.values()]


def _row(group: list[PolicyResult]) -> tuple[str, ...]:
    count = len(group)
    requests = sum(one.requests for one in group)
    false = sum(one.false_refusals for one in group)
    tokens = sum(one.false_tokens for one in group)
    asked = sum(one.asked_tokens for one in group)
    wrong = sum(one.discrepancies for one in group)
    return (
        group[0].scenario,
        group[0].policy,
        str(requests),
        str(sum(one.refused for one in group)),
        f"{false} ({100 * false / requests:.2f}%)",
        f"{100 * tokens / asked:.2f}%",
        str(max(one.overspend for one in group)) + ("!" if wrong else ""),
        str(max(one.stranded for one in group)),
        f"{sum(one.idle for one in group) / count:.0f}",
        f"{1000 * sum(one.latency_p50 for one in group) / count:.1f}",
        f"{1000 * sum(one.latency_p95 for one in group) / count:.1f}",
        f"{sum(one.writes for one in group) / count:.2f}",
    )


def markdown(table: list[tuple[str, ...]]) -> str:
    """Render the table."""
    lines = [HEADINGS, tuple("---" for _ in HEADINGS), *table]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)


def run_all(
    names: Iterable[str],
    policies: Iterable[str] = POLICIES,
    seeds: Iterable[int] = SEEDS,
) -> list[PolicyResult]:
    """Run every policy in every scenario with every seed, a few at a time."""
    wishes = list(product(names, policies, seeds))
    with ProcessPoolExecutor(WORKERS) as pool:
        return list(pool.map(run_scenario, *zip(*wishes, strict=True)))


def main(arguments: list[str]) -> None:
    """Print the table; arguments name scenarios, all of them when none."""
    print(markdown(rows(run_all(arguments or list(scenarios)))))


if __name__ == "__main__":
    main(sys.argv[1:])
