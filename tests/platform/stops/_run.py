"""Run a case: start VMs, send requests, stop the VMs and check the records."""

from __future__ import annotations

import signal
import subprocess
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path
from random import Random
from typing import Any

import anyio
import httpx
from anyio.abc import TaskGroup
from attrs import define, field

from tests.platform.kit import (
    HOST,
    ROOT,
    Gateway,
    ProcessRecord,
    Proxy,
    RequestRecord,
    address_of,
    configuration,
    free_ports,
    log_errors,
    settings,
    use_connection,
)
from tests.platform.stops._cases import SLOWER_LENGTHS, Case, Disturbance, Overlap
from tests.platform.stops._checks import check
from tests.platform.stops._domain import Domain
from tests.platform.stops._findings import Evidence, Guarantee, Violation

PROGRAM = "ebonyhold.gateway"
WORKSPACES = {"acme": 40_000_000, "blue": 40_000_000}
"""Prepaid tokens by workspace: more than callers use, so that no request is refused."""

UNLIMITED = "free"
"""The workspace of requests that name no tokens; it has no prepaid limit."""

ROUTE_TIMEOUT_MS = 20_000
CALLER_PAUSE = (0.02, 0.25)
"""Range of seconds from the end of a caller's connection to its next one."""

TRAFFIC_BEFORE = (0.6, 1.6)
"""Range of seconds from the callers' start to the first stop."""

TOGETHER_WITHIN = 0.4
"""Maximum seconds between the stops of `Overlap.TOGETHER`."""

ROLLING_APART = (0.7, 1.5)
"""Range of seconds between one stop and the next of `Overlap.ROLLING`."""

STARTING_WITHIN = 1.8
"""Maximum seconds from the start of a process to a SIGTERM during the start."""

RESTART_AFTER = 0.3
"""Seconds from the exit of a VM's process to the start of its next one."""

SIGNALS = 3
"""Number of further signals to a stopping process."""

SIGNALS_WITHIN = 6.0
"""Maximum seconds from a SIGTERM to a further signal."""

SLOWER_SHARE = 0.25
"""Share of late requests that are slower, if the case has such."""

MAX_WAIT = 1.0
"""Maximum seconds that a refused caller waits, even if Retry-After is longer."""

PARALLEL_CASES = 6
"""Number of cases that run at the same time; each has some three processes."""


