"""Transfers of tokens between gateways, over real connections."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import anyio
import pytest
from anyio.abc import ByteStream, SocketAttribute
from attrs import define, field

from ebonyhold.coordination import GrantLedger
from ebonyhold.forwarding import CallerLimits, CallerListener
from ebonyhold.gateway import GatewayPeers, TransferHandler
from ebonyhold.misc import free_port
from ebonyhold.prepaid import Offer

pytestmark = pytest.mark.anyio

HOST = "127.0.0.1"
POLL_INTERVAL = 0.01

Conduct = Callable[[ByteStream], Awaitable[None]]


@pytest.fixture
def anyio_backend() -> str:
    """Use asyncio: sockets need a real clock."""
    return "asyncio"


@define(eq=False)
class FakeGrant:
    """A grant of 500 tokens that gives those available in its ledger.

    Its router could draw 100 more.
    """

    ledger: GrantLedger = field(factory=lambda: GrantLedger(available=500))

    @property
    def own_offer(self) -> int:
        """The tokens that are here."""
        return self.ledger.available

    @property
    def offer(self) -> int:
        """The tokens that can be given, with those that can be drawn."""
        return self.own_offer + 100

    async def give(self, amount: int) -> int:
        """Give tokens, as far as they are available."""
        given = min(amount, self.own_offer)
        self.ledger.give(given)
        return given


@asynccontextmanager
async def serving_gateway(grant: FakeGrant | None) -> AsyncIterator[GatewayPeers]:
    """Serve transfers of "acme" from a grant, and yield a client for them."""
    port = free_port()

    def find(name: str) -> FakeGrant | None:
        return grant if name == "acme" else None

    listener = CallerListener(TransferHandler(find).serve, CallerLimits)  # type: ignore[arg-type]
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.run, (HOST, port), tasks)
        await until_listening(port)
        yield GatewayPeers(lambda: {"vm-2": f"{HOST}:{port}"}, tasks)
        tasks.cancel_scope.cancel()


async def until_listening(port: int) -> None:
    """Wait until a port accepts connections."""
    while True:
        try:
            await (await anyio.connect_tcp(HOST, port)).aclose()
        except OSError:
            await anyio.sleep(POLL_INTERVAL)
        else:
            return


@pytest.mark.parametrize(
    ("workspace", "amount", "arrived", "left"),
    [("acme", 300, 300, 200), ("acme", 900, 500, 0), ("other", 10, 0, 0)],
)
async def test_transfer_between_gateways(
    workspace: str, amount: int, arrived: int, left: int
) -> None:
    async with serving_gateway(FakeGrant()) as peers:
        before, after = Offer("vm-2", 0), Offer("vm-2", 0)
        if workspace == "acme":
            before, after = Offer("vm-2", 600, 500), Offer("vm-2", left + 100, left)
        assert list(await peers.offers(workspace)) == [before]
        assert await peers.transfer("vm-2", workspace, amount) == arrived
        assert list(await peers.offers(workspace)) == [after]


async def no_answer(stream: ByteStream) -> None:
    """Read everything and answer nothing."""
    async for _ in stream:
        pass


async def malformed_answer(stream: ByteStream) -> None:
    """Send an answer that is not a JSON object."""
    async for _ in stream:
        await stream.send(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n[]")


async def truncated_answer(stream: ByteStream) -> None:
    """Close the connection in the middle of an answer that would give tokens."""
    await stream.receive()
    await stream.send(b'HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\n{"given": 30')
    await stream.aclose()


async def negative_amount(stream: ByteStream) -> None:
    """Send an answer that gives a negative number of tokens."""
    async for _ in stream:
        await stream.send(b'HTTP/1.1 200 OK\r\ncontent-length: 13\r\n\r\n{"given": -5}')


@pytest.mark.parametrize(
    "conduct", [no_answer, malformed_answer, truncated_answer, negative_amount]
)
async def test_faulty_peer_transfers_nothing(conduct: Conduct) -> None:
    """Only tokens in a complete and valid answer count as received."""
    listener = await anyio.create_tcp_listener(local_host=HOST)
    port = listener.extra(SocketAttribute.local_port)
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, conduct)
        peers = GatewayPeers(lambda: {"vm-2": f"{HOST}:{port}"}, tasks)
        assert await peers.transfer("vm-2", "acme", 30) == 0
        tasks.cancel_scope.cancel()


async def test_silent_peer_delays_one_request_only() -> None:
    """A VM without power answers nothing, so only one request may wait for it.

    Afterwards it is not asked for a while.
    """
    listener = await anyio.create_tcp_listener(local_host=HOST)
    port = listener.extra(SocketAttribute.local_port)
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, no_answer)
        peers = GatewayPeers(lambda: {"vm-2": f"{HOST}:{port}"}, tasks)
        assert list(await peers.offers("acme")) == [Offer("vm-2", 0)]
        assert list(await peers.offers("other")) == []
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize(
    "body", [b"", b"[]", b"{", b'{"amount": 5}', b'{"workspace": 1e']
)
async def test_malformed_request_is_refused(body: bytes) -> None:
    grant = FakeGrant()
    async with serving_gateway(grant) as peers:
        host, _, port = peers.addresses()["vm-2"].rpartition(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            head = b"POST /transfers HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n"
            await stream.send(head % len(body) + body)
            assert b" 400 " in (await stream.receive()).partition(b"\r\n")[0]
    assert grant.ledger.given == 0


@pytest.mark.parametrize(("others", "asked"), [(0, 0), (5, 5), (8, 8), (82, 8)])
def test_sample_of_large_fleet_is_bounded(others: int, asked: int) -> None:
    """Without a limit, each of eighty gateways would ask all others in a shortage."""
    addresses = {f"vm-{n}": f"{HOST}:{n + 1}" for n in range(others)}
    chosen = GatewayPeers(lambda: addresses).sample(now=0.0)
    assert len(set(chosen)) == asked
