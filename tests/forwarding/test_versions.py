"""Streams of servers with several software versions, over real sockets."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import pytest
from anyio.abc import SocketStream
from attrs import evolve

from tests.forwarding.kit import (
    Rig,
    Script,
    Server,
    event,
    request,
    rig,
    stream_head,
    value,
)
from tests.forwarding.test_attempts import (
    broken_stream,
    declines,
    numbers,
    resets,
    whole_stream,
)
from tests.forwarding.test_relaying import partitioned

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """Use a real clock, since sockets do not work with a virtual one."""
    return "asyncio"


async def ask(
    context: Callable[..., object], servers: list[Server], asked: bytes
) -> bytes:
    """Send a request that tries the servers in this order; return the answer."""
    async with context(*servers) as running:  # type: ignore[attr-defined]
        router: Rig = getattr(running, "router", running)
        prefer(router, servers)
        return await router.ask(asked)


def prefer(router: Rig, servers: list[Server]) -> None:
    """Let a router choose servers in this order."""
    for place, server in enumerate(servers):
        router.forwarder.backends.entries[server.name].in_flight = 10 * place


@pytest.mark.parametrize("context", [rig, partitioned], ids=["direct", "relayed"])
async def test_broken_stream_goes_on_at_its_version(
    context: Callable[..., object],
) -> None:
    """A retry within one answer must not bring events of another version."""
    bad = Server("bad", broken_stream, version="v1")
    other = Server("other", whole_stream, version="v2")
    same = Server("same", whole_stream, version="v1")
    got = await ask(context, [bad, other, same], request("/stream/x"))
    assert numbers(got) == [1, 2, 3, 4]
    assert not other.requests
    assert value(same.requests[0], "last-event-id") == "2"


@pytest.mark.parametrize("version", ["v2", ""])
@pytest.mark.parametrize("context", [rig, partitioned], ids=["direct", "relayed"])
async def test_broken_stream_is_cut_if_its_version_is_gone(
    version: str, context: Callable[..., object]
) -> None:
    """A stream must end as broken, at once, rather than go on at another version."""
    bad = Server("bad", broken_stream, version="v1")
    other = Server("other", whole_stream, version=version)
    with anyio.fail_after(0.5):
        got = await ask(context, [bad, other], request("/stream/x"))
    assert numbers(got)[:2] == [1, 2]
    assert not got.endswith(b"0\r\n\r\n")
    assert not other.requests


async def only_head(server: Server, stream: SocketStream, head: str) -> None:
    """Close the connection after the head of a stream."""
    await stream.send(stream_head(head))
    await stream.aclose()


@pytest.mark.parametrize("script", [resets, declines, only_head])
async def test_run_without_an_event_binds_to_no_version(script: Script) -> None:
    """A stream of which the caller has nothing may begin at any version."""
    bad = Server("bad", script, version="v1")
    other = Server("other", whole_stream, version="v2")
    got = await ask(rig, [bad, other], request("/stream/x"))
    assert numbers(got) == [1, 2, 3, 4]


async def test_servers_without_a_version_have_the_same() -> None:
    """Streams must go on in a fleet whose servers state no version."""
    bad, other = Server("bad", broken_stream), Server("other", whole_stream)
    got = await ask(rig, [bad, other], request("/stream/x"))
    assert numbers(got) == [1, 2, 3, 4]


async def test_restart_with_another_version_is_another_run() -> None:
    """A server that is back under its name must not go on with an earlier stream."""

    async def restarts(server: Server, stream: SocketStream, head: str) -> None:
        await stream.send(stream_head(head) + b"%x\r\n" % len(event(1)) + event(1))
        await anyio.sleep(0.05)
        for entry in list(router.forwarder.backends.entries.values()):
            if entry.backend.name == "bad":
                again = evolve(entry.backend, version="v2", started_at=2)
                router.forwarder.backends.update(again)
        await stream.aclose()

    bad = Server("bad", restarts, version="v1")
    other = Server("other", whole_stream, version="v2")
    async with rig(bad, other) as router:
        prefer(router, [bad, other])
        got = await router.ask(request("/stream/x"))
    assert numbers(got) == [1]
    assert (len(bad.requests), len(other.requests)) == (1, 0)
