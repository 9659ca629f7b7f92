"""Gateway processes under test, their settings, and proxies to the store."""

from __future__ import annotations

import math
import os
import random
import signal
import socket
import subprocess
import sys
from collections import deque
from contextlib import ExitStack, suppress
from pathlib import Path
from typing import Any

import anyio
from anyio.abc import ByteStream, TaskGroup
from attrs import define, field

HOST = "127.0.0.1"
WORKSPACES = {"acme": 30_000, "blue": 6_000, "vast": 10_000_000}
"""Prepaid tokens by workspace; callers request more than the first two have."""

EVENT_TOKENS = 5
"""Number of tokens in one event."""

GRACE = 8.0
"""Seconds from SIGTERM until the platform kills a process."""

ROOT = Path(__file__).resolve().parents[3]


PORTS = range(20_000, 32_000)
"""Ports for tests, below those that the kernel gives to outgoing connections."""

BLOCK = 20
"""Number of consecutive ports that are reserved together."""

LOCKS = range(PORTS.stop, PORTS.stop + len(PORTS) // BLOCK)
"""The port of each block of PORTS that a process listens on to reserve the block."""

RESERVATIONS = 16
"""Number of latest reservations that a process keeps."""

reservations: deque[list[socket.socket]] = deque()
"""The locks of the latest calls of `free_ports`, the oldest first."""


def free_ports(count: int) -> int:
    """Return the first of consecutive free ports, and reserve them.

    No other call returns them, of this process or of another one, until this process
    ends or has reserved others RESERVATIONS times.
    """
    blocks = math.ceil(count / BLOCK)
    while True:
        block = random.SystemRandom().randrange(len(LOCKS) - blocks + 1)
        first = PORTS[block * BLOCK]
        with ExitStack() as locks, suppress(OSError):
            reserved = [
                locks.enter_context(socket.create_server((HOST, lock)))
                for lock in LOCKS[block : block + blocks]
            ]
            for port in range(first, first + count):
                socket.create_server((HOST, port)).close()
            locks.pop_all()
            reservations.append(reserved)
            break
    while len(reservations) > RESERVATIONS:
        for lock in reservations.popleft():
            lock.close()
    return first


@define(eq=False)
class Proxy:
    """A proxy between a gateway and the store that can inject faults.

    Attributes:
        port: The port that the gateway connects to.
        target: The port of the store.
        mode: ``open``, ``slow`` (delays each piece by 0.15 s), ``silent`` (holds back
            all bytes), ``deaf`` (holds back answers) or ``reset`` (closes connections).
            Held bytes are forwarded as soon as a later mode allows it.
    """

    port: int
    target: int
    mode: str = "open"

    async def run(self) -> None:
        """Accept and forward connections until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host=HOST, local_port=self.port
        )
        await listener.serve(self.forward_connection)

    async def forward_connection(self, stream: ByteStream) -> None:
        """Forward one connection until a side closes it or the mode is ``reset``."""
        if self.mode == "reset":
            return
        try:
            async with (
                await anyio.connect_tcp(HOST, self.target) as store,
                anyio.create_task_group() as tasks,
            ):
                tasks.start_soon(self.forward, stream, store, False, tasks)
                tasks.start_soon(self.forward, store, stream, True, tasks)
        except OSError:
            return

    async def forward(
        self, source: ByteStream, sink: ByteStream, answers: bool, tasks: TaskGroup
    ) -> None:
        """Forward the bytes of one direction as the mode allows."""
        try:
            async for part in source:
                if self.mode == "slow":
                    await anyio.sleep(0.15)
                while self.mode == "silent" or (self.mode == "deaf" and answers):
                    await anyio.sleep(0.05)
                if self.mode == "reset":
                    break
                await sink.send(part)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        tasks.cancel_scope.cancel()


def address_of(number: int, first_port: int) -> str:
    """Return a gateway's loopback address.

    The port of its metrics is fixed, so gateways that run at the same time need
    different addresses.
    """
    return f"127.{1 + first_port % 250}.{1 + first_port // 250}.{number + 2}"


def settings(number: int, address: str, port: int, store: int) -> str:
    """Return the text of a gateway's settings file."""
    return f"""
node-name = "vm-{number}"
ip-address = "{address}"
zone = "a"
internal-ports = [{port + 2},{port + 8}]
[listen-addresses]
frontend = "{address}:{port}"
readiness = "{address}:{port + 1}"
[bounds]
grace-s = {GRACE}
retry-budget-ratio = 0.2
budget-window-s = 10
budget-extra-retries = 50
[platform]
address = "{HOST}:{store}"
"""


def configuration() -> dict[str, Any]:
    """Return the operator's configuration: a streaming and a booking route."""
    stream = {"host": "chat.example", "service": "models", "timeout-ms": 5000}
    book = {"host": "book.example", "service": "models", "timeout-ms": 3000}
    return {
        "version": 1,
        "routes": [
            {
                "name": "chat",
                "prefix": "/chat/",
                "kind": "streaming",
                "max-attempts": 2,
                "resume-streams": True,
                **stream,
            },
            {"name": "book", "prefix": "/book/", "kind": "unsafe", **book},
        ],
        "services": [{"name": "models", "engine": {"stride": EVENT_TOKENS}}],
        "tenants": [
            {"name": name, "api-keys": [f"key-{name}"], "prepaid": prepaid}
            for name, prepaid in WORKSPACES.items()
        ],
    }


@define(eq=False)
class Gateway:
    """One VM: its current process, and the settings to start its next one.

    Attributes:
        number: The VM's number.
        address: Its loopback address.
        port: The port for callers; the next one is for readiness checks.
        folder: Holds the settings file and the log.
        program: The module to run, with its arguments.
        process: The current process; None before the first start.
        exit_codes: Exit codes of the earlier processes, in order.
    """

    number: int
    address: str
    port: int
    folder: Path
    program: str
    process: subprocess.Popen[bytes] | None = None
    exit_codes: list[int] = field(factory=list)

    def record_exit(self) -> None:
        """Record the exit code of the last process, if it has exited."""
        if self.process is not None and self.process.poll() is not None:
            self.exit_codes.append(self.process.returncode)

    @property
    def log(self) -> Path:
        """The log file of all processes of the VM."""
        return self.folder / f"vm-{self.number}.log"

    def log_size(self) -> int:
        """Return the size of the log in bytes."""
        return self.log.stat().st_size if self.log.exists() else 0

    def start(self) -> subprocess.Popen[bytes]:
        """Start the program as the new process, with its output appended to the log."""
        self.record_exit()
        path = self.folder / f"vm-{self.number}.toml"
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                [sys.executable, "-m", *self.program.split()],
                cwd=ROOT,
                env={**os.environ, "EBONYHOLD_NODE_FILE": str(path)},
                stdout=output,
                stderr=output,
            )
        return self.process

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
