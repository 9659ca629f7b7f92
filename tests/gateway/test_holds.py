"""Holds of tokens between gateways, over real connections."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress

import anyio
import pytest
from anyio.abc import ByteStream, SocketAttribute
from attrs import define, field

from ebonyhold.coordination import GrantLedger
from ebonyhold.exceptions import BudgetExhaustedError, BudgetUnreachableError
from ebonyhold.forwarding import CallerLimits, CallerListener
from ebonyhold.gateway import GatewayHolders, GatewayPeers, PeerHandler, TransferHandler
from ebonyhold.misc import free_port
from ebonyhold.prepaid import HoldOutcome, RemoteHolds, WantedHold
from tests.gateway.test_transfers import HOST, POLL_INTERVAL, until_listening

pytestmark = pytest.mark.anyio

TIMEOUT = 3.0

Conduct = Callable[[ByteStream], Awaitable[None]]


@pytest.fixture
def anyio_backend() -> str:
    """Use asyncio: sockets need a real clock."""
    return "asyncio"


@define(eq=False)
class FakeGrant:
    """A grant of 500 tokens that raises the given error when it has too few."""

    ledger: GrantLedger = field(factory=lambda: GrantLedger(available=500))
    error: type[Exception] = BudgetUnreachableError
    knows_budget: bool = True

    async def hold(self, amount: int, request: str) -> None:
        """Hold tokens, or raise `error` if there are too few."""
        if not self.ledger.hold(amount):
            raise self.error(request)

    def settle(self, hold: int, charge: int) -> None:
        """Settle a hold."""
        self.ledger.settle(hold, charge)


@asynccontextmanager
async def serving_holder(grant: FakeGrant) -> AsyncIterator[GatewayHolders]:
    """Serve holds of "acme" from a grant, and yield a client for them."""
    port = free_port()

    def find(name: str) -> FakeGrant | None:
        return grant if name == "acme" else None

    remote_holds = RemoteHolds(find, lambda: False)  # type: ignore[arg-type]
    handler = PeerHandler(TransferHandler(find), remote_holds)  # type: ignore[arg-type]
    listener = CallerListener(handler.serve, CallerLimits)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.run, (HOST, port), tasks)
        await until_listening(port)
        holders = GatewayHolders(
            GatewayPeers(lambda: {"vm-2": f"{HOST}:{port}"}, tasks)
        )
        tasks.start_soon(holders.run)
        yield holders
        tasks.cancel_scope.cancel()


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    with anyio.fail_after(TIMEOUT):
        while True:
            if condition():
                return
            await anyio.sleep(POLL_INTERVAL)


@pytest.mark.parametrize(
    ("workspace", "amount", "error", "outcome"),
    [
        ("acme", 300, BudgetUnreachableError, HoldOutcome.HELD),
        ("acme", 900, BudgetUnreachableError, HoldOutcome.UNREACHABLE),
        ("acme", 900, BudgetExhaustedError, HoldOutcome.EXHAUSTED),
        ("other", 300, BudgetUnreachableError, HoldOutcome.UNAVAILABLE),
    ],
)
async def test_holder_answers_hold_request(
    workspace: str, amount: int, error: type[Exception], outcome: HoldOutcome
) -> None:
    async with serving_holder(FakeGrant(error=error)) as holders:
        wanted = WantedHold("vm-1.a/1", workspace, amount, "r")
        assert await holders.hold("vm-2", wanted) is outcome


async def test_hold_requests_share_a_connection() -> None:
    """With a new connection for each request, the processor time would double."""
    async with serving_holder(FakeGrant()) as holders:
        for number in range(3):
            wanted = WantedHold(f"vm-1.a/{number}", "acme", 10, "r")
            await holders.hold("vm-2", wanted)
        [calls] = holders.peers.calls.values()
        assert calls.pool is not None
        assert calls.pool.opened == 1
        [kept] = next(iter(calls.pool.unused.values()))
        assert kept.usable_until - anyio.current_time() > 30.0


async def test_holder_receives_settlements() -> None:
    grant = FakeGrant()
    async with serving_holder(grant) as holders:
        for number in range(3):
            wanted = WantedHold(f"vm-1.a/{number}", "acme", 100, "r")
            assert await holders.hold("vm-2", wanted) is HoldOutcome.HELD
            holders.settle("vm-2", wanted.hold, 40)
        await wait_until(lambda: grant.ledger.held == 0)
        assert grant.ledger.available == 500 - 3 * 40
        await wait_until(lambda: not holders.pending)


@define(eq=False)
class LateHolder:
    """A gateway that answers each message a while after it has arrived.

    Attributes:
        delay: How long after it.
        asked: The targets of the messages.
    """

    delay: float
    asked: list[bytes] = field(factory=list)

    async def serve(self, stream: ByteStream) -> None:
        """Answer the messages of one connection that they hold the tokens."""
        body = b'{"outcome": "held"}'
        head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body)
        async for message in stream:
            self.asked.append(message.split()[1])
            await anyio.sleep(self.delay)
            with suppress(anyio.BrokenResourceError):
                await stream.send(head + body)


LATE = [
    # delay of the holder, outcomes of three holds after an offer was asked for in vain
    (0.2, [HoldOutcome.HELD, HoldOutcome.HELD, HoldOutcome.HELD], 3),
    (9.0, [HoldOutcome.UNAVAILABLE] * 3, 1),
]


@pytest.mark.parametrize(("delay", "outcomes", "asked"), LATE)
async def test_holder_that_missed_an_offer_may_hold_tokens(
    delay: float, outcomes: list[HoldOutcome], asked: int
) -> None:
    """Guards against refusals since a holder was silent for a tenth of a second."""
    holder = LateHolder(delay)
    listener = await anyio.create_tcp_listener(local_host=HOST)
    port = listener.extra(SocketAttribute.local_port)
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, holder.serve)
        peers = GatewayPeers(lambda: {"vm-2": f"{HOST}:{port}"}, tasks)
        holders = GatewayHolders(peers)
        assert [offer.tokens for offer in await peers.offers("acme")] == [0]
        found = [
            await holders.hold("vm-2", WantedHold(f"vm-1.a/{n}", "acme", 10, "r"))
            for n in range(3)
        ]
        assert list(await peers.offers("other")) == []
        tasks.cancel_scope.cancel()
    assert found == outcomes
    assert holder.asked == [b"/transfers", *[b"/holds"] * asked]


MALFORMED = [
    (b"/holds", b""),
    (b"/holds", b"[]"),
    (b"/holds", b'{"hold": 1}'),
    (b"/holds", b'{"hold": "h", "workspace": "acme", "amount": -5}'),
    (b"/settlements", b"{"),
    (b"/settlements", b'{"charges": 5}'),
    (b"/settlements", b'{"charges": {"h": "many"}}'),
]


@pytest.mark.parametrize(("target", "body"), MALFORMED)
async def test_malformed_message_is_refused(target: bytes, body: bytes) -> None:
    grant = FakeGrant()
    async with serving_holder(grant) as holders:
        host, _, port = holders.peers.addresses()["vm-2"].rpartition(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            head = b"POST %s HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n"
            await stream.send(head % (target, len(body)) + body)
            assert b" 400 " in (await stream.receive()).partition(b"\r\n")[0]
    assert grant.ledger.held == 0


async def no_answer(stream: ByteStream) -> None:
    """Read everything and answer nothing."""
    async for _ in stream:
        pass


async def malformed_answer(stream: ByteStream) -> None:
    """Send an answer that is not a JSON object."""
    async for _ in stream:
        await stream.send(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n[]")


async def unknown_outcome(stream: ByteStream) -> None:
    """Send an answer with an outcome that does not exist."""
    async for _ in stream:
        await stream.send(
            b'HTTP/1.1 200 OK\r\ncontent-length: 15\r\n\r\n{"outcome": ""}'
        )


@pytest.mark.parametrize("conduct", [no_answer, malformed_answer, unknown_outcome])
async def test_unanswered_hold_is_released(conduct: Conduct) -> None:
    """The holder may have made the hold although its answer is missing or malformed.

    Without a settlement, it would keep the tokens on hold for a minute and then charge
    them.
    """
    listener = await anyio.create_tcp_listener(local_host=HOST)
    port = listener.extra(SocketAttribute.local_port)
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, conduct)
        holders = GatewayHolders(
            GatewayPeers(lambda: {"vm-2": f"{HOST}:{port}"}, tasks)
        )
        wanted = WantedHold("vm-1.a/1", "acme", 30, "r")
        assert await holders.hold("vm-2", wanted) is HoldOutcome.UNAVAILABLE
        assert holders.pending["vm-2"]["vm-1.a/1"].charge == 0
        tasks.cancel_scope.cancel()


async def test_settlement_is_repeated_until_confirmed() -> None:
    """The holder cannot be reached when the settlement is first sent.

    If it were not sent again, the holder would charge the request's maximum cost.
    """
    grant = FakeGrant()
    async with serving_holder(grant) as holders:
        wanted = WantedHold("vm-1.a/1", "acme", 300, "r")
        assert await holders.hold("vm-2", wanted) is HoldOutcome.HELD
        addresses = holders.peers.addresses
        holders.peers.addresses = dict
        holders.settle("vm-2", wanted.hold, 100)
        await anyio.sleep(0.3)
        assert grant.ledger.held == 300
        holders.peers.addresses = addresses
        await wait_until(lambda: grant.ledger.available == 400)


async def test_concurrent_settlements_to_one_holder() -> None:
    """Several tasks send one holder's settlements, and later ones find none left.

    An error in such a task would make the gateway's stop fail.
    """
    grant = FakeGrant()
    async with serving_holder(grant) as holders:
        wanted = WantedHold("vm-1.a/1", "acme", 300, "r")
        assert await holders.hold("vm-2", wanted) is HoldOutcome.HELD
        holders.settle("vm-2", wanted.hold, 100)
        async with anyio.create_task_group() as tasks:
            for _ in range(3):
                tasks.start_soon(holders.send_pending, "vm-2")
            tasks.start_soon(holders.send_pending, "vm-3")
        await holders.send_pending("vm-2")
        assert grant.ledger.available == 400
        assert not holders.pending
