"""Run a fleet whose engines fall silent, and callers of four kinds of requests."""

from __future__ import annotations

import json
import random
import time
from collections.abc import AsyncIterator, Iterator, Sequence
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import anyio
from attrs import define, field

from tests.platform.fleet import running_gateways, wait_until_ready
from tests.platform.kit import (
    Connection,
    Length,
    Style,
    configuration,
    connect,
    log_errors,
)
from tests.platform.silences._checks import (
    DARK_TIME,
    PATHS,
    PATIENCE,
    ROUTE_TIMEOUT,
    Evidence,
    Silence,
    SilenceRequest,
    check,
    lost,
    met_dark,
    read_silence_runs,
)
from tests.platform.soak._run import SoakRun

GATEWAYS, ENGINES, CALLERS = 5, 10, 50

SECONDS = 15.0
"""Seconds for which a seed changes the configuration and makes engines silent."""

PATIENT_SHARE = 0.3
"""Share of the callers who wait for events until the answer ends, in a seed."""

KINDS = ("resumable",) * 4 + ("safe",) * 2 + ("single", "unsafe")
"""The kinds of requests, each as often as callers choose it."""

STREAM, BODY = Length(20, 0.08), Length(0, 0.05)

CHECK_PAUSE = 0.05
"""Seconds between two looks at what a caller has received."""

TRACED = ("time", "message", "backend", "outcome", "reasons", "why", "events", "code")
"""The fields of a log line that show what became of a request."""

MAX_TRACED = 5
"""Number of requests of a seed whose log lines are printed."""

PAUSE = 1.0
"""Seconds for which a gateway is paused."""


def rules(version: int, rng: random.Random) -> dict[str, Any]:
    """Return a version of the configuration that differs in what does not matter."""
    found = configuration()
    chat, book = found["routes"]
    safe = {**book, "name": "safe", "prefix": "/safe/", "kind": "safe"}
    once = {**chat, "name": "once", "prefix": "/once/", "resume-streams": False}
    other = {**book, "name": f"other-{version}", "prefix": f"/other-{version}/"}
    found["routes"] = [chat, once, {**safe, "max-attempts": 2}, book, other]
    timeout = 1000 * (ROUTE_TIMEOUT + rng.choice([0, 1, 2]))
    for route in found["routes"]:
        route.update({"target-latency-ms": 250, "timeout-ms": timeout})
    limits = {"idle-timeout-ms": rng.choice([2000, 3000, 4000])}
    return {**found, "version": version, "limits": limits}


