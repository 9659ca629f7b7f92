"""One seed: troubles in series and at once, and callers that ask all the while."""

from __future__ import annotations

import random
import signal
import subprocess
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import anyio
import httpx
from anyio.abc import TaskGroup
from attrs import define, field

from tests.platform.kit import (
    GRACE,
    HOST,
    ROOT,
    WORKSPACES,
    Gateway,
    Length,
    Life,
    Proxy,
    Style,
    Try,
    address_of,
    begin,
    configuration,
    converse,
    free_ports,
    log_faults,
    read_runs,
    settings,
)
from tests.platform.soak._checks import PATIENCE, SETTLED, Evidence, Hurt, judge

GATEWAYS = 3
CALLERS = 8
KEEPERS = 4
"""Callers that keep a connection, and use it until the process is gone."""

GIVE_UP = 6.0
"""Seconds after which a caller leaves."""

SIGNALS_WITHIN = 3.0
"""Seconds after a SIGTERM in which others come."""

PROGRAM = "ebonyhold.gateway"


BOOKING = Length(0, 0.0)
"""A request with one whole answer, without a price."""


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
    tries: list[Try] = field(factory=list)
    lives: list[Life] = field(factory=list)
    hurts: list[Hurt] = field(factory=list)
    counts: dict[int, int] = field(factory=dict)
    tasks: TaskGroup = field(init=False)

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
            self.tasks = tasks
            for number in range(GATEWAYS):
                self.add_gateway(number)
            await anyio.sleep(2.5)
            for number in range(CALLERS):
                tasks.start_soon(self.call, number)
            for number in range(CALLERS, CALLERS + KEEPERS):
                tasks.start_soon(self.keep, number)
            with anyio.move_on_after(self.seconds):
                async with anyio.create_task_group() as troubles:
                    for number in range(2):
                        troubles.start_soon(self.hurt, number)
                    troubles.start_soon(self.plan)
            healed_at = time.monotonic()
            self.heal()
            await anyio.sleep(SETTLED + 3.0)
            tasks.cancel_scope.cancel()
        runs = read_runs(await self.witness())
        broken = judge(Evidence(self.tries, runs, self.lives, self.hurts, healed_at))
        for gateway in self.gateways:
            broken += log_faults(gateway.log)
        return broken

    async def witness(self) -> dict[str, Any]:
        """Return what engines saw."""
        async with httpx.AsyncClient() as client:
            answer = await client.get(f"http://{HOST}:{self.base + 1}/")
        seen: dict[str, Any] = answer.json()
        return seen

    def add_gateway(self, number: int) -> None:
        """Start a VM and its path to the store."""
        proxy = Proxy(self.base + 20 + number, self.base)
        self.proxies.append(proxy)
        self.tasks.start_soon(proxy.run)
        port = self.base + 30
        address = address_of(number, self.base)
        text = settings(number, address, port, proxy.port)
        (self.folder / f"vm-{number}.toml").write_text(text)
        gateway = Gateway(number, address, port, self.folder, self.program)
        self.gateways.append(gateway)
        self.start(gateway)

    def start(self, gateway: Gateway) -> None:
        """Start a VM's process."""
        self.lives.append(begin(gateway, self.tasks))

    def life(self, gateway: Gateway) -> Life:
        """Return a VM's last process."""
        return next(x for x in reversed(self.lives) if x.vm == gateway.number)

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
            chosen = list(range(GATEWAYS)) if kind in ("all", "herd") else [victim]
            if kind in ("path", "all"):
                await self.hurt_paths(chosen, mode, length)
            elif kind == "pause":
                await self.pause(self.gateways[victim], length)
            else:
                everyone = [self.gateways[vm] for vm in chosen]
                await self.restart(everyone, kind == "stop", chances.uniform(0.2, 1.5))

    async def hurt_paths(self, chosen: Sequence[int], mode: str, length: float) -> None:
        """Hurt paths to the store for some time."""
        began_at = time.monotonic()
        for vm in chosen:
            self.proxies[vm].mode = mode
        try:
            await anyio.sleep(length)
        finally:
            for vm in chosen:
                self.proxies[vm].mode = "open"
                self.hurts.append(Hurt(vm, began_at, time.monotonic()))

    async def pause(self, gateway: Gateway, length: float) -> None:
        """Pause a process for some time."""
        began_at = time.monotonic()
        gateway.send(signal.SIGSTOP)
        try:
            await anyio.sleep(length)
        finally:
            gateway.send(signal.SIGCONT)
            now = time.monotonic()
            self.hurts.append(Hurt(gateway.number, began_at, now, paused=True))

    async def plan(self) -> None:
        """Do planned work, for ever: stops that overlap, reloads, repeated signals."""
        chances = self.chances("plan")
        while True:
            await anyio.sleep(chances.uniform(0.1, 1.5))
            kind = chances.choice(["rolling", "rolling", "again", "reload"])
            order = chances.sample(self.gateways, GATEWAYS)
            if kind == "rolling":
                async with anyio.create_task_group() as stops:
                    for gateway in order:
                        down = chances.uniform(0.2, 1.5)
                        stops.start_soon(self.restart, [gateway], True, down)
                        await anyio.sleep(chances.uniform(0.0, 2.0))
            elif kind == "reload":
                for gateway in order[: chances.randint(1, GATEWAYS)]:
                    self.reload(gateway)
            else:
                number = chances.choice([signal.SIGTERM, signal.SIGHUP])
                after = chances.uniform(0.0, SIGNALS_WITHIN)
                life = self.life(order[0])
                self.tasks.start_soon(self.send_after, order[0], life, number, after)
                await self.restart(order[:1], True, chances.uniform(0.2, 1.5))

    def reload(self, gateway: Gateway) -> None:
        """Tell a process that its settings changed, unless it only starts."""
        if self.life(gateway).listening_at:
            gateway.send(signal.SIGHUP)

    async def send_after(
        self, gateway: Gateway, life: Life, number: signal.Signals, after: float
    ) -> None:
        """Send a stopping process another signal after some time."""
        await anyio.sleep(after)
        if life is self.life(gateway) and life.asked_at and life.listening_at:
            gateway.send(number)

    async def restart(
        self, gateways: Sequence[Gateway], gently: bool, down: float
    ) -> None:
        """End processes and start them again."""
        lives = [self.life(gateway) for gateway in gateways]
        for gateway, life in zip(gateways, lives, strict=True):
            gateway.send(signal.SIGCONT)
            if gently:
                life.note_asked(gateway)
                gateway.send(signal.SIGTERM)
            else:
                self.kill(gateway)
        with anyio.move_on_after(GRACE):
            for life in lives:
                await life.ended.wait()
        await anyio.sleep(down)
        for gateway in gateways:
            self.replace(gateway)

    def kill(self, gateway: Gateway) -> None:
        """Kill a process, if it runs."""
        if gateway.process is not None and gateway.process.poll() is None:
            self.life(gateway).killed = True
            gateway.send(signal.SIGKILL)

    def replace(self, gateway: Gateway) -> None:
        """Start a VM's next process; another of our tasks may have started one."""
        self.kill(gateway)
        if gateway.process is not None:
            gateway.process.wait()
        self.start(gateway)

    def heal(self) -> None:
        """End all troubles, and start again whoever was about to be started."""
        for proxy in self.proxies:
            proxy.mode = "open"
        for gateway in self.gateways:
            gateway.send(signal.SIGCONT)
            life = self.life(gateway)
            if gateway.process is not None and gateway.process.poll() is not None:
                self.start(gateway)
            elif life.asked_at:
                self.tasks.start_soon(self.revive, gateway, life)

    async def revive(self, gateway: Gateway, life: Life) -> None:
        """Start a VM again once its process has ended, as it was asked to."""
        with anyio.move_on_after(life.asked_at + GRACE - time.monotonic()):
            await life.ended.wait()
        self.replace(gateway)

    async def call(self, number: int) -> None:
        """Ask one request after the other until the soak is over."""
        chances = self.chances(f"call {number}")
        while True:
            one = self.next_try(number, 0, Style.NEW, chances)
            gateway = chances.choice(self.gateways)
            one.vm = gateway.number
            if chances.random() < 0.3:
                one.prompt, one.length = 0, BOOKING
            with anyio.move_on_after(GIVE_UP):
                await converse(gateway, one, no_more, chances, lambda: True)
            one.ended_at = time.monotonic()
            await anyio.sleep(chances.uniform(0.0, 0.1))

    async def keep(self, number: int) -> None:
        """Ask on kept connections; use each until the process is gone."""
        chances = self.chances(f"keep {number}")
        style = chances.choice([Style.KEPT, Style.PIPELINED, Style.CROSSING])
        while True:
            gateway = chances.choice(self.gateways)

            def more(vm: int = gateway.number) -> Try:
                one = self.next_try(number, vm, style, chances)
                if chances.random() < 0.3:
                    one.prompt, one.length = 0, BOOKING
                return one

            await converse(gateway, more(), more, chances, lambda: False)
            await anyio.sleep(chances.uniform(0.0, 0.1))

    def next_try(
        self, number: int, vm: int, style: Style, chances: random.Random
    ) -> Try:
        """Return a caller's next request."""
        workspace = chances.choice(list(WORKSPACES))
        events = chances.choice([1, 4, 20])
        prompt = chances.choice([20, 100, 400])
        count = self.counts[number] = self.counts.get(number, 0) + 1
        one = Try(
            f"{self.seed}-{number}-{count}",
            vm,
            style,
            Length(events, 0.0),
            workspace,
            prompt,
            sound=False,
            patience=PATIENCE,
        )
        self.tries.append(one)
        return one


def no_more() -> Try:
    """Return no further request: each of these connections carries one."""
    raise AssertionError("a new connection is for one request")


async def play_seed(
    seed: int, seconds: float, folder: Path, program: str = PROGRAM
) -> list[str]:
    """Play one seed, print a line on it, and return what was broken."""
    play = Soak(seed, seconds, folder, program)
    broken = await play.run()
    ends: dict[int, int] = {}
    for one in play.tries:
        ends[one.status] = ends.get(one.status, 0) + 1
    print(
        f"seed {seed}: {dict(sorted(ends.items()))}, {len(broken)} broken", flush=True
    )
    for line in broken:
        print(f"  {line}", flush=True)
    return broken
