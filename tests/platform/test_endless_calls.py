"""Bytes without end in answers to a gateway's own calls, over real sockets."""

from __future__ import annotations

import socket
import tracemalloc
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager, suppress
from threading import Thread

import anyio
import pytest
from anyio.abc import TaskGroup
from attrs import define

from ebonyhold.coordination import Put, Transaction
from ebonyhold.exceptions import (
    HistoryLostError,
    UnavailableError,
    UnknownOutcomeError,
)
from ebonyhold.forwarding import (
    Backend,
    BackendState,
    BackendTable,
    ChannelPool,
    RunChecks,
    Service,
)
from ebonyhold.gateway import GatewayPeers, ServerReport
from ebonyhold.gateway._relays import REACH_TARGET, ReachAnswer, ReachQuestion
from ebonyhold.gateway._server_reports import MAX_REPORTERS, ServerReports
from ebonyhold.platform import StoreClient, read_report, read_start
from ebonyhold.types import Seconds
from tests.forwarding.kit import LOOPBACK, chunk
from tests.forwarding.test_endless_answers import MAX_DELAY, measured_delay

pytestmark = pytest.mark.anyio

MB = 1_000_000

MAX_MEMORY = 24 * MB
"""Memory that the answers may take together.

The smallest VMs have 88 MB, of which an idle process takes 53 MB (docs/CAPACITY.md).
"""

MAX_TIME: Seconds = 2.0
"""Time within which all calls that are made at once must have ended."""

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"

ENDLESS = {
    # begin, what is repeated
    "no protocol": (b"", b"\x00\x01 what"),
    "fields": (HEAD, b"A: b\r\n"),
    "interim answers": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "chunks": (CHUNKED, chunk(b"x" * 1000)),
    "tiny chunks": (CHUNKED, chunk(b"x")),
    "length": (HEAD + b"Content-Length: 999999999999\r\n\r\n", b"x"),
    "until closed": (HEAD + b"\r\n", b"x"),
    "rows": (CHUNKED, chunk(b'{"table":"t","part":"","key":"k","value":""},' * 20)),
}


@pytest.fixture
def anyio_backend() -> str:
    """Use a real clock, since sockets do not work with a virtual one."""
    return "asyncio"


@define(eq=False)
class EndlessPeer:
    """Sends bytes without end on each connection, in threads of its own.

    Their memory does not grow, so that what is measured is the memory of the caller.

    Attributes:
        begin: What is sent first.
        piece: What is repeated.
        listener: Accepts the connections.
    """

    begin: bytes
    piece: bytes
    listener: socket.socket

    @property
    def address(self) -> tuple[str, int]:
        """Its host and port."""
        return LOOPBACK, self.listener.getsockname()[1]

    def run(self) -> None:
        """Accept connections until the listener is closed."""
        with suppress(OSError):
            while True:
                stream = self.listener.accept()[0]
                Thread(target=self.serve, args=(stream,), daemon=True).start()

    def serve(self, stream: socket.socket) -> None:
        """Send until the other side closes."""
        with stream, suppress(OSError):
            stream.recv(65_536)
            stream.sendall(self.begin)
            while True:
                stream.sendall(self.piece)


@contextmanager
def endless_peer(sent: str) -> Iterator[EndlessPeer]:
    """Run a peer that sends bytes without end."""
    begin, unit = ENDLESS[sent]
    with socket.create_server((LOOPBACK, 0), backlog=256) as listener:
        peer = EndlessPeer(begin, unit * max(1, 65_536 // len(unit)), listener)
        Thread(target=peer.run, daemon=True).start()
        yield peer
        listener.shutdown(socket.SHUT_RDWR)


@asynccontextmanager
async def bounded_memory() -> AsyncIterator[None]:
    """Check the memory that is taken at once."""
    tracemalloc.start(1)
    try:
        yield
        assert tracemalloc.get_traced_memory()[1] < MAX_MEMORY
    finally:
        tracemalloc.stop()


@asynccontextmanager
async def bounded_delay() -> AsyncIterator[None]:
    """Check the delay of other tasks."""
    async with measured_delay() as delay:
        with anyio.fail_after(MAX_TIME):
            yield
    assert delay.longest < MAX_DELAY


CHECKS = {"memory": bounded_memory, "delay": bounded_delay}


async def gather(calls: list[Callable[[], Awaitable[object]]]) -> None:
    """Make calls at once; each must fail, or return nothing."""

    async def make(call: Callable[[], Awaitable[object]]) -> None:
        with suppress(HistoryLostError, UnavailableError, UnknownOutcomeError):
            assert not await call()

    async with anyio.create_task_group() as tasks:
        for call in calls:
            tasks.start_soon(make, call)


async def ask_store(tasks: TaskGroup, peer: EndlessPeer) -> None:
    """Make calls of each kind to the store."""
    store = StoreClient(peer.address)
    store.start(tasks)
    write = Transaction((), (Put("t/p/k", 1),))
    await gather(
        [
            lambda: store.snapshot("t"),
            lambda: store.changes("t", 1, 0.6),
            lambda: store.scan("t//"),
            lambda: store.commit(write),
        ]
        * 4
    )


def server_table(address: tuple[str, int], count: int) -> BackendTable:
    """Return servers at an address."""
    table = BackendTable()
    table.services = {"svc": Service("svc", 9, memory=1)}
    for number in range(count):
        name, state = f"s{number}", BackendState.READY
        table.update(Backend(name, "svc", address, "a", 4, state, 7))
    return table


async def read_reports(tasks: TaskGroup, peer: EndlessPeer) -> None:
    """Read the reports of as many servers as are read at once."""
    found: list[ServerReport] = []
    table = server_table(peer.address, MAX_REPORTERS)
    reports = ServerReports(
        table,
        "a",
        b"/report",
        read_report,
        lambda entry, report: found.append(report),
        lambda: True,
        tasks,
    )
    await reports.read_all()
    assert not found


async def ask_for_runs(tasks: TaskGroup, peer: EndlessPeer) -> None:
    """Ask on many connections which run they lead to."""
    table = server_table(peer.address, 1)
    pool = ChannelPool(tasks, connect_timeout=MAX_TIME)
    checks = RunChecks(table, pool, b"/report", read_start)
    (entry,) = table.entries.values()
    channels = [await pool.connect("s0", peer.address) for _ in range(64)]

    def ask(number: int) -> Callable[[], Awaitable[object]]:
        return lambda: checks.ask(entry, channels[number], 0.25)

    await gather([ask(number) for number in range(len(channels))])
    for channel in channels:
        await channel.close()


async def ask_peers(tasks: TaskGroup, peer: EndlessPeer) -> None:
    """Send messages to another gateway."""
    host, port = peer.address
    peers = GatewayPeers(lambda: {"vm-2": f"{host}:{port}"}, tasks)
    question = ReachQuestion(("s",))
    await gather(
        [lambda: peers.post("vm-2", REACH_TARGET, question, ReachAnswer, 0.4)] * 64
    )


CALLS = {
    "store": ask_store,
    "reports": read_reports,
    "runs": ask_for_runs,
    "gateways": ask_peers,
}


@pytest.mark.parametrize("sent", ENDLESS)
@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize("check", CHECKS)
async def test_answers_without_end_fill_no_memory_and_delay_no_others(
    check: str, call: str, sent: str
) -> None:
    """Guards against a gateway that ends or stands still while a peer sends on."""
    with endless_peer(sent) as peer:
        async with anyio.create_task_group() as tasks:
            async with CHECKS[check]():
                await CALLS[call](tasks, peer)
            tasks.cancel_scope.cancel()
