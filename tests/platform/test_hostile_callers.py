"""Crowds of callers that do not behave, at one gateway of little memory."""

from __future__ import annotations

import errno
import os
import re
import socket
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack, suppress
from functools import partial
from pathlib import Path
from threading import Thread
from typing import Any

import anyio
import pytest
from attrs import define, field

from tests.platform.fleet import running_gateways
from tests.platform.kit import HOST, Gateway, configuration, settings
from tests.platform.soak import _run
from tests.platform.test_late_requests import wait_until_served
from tests.platform.test_resets import METRICS_PORT, PORTS

pytestmark = [pytest.mark.anyio, pytest.mark.alone]

MEMORY_MB = 100
"""Memory of the gateway's VM; an idle process takes half of it."""

DESCRIPTORS = 700
"""File descriptors of the gateway's VM."""

CROWD = 400

SENDING_TIME = 6.0
"""Seconds for which the crowd goes on."""

READY_TIME = 20.0
"""Seconds after the crowd in which an ordinary request must be answered."""

KEEP = "Host: {host}\r\nX-Ebonyhold-Request-Id: c{n}\r\nX-Ebonyhold-Key: key-vast\r\n"
POST = "POST /book/x?sound=1 HTTP/1.1\r\n" + KEEP.format(host="book.example", n="{n}")
READY = b"GET /ebonyhold/readiness HTTP/1.1\r\nHost: a\r\n\r\n"
LARGE = b"%x\r\n%b\r\n" % (50_000, b"b" * 50_000)
TINY = b"1\r\nb\r\n" * 8_000
BODY = b"b" * 900_000


@pytest.fixture
def anyio_backend() -> str:
    """Run on asyncio, as the gateways do."""
    return "asyncio"


def small_settings(*arguments: Any) -> str:
    """Return the settings of a VM with little memory and few descriptors."""
    limits = f"[limits]\nmemory-mb = {MEMORY_MB}\nfile-descriptors = {DESCRIPTORS}\n"
    return settings(*arguments) + limits


@define(eq=False)
class LongAnswers:
    """A server that answers each request with a stream without an end, in threads.

    Attributes:
        listener: Accepts the connections.
    """

    listener: socket.socket = field(
        factory=partial(socket.create_server, (HOST, 0), backlog=1000)
    )

    def run(self) -> None:
        """Accept connections until the listener is closed."""
        with suppress(OSError):
            while True:
                stream = self.listener.accept()[0]
                Thread(target=self.serve, args=(stream,), daemon=True).start()

    def serve(self, stream: socket.socket) -> None:
        """Answer one request until the other side closes."""
        with stream, suppress(OSError):
            head = stream.recv(65_536).decode("latin-1")
            named = re.search(r"(?im)^x-ebonyhold-request-id: *(\S+)", head)
            stream.sendall(
                b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                b"X-Ebonyhold-Response-Stamp: long\r\nTransfer-Encoding: chunked\r\n"
                b"X-Ebonyhold-Request-Id: %b\r\n\r\n"
                % (named[1] if named else "").encode()
            )
            for number in range(1, 100_000):
                event = b"id: %d\ndata: %b\n\n" % (number, b"e" * 4_000)
                stream.sendall(b"%x\r\n%b\r\n" % (len(event), event))

    def entry(self) -> dict[str, Any]:
        """Return its entry in the list of servers."""
        return {
            "service": "long",
            "address": f"{HOST}:{self.listener.getsockname()[1]}",
            "zone": "a",
            "version": "v1",
            "slots": 10 * CROWD,
            "state": "ready",
            "sequence": 1,
        }


def rules() -> dict[str, Any]:
    """Return the usual configuration, with a route to the server of long answers."""
    used = configuration()
    long = {"name": "long", "prefix": "/long/", "kind": "streaming"}
    where = {"host": "long.example", "service": "long", "timeout-ms": 60_000}
    used["routes"].append({**long, **where})
    used["services"].append({"name": "long", "engine": {"stride": 1}})
    return used


