"""One case: start a domain, send callers, stop its VMs, look at what is left."""

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
    Life,
    Proxy,
    Try,
    address_of,
    configuration,
    converse,
    free_ports,
    log_faults,
    settings,
)
from tests.platform.stops._cases import Case, Overlap, Trouble
from tests.platform.stops._checks import judge
from tests.platform.stops._domain import Domain
from tests.platform.stops._findings import Broken, Evidence, Promise

PROGRAM = "ebonyhold.gateway"
WORKSPACES = {"acme": 40_000_000, "blue": 40_000_000}
"""Prepaid tokens: more than callers ask for, so that none is refused for its price."""

FREE = "free"
"""The workspace of requests without a price; nothing is prepaid there."""

ROUTE_TIME_MS = 20_000
CALLER_PAUSE = (0.02, 0.25)
TRAFFIC_BEFORE = (0.6, 1.6)
"""Seconds of traffic before the first stop."""

TOGETHER_WITHIN = 0.4
ROLLING_APART = (0.7, 1.5)
STARTING_WITHIN = 1.8
RESTART_AFTER = 0.3
SIGNALS = 3
SIGNALS_WITHIN = 6.0
MOST_WAIT = 1.0
"""The longest time that a refused caller waits, whatever Retry-After says."""

AT_ONCE = 6
"""Cases played beside each other; each has some three processes."""