@define(eq=False)
class CaseRun:
    """A run of one case with one seed.

    Attributes:
        case: The case.
        seed: Determines the random choices.
        folder: Holds the settings files and logs.
        program: The gateway's module, with its arguments.
        base: The first of the ports that the run uses.
        proxies: The proxies to the store, by VM.
        requests: The records of all requests.
        finished: Whether callers must send no further requests.
        domain: The VMs and their processes.
    """

    case: Case
    seed: int
    folder: Path
    program: str = PROGRAM
    base: int = field(factory=lambda: free_ports(40))
    proxies: list[Proxy] = field(factory=list)
    requests: list[RequestRecord] = field(factory=list)
    finished: bool = False
    domain: Domain = field(init=False)

    def rng(self, name: str) -> Random:
        """Return a random number generator whose seed contains the name of a task."""
        return Random(f"{self.case.name} {self.seed} {name}")

    async def run(self) -> list[Violation]:
        """Run the case with a stand-in of the platform; return the violations."""
        platform = self.start_platform()
        try:
            return await self.run_and_check()
        finally:
            for gateway in self.domain.gateways:
                gateway.send(signal.SIGKILL)
                if gateway.process is not None:
                    gateway.process.wait()
            platform.kill()
            platform.wait()

    def start_platform(self) -> subprocess.Popen[bytes]:
        """Start the stand-in of the platform."""
        return subprocess.Popen(
            [sys.executable, "-m", "tests.platform.standin", str(self.base)], cwd=ROOT
        )

    async def run_and_check(self) -> list[Violation]:
        """Start VMs and callers, stop the VMs and check the records."""
        async with anyio.create_task_group() as tasks:
            self.domain = Domain([], tasks)
            await self.configure()
            for vm in range(self.case.vms):
                self.add_vm(vm, tasks)
            if self.case.disturbance is Disturbance.STARTING:
                await self.stop_starting()
            else:
                await self.stop_under_traffic()
            evidence = await self.evidence()
            tasks.cancel_scope.cancel()
        violations = check(self.case, evidence)
        for gateway in self.domain.gateways:
            violations += [
                Violation(Guarantee.EXIT, fault) for fault in log_errors(gateway.log)
            ]
        return violations

    async def configure(self) -> None:
        """Write the operator's configuration as soon as the store is up.

        Raises:
            RuntimeError: The store did not start within 200 attempts.
        """
        rules = configuration()
        for route in rules["routes"]:
            route["timeout-ms"] = ROUTE_TIMEOUT_MS
        rules["tenants"] = [
            {"name": name, "api-keys": [f"key-{name}"], "prepaid": prepaid}
            for name, prepaid in WORKSPACES.items()
        ]
        rules["tenants"].append({"name": UNLIMITED, "api-keys": [f"key-{UNLIMITED}"]})
        call = f"http://{HOST}:{self.base}/operator"
        async with httpx.AsyncClient(verify=False) as client:
            for _ in range(200):
                try:
                    await client.post(call, json={"key": "op//config", "value": rules})
                    return
                except httpx.TransportError:
                    await anyio.sleep(0.05)
        raise RuntimeError("the platform did not start")

    def add_vm(self, vm: int, tasks: TaskGroup) -> None:
        """Start a VM and its proxy to the store."""
        proxy = Proxy(self.base + 20 + vm, self.base)
        self.proxies.append(proxy)
        tasks.start_soon(proxy.run)
        port, address = self.base + 30, address_of(vm, self.base)
        text = settings(vm, address, port, proxy.port)
        (self.folder / f"vm-{vm}.toml").write_text(text)
        self.domain.gateways.append(
            Gateway(vm, address, port, self.folder, self.program)
        )
        self.domain.start(vm)

    async def stop_starting(self) -> None:
        """Stop each VM at a random time during its start, while callers connect."""
        rng = self.rng("stops")
        async with anyio.create_task_group() as callers:
            for number in range(self.case.callers):
                callers.start_soon(self.call, number)
            async with anyio.create_task_group() as stops:
                for vm in range(self.case.vms):
                    delay = rng.uniform(0.0, STARTING_WITHIN)
                    stops.start_soon(self.stop_after, vm, delay)
            self.finished = True

    async def stop_under_traffic(self) -> None:
        """Stop the VMs while callers send requests; then stop those still running.

        The latter are idle, as the callers have ended by then.
        """
        for vm in range(self.case.vms):
            await self.domain.wait_until_ready(vm)
            self.domain.tasks.start_soon(self.domain.poll_readiness, vm)
        rng = self.rng("stops")
        async with anyio.create_task_group() as callers:
            for number in range(self.case.callers):
                callers.start_soon(self.call, number)
            await anyio.sleep(rng.uniform(*TRAFFIC_BEFORE))
            await self.stop_all(rng)
            self.finished = True
        async with anyio.create_task_group() as stops:
            for vm in range(self.case.vms):
                if not self.domain.current_process(vm).exited_at:
                    stops.start_soon(self.stop_idle, vm)

    async def stop_all(self, rng: Random) -> None:
        """Stop the VMs at the times that the case's overlap sets.

        With `Overlap.ROLLING` and `Overlap.SERIES` they are started again.
        """
        overlap, all_vms = self.case.overlap, range(self.case.vms)
        if overlap is Overlap.ALONE:
            await self.stop_after(0, 0.0)
            return
        if overlap is Overlap.SERIES:
            for vm in all_vms:
                await self.stop_after(vm, 0.0)
                await self.restart(vm)
            return
        async with anyio.create_task_group() as stops:
            delay = 0.0
            for vm in all_vms:
                if overlap is Overlap.TOGETHER:
                    delay = rng.uniform(0.0, TOGETHER_WITHIN)
                    stops.start_soon(self.stop_after, vm, delay)
                else:
                    stops.start_soon(self.stop_and_restart, vm, delay)
                    delay += rng.uniform(*ROLLING_APART)

    async def stop_and_restart(self, vm: int, delay: float) -> None:
        """Stop a VM after some seconds, and start it again after its exit."""
        await self.stop_after(vm, delay)
        await self.restart(vm)

    async def restart(self, vm: int) -> None:
        """Start a VM again and wait until it is ready."""
        await anyio.sleep(RESTART_AFTER)
        self.domain.start(vm)
        await self.domain.wait_until_ready(vm)

    async def stop_after(self, vm: int, delay: float) -> ProcessRecord:
        """Stop a VM after some seconds, and cause the case's disturbance around it."""
        rng = self.rng(f"trouble {vm}")
        disturbance = self.case.disturbance
        async with anyio.create_task_group() as tasks:
            if disturbance is Disturbance.SILENT:
                self.proxies[vm].mode = "silent"
            if disturbance in (Disturbance.AGAIN, Disturbance.RELOAD):
                again = disturbance is Disturbance.AGAIN
                number = signal.SIGTERM if again else signal.SIGHUP
                for _ in range(SIGNALS):
                    after = delay + rng.uniform(0.01, SIGNALS_WITHIN)
                    tasks.start_soon(self.signal_after, vm, after, number)
                if not again:
                    self.domain.gateways[vm].send(number)
            await anyio.sleep(delay)
            process = await self.domain.stop(vm)
            self.proxies[vm].mode = "open"
            tasks.cancel_scope.cancel()
        return process

    async def signal_after(self, vm: int, after: float, number: signal.Signals) -> None:
        """Send a signal to a VM after some seconds."""
        await anyio.sleep(after)
        self.domain.gateways[vm].send(number)

    async def stop_idle(self, vm: int) -> None:
        """Stop a VM without open requests, and record that it was idle."""
        self.domain.current_process(vm).idle = True
        await self.domain.stop(vm)

    async def call(self, number: int) -> None:
        """Send requests to VMs chosen as the platform does, until the case is over."""
        rng = self.rng(f"call {number}")
        while not self.finished:
            vm = self.domain.choose_vm(rng)

            def next_request(vm: int = vm) -> RequestRecord:
                return self.new_request(number, vm, rng)

            first = next_request()
            await use_connection(
                self.domain.gateways[vm],
                first,
                next_request,
                rng,
                lambda: self.finished,
            )
            last = self.requests[-1]
            wait = float(last.retry_after or 0) if last.status != 200 else 0.0
            await anyio.sleep(min(MAX_WAIT, wait) + rng.uniform(*CALLER_PAUSE))

    def new_request(self, number: int, vm: int, rng: Random) -> RequestRecord:
        """Record and return a new request of a caller, of random size and workspace."""
        case = self.case
        style = case.styles[number % len(case.styles)]
        late = case.slower_late and self.domain.is_late(vm)
        slower = late and rng.random() < SLOWER_SHARE
        length = rng.choice(SLOWER_LENGTHS if slower else case.lengths)
        workspace = rng.choice(list(WORKSPACES)) if case.metered else UNLIMITED
        prompt = rng.choice([20, 100, 400]) if case.metered else 0
        name = f"{case.name}-{self.seed}-{len(self.requests)}"
        request = RequestRecord(name, vm, style, length, workspace, prompt)
        self.requests.append(request)
        return request

    async def evidence(self) -> Evidence:
        """Return the records of callers, processes, engines and the store."""
        async with httpx.AsyncClient(verify=False) as client:
            answer = await client.get(f"http://{HOST}:{self.base + 1}/")
        records: dict[str, Any] = answer.json()
        return Evidence.from_records(self.requests, self.domain.processes, records)