@define(eq=False)
class SilenceRun:
    """A fleet with callers.

    Attributes:
        soak: The gateways and the stand-in.
        seed: Determines the random choices.
        engines: Number of engines.
        patient_share: Share of the callers who wait until the answer ends.
        requests: The records of all requests.
        silences: The silences so far.
        ends: The engines that were ended, with the times.
        version: The version of the configuration that was written last.
        is_over: Whether callers send no further requests.
        calling: Number of callers whose last answer has not ended.
    """

    soak: SoakRun
    seed: int
    engines: int = ENGINES
    patient_share: float = PATIENT_SHARE
    requests: list[SilenceRequest] = field(factory=list)
    silences: list[Silence] = field(factory=list)
    ends: list[tuple[str, float]] = field(factory=list)
    version: int = 1
    is_over: bool = False
    calling: int = 0

    def rng(self, name: str) -> random.Random:
        """Return a random number generator whose seed contains the name of a task."""
        return random.Random(f"{self.seed} {name}")

    async def configure(self, rng: random.Random) -> None:
        """Write the next version of the configuration."""
        self.version += 1
        await self.soak.write("op//config", rules(self.version, rng))

    async def silence(self, engines: Sequence[int], seconds: float) -> None:
        """Let engines send nothing from now on for some seconds."""
        until = time.monotonic() + seconds
        async with anyio.create_task_group() as tasks:
            for number in engines:
                key = f"test-silent//i-{number}"
                tasks.start_soon(self.soak.write, key, until)
        began_at = time.monotonic()
        self.silences += [Silence(f"i-{n}", began_at, until) for n in engines]

    async def end_engines(self, engines: Sequence[int]) -> None:
        """End engines, which start again soon."""
        for number in engines:
            self.ends.append((f"i-{number}", time.monotonic()))
            await self.soak.write(f"test-restart//i-{number}", time.monotonic())

    async def call(self, number: int, kinds: Sequence[str] = KINDS) -> None:
        """Send requests on one kept connection after another until the run is over."""
        rng = self.rng(f"call {number}")
        patient = rng.random() < self.patient_share
        self.calling += 1
        while not self.is_over:
            gateway = rng.choice(self.soak.gateways)
            request = self.new_request(number, gateway.number, kinds, rng)
            connection = await connect(gateway, request)
            if connection is None:
                await anyio.sleep(rng.uniform(0.02, 0.2))
                continue
            async with connection.stream:
                await self.ask(connection, request, patient)
                while not (connection.closed or request.left or self.is_over):
                    # An idle connection may be closed at any time.
                    if await connection.received_within(rng.uniform(0.02, 0.25)):
                        break
                    request = self.new_request(number, gateway.number, kinds, rng)
                    await self.ask(connection, request, patient)
        self.calling -= 1

    def new_request(
        self, caller: int, vm: int, kinds: Sequence[str], rng: random.Random
    ) -> SilenceRequest:
        """Record and return a new request of a caller."""
        kind = rng.choice(kinds)
        length = STREAM if kind in ("resumable", "single") else BODY
        name = f"{self.seed}-{caller}-{len(self.requests)}"
        prompt = rng.choice([0, 20])
        request = SilenceRequest(name, vm, Style.KEPT, length, "vast", prompt)
        request.kind = kind
        self.requests.append(request)
        return request

    async def ask(
        self, connection: Connection, request: SilenceRequest, patient: bool
    ) -> None:
        """Send a request and read its answer; leave a stream that sends no event."""
        await connection.send_request(request)
        async with anyio.create_task_group() as tasks:
            if not patient and request.length.events:
                tasks.start_soon(leave_when_silent, request, tasks.cancel_scope)
            await connection.read(request)
            tasks.cancel_scope.cancel()
        request.ended_at = time.monotonic()
        request.finished = True

    async def evidence(self) -> Evidence:
        """Let all answers end, and return the records."""
        self.is_over = True
        with anyio.move_on_after(ROUTE_TIMEOUT):
            while self.calling:
                await anyio.sleep(CHECK_PAUSE)
        runs = read_silence_runs(await self.soak.engine_records())
        soak = self.soak
        return Evidence(
            self.requests, runs, self.silences, self.ends, soak.processes, soak.faults
        )

    def log_errors(self) -> list[str]:
        """Return the errors in the logs of the gateways."""
        return [text for one in self.soak.gateways for text in log_errors(one.log)]


async def leave_when_silent(request: SilenceRequest, asking: anyio.CancelScope) -> None:
    """End a request when no event has come for the time that callers wait."""
    seen, at = 0, time.monotonic()
    while time.monotonic() < at + PATIENCE:
        await anyio.sleep(CHECK_PAUSE)
        if len(request.events) > seen:
            seen, at = len(request.events), time.monotonic()
    request.left = True
    asking.cancel()


@asynccontextmanager
async def fleet(
    folder: Path,
    seed: int,
    callers: int = CALLERS,
    size: tuple[int, int] = (GATEWAYS, ENGINES),
    kinds: Sequence[str] = KINDS,
) -> AsyncIterator[SilenceRun]:
    """Run gateways and engines, and callers of requests of some kinds.

    Args:
        folder: Holds the settings files and logs.
        seed: Determines the random choices.
        callers: Number of callers.
        size: Number of gateways and of engines.
        kinds: The kinds of requests.
    """
    count, engines = size
    first = rules(1, random.Random(seed))
    async with running_gateways(folder, count, first, "a" * engines) as soak:
        await wait_until_ready(soak)
        run = SilenceRun(soak, seed, engines)
        async with anyio.create_task_group() as tasks:
            for number in range(callers):
                tasks.start_soon(run.call, number, kinds)
            yield run
            tasks.cancel_scope.cancel()


