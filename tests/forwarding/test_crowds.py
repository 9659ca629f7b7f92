"""More connections of callers than a router keeps, over real sockets."""

from __future__ import annotations

import math

import anyio
import pytest
from attrs import evolve

from ebonyhold.gateway import GatewaySettings
from ebonyhold.gateway._connection_limits import ConnectionLimits, connection_limits
from tests.forwarding.kit import LOOPBACK, Rig, Server, read_all, request, rig
from tests.forwarding.test_attempts import good, silent
from tests.forwarding.test_flow_control import bounded

pytestmark = pytest.mark.anyio

MAX_CONNECTIONS = 2


@pytest.fixture
def anyio_backend() -> str:
    """Use a real clock, since sockets do not work with a virtual one."""
    return "asyncio"


async def connect(router: Rig, sent: bytes) -> anyio.abc.SocketStream:
    """Connect to a router, send something, and let the router read it."""
    stream = await anyio.connect_tcp(LOOPBACK, router.port)
    await stream.send(sent)
    await anyio.sleep(0.05)
    return stream


UNFINISHED = request("/safe/x", "POST", b"abc")[:-1]

SILENT = {
    # what the first two callers have sent, what the one that makes way gets
    "idle": (request("/safe/x", close=False), b""),
    "within a head": (b"GET ", b"HTTP/1.1 408 "),
    "within a body": (UNFINISHED, b"HTTP/1.1 408 "),
}


@pytest.mark.parametrize("name", SILENT)
async def test_caller_that_is_silent_for_longest_makes_way(name: str) -> None:
    """Guards against a router that silent callers keep from serving others."""
    sent, expected = SILENT[name]
    async with rig(Server("one", good), flow=bounded()) as router:
        router.listener.max_connections = MAX_CONNECTIONS
        first, second = await connect(router, sent), await connect(router, sent)
        async with first, second:
            got = await router.ask(request("/safe/x"))
            ended = (await read_all(first)).rpartition(b"ok")[2]
            with anyio.move_on_after(0.05) as waited:
                await second.receive()
                await second.receive()
    assert got.startswith(b"HTTP/1.1 200 ")
    assert ended.startswith(expected)
    assert bool(ended) == bool(expected)
    assert waited.cancelled_caught


async def test_caller_that_is_being_answered_does_not_make_way() -> None:
    """Guards against ending requests in favour of new connections."""
    async with rig(Server("one", silent), flow=bounded()) as router:
        router.listener.max_connections = MAX_CONNECTIONS
        asked = request("/unsafe/x", "POST")
        first, second = await connect(router, asked), await connect(router, asked)
        async with first, second:
            assert await router.ask(asked) == b""
            assert router.listener.crowd.until > anyio.current_time()
            assert (await read_all(first)).startswith(b"HTTP/1.1 504 ")


SETTINGS = GatewaySettings(
    "vm", "a", (LOOPBACK, 1), (LOOPBACK, 2), LOOPBACK, (LOOPBACK, 3)
)

LIMITS = [
    # bytes of memory, sockets, the limits
    (math.inf, math.inf, ConnectionLimits()),
    (600e6, 500.0, ConnectionLimits(300.0, 100.0, 32)),
    (98_304_000.0, math.inf, ConnectionLimits(250.0, math.inf, 32)),
]


@pytest.mark.parametrize(("memory", "sockets", "limits"), LIMITS)
def test_connections_are_limited_by_memory_and_descriptors(
    memory: float, sockets: float, limits: ConnectionLimits
) -> None:
    """Guards against callers that take the memory or descriptors of all else."""
    settings = evolve(SETTINGS, memory_bytes=memory, sockets=sockets)
    assert connection_limits(settings) == limits
