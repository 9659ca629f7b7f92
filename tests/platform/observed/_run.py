"""Run one seed: faults and calm periods, while engines crash, leave and rest."""

from __future__ import annotations

import random
import time
from pathlib import Path
from typing import Any

import anyio
from attrs import define, field

from tests.platform.fleet import book
from tests.platform.kit import configuration, log_errors
from tests.platform.observed._checks import (
    NamedLimit,
    ObservedEvidence,
    ObservedRun,
    check,
    summarize,
)
from tests.platform.observed._statements import Arrival, Statement
from tests.platform.soak._run import (
    CALLERS,
    ENGINES,
    GATEWAYS,
    KEPT_CALLERS,
    PROGRAM,
    SoakRun,
)

START_TIME = 2.5
"""Seconds from the start of the gateways to the first requests."""

FAULT_TIME = (1.5, 4.0)
"""Range of seconds for which faults are injected before a calm period."""

CALM_TIME = (14.0, 18.0)
"""Range of seconds of a calm period; stops that began before take up to 8 s of it."""

REPEAT_PAUSE = (0.2, 1.2)
"""Range of seconds between two repeats of a request that crashes engines."""

CRASHING = ("/book/x?crash=1", "/book/y?crash=1")

LIMITS = (0.7, 1.5, 2.3, 4.0)
"""Limits that an engine names, in requests per second."""

LIMIT_TIME = (8.0, 16.0)
"""Range of seconds for which an engine names a limit."""

LEAVING_TIME = (3.5, 6.0)
"""Range of seconds for which an engine states that it leaves, until it restarts."""

RESTS = {"3": 3.0, "1.5": 1.5, "0.7": 0.7, "abc": 0.0, "-1": 0.0, "1e9": 0.0}
"""What an engine that turns requests away states, with the rest that it asks for."""

SHEDDING_TIME = (1.0, 5.0)
"""Range of seconds for which an engine turns all requests away."""


