"""The VMs of a domain, their processes, and which of them get new connections."""

from __future__ import annotations

import signal
from random import Random

import anyio
from anyio.abc import TaskGroup
from attrs import define, field

from tests.platform.kit import GRACE, Gateway, ProcessRecord, start_process

READINESS_INTERVAL = 1.0
"""Seconds between the platform's readiness checks of a VM, and the timeout of one."""

FAILURE_THRESHOLD = 2
"""Readiness checks in a row without status 200 that take a VM out of rotation."""

POLL_INTERVAL = 0.02
"""Seconds between two checks while a VM starts."""

START_TIMEOUT = 20.0
"""Seconds within which a VM must become ready."""


@define(eq=False)
class Domain:
    """The VMs of a domain and the platform's view of them.

    Attributes:
        gateways: The VMs.
        tasks: Runs the background tasks.
        processes: All processes so far.
        failed_checks: Readiness checks in a row without status 200, by VM.
    """

    gateways: list[Gateway]
    tasks: TaskGroup
    processes: list[ProcessRecord] = field(factory=list)
    failed_checks: dict[int, int] = field(factory=dict)

    def current_process(self, vm: int) -> ProcessRecord:
        """Return the record of a VM's last process."""
        return next(process for process in reversed(self.processes) if process.vm == vm)

    def start(self, vm: int) -> ProcessRecord:
        """Start a VM's process and watch it."""
        process = start_process(self.gateways[vm], self.tasks)
        self.processes.append(process)
        return process

    async def stop(self, vm: int) -> ProcessRecord:
        """Stop a VM's process with SIGTERM, or with SIGKILL after the grace."""
        gateway, process = self.gateways[vm], self.current_process(vm)
        process.record_sigterm(gateway)
        gateway.send(signal.SIGTERM)
        with anyio.move_on_after(GRACE):
            await process.ended.wait()
        gateway.send(signal.SIGKILL)
        await process.ended.wait()
        return process

    async def wait_until_ready(self, vm: int) -> None:
        """Wait until a VM's readiness check succeeds."""
        with anyio.fail_after(START_TIMEOUT):
            while True:
                if await self.is_ready(vm):
                    return
                await anyio.sleep(POLL_INTERVAL)

    async def is_ready(self, vm: int) -> bool:
        """Return whether a VM's readiness check succeeds."""
        gateway = self.gateways[vm]
        probe = b"GET /ebonyhold/readiness HTTP/1.1\r\nhost: a\r\n\r\n"
        with anyio.move_on_after(READINESS_INTERVAL):
            try:
                async with await anyio.connect_tcp(
                    gateway.address, gateway.port + 1
                ) as stream:
                    await stream.send(probe)
                    return b" 200 " in await stream.receive()
            except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
                return False
        return False

    async def poll_readiness(self, vm: int) -> None:
        """Check a VM's readiness at each interval until cancelled."""
        while True:
            ready = await self.is_ready(vm)
            self.failed_checks[vm] = 0 if ready else self.failed_checks.get(vm, 0) + 1
            await anyio.sleep(READINESS_INTERVAL)

    def choose_vm(self, rng: Random) -> int:
        """Return the VM that gets a new connection, chosen as the platform does.

        If fewer than half of a domain's VMs are in rotation, all of them are used.
        """
        all_vms = range(len(self.gateways))
        rotation = [
            vm for vm in all_vms if self.failed_checks.get(vm, 0) < FAILURE_THRESHOLD
        ]
        if 2 * len(rotation) < len(all_vms):
            return rng.choice(all_vms)
        return rng.choice(rotation)
