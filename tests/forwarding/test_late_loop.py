"""Requests that a router reads late, as its event loop stood still, over sockets."""

from __future__ import annotations

import socket
import time

import anyio
import pytest
from anyio.abc import SocketStream

from tests.forwarding.kit import (
    LOOPBACK,
    Rig,
    Server,
    answer,
    read_all,
    request,
    rig,
)
from tests.forwarding.test_attempts import good, silent

pytestmark = pytest.mark.anyio

PAUSE = 0.8

ALLOWED = 0.5
"""Time after its timeout by which a request must have an answer."""


@pytest.fixture
def anyio_backend() -> str:
    """Use asyncio: sockets have no virtual clock."""
    return "asyncio"


def send_and_stand_still(caller: socket.socket, sent: bytes) -> None:
    """Send a request, and let the event loop run only after a pause."""
    caller.sendall(sent)
    time.sleep(PAUSE)


async def ask_in_a_pause(
    router: Rig, sent: bytes, kept: bool
) -> tuple[bytes, list[float]]:
    """Send a request as the event loop stands still.

    Returns:
        All bytes received, and how long after the request each part of them was.
    """
    with socket.create_connection((LOOPBACK, router.port)) as caller:
        if kept:
            await anyio.sleep(0.1)
        began, got = time.monotonic(), b""
        times: list[float] = []
        send_and_stand_still(caller, sent)
        caller.setblocking(False)
        while True:
            await anyio.wait_readable(caller)
            data = caller.recv(65_536)
            if not data:
                return got, times
            got += data
            times.append(time.monotonic() - began)


LIMIT_MS = "X-Ebonyhold-Deadline-Milliseconds: "

LATE = {
    # path, fields, when the request must have an answer, its status
    "timeout passed": ("short", "", PAUSE, 503),
    "limit passed": ("safe", f"{LIMIT_MS}500\r\n", PAUSE, 503),
    "limit ahead": ("safe", f"{LIMIT_MS}1000\r\n", 1.0, 504),
    "timeout ahead": ("unsafe", "", 2.0, 504),
    "long body": ("unsafe", "", 2.0, 504),
}


@pytest.mark.parametrize("kept", [True, False], ids=["kept", "new"])
@pytest.mark.parametrize("row", LATE)
async def test_request_that_is_read_late_is_not_held_past_its_timeout(
    row: str, kept: bool
) -> None:
    """Guards against counting the time of a request from when it is read."""
    path, fields, due, status = LATE[row]
    server = Server("only", silent)
    body = b"b" * 90_000 if row == "long body" else b""
    async with rig(server) as router:
        sent = request(f"/{path}/x", "POST", body, extra=fields)
        got, times = await ask_in_a_pause(router, sent, kept)
    assert got.startswith(b"HTTP/1.1 %d " % status)
    assert times[0] < due + ALLOWED
    assert bool(server.requests) == (status == 504)


@pytest.mark.parametrize("delay", [0.05, 0.2])
async def test_request_is_given_up_sooner_where_the_event_loop_is_late(
    delay: float,
) -> None:
    """Guards against answers that are due at a deadline and leave the router later."""
    async with rig(Server("only", silent)) as router:
        router.forwarder.loop_delay = lambda: delay
        began = time.monotonic()
        got = await router.ask(request("/unsafe/x", "POST"))
        took = time.monotonic() - began
    assert got.startswith(b"HTTP/1.1 504 ")
    assert 1.4 < took < 2.1 - 4 * min(delay, 0.125)


async def slow(server: Server, stream: SocketStream, head: str) -> None:
    """Answer after longer than a request of the route `short` may take."""
    await anyio.sleep(0.5)
    await stream.send(answer(head))


async def test_request_queued_behind_another_one_has_its_whole_time() -> None:
    """Guards against counting the time for which another one is answered."""
    servers = [Server("slow", slow)]
    first = request("/safe/x", close=False)
    async with (
        rig(*servers) as router,
        await anyio.connect_tcp(LOOPBACK, router.port) as stream,
    ):
        await stream.send(first + request("/short/x"))
        await anyio.sleep(0.2)
        servers[0].script = good
        got = await read_all(stream)
    assert got.count(b"HTTP/1.1 200") == 2
