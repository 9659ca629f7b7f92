"""Requests that another router sends to the servers, over real sockets."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import pytest
from attrs import define, evolve, field

from ebonyhold.coordination import BegunStream, stream_id
from ebonyhold.exceptions import BackendLostError
from ebonyhold.forwarding import (
    BackendState,
    BackendTable,
    CallerConnection,
    CallerLimits,
    CallerListener,
    ChannelPool,
    NoPathError,
    Path,
    Reach,
    RelayAddress,
    RelayResult,
    RequestHead,
    RequestRelay,
    Serve,
)
from ebonyhold.forwarding._relay import RUN
from ebonyhold.misc import free_port
from ebonyhold.platform import PlatformDialect
from tests.forwarding.kit import (
    LOOPBACK,
    Rig,
    Script,
    Server,
    UnlimitedHold,
    request,
    rig,
    until_open,
    value,
)
from tests.forwarding.test_attempts import (
    BAD_ONCE,
    broken_stream,
    declines,
    good,
    numbers,
    resets,
    silent,
    stray_first,
    unframed,
    whole_stream,
)

pytestmark = pytest.mark.anyio

KEY = "relay-key"

LEAVE_TIME = 0.5
"""Seconds within which a server must see that a caller has left."""


@pytest.fixture
def anyio_backend() -> str:
    """Use a real clock, since sockets do not work with a virtual one."""
    return "asyncio"


@define(eq=False)
class OneRelay:
    """The only relay of a router.

    Attributes:
        address: Where it is.
        pool: The connections to it.
        backends: The servers that it reaches.
        avoided: How often it took no request.
    """

    address: RelayAddress
    pool: ChannelPool
    backends: BackendTable
    avoided: int = 0

    async def open(self) -> Path:
        """Return a connection to the relay, unless it is avoided."""
        if self.avoided:
            raise NoPathError("the only relay is avoided")
        return Path(await self.pool.get("relay", self.address.address), self.address)

    async def put(self, path: Path) -> None:
        """Keep a connection."""
        await self.pool.put("relay", path.channel)

    def avoid(self, relay: RelayAddress) -> None:
        """Count that it took no request."""
        self.avoided += 1

    def use_last(self, relay: RelayAddress) -> None:
        """Do nothing, as it is the only one."""

    async def has_ended(self, server: str) -> bool:
        """Return that no server has ended."""
        return False

    async def is_reached(self, server: str) -> bool:
        """Return whether a server accepts a connection."""
        backend = self.backends.entries[server].backend
        try:
            return bool(await self.pool.connect(server, backend.address))
        except BackendLostError:
            return False


@define(eq=False)
class Partitioned:
    """A router that reaches no server, and another one that does.

    Attributes:
        router: The router that callers ask.
        relay: What the other one does with requests.
        relays: The first one's connections to the other one.
        listener: The other one's listener for routers.
        results: What became of the requests at the other one.
    """

    router: Rig
    relay: RequestRelay
    relays: OneRelay
    listener: CallerListener
    results: list[RelayResult] = field(factory=list)


@asynccontextmanager
async def partitioned(
    *servers: Server, key: str = KEY, hold: UnlimitedHold | None = None
) -> AsyncIterator[Partitioned]:
    """Run a router that reaches servers by way of another one alone."""
    results: list[RelayResult] = []
    async with (
        rig(*servers, hold=hold) as router,
        anyio.create_task_group() as tasks,
    ):
        table = BackendTable()
        for entry in router.forwarder.backends.entries.values():
            table.update(entry.backend)
        relay = RequestRelay(
            KEY, PlatformDialect(), table, ChannelPool(tasks), on_end=results.append
        )
        port = free_port()
        listener = CallerListener(relay.serve, CallerLimits)
        tasks.start_soon(listener.run, (LOOPBACK, port), tasks)
        await until_open(port)
        address = RelayAddress("vm-2", (LOOPBACK, port), key)
        relays = OneRelay(address, ChannelPool(tasks), table)
        paths = router.forwarder.paths
        paths.relays = relays
        paths.reach.decide(Reach.PARTITIONED, True, anyio.current_time())
        yield Partitioned(router, relay, relays, listener, results)
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize(("script", "safe", "unsafe"), BAD_ONCE)
@pytest.mark.parametrize("path", ["safe", "short"])
async def test_one_bad_server_beyond_a_relay(
    script: Script, safe: int, unsafe: int, path: str
) -> None:
    """A hop must change neither what is repeated nor what a caller is told."""
    bad, fine = Server("bad", script), Server("fine", good)
    async with partitioned(bad, fine) as cut:
        cut.router.forwarder.backends.entries["fine"].in_flight = 3
        got = await cut.router.ask(request(f"/{path}/x"))
    expected = safe if path == "safe" else unsafe
    assert got.startswith(f"HTTP/1.1 {expected} ".encode()), got
    assert b"ebonyhold-relay" not in got.lower()
    ran = len(fine.requests)
    assert ran == int(expected == 200 and script not in (good, stray_first, unframed))
    assert len(bad.requests) == 1


async def test_server_gets_the_same_request() -> None:
    """A relay must neither add to a request nor take anything from it."""
    heads: list[list[str]] = []
    sent = request(
        "/unsafe/x?q=%2F1", "POST", b"book", "A: b\r\nX-Ebonyhold-Tenant: other\r\n"
    )
    for context in (rig, partitioned):
        server = Server("one/1", good)
        async with context(server) as running:
            router = running if isinstance(running, Rig) else running.router
            got = await router.ask(sent)
        assert got.startswith(b"HTTP/1.1 200 ")
        assert server.bodies == [b"book"]
        lines = sorted(server.requests[0].split("\r\n"))
        heads.append([one for one in lines if "milliseconds" not in one])
    assert heads[0] == heads[1]


async def test_deadline_is_shortened_and_not_extended() -> None:
    """A server must not work longer than the caller of the first router waits."""
    server = Server("one", good)
    async with partitioned(server) as cut:
        extra = "X-Ebonyhold-Deadline-Milliseconds: 900\r\n"
        await cut.router.ask(request("/safe/x", extra=extra))
    left = int(value(server.requests[0], "x-ebonyhold-deadline-milliseconds"))
    assert 800 <= left <= 900


async def test_stream_resumes_beyond_a_relay_and_is_charged_once() -> None:
    """A stream that breaks off beyond a relay must go on whole, with one charge."""
    bad, fine = Server("bad", broken_stream), Server("fine", whole_stream)
    hold = UnlimitedHold()
    async with partitioned(bad, fine, hold=hold) as cut:
        cut.router.forwarder.backends.entries["fine"].in_flight = 9
        counts = "X-Ebonyhold-Token-Counts: 100,40\r\n"
        got = await cut.router.ask(request("/stream/x", extra=counts))
    assert numbers(got) == [1, 2, 3, 4]
    assert got.endswith(b"0\r\n\r\n")
    assert value(fine.requests[0], "last-event-id") == "2"
    assert hold.charges == [(140, 120)]


async def test_caller_that_leaves_ends_the_work_beyond_a_relay() -> None:
    """A server must not work on for a caller who has left the first router."""
    server = Server("slow", silent)
    async with partitioned(server) as cut:
        stream = await anyio.connect_tcp(LOOPBACK, cut.router.port)
        await stream.send(request("/unsafe/x"))
        await anyio.sleep(0.2)
        assert server.requests
        await stream.aclose()
        await anyio.sleep(LEAVE_TIME)
        assert cut.relay.backends.entries["slow"].in_flight == 0
        assert cut.relay.open == 0


@pytest.mark.parametrize("state", ["leaving", "draining", "resting"])
async def test_relay_decides_what_a_server_must_not_get(state: str) -> None:
    """What the sending router knows of a server must hold for relayed requests."""
    first, second = Server("first", good), Server("second", good)
    async with partitioned(first, second) as cut:
        cut.router.forwarder.backends.entries["second"].in_flight = 9
        entry = cut.relay.backends.entries["first"]
        if state == "leaving":
            entry.leaving = True
        elif state == "draining":
            drained = evolve(entry.backend, state=BackendState.DRAINING)
            cut.relay.backends.update(drained)
        else:
            entry.rest_until = anyio.current_time() + 5.0
        got = await cut.router.ask(request("/unsafe/x", "POST", b"book"))
    assert got.startswith(b"HTTP/1.1 200 ")
    assert cut.results == [RelayResult.WITHHELD, RelayResult.ANSWERED]
    assert (len(first.requests), len(second.requests)) == (0, 1)


async def test_server_that_is_down_for_a_relay_too_costs_no_attempt() -> None:
    """A request that was not sent may go to another server, whatever its kind."""
    gone, fine = Server("gone", good), Server("fine", good)
    async with partitioned(gone, fine) as cut:
        await gone.crash()
        cut.router.forwarder.backends.entries["fine"].in_flight = 9
        got = await cut.router.ask(request("/unsafe/x", "POST", b"book"))
    assert got.startswith(b"HTTP/1.1 200 ")
    assert cut.results == [RelayResult.NOT_SENT, RelayResult.ANSWERED]


@pytest.mark.parametrize("reason", ["key", "odd key", "partitioned", "busy"])
async def test_relay_that_takes_no_requests_sends_none(reason: str) -> None:
    """A request must pass neither an unknown sender's way nor a second relay."""
    server = Server("one", good)
    key = {"key": "wrong", "odd key": "\xe9"}.get(reason, KEY)
    async with partitioned(server, key=key) as cut:
        if reason == "partitioned":
            now = anyio.current_time()
            cut.relay.reach.decide(Reach.PARTITIONED, True, now)
        if reason == "busy":
            cut.relay.takes_requests = lambda: False
        got = await cut.router.ask(request("/unsafe/x", "POST", b"book"))
    assert got.startswith(b"HTTP/1.1 503 ")
    assert b"retry-after" in got.lower()
    assert set(cut.results) == {RelayResult.UNAVAILABLE}
    assert not server.requests