@define(eq=False)
class ObservedSoak(SoakRun):
    """A run with one seed.

    Attributes:
        cycles: Number of periods with faults, each followed by a calm one.
        cuts_links: Never, since a link accepts connections for an engine that is down.
        limits: The limits that were named.
        statements: What engines stated of leaving and rest.
        evidence: The records, once the run has ended.
    """

    cycles: int = 3
    cuts_links: bool = False
    limits: list[NamedLimit] = field(factory=list)
    statements: list[Statement] = field(factory=list)
    evidence: ObservedEvidence | None = None

    async def run_traffic(self) -> list[str]:
        """Alternate between faults and calm, with callers; check the records."""
        await self.write("op//config", configuration())
        rng = self.rng("cycles")
        async with anyio.create_task_group() as tasks:
            self.start_fleet(tasks, GATEWAYS)
            await anyio.sleep(START_TIME)
            for number in range(CALLERS):
                tasks.start_soon(self.call, number)
            for number in range(CALLERS, CALLERS + KEPT_CALLERS):
                tasks.start_soon(self.call_on_kept_connections, number)
            for target in CRASHING:
                tasks.start_soon(self.repeat_crashing, target)
            tasks.start_soon(self.name_limits)
            tasks.start_soon(self.let_engines_leave)
            tasks.start_soon(self.let_engines_rest)
            tasks.start_soon(self.let_answers_end_by_close)
            for _ in range(self.cycles):
                with anyio.move_on_after(rng.uniform(*FAULT_TIME)):
                    async with anyio.create_task_group() as sources:
                        sources.start_soon(self.inject_faults, 0)
                        sources.start_soon(self.run_planned_work)
                await self.end_faults()
                await anyio.sleep(rng.uniform(*CALM_TIME))
            tasks.cancel_scope.cancel()
        records = await self.engine_records()
        self.evidence = ObservedEvidence(
            self.requests,
            [ObservedRun(run[1], run[7], run[4]) for run in records["runs"]],
            CRASHING,
            self.limits,
            self.processes,
            self.faults,
            self.arrivals(records),
            self.statements,
        )
        violations = check(self.evidence)
        for gateway in self.gateways:
            violations += log_errors(gateway.log)
        return violations

    async def repeat_crashing(self, target: str) -> None:
        """Send a request that crashes engines at random gateways until cancelled."""
        rng = self.rng(target)
        path, _, query = target.partition("?")
        await anyio.sleep(rng.uniform(0.0, 12.0))
        count = 0
        while True:
            count += 1
            gateway = rng.choice(self.gateways)
            await book(gateway, f"{target}-{count}", query, path)
            await anyio.sleep(rng.uniform(*REPEAT_PAUSE))

    async def name_limits(self) -> None:
        """Make an engine name one limit after another until cancelled."""
        rng = self.rng("limits")
        while True:
            await anyio.sleep(rng.uniform(1.0, 4.0))
            engine, limit = rng.choice(["i-0", "i-1"]), rng.choice(LIMITS)
            await self.write(f"test-limits//{engine}", str(limit))
            named_at = time.monotonic()
            try:
                await anyio.sleep(rng.uniform(*LIMIT_TIME))
            finally:
                ended_at = time.monotonic()
                self.limits.append(NamedLimit(engine, limit, named_at, ended_at))
            await self.write(f"test-limits//{engine}", None)

    async def let_engines_leave(self) -> None:
        """Make an engine state that it leaves, and restart it, until cancelled."""
        rng = self.rng("leaving")
        while True:
            await anyio.sleep(rng.uniform(2.0, 6.0))
            await self.state("i-1", "leaving", "1", rng.uniform(*LEAVING_TIME))
            await self.write("test-restart//i-1", rng.random())

    async def let_engines_rest(self) -> None:
        """Make an engine turn all requests away for some time, until cancelled."""
        rng = self.rng("rest")
        while True:
            await anyio.sleep(rng.uniform(1.0, 5.0))
            engine, rest = rng.choice(["i-0", "i-2"]), rng.choice(list(RESTS))
            length = rng.uniform(*SHEDDING_TIME)
            await self.state(engine, "rest", rest, length, RESTS[rest])

    async def let_answers_end_by_close(self) -> None:
        """Make an engine end its answers with their connections, until cancelled."""
        rng = self.rng("framing")
        while True:
            await anyio.sleep(rng.uniform(0.5, 2.0))
            engine = rng.randrange(ENGINES)
            await self.end_answers_by_close(engine, rng.uniform(2.0, 6.0))

    async def state(
        self,
        engine: str,
        table: str,
        value: str,
        seconds: float,
        rest: float | None = None,
    ) -> None:
        """Make an engine state a value for some time, and record that."""
        await self.write(f"test-{table}//{engine}", value)
        stated_at = time.monotonic()
        try:
            await anyio.sleep(seconds)
        finally:
            ended_at = time.monotonic()
            self.statements.append(Statement(engine, stated_at, ended_at, rest))
        await self.write(f"test-{table}//{engine}", None)

    def arrivals(self, records: dict[str, Any]) -> list[Arrival]:
        """Return the callers' requests that arrived at engines, in order."""
        known = {request.request_id: request for request in self.requests}
        found = []
        for run in records["runs"]:
            request = known.get(run[0])
            if request is not None:
                booked = "/book/" in run[1] and request.status == 200
                answered_at = run[5] if run[6] or booked else 0.0
                found.append(Arrival(request.vm, run[7], run[4], answered_at))
        for request_id, engine, at in records["declined"]:
            request = known.get(request_id)
            if request is not None:
                found.append(Arrival(request.vm, engine, at, turned_away=True))
        return sorted(found, key=lambda arrival: arrival.at)


async def run_seed(
    seed: int, folder: Path, cycles: int = 3, program: str = PROGRAM
) -> list[str]:
    """Run one seed; print a summary and the violations, and return the violations."""
    random.seed(seed)
    soak = ObservedSoak(seed, 0.0, folder, program, cycles=cycles)
    violations = await soak.run()
    covered = dict(summarize(soak.evidence)) if soak.evidence else {}
    print(f"seed {seed}: {covered}, {len(violations)} broken", flush=True)
    for line in violations:
        print(f"  {line}", flush=True)
    return violations