async def run_case(
    case: Case, seed: int, folder: Path, program: str = PROGRAM
) -> list[Violation]:
    """Run a case with a seed, print a summary and return the violations."""
    case_run = CaseRun(case, seed, folder, program)
    violations = await case_run.run()
    end_counts: dict[str, int] = {}
    for request in case_run.requests:
        end = request.fault if request.fault else str(request.status)
        end_counts[end] = end_counts.get(end, 0) + 1
    print(
        f"{case.name} {seed}: {dict(sorted(end_counts.items()))}, "
        f"{len(violations)} broken"
    )
    return violations


async def run_cases(
    cases: Sequence[Case], seeds: Sequence[int], program: str = PROGRAM
) -> dict[str, list[Violation]]:
    """Run each case with each seed, at most `PARALLEL_CASES` at the same time.

    Returns:
        The violations by the case's name.
    """
    limiter = anyio.CapacityLimiter(PARALLEL_CASES)
    found: dict[str, list[Violation]] = {case.name: [] for case in cases}

    async def run_limited(case: Case, seed: int) -> None:
        async with limiter:
            with tempfile.TemporaryDirectory() as name:
                violations = await run_case(case, seed, Path(name), program)
        found[case.name] += [
            Violation(item.guarantee, f"seed {seed}: {item.text}")
            for item in violations
        ]

    async with anyio.create_task_group() as tasks:
        for case in cases:
            for seed in seeds:
                tasks.start_soon(run_limited, case, seed)
    return found
