"""One seed: troubles in series and at once, and callers that ask all the while."""

from __future__ import annotations

import random
import signal
import subprocess
import sys
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

import anyio
import h11
import httpx
from anyio.abc import TaskGroup
from attrs import define, field

from tests.platform.soak._callers import Outcome, ask
from tests.platform.soak._judge import SETTLED, judge, judge_processes
from tests.platform.soak._world import (
    GRACE,
    HOST,
    ROOT,
    WORKSPACES,
    Gateway,
    Proxy,
    address_of,
    configuration,
    free_ports,
    settings,
)

GATEWAYS = 3
CALLERS = 8
PROGRAM = "ebonyhold.gateway"


@define(eq=False)
class Soak:
    """One seed."""

    seed: int
    seconds: float
    folder: Path
    program: str
    base: int = field(factory=lambda: free_ports(40))
    gateways: list[Gateway] = field(factory=list)
    proxies: list[Proxy] = field(factory=list)
    outcomes: list[Outcome] = field(factory=list)

    def chances(self, name: str) -> random.Random:
        """Return the chances of one task."""
        return random.Random(f"{self.seed} {name}")

    async def run(self) -> list[str]:
        """Play the seed, and return what was broken."""
        platform = subprocess.Popen(
            [sys.executable, "-m", "tests.platform.standin", str(self.base)], cwd=ROOT
        )
        try:
            return await self.play()
        finally:
            for gateway in self.gateways:
                gateway.send(signal.SIGCONT)
                gateway.send(signal.SIGKILL)
                if gateway.process is not None:
                    gateway.process.wait()
            platform.kill()
            platform.wait()

    async def play(self) -> list[str]:
        """Start everything, hurt it, heal it, and look at what is left."""
        await self.write("op//config", configuration())
        async with anyio.create_task_group() as tasks:
            for number in range(GATEWAYS):
                self.add_gateway(number, tasks)
            await anyio.sleep(2.5)
            for number in range(CALLERS):
                tasks.start_soon(self.call, number)
            with anyio.move_on_after(self.seconds):
                async with anyio.create_task_group() as troubles:
                    for number in range(2):
                        troubles.start_soon(self.hurt, number)
            healed_at = time.monotonic()
            self.heal()
            await anyio.sleep(SETTLED + 3.0)
            tasks.cancel_scope.cancel()
        for gateway in self.gateways:
            gateway.note_end()
        broken = judge(self.outcomes, await self.runs(), healed_at)
        return broken + judge_processes(self.gateways)

    async def runs(self) -> list[str]:
        """Return the request of each run that an engine began."""
        async with httpx.AsyncClient() as client:
            seen = (await client.get(f"http://{HOST}:{self.base + 1}/")).json()
        return [request for request, *_ in seen["runs"]]

    def add_gateway(self, number: int, tasks: TaskGroup) -> None:
        """Start a VM and its path to the store."""
        proxy = Proxy(self.base + 20 + number, self.base)
        self.proxies.append(proxy)
        tasks.start_soon(proxy.run)
        port = self.base + 30
        address = address_of(number, self.base)
        text = settings(number, address, port, proxy.port)
        (self.folder / f"vm-{number}.toml").write_text(text)
        gateway = Gateway(number, address, port, self.folder, self.program)
        gateway.start()
        self.gateways.append(gateway)

    async def write(self, key: str, value: Any) -> None:
        """Write a row as the operator does, once the store is there."""
        async with httpx.AsyncClient() as client:
            for _ in range(100):
                try:
                    await client.post(
                        f"http://{HOST}:{self.base}/operator",
                        json={"key": key, "value": value},
                    )
                except httpx.TransportError:
                    await anyio.sleep(0.05)
                    continue
                return
        raise RuntimeError("the platform did not start")

    async def hurt(self, number: int) -> None:
        """Hurt gateways and paths, in series; two such tasks overlap."""
        chances = self.chances(f"hurt {number}")
        while True:
            await anyio.sleep(chances.uniform(0.1, 1.5))
            victim = chances.randrange(GATEWAYS)
            kind = chances.choice(
                ["path", "path", "all", "kill", "herd", "stop", "pause"]
            )
            length = chances.uniform(0.3, 4.0)
            mode = chances.choice(["slow", "silent", "deaf", "reset"])
            if kind in ("path", "all"):
                chosen = self.proxies if kind == "all" else [self.proxies[victim]]
                for proxy in chosen:
                    proxy.mode = mode
                await anyio.sleep(length)
                for proxy in chosen:
                    proxy.mode = "open"
            elif kind == "pause":
                self.gateways[victim].send(signal.SIGSTOP)
                await anyio.sleep(length)
                self.gateways[victim].send(signal.SIGCONT)
            else:
                everyone = self.gateways if kind == "herd" else [self.gateways[victim]]
                await self.restart(everyone, kind == "stop", chances.uniform(0.2, 1.5))

    async def restart(self, gateways: list[Gateway], gently: bool, down: float) -> None:
        """End processes and start them again."""
        for gateway in gateways:
            gateway.send(signal.SIGCONT)
            gateway.send(signal.SIGTERM if gently else signal.SIGKILL)
        until = time.monotonic() + GRACE
        while time.monotonic() < until and any(
            g.process and g.process.poll() is None for g in gateways
        ):
            await anyio.sleep(0.05)
        await anyio.sleep(down)
        for gateway in gateways:
            if gateway.process is not None and gateway.process.poll() is None:
                gateway.process.kill()
                gateway.process.wait()
            gateway.start()

    def heal(self) -> None:
        """End all troubles, and start again whoever was about to be started."""
        for proxy in self.proxies:
            proxy.mode = "open"
        for gateway in self.gateways:
            gateway.send(signal.SIGCONT)
            if gateway.process is not None and gateway.process.poll() is not None:
                gateway.start()

    async def call(self, number: int) -> None:
        """Ask one request after the other until the soak is over."""
        chances = self.chances(f"call {number}")
        count = 0
        while True:
            count += 1
            workspace = chances.choice(list(WORKSPACES))
            events = chances.choice([1, 4, 20])
            prompt = chances.choice([20, 100, 400])
            name = f"{self.seed}-{number}-{count}"
            outcome = Outcome(name, workspace, prompt, events)
            self.outcomes.append(outcome)
            gateway = chances.choice(self.gateways)
            with anyio.move_on_after(6.0):
                with suppress(OSError, anyio.BrokenResourceError, h11.ProtocolError):
                    await ask(gateway, outcome, chances.random() < 0.3)
            outcome.ended_at = time.monotonic()
            await anyio.sleep(chances.uniform(0.0, 0.1))


async def play_seed(
    seed: int, seconds: float, folder: Path, program: str = PROGRAM
) -> list[str]:
    """Play one seed, print a line on it, and return what was broken."""
    play = Soak(seed, seconds, folder, program)
    broken = await play.run()
    ends: dict[int, int] = {}
    for outcome in play.outcomes:
        ends[outcome.status] = ends.get(outcome.status, 0) + 1
    print(
        f"seed {seed}: {dict(sorted(ends.items()))}, {len(broken)} broken", flush=True
    )
    for line in broken:
        print(f"  {line}", flush=True)
    return broken