async def test_caller_cannot_forge_fields_between_routers() -> None:
    """Fields that routers set for each other must not come from a caller."""
    server = Server("one", good)
    forged = "Ebonyhold-Relay-Server: other\r\nEbonyhold-Relay-Key: forged\r\n"
    async with partitioned(server) as cut:
        got = await cut.router.ask(request("/safe/x", extra=forged))
    assert got.startswith(b"HTTP/1.1 200 ")
    assert "relay" not in server.requests[0].lower()


async def test_declined_request_is_repeated_within_one_count() -> None:
    """Attempts by way of a relay must count against the route's maximum."""
    servers = [Server(f"s{number}", declines) for number in range(4)]
    async with partitioned(*servers) as cut:
        got = await cut.router.ask(request("/safe/x"))
    assert got.startswith(b"HTTP/1.1 503 ")
    assert sum(len(server.requests) for server in servers) == 2


@pytest.mark.parametrize("known", ["another run", "an ended run", "another version"])
async def test_relay_sends_to_the_run_that_was_chosen(known: str) -> None:
    """A relay may know another run of a server, with another software version."""
    chosen = Server("chosen", whole_stream, version="v1")
    other = Server("other", whole_stream, version="v2")
    async with partitioned(chosen, other) as cut:
        entries = cut.router.forwarder.backends.entries
        entries["other"].in_flight = 9
        table = cut.relay.backends
        entry = table.entries["chosen"]
        if known == "another run":
            table.update(evolve(entry.backend, version="v3", started_at=2))
        elif known == "an ended run":
            table.record_end(entry, anyio.current_time())
        else:
            table.update(evolve(entry.backend, version="v3"))
            cut.router.forwarder.streams.records.add(
                stream_id("acme", "r0"), BegunStream("svc", "v1"), 0.0
            )
        takes_up = known == "another version"
        extra = "Resumes: r0\r\nLast-Event-Id: 2\r\n" if takes_up else ""
        got = await cut.router.ask(request("/stream/x", extra=extra))
    assert not chosen.requests
    assert cut.results[0] is RelayResult.WITHHELD
    assert got.startswith(b"HTTP/1.1 503 " if takes_up else b"HTTP/1.1 200 ")
    assert "relay" not in "".join(other.requests).lower()


async def test_fields_of_a_run_are_sent_only_with_several_versions() -> None:
    """A relay of an older build would pass fields on that it does not know."""
    seen: list[list[bytes]] = []
    for versions in (("v1",), ("v1", "v2")):
        servers = [Server(v, whole_stream, version=v) for v in versions]
        async with partitioned(*servers) as cut:
            serve = cut.relay.serve

            async def record(
                connection: CallerConnection,
                head: RequestHead,
                body: bytes,
                serve: Serve = serve,
            ) -> None:
                seen.append([name for name, _ in head.headers])
                await serve(connection, head, body)

            cut.listener.serve = record
            await cut.router.ask(request("/stream/x"))
    assert [RUN in names for names in seen] == [False, True]


@pytest.mark.parametrize(("script", "heard"), [(resets, False), (good, True)])
async def test_answer_of_a_relay_alone_shows_nothing_of_the_server(
    script: Script, heard: bool
) -> None:
    """What a relay states on a lost request must not count as heard from the server."""
    async with partitioned(Server("one", script)) as cut:
        await cut.router.ask(request("/unsafe/x"))
        entry = cut.router.forwarder.backends.entries["one"]
    assert (entry.heard_at > 0.0) is heard
