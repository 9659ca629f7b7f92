"""The VMs of a domain: the lives of their processes, and who gets new callers."""

from __future__ import annotations

import signal
import time
from random import Random

import anyio
from anyio.abc import TaskGroup
from attrs import define, field

from tests.platform.soak._world import GRACE, Gateway

QUESTION_EVERY = 1.0
"""Seconds between the platform's questions whether a VM is ready."""

MISSES = 2
"""Questions in a row without a 200 that take a VM out of rotation."""

LOOK_EVERY = 0.02
START_LIMIT = 20.0


@define(eq=False)
class Life:
    """One process of a VM.  Moments are of the monotonic clock.

    Attributes:
        listening_at: When it first took a connection; 0 before.
        asked_at: When it got its first SIGTERM; 0 before.
        exited_at: When it was seen to have ended; 0 before.
        code: How it ended.
        idle: Whether nothing was open when it was asked to stop.
        logged: Whether it wrote anything before it was asked to stop.
    """

    vm: int
    started_at: float = field(factory=time.monotonic)
    listening_at: float = 0.0
    asked_at: float = 0.0
    exited_at: float = 0.0
    code: int | None = None
    idle: bool = False
    logged: bool = True
    ended: anyio.Event = field(factory=anyio.Event)

    def covers(self, moment: float) -> bool:
        """Tell whether the process lived at a moment."""
        return self.started_at <= moment and not 0 < self.exited_at < moment


@define(eq=False)
class Domain:
    """The VMs, their processes so far, and the platform's view of them.

    Attributes:
        lives: All processes there were.
        misses: Questions in a row that each VM did not answer with 200.
        tasks: Runs what watches.
    """

    gateways: list[Gateway]
    tasks: TaskGroup
    lives: list[Life] = field(factory=list)
    misses: dict[int, int] = field(factory=dict)

    def life(self, vm: int) -> Life:
        """Return the last process of a VM."""
        return next(life for life in reversed(self.lives) if life.vm == vm)

    def start(self, vm: int) -> Life:
        """Start a VM's process and watch it."""
        gateway = self.gateways[vm]
        gateway.start()
        life = Life(vm)
        self.lives.append(life)
        self.tasks.start_soon(self.watch_end, gateway, life)
        self.tasks.start_soon(self.watch_start, gateway, life)
        return life

    async def watch_end(self, gateway: Gateway, life: Life) -> None:
        """Note when and how a process ends."""
        process = gateway.process
        assert process is not None
        life.code = await anyio.to_thread.run_sync(process.wait, abandon_on_cancel=True)
        life.exited_at = time.monotonic()
        life.ended.set()

    async def watch_start(self, gateway: Gateway, life: Life) -> None:
        """Note when a process first takes connections."""
        while not life.exited_at:
            try:
                async with await anyio.connect_tcp(gateway.address, gateway.port):
                    life.listening_at = time.monotonic()
                    return
            except OSError:
                await anyio.sleep(LOOK_EVERY)

    async def stop(self, vm: int) -> Life:
        """Ask a VM's process to end, kill it after the grace; return once it ended."""
        gateway, life = self.gateways[vm], self.life(vm)
        log = gateway.folder / f"vm-{vm}.log"
        life.logged = log.exists() and log.stat().st_size > 0
        life.asked_at = time.monotonic()
        gateway.send(signal.SIGTERM)
        with anyio.move_on_after(GRACE):
            await life.ended.wait()
        gateway.send(signal.SIGKILL)
        await life.ended.wait()
        return life

    async def ready(self, vm: int) -> None:
        """Return once a VM says that it is ready."""
        with anyio.fail_after(START_LIMIT):
            while True:
                if await self.says_ready(vm):
                    return
                await anyio.sleep(LOOK_EVERY)

    async def says_ready(self, vm: int) -> bool:
        """Ask a VM whether it is ready."""
        gateway = self.gateways[vm]
        question = b"GET /ebonyhold/readiness HTTP/1.1\r\nhost: a\r\n\r\n"
        with anyio.move_on_after(QUESTION_EVERY):
            try:
                async with await anyio.connect_tcp(
                    gateway.address, gateway.port + 1
                ) as stream:
                    await stream.send(question)
                    return b" 200 " in await stream.receive()
            except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
                return False
        return False

    async def question(self, vm: int) -> None:
        """Ask a VM every second whether it is ready, for ever."""
        while True:
            ready = await self.says_ready(vm)
            self.misses[vm] = 0 if ready else self.misses.get(vm, 0) + 1
            await anyio.sleep(QUESTION_EVERY)

    def choose(self, chances: Random) -> int:
        """Return the VM that a new connection gets, as the platform chooses it.

        If fewer than half of a domain's VMs are in rotation, all of them are used.
        """
        everyone = range(len(self.gateways))
        rotation = [vm for vm in everyone if self.misses.get(vm, 0) < MISSES]
        if 2 * len(rotation) < len(everyone):
            return chances.choice(everyone)
        return chances.choice(rotation)
