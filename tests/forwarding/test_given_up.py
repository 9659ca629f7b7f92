"""What callers get whose requests are given up as the router stops."""

from __future__ import annotations

import anyio
import pytest
from anyio.abc import SocketStream

from ebonyhold.forwarding import Stage
from ebonyhold.gateway._stop import LAST_ANSWERS_TIMEOUT
from ebonyhold.tasks import Run
from tests.forwarding.kit import (
    LOOPBACK,
    Server,
    UnlimitedHold,
    answer,
    read_all,
    request,
    rig,
)
from tests.gateway.test_holds import wait_until

pytestmark = pytest.mark.anyio

SECONDS_LEFT = 0.6


@pytest.fixture
def anyio_backend() -> str:
    """Use asyncio: sockets have no virtual clock."""
    return "asyncio"


async def slow(server: Server, stream: SocketStream, head: str) -> None:
    """Answer after the stop."""
    await anyio.sleep(3 * SECONDS_LEFT)
    await stream.send(answer(head))


async def guard(run: Run) -> bool:
    """Run a function, and keep its errors from other tasks, as a gateway does."""
    try:
        await run()
    except Exception:
        return False
    return True


@pytest.mark.parametrize("method", ["GET", "HEAD"])
@pytest.mark.parametrize(
    ("stage", "status"),
    [(Stage.OVER, b"503"), (Stage.STOPPING, b"504")],
    ids=["refused", "given up"],
)
async def test_request_of_a_stopping_router_is_answered(
    method: str, stage: Stage, status: bytes
) -> None:
    """Guards against closing the connection of a HEAD request without an answer."""
    async with rig(Server("only", slow)) as router:
        router.listener.guard = guard
        shutdown = router.forwarder.shutdown
        shutdown.begin(anyio.current_time() + SECONDS_LEFT)
        shutdown.stage = stage
        got = await router.ask(request("/safe/x", method))
    assert got.startswith(b"HTTP/1.1 " + status)


class SlowHold(UnlimitedHold):
    """A hold whose tokens come from another router, late."""

    async def hold(self, amount: int, request: str) -> None:
        """Accept any amount after a while."""
        await anyio.sleep(3 * SECONDS_LEFT)


@pytest.mark.parametrize("limit", [0.3, 2.0], ids=["own time", "stop"])
async def test_request_that_waits_for_tokens_is_answered_in_time(limit: float) -> None:
    """Guards against a request that waits for tokens until its connection closes."""
    server = Server("only", slow)
    prices = "X-Ebonyhold-Token-Counts: 10,20\r\n"
    deadline = f"X-Ebonyhold-Deadline-Milliseconds: {round(limit * 1000)}\r\n"
    async with rig(server, hold=SlowHold()) as router:
        began = anyio.current_time()
        router.forwarder.shutdown.begin(began + SECONDS_LEFT)
        got = await router.ask(request("/safe/x", extra=prices + deadline))
        took = anyio.current_time() - began
    assert got.startswith(b"HTTP/1.1 503")
    assert took < min(limit, SECONDS_LEFT) + LAST_ANSWERS_TIMEOUT
    assert not server.requests


async def test_tokens_that_come_after_a_refusal_are_returned() -> None:
    """Guards against losing tokens on their way to a request that was refused."""
    hold = SlowHold()
    fields = "X-Ebonyhold-Token-Counts: 10,20\r\n"
    fields += "X-Ebonyhold-Deadline-Milliseconds: 300\r\n"
    async with rig(Server("only", slow), hold=hold) as router:
        got = await router.ask(request("/safe/x", extra=fields))
        await wait_until(lambda: bool(router.ended))
    assert got.startswith(b"HTTP/1.1 503")
    assert hold.charges == [(30, 0)]
    assert router.ended == [("safe", "not_started_in_time")]


async def prompt(server: Server, stream: SocketStream, head: str) -> None:
    """Answer at once."""
    await stream.send(answer(head))


@pytest.mark.parametrize("path", ["safe", "unsafe", "stream"])
@pytest.mark.parametrize("after", [0.1, 0.5], ids=["in time", "late"])
async def test_request_whose_body_arrives_after_its_deadline_is_answered(
    path: str, after: float
) -> None:
    """Guards against closing a connection without an answer once a deadline passed."""
    server = Server("only", prompt)
    deadline = "X-Ebonyhold-Deadline-Milliseconds: 300\r\n"
    whole = request(f"/{path}/x", "POST", b"abc", extra=deadline)
    async with rig(server) as router:
        stream = await anyio.connect_tcp(LOOPBACK, router.port)
        async with stream:
            await stream.send(whole[:-2])
            await anyio.sleep(after)
            await stream.send(whole[-2:])
            got = await read_all(stream)
    expected = b"503" if after > 0.3 else b"200"
    assert got.startswith(b"HTTP/1.1 " + expected)
    assert len(server.requests) == (expected == b"200")
