"""Run one seed: faults and calm periods, while requests crash engines."""

from __future__ import annotations

import random
import time
from pathlib import Path

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
from tests.platform.soak._run import (
    CALLERS,
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


@define(eq=False)
class ObservedSoak(SoakRun):
    """A run with one seed.

    Attributes:
        cycles: Number of periods with faults, each followed by a calm one.
        limits: The limits that were named.
        evidence: The records, once the run has ended.
    """

    cycles: int = 3
    limits: list[NamedLimit] = field(factory=list)
    evidence: ObservedEvidence | None = None

    async def run_traffic(self) -> list[str]:
        """Alternate between faults and calm, with callers; check the records."""
        await self.write("op//config", configuration())
        rng = self.rng("cycles")
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            for number in range(GATEWAYS):
                self.add_gateway(number)
            await anyio.sleep(START_TIME)
            for number in range(CALLERS):
                tasks.start_soon(self.call, number)
            for number in range(CALLERS, CALLERS + KEPT_CALLERS):
                tasks.start_soon(self.call_on_kept_connections, number)
            for target in CRASHING:
                tasks.start_soon(self.repeat_crashing, target)
            tasks.start_soon(self.name_limits)
            for _ in range(self.cycles):
                with anyio.move_on_after(rng.uniform(*FAULT_TIME)):
                    async with anyio.create_task_group() as sources:
                        sources.start_soon(self.inject_faults, 0)
                        sources.start_soon(self.run_planned_work)
                self.end_faults()
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
