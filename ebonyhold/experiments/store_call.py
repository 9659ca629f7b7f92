"""Measure the processor time of one call to a store, by two clients.

Run ``python -m ebonyhold.experiments.store_call``.
"""

from __future__ import annotations

import json
import socket
import threading
import time

import anyio
import httpx
from rich.console import Console

from ebonyhold.forwarding import HttpCalls, Outbound
from ebonyhold.types import Seconds

CALLS = 1_000
"""Enough that two runs differ by a few percent only."""

TIMEOUT: Seconds = 0.6
ROW = {"table": "prepaid", "part": "acme", "key": "budget", "value": "e30=" * 30}
BODY = json.dumps({"writes": [ROW]}).encode()
ANSWER = b'{"version-number": 1234, "now-ms": 5678}'
WHOLE = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(ANSWER) + ANSWER


def serve(listener: socket.socket) -> None:
    """Answer every call of two connections, one after the other."""
    for _ in range(2):
        connection = listener.accept()[0]
        while part := connection.recv(65_536):
            # Head and body may come apart.
            if part.endswith(BODY):
                connection.sendall(WHOLE)


async def by_library(port: int) -> Seconds:
    """Return the time of this thread for one call by a general client."""
    async with httpx.AsyncClient(base_url=f"http://127.0.0.1:{port}") as client:
        await client.post("/rows", content=BODY)
        began = time.thread_time()
        for _ in range(CALLS):
            json.loads((await client.post("/rows", content=BODY)).content)
        return (time.thread_time() - began) / CALLS


async def by_kept_connection(port: int) -> Seconds:
    """Return the same for the calls that a gateway makes."""
    calls = HttpCalls(("127.0.0.1", port))
    request = Outbound(b"POST", b"/rows", [], BODY, True)
    async with anyio.create_task_group() as tasks:
        calls.start(tasks)
        began = time.thread_time()
        for _ in range(CALLS):
            json.loads((await calls.call(request, TIMEOUT)).body)
        taken = (time.thread_time() - began) / CALLS
        tasks.cancel_scope.cancel()
    return taken


def main() -> None:
    """Measure both and print the figures."""
    listener = socket.create_server(("127.0.0.1", 0))
    port = listener.getsockname()[1]
    threading.Thread(target=serve, args=(listener,), daemon=True).start()
    console = Console()
    for name, measure in (
        ("httpx", by_library),
        ("kept connection", by_kept_connection),
    ):
        console.print(f"{name}: {anyio.run(measure, port) * 1000:.2f} ms a call")


if __name__ == "__main__":
    main()
