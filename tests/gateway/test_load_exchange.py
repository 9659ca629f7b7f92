"""Gateways exchange the load of servers by datagrams on loopback."""

from __future__ import annotations

import contextlib
import random
import socket
from collections.abc import AsyncIterator, Callable

import anyio
import msgpack
import pytest
from attrs import define, evolve, field

from ebonyhold.coordination import ServerRun
from ebonyhold.forwarding import (
    Backend,
    BackendState,
    BackendTable,
    CallerRequest,
    Ruleset,
    Service,
)
from ebonyhold.gateway import Presence
from ebonyhold.gateway import _load_exchange as module
from ebonyhold.gateway._load_exchange import LoadExchange
from ebonyhold.gateway._metrics import GatewayMetrics
from ebonyhold.standins import MemoryRows, RowHistory

pytestmark = pytest.mark.anyio

RUN = ServerRun("server-1", 5)
BACKEND = Backend("server-1", "text", ("", 1), "a", 8, BackendState.READY, 5)
TEXT = Service("text", 9, slots=96, memory=258_964)


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@pytest.fixture(autouse=True)
def short_interval(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let failures be noticed sooner, so that the tests take less time."""
    monkeypatch.setattr(module, "INTERVAL", 0.05)


def free_port() -> int:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


@define(eq=False)
class Node:
    """One gateway's exchange; its address is an own one on loopback.

    Attributes:
        requests: Requests of this router in flight at the server.
    """

    exchange: LoadExchange
    scope: anyio.CancelScope = field(factory=anyio.CancelScope)

    @property
    def known(self) -> int | None:
        """The requests of the other routers, as known here."""
        load = self.exchange.load(RUN, anyio.current_time())
        return None if load is None else load.requests

    async def run(self) -> None:
        with self.scope:
            await self.exchange.run()

    def count(self, result: str) -> float:
        value = self.exchange.metrics.registry.get_sample_value(
            "ebonyhold_gateway_load_datagrams_total", {"result": result}
        )
        return value or 0.0


@define(eq=False)
class Fleet:
    """Some routers that share one store and one configuration."""

    memory: int = 258_964
    history: RowHistory = field(factory=RowHistory)
    nodes: dict[str, Node] = field(factory=dict)

    def rules(self) -> Ruleset:
        service = Service("text", 9, slots=96, memory=self.memory)
        return Ruleset(1, {}, {"text": service}, {}, {})

    def add(self, name: str, rate: float) -> Node:
        """Add a router that has one request in flight at the server."""
        port = free_port()
        presence = Presence(
            MemoryRows(self.history),
            name,
            f"{name}.1",
            f"127.0.0.1:{port}",
            name[0],
            lambda fleet: exchange.review(),
        )
        table = BackendTable()
        table.update(BACKEND)
        table.entries["server-1"].in_flight = 1
        address = ("127.0.0.1", port)
        metrics = GatewayMetrics()
        exchange = LoadExchange(presence, address, rate, table, self.rules, metrics)
        self.nodes[name] = Node(exchange)
        return self.nodes[name]

    async def count(self, rounds: int = 1) -> None:
        """Let each router write its row and read all others."""
        for _ in range(rounds):
            for node in self.nodes.values():
                await node.exchange.presence.count_routers()
            await anyio.sleep(0.01)

    async def until(self, met: Callable[[], bool], timeout: float = 5.0) -> None:
        with anyio.fail_after(timeout):
            while not met():  # noqa: ASYNC110 - there is no event to wait for
                await anyio.sleep(0.02)

    def known(self) -> set[int | None]:
        return {node.known for node in self.nodes.values()}


@contextlib.asynccontextmanager
async def running(fleet: Fleet, names: str) -> AsyncIterator[Fleet]:
    """Run the exchanges of routers; earlier ones have the faster links."""
    for rank, name in enumerate(names.split()):
        fleet.add(name, 1e7 / (rank + 1))
    async with anyio.create_task_group() as tasks:
        await fleet.count()
        for node in fleet.nodes.values():
            tasks.start_soon(node.run)
        await fleet.count(3)
        try:
            yield fleet
        finally:
            tasks.cancel_scope.cancel()


async def test_load_is_known_and_a_killed_collector_replaced() -> None:
    async with running(Fleet(), "a1 a2 a3 b1 b2") as fleet:
        await fleet.until(lambda: fleet.known() == {4})
        # It is killed, and its row stays.
        fleet.nodes.pop("a1").scope.cancel()
        await fleet.until(lambda: fleet.known() == {3})
        assert fleet.nodes["a2"].exchange.sharing.collects
        assert fleet.nodes["a3"].exchange.is_on("text")


async def test_observations_of_all_routers_rate_a_server() -> None:
    """One server is five times as slow; no router alone sees enough of it."""
    async with running(Fleet(), "a1 a2 a3 b1") as fleet:
        now = anyio.current_time()
        for node in fleet.nodes.values():
            table = node.exchange.backends
            for number in range(4):
                backend = evolve(BACKEND, name=f"server-{number}")
                table.update(backend)
                entry = table.entries[backend.name]
                work = entry.work.begin(CallerRequest("r", prompt_tokens=2_500), now)
                table.time_answer(entry, work, now - (1.5 if number == 2 else 0.3))
                work.mark_read()
                work.end()
                table.record_attempt(entry, number == 3, now)
                table.record_attempt(entry, number == 3, now)
        one = fleet.nodes["b1"].exchange

        def rating(number: int) -> tuple[float, float]:
            run = ServerRun(f"server-{number}", 5)
            load = one.load(run, anyio.current_time())
            return (load.slowness, load.failing) if load else (0.0, 0.0)

        await fleet.until(lambda: rating(2)[0] > 3.0 and rating(3)[1] > 0.9)
        assert rating(1)[0] < 1.3 and rating(1)[1] == 0.0


async def test_partitioned_failure_domain_and_lost_datagrams(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each domain goes on with its own sum, in spite of some lost datagrams."""
    original = LoadExchange.send
    rng = random.Random(3)
    cut = False

    def send(
        self: LoadExchange, sock: socket.socket, name: str, message: object
    ) -> None:
        between = self.presence.domain != name[0]
        if (cut and between) or rng.random() < 0.1:
            return
        original(self, sock, name, message)  # type: ignore[arg-type]

    monkeypatch.setattr(LoadExchange, "send", send)
    async with running(Fleet(), "a1 b1 a2 b2 a3") as fleet:
        await fleet.until(lambda: fleet.known() == {4})
        cut = True
        await fleet.until(lambda: fleet.known() == {1, 2})
        cut = False
        await fleet.until(lambda: fleet.known() == {4})


async def test_foreign_datagrams_do_no_harm() -> None:
    """They come from builds of other versions, or from nobody of the fleet."""
    datagrams = [
        b"",
        b"\x00" * 9_000,
        b"GET / HTTP/1.1\r\n\r\n",
        msgpack.packb([2, "a new kind", {"a": 1}]),
        msgpack.packb([1, 3, "stranger", 1, 1, 0, 1, [], True, 100, 0, 0, []]),
        msgpack.packb([1, 2, "stranger", 1, 1, 0, 1, [], True, 0]),
    ]
    async with running(Fleet(), "a1 a2 b1") as fleet:
        await fleet.until(lambda: fleet.known() == {2})
        target = fleet.nodes["a2"]
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for data in datagrams:
                sock.sendto(data, target.exchange.address)
        await fleet.until(lambda: target.count("malformed") == 4)
        await fleet.until(lambda: target.count("unused") >= 2)
        await anyio.sleep(0.3)
        assert fleet.known() == {2}


async def test_configuration_turns_sharing_off_and_on() -> None:
    """No socket is open and no row states participation while it is off."""
    async with running(Fleet(memory=0), "a1 a2") as fleet:
        presence = fleet.nodes["a1"].exchange.presence
        one = fleet.nodes["a1"].exchange
        for memory, shares in ((0, False), (258_964, True), (0, False)):
            fleet.memory = memory
            await fleet.count(3)
            await anyio.sleep(0.1)
            await fleet.count(2)
            assert one.is_on("text") is shares
            assert bool(presence.sharers()) is shares
            assert (one.backends.fleet_load is one) is shares
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
                if shares:
                    with pytest.raises(OSError, match="in use"):
                        sock.bind(one.address)
                else:
                    sock.bind(one.address)


async def test_older_router_is_sent_nothing() -> None:
    fleet = Fleet()
    old = fleet.add("a0", 1e9)
    old.scope.cancel()
    async with running(fleet, "a1 a2"):
        await fleet.until(lambda: fleet.known() == {1, None})
        assert all("a0" not in one.exchange.addresses for one in fleet.nodes.values())
