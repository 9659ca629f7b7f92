"""Whether a server that ended or refused a connection counts as ended."""

from __future__ import annotations

import anyio
import pytest
from anyio.abc import SocketStream
from attrs import define

from ebonyhold.forwarding import ChannelPool, Paths, Reach, _pool
from ebonyhold.forwarding._channel import Channel, ConnectTimeoutError, open_channel
from ebonyhold.misc import free_port
from tests.forwarding.kit import LOOPBACK, Server, request, rig
from tests.forwarding.test_attempts import good, numbers
from tests.forwarding.test_endings import ALL, unframed_head

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """Use a real clock, since sockets do not work with a virtual one."""
    return "asyncio"


@define
class Asked:
    """Relays that know whether a server has ended."""

    ended: bool

    async def has_ended(self, server: str) -> bool:
        """Return it."""
        return self.ended


ENDED = [
    # verdict on this router's links, whether it has ended for relays, whether it counts
    (Reach.CONNECTED, False, True),
    (Reach.PARTITIONED, False, False),
    (Reach.PARTITIONED, True, True),
    (Reach.UNREACHABLE, False, True),
    (Reach.ISOLATED, False, False),
]


@pytest.mark.parametrize(("state", "for_relays", "counts"), ENDED)
async def test_refusal_counts_as_an_end_unless_the_router_is_cut_off(
    state: Reach, for_relays: bool, counts: bool
) -> None:
    """A cut must not count as crashes, and the crash of all servers must."""
    backend = Server("i-1", good, port=free_port()).backend()
    assert backend.address[0] == LOOPBACK
    async with anyio.create_task_group() as tasks:
        paths = Paths(ChannelPool(tasks))
        paths.relays = Asked(for_relays)  # type: ignore[assignment]
        paths.reach.decide(state, False, anyio.current_time())
        ended = await paths.has_ended(backend)
        assert (ended and await paths.confirm_ended(backend)) is counts
        tasks.cancel_scope.cancel()


@define(eq=False)
class Unanswered:
    """Connects that time out, at first, in place of `open_channel`.

    Attributes:
        left: How many more of them time out.
    """

    left: int = 0

    async def open(self, *args: object) -> Channel:
        """Open a connection, unless this attempt is to time out."""
        if not self.left:
            return await open_channel(*args)  # type: ignore[arg-type]
        self.left -= 1
        await anyio.sleep(0.1)
        raise ConnectTimeoutError("no connection in time")


SILENCES = [
    # an older connection, whether it ends too, connects that time out, taken for whole
    (True, False, 0, True),
    (True, False, 1, True),
    (True, False, 3, True),
    (True, False, 99, False),
    (True, True, 0, False),
    (True, True, 1, False),
    (True, True, 3, False),
    (False, False, 0, True),
    (False, False, 1, False),
]


@pytest.mark.parametrize(("older", "ends", "silent", "whole"), SILENCES)
@pytest.mark.parametrize("path", ["unsafe", "once"])
async def test_answer_that_ends_before_its_server_is_silent(
    older: bool,
    ends: bool,
    silent: int,
    whole: bool,
    path: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A whole answer must not be given up for a server that accepts a little later."""
    connects, kept = Unanswered(), list[SocketStream]()
    monkeypatch.setattr(_pool, "open_channel", connects.open)

    async def serve(server: Server, stream: SocketStream, head: str) -> None:
        if "/safe/" in head:
            await good(server, stream, head)
            kept.append(stream)
            return
        connects.left = silent
        await stream.send(unframed_head(head) + ALL)
        await anyio.sleep(0.02)
        for other in kept if ends else ():
            await other.aclose()
        await stream.aclose()

    async with rig(Server("one", serve)) as router:
        if older:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(router.ask, request("/safe/x"))
                tasks.start_soon(router.ask, request("/safe/x"))
        began = anyio.current_time()
        got = await router.ask(request(f"/{path}/x"))
        assert anyio.current_time() - began < 1.5
    assert numbers(got) == ([1, 2, 3, 4] if whole or path == "once" else [])
    assert (b" 200 " in got[:16]) is (whole or path == "once")
    assert got.endswith(b"0\r\n\r\n") is (whole and path == "once")