def bodies(chunk: bytes) -> Callable[[int], Iterator[bytes]]:
    """Return a caller that sends a body in chunks, all but its end."""

    def send(number: int) -> Iterator[bytes]:
        yield (POST.format(n=number) + "Transfer-Encoding: chunked\r\n\r\n").encode()
        for _ in range(1_000_000 // len(chunk) + 1):
            yield chunk

    return send


def requests(request: str) -> Callable[[int], Iterator[bytes]]:
    """Return a caller that sends requests and reads no answer."""

    def send(number: int) -> Iterator[bytes]:
        for following in range(20_000):
            yield request.format(n=f"{number}-{following}").encode()

    return send


def once(request: str, body: bytes = b"") -> Callable[[int], Iterator[bytes]]:
    """Return a caller that sends one request, and reads no answer."""

    def send(number: int) -> Iterator[bytes]:
        yield request.format(n=number).encode() + body

    return send


LONG = "GET /long/x HTTP/1.1\r\n" + KEEP.format(host="long.example", n="{n}") + "\r\n"
ECHO = POST + f"Content-Length: {len(BODY)}\r\n\r\n"
PORT_NUMBERS = {**PORTS, "metrics": METRICS_PORT}

CROWDS = {
    # the port, what each caller sends
    "ready ahead": ("readiness", requests(READY.decode())),
    "ready ahead, callers' port": ("callers", requests(READY.decode())),
    "ready ahead, metrics": ("metrics", requests(READY.decode())),
    "ready ahead, other gateways": ("other gateways", requests(READY.decode())),
    "large chunks": ("callers", bodies(LARGE)),
    "tiny chunks": ("callers", bodies(TINY)),
    "large chunks, other gateways": ("other gateways", bodies(LARGE)),
    "large chunks, readiness": ("readiness", bodies(LARGE)),
    "long answers": ("callers", once(LONG)),
    "echoed bodies": ("callers", once(ECHO, BODY)),
    "bookings ahead": ("callers", requests(POST + "Content-Length: 0\r\n\r\n")),
    "idle": ("callers", once("P")),
}


def send_what_is_taken(
    caller: socket.socket, parts: Iterator[bytes], rest: bytes
) -> bytes | None:
    """Send without waiting; return what is not sent, or None if the caller is done."""
    try:
        while rest or (rest := next(parts, b"")):
            rest = rest[caller.send(rest) :]
    except BlockingIOError:
        return rest
    except OSError:
        caller.close()
        return None
    return None


def run_crowd(
    address: str, port: int, caller: Callable[[int], Iterator[bytes]], size: int
) -> None:
    """Let callers send as much as is taken; none reads, and all stay connected."""
    with ExitStack() as open_ones:
        waiting: dict[socket.socket, tuple[Iterator[bytes], bytes]] = {}
        for number in range(size):
            stream = open_ones.enter_context(socket.socket())
            stream.settimeout(1.0)
            try:
                stream.connect((address, port))
            except OSError as error:
                assert error.errno != errno.EMFILE, "the test has too few descriptors"
                continue
            stream.setblocking(False)
            waiting[stream] = (caller(number), b"")
        until = time.monotonic() + SENDING_TIME
        while time.monotonic() < until:
            for stream, (parts, rest) in list(waiting.items()):
                left = send_what_is_taken(stream, parts, rest)
                if left is None:
                    del waiting[stream]
                else:
                    waiting[stream] = (parts, left)
            time.sleep(0.02)


def unread_bytes(descriptors: Path) -> int:
    """Return how many bytes wait in the system for a process to read them."""
    inodes = set()
    for descriptor in descriptors.iterdir():
        with suppress(OSError):
            inodes.add(descriptor.readlink().name.removeprefix("socket:["))
    rows = map(str.split, Path("/proc/net/tcp").read_text().splitlines()[1:])
    return sum(
        int(row[4].split(":")[1], 16)
        for row in rows
        if f"{row[9]}]" in inodes and row[3] == "01"
    )


@define(eq=False)
class Usage:
    """The most that a gateway's process has used.

    Attributes:
        gateway: The gateway.
        memory: Bytes of its memory, and of what waits in the system for it.
        descriptors: Open descriptors.
    """

    gateway: Gateway
    memory: int = 0
    descriptors: int = 0

    async def watch(self) -> None:
        """Look at the process until cancelled or until it has ended."""
        assert self.gateway.process is not None
        process = Path(f"/proc/{self.gateway.process.pid}")
        with suppress(OSError):
            while True:
                status = (process / "status").read_text()
                (resident,) = re.findall(r"VmRSS:\s+(\d+) kB", status)
                held = int(resident) * 1024 + unread_bytes(process / "fd")
                self.memory = max(self.memory, held)
                self.descriptors = max(
                    self.descriptors, len(os.listdir(process / "fd"))
                )
                await anyio.sleep(0.05)


@pytest.mark.parametrize("name", CROWDS)
async def test_crowd_of_callers_ends_no_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, name: str
) -> None:
    """Guards against running out of memory for callers that do not read or finish."""
    monkeypatch.setattr(_run, "settings", small_settings)
    port_name, caller = CROWDS[name]
    server = LongAnswers()
    Thread(target=server.run, daemon=True).start()
    async with running_gateways(tmp_path, 1, rules()) as soak:
        gateway = soak.gateways[0]
        assert gateway.process is not None
        await soak.write("servers//i-long", server.entry())
        await wait_until_served(soak)
        number = PORT_NUMBERS[port_name]
        port = number if number == METRICS_PORT else gateway.port + number
        usage = Usage(gateway)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(usage.watch)
            await anyio.to_thread.run_sync(
                run_crowd, gateway.address, port, caller, CROWD
            )
            with anyio.fail_after(READY_TIME):
                await wait_until_served(soak)
            tasks.cancel_scope.cancel()
        assert gateway.process.poll() is None
    server.listener.close()
    assert usage.memory < MEMORY_MB * 1_000_000
    assert usage.descriptors < DESCRIPTORS