@define(eq=False)
class Play:
    """One case with one seed."""

    case: Case
    seed: int
    folder: Path
    program: str = PROGRAM
    base: int = field(factory=lambda: free_ports(40))
    proxies: list[Proxy] = field(factory=list)
    tries: list[Try] = field(factory=list)
    over: bool = False
    domain: Domain = field(init=False)

    def chances(self, name: str) -> Random:
        """Return the chances of one task."""
        return Random(f"{self.case.name} {self.seed} {name}")

    async def run(self) -> list[Broken]:
        """Play the case, and return what was broken."""
        platform = self.start_platform()
        try:
            return await self.play()
        finally:
            for gateway in self.domain.gateways:
                gateway.send(signal.SIGKILL)
                if gateway.process is not None:
                    gateway.process.wait()
            platform.kill()
            platform.wait()

    def start_platform(self) -> subprocess.Popen[bytes]:
        """Start the store and the engines."""
        return subprocess.Popen(
            [sys.executable, "-m", "tests.platform.standin", str(self.base)], cwd=ROOT
        )

    async def play(self) -> list[Broken]:
        """Start everything, stop it under its callers, and look at what is left."""
        async with anyio.create_task_group() as tasks:
            self.domain = Domain([], tasks)
            await self.configure()
            for vm in range(self.case.vms):
                self.add_vm(vm, tasks)
            if self.case.trouble is Trouble.STARTING:
                await self.stop_starting()
            else:
                await self.stop_under_traffic()
            evidence = await self.evidence()
            tasks.cancel_scope.cancel()
        broken = judge(self.case, evidence)
        for gateway in self.domain.gateways:
            broken += [Broken(Promise.END, fault) for fault in log_faults(gateway.log)]
        return broken

    async def configure(self) -> None:
        """Write the operator's row, once the store is there."""
        rules = configuration()
        for route in rules["routes"]:
            route["timeout-ms"] = ROUTE_TIME_MS
        rules["tenants"] = [
            {"name": name, "api-keys": [f"key-{name}"], "prepaid": prepaid}
            for name, prepaid in WORKSPACES.items()
        ]
        rules["tenants"].append({"name": FREE, "api-keys": [f"key-{FREE}"]})
        call = f"http://{HOST}:{self.base}/operator"
        async with httpx.AsyncClient() as client:
            for _ in range(200):
                try:
                    await client.post(call, json={"key": "op//config", "value": rules})
                    return
                except httpx.TransportError:
                    await anyio.sleep(0.05)
        raise RuntimeError("the platform did not start")

    def add_vm(self, vm: int, tasks: TaskGroup) -> None:
        """Start a VM, and its path to the store."""
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
        """Stop each VM at some moment of its start, with callers at the door."""
        chances = self.chances("stops")
        async with anyio.create_task_group() as callers:
            for number in range(self.case.callers):
                callers.start_soon(self.call, number)
            async with anyio.create_task_group() as stops:
                for vm in range(self.case.vms):
                    moment = chances.uniform(0.0, STARTING_WITHIN)
                    stops.start_soon(self.stop_after, vm, moment)
            self.over = True

    async def stop_under_traffic(self) -> None:
        """Stop the VMs under their callers, and then what is still there, idle."""
        for vm in range(self.case.vms):
            await self.domain.ready(vm)
            self.domain.tasks.start_soon(self.domain.question, vm)
        chances = self.chances("stops")
        async with anyio.create_task_group() as callers:
            for number in range(self.case.callers):
                callers.start_soon(self.call, number)
            await anyio.sleep(chances.uniform(*TRAFFIC_BEFORE))
            await self.stop_all(chances)
            self.over = True
        async with anyio.create_task_group() as stops:
            for vm in range(self.case.vms):
                if not self.domain.life(vm).exited_at:
                    stops.start_soon(self.stop_idle, vm)

    async def stop_all(self, chances: Random) -> None:
        """Stop the VMs as the case says."""
        overlap, everyone = self.case.overlap, range(self.case.vms)
        if overlap is Overlap.ALONE:
            await self.stop_after(0, 0.0)
            return
        if overlap is Overlap.SERIES:
            for vm in everyone:
                await self.stop_after(vm, 0.0)
                await self.restart(vm)
            return
        async with anyio.create_task_group() as stops:
            moment = 0.0
            for vm in everyone:
                if overlap is Overlap.TOGETHER:
                    moment = chances.uniform(0.0, TOGETHER_WITHIN)
                    stops.start_soon(self.stop_after, vm, moment)
                else:
                    stops.start_soon(self.replace, vm, moment)
                    moment += chances.uniform(*ROLLING_APART)

    async def replace(self, vm: int, moment: float) -> None:
        """Stop a VM after some time, and start it again."""
        await self.stop_after(vm, moment)
        await self.restart(vm)

    async def restart(self, vm: int) -> None:
        """Start a VM again, and wait until it is ready."""
        await anyio.sleep(RESTART_AFTER)
        self.domain.start(vm)
        await self.domain.ready(vm)

    async def stop_after(self, vm: int, moment: float) -> Life:
        """Stop a VM after some time, with the case's trouble around it."""
        chances = self.chances(f"trouble {vm}")
        trouble = self.case.trouble
        async with anyio.create_task_group() as tasks:
            if trouble is Trouble.SILENT:
                self.proxies[vm].mode = "silent"
            if trouble in (Trouble.AGAIN, Trouble.RELOAD):
                again = trouble is Trouble.AGAIN
                number = signal.SIGTERM if again else signal.SIGHUP
                for _ in range(SIGNALS):
                    after = moment + chances.uniform(0.01, SIGNALS_WITHIN)
                    tasks.start_soon(self.signal_after, vm, after, number)
                if not again:
                    self.domain.gateways[vm].send(number)
            await anyio.sleep(moment)
            life = await self.domain.stop(vm)
            self.proxies[vm].mode = "open"
            tasks.cancel_scope.cancel()
        return life

    async def signal_after(self, vm: int, after: float, number: signal.Signals) -> None:
        """Send a VM a signal after some time."""
        await anyio.sleep(after)
        self.domain.gateways[vm].send(number)

    async def stop_idle(self, vm: int) -> None:
        """Stop a VM that no caller uses."""
        self.domain.life(vm).idle = True
        await self.domain.stop(vm)

    async def call(self, number: int) -> None:
        """Ask, as the platform distributes callers, until the case is over."""
        chances = self.chances(f"call {number}")
        while not self.over:
            vm = self.domain.choose(chances)

            def more(vm: int = vm) -> Try:
                return self.next_try(number, vm, chances)

            first = more()
            await converse(
                self.domain.gateways[vm], first, more, chances, lambda: self.over
            )
            last = self.tries[-1]
            wait = float(last.retry_after or 0) if last.status != 200 else 0.0
            await anyio.sleep(min(MOST_WAIT, wait) + chances.uniform(*CALLER_PAUSE))

    def next_try(self, number: int, vm: int, chances: Random) -> Try:
        """Return a caller's next request."""
        case = self.case
        style = case.styles[number % len(case.styles)]
        length = chances.choice(case.lengths)
        workspace = chances.choice(list(WORKSPACES)) if case.priced else FREE
        prompt = chances.choice([20, 100, 400]) if case.priced else 0
        name = f"{case.name}-{self.seed}-{len(self.tries)}"
        one = Try(name, vm, style, length, workspace, prompt)
        self.tries.append(one)
        return one

    async def evidence(self) -> Evidence:
        """Return what callers, engines and the store have to say."""
        async with httpx.AsyncClient() as client:
            answer = await client.get(f"http://{HOST}:{self.base + 1}/")
        seen: dict[str, Any] = answer.json()
        return Evidence.of(self.tries, self.domain.lives, seen)


async def play_case(
    case: Case, seed: int, folder: Path, program: str = PROGRAM
) -> list[Broken]:
    """Play a case with a seed, print a line on it, and return what was broken."""
    play = Play(case, seed, folder, program)
    broken = await play.run()
    ends: dict[str, int] = {}
    for one in play.tries:
        end = one.fault if one.fault else str(one.status)
        ends[end] = ends.get(end, 0) + 1
    print(f"{case.name} {seed}: {dict(sorted(ends.items()))}, {len(broken)} broken")
    return broken


async def play_cases(
    cases: Sequence[Case], seeds: Sequence[int], program: str = PROGRAM
) -> dict[str, list[Broken]]:
    """Play cases beside each other; return what was broken in each."""
    limiter = anyio.CapacityLimiter(AT_ONCE)
    found: dict[str, list[Broken]] = {case.name: [] for case in cases}

    async def play(case: Case, seed: int) -> None:
        async with limiter:
            with tempfile.TemporaryDirectory() as name:
                broken = await play_case(case, seed, Path(name), program)
        found[case.name] += [
            Broken(item.promise, f"seed {seed}: {item.text}") for item in broken
        ]

    async with anyio.create_task_group() as tasks:
        for case in cases:
            for seed in seeds:
                tasks.start_soon(play, case, seed)
    return found