async def disturb_engines(run: SilenceRun) -> None:
    """Write versions of the configuration, and silence engines after them."""
    rng = run.rng("silences")
    configured = rng.random() < 0.8
    everyone = range(run.engines)
    while True:
        await anyio.sleep(rng.uniform(0.5, 1.5))
        for _ in range(rng.choice([1, 1, 2]) if configured else 0):
            await run.configure(rng)
            await anyio.sleep(rng.uniform(0.0, 0.3))
        await anyio.sleep(0.4)
        kind = rng.choice(["all", "all", "six", "one", "dark"])
        count = {"all": run.engines, "six": 6 * run.engines // 10}.get(kind, 1)
        silent = rng.sample(everyone, count)
        seconds = DARK_TIME + 1.0 if kind == "dark" else rng.uniform(0.9, 2.2)
        await run.silence(silent, seconds)
        if kind != "dark" and rng.random() < 0.25:
            delay = rng.choice([0.0, rng.uniform(0.0, seconds)])
            await anyio.sleep(delay)
            await run.end_engines(rng.sample(everyone, 2))
            seconds -= delay
        await anyio.sleep(seconds)


async def disturb_gateways(run: SilenceRun) -> None:
    """Reload, stop or pause gateways, if the seed has it, until cancelled."""
    rng, soak = run.rng("gateways"), run.soak
    kinds = rng.choice([[], [], ["reload", "rolling"], ["pause"]])
    while kinds:
        await anyio.sleep(rng.uniform(0.5, 3.0))
        kind, gateway = rng.choice(kinds), rng.choice(soak.gateways)
        if kind == "reload":
            soak.reload(gateway)
        elif kind == "pause":
            await soak.pause(gateway, PAUSE)
        else:
            async with anyio.create_task_group() as stops:
                for number in rng.sample(range(len(soak.gateways)), 2):
                    stopped = [soak.gateways[number]]
                    stops.start_soon(soak.restart, stopped, True, 0.5)
                    await anyio.sleep(rng.uniform(0.0, 2.0))


def log_lines(folder: Path, request: SilenceRequest) -> Iterator[str]:
    """Yield what the gateway's log says of a request."""
    log = folder / f"vm-{request.vm}.log"
    for line in log.read_text(errors="replace").splitlines():
        if f'"{request.request_id}"' in line and line.startswith("{"):
            fields = json.loads(line)
            yield str({name: fields[name] for name in TRACED if name in fields})


async def run_seed(seed: int, folder: Path) -> list[str]:
    """Run one seed; print a summary and the violations, and return the violations."""
    async with fleet(folder, seed) as run:
        with anyio.move_on_after(SECONDS):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(disturb_engines, run)
                tasks.start_soon(disturb_gateways, run)
        await run.soak.end_faults()
        evidence = await run.evidence()
    violations = [*check(evidence), *run.log_errors()]
    for kind in PATHS:
        those = [one for one in run.requests if one.kind == kind]
        count = sum(lost(one, evidence) for one in those)
        left = sum(one.left for one in those)
        moved = sum(len(evidence.runs_of(one)) > 1 for one in those)
        print(f"  {kind}: {len(those)}, lost {count}, left {left}, moved {moved}")
    dark = [one for one in run.requests if met_dark(one, evidence)]
    print(f"  at a dark engine: {len(dark)}, left {sum(one.left for one in dark)}")
    print(f"seed {seed}: {len(violations)} broken", flush=True)
    for text in violations:
        print(f"  {text}", flush=True)
    named = [one for one in run.requests if any(one.name in v for v in violations)]
    for request in named[:MAX_TRACED]:
        print(f"  {request.name}, vm-{request.vm}")
        for line in log_lines(folder, request):
            print(f"    {line}", flush=True)
    return violations
