"""Records of gateway processes: when each began to listen and how it exited."""

from __future__ import annotations

import subprocess
import time
from collections.abc import Sequence

import anyio
from anyio.abc import TaskGroup
from attrs import define, field

from tests.platform.kit._world import Gateway

POLL_INTERVAL = 0.02
"""Seconds between two attempts to connect to a starting process."""


@define(eq=False)
class ProcessRecord:
    """One process of a VM.

    Times are of the monotonic clock, in seconds.

    Attributes:
        vm: The VM's number.
        started_at: When the process was started.
        listening_at: When it first accepted a connection; 0 before.
        sigterm_at: When it got its first SIGTERM; 0 before.
        exited_at: When its exit was noticed; 0 before.
        code: The exit code, negative for a signal; None before the exit.
        idle: Whether no request or connection was open when it got SIGTERM.
        logged: Whether it had written to its log before SIGTERM.
        killed: Whether the test killed it.
        log_size: Size in bytes of the VM's log when the process was started.
        ended: Set when the process has exited.
    """

    vm: int
    started_at: float = field(factory=time.monotonic)
    listening_at: float = 0.0
    sigterm_at: float = 0.0
    exited_at: float = 0.0
    code: int | None = None
    idle: bool = False
    logged: bool = True
    killed: bool = False
    log_size: int = 0
    ended: anyio.Event = field(factory=anyio.Event)

    def was_running(self, moment: float) -> bool:
        """Return whether the process was running at a time."""
        return self.started_at <= moment and not 0 < self.exited_at < moment

    def record_sigterm(self, gateway: Gateway) -> None:
        """Record the time of the first SIGTERM, just before it is sent."""
        if not self.sigterm_at and not self.exited_at:
            self.logged = gateway.log_size() > self.log_size
            self.sigterm_at = time.monotonic()

    async def watch_exit(self, process: subprocess.Popen[bytes]) -> None:
        """Wait for the process to exit, and record when and how it did."""
        self.code = await anyio.to_thread.run_sync(process.wait, abandon_on_cancel=True)
        self.exited_at = time.monotonic()
        self.ended.set()

    async def watch_start(self, gateway: Gateway) -> None:
        """Record when the process first accepts a connection; return if it exits."""
        while not self.exited_at:
            try:
                async with await anyio.connect_tcp(gateway.address, gateway.port):
                    self.listening_at = time.monotonic()
                    return
            except OSError:
                await anyio.sleep(POLL_INTERVAL)


def start_process(gateway: Gateway, tasks: TaskGroup) -> ProcessRecord:
    """Start a VM's process, and record in the background when it listens and exits."""
    process = ProcessRecord(gateway.number, log_size=gateway.log_size())
    tasks.start_soon(process.watch_exit, gateway.start())
    tasks.start_soon(process.watch_start, gateway)
    return process


def find_process(
    processes: Sequence[ProcessRecord], vm: int, moment: float
) -> ProcessRecord | None:
    """Return the process of a VM that was running at a time, or None."""
    return next(
        (
            process
            for process in processes
            if process.vm == vm and process.was_running(moment)
        ),
        None,
    )
