"""The VMs of a domain: the lives of their processes, and who gets new callers."""

from __future__ import annotations

import signal
from random import Random

import anyio
from anyio.abc import TaskGroup
from attrs import define, field

from tests.platform.kit import GRACE, Gateway, Life, begin

QUESTION_EVERY = 1.0
"""Seconds between the platform's questions whether a VM is ready."""

MISSES = 2
"""Questions in a row without a 200 that take a VM out of rotation."""

LOOK_EVERY = 0.02
START_LIMIT = 20.0


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
        life = begin(self.gateways[vm], self.tasks)
        self.lives.append(life)
        return life

    async def stop(self, vm: int) -> Life:
        """Ask a VM's process to end, kill it after the grace; return once it ended."""
        gateway, life = self.gateways[vm], self.life(vm)
        life.note_asked(gateway)
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
