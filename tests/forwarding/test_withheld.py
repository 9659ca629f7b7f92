"""Servers that may not get a request: one answer, asked again before each send."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import pytest
from anyio.abc import SocketStream
from attrs import define, evolve, field

from ebonyhold.coordination import LimitShares
from ebonyhold.forwarding import (
    AnswerFacts,
    BackendState,
    BackendTable,
    Channel,
    ChannelPool,
    Service,
)
from ebonyhold.forwarding._withheld import Cause
from tests.forwarding.kit import (
    Rig,
    Script,
    Server,
    answer,
    chunk,
    event,
    request,
    rig,
    stream_head,
)

pytestmark = pytest.mark.anyio

Change = Callable[[BackendTable, str], None]

NO_POSITION = -1
"""A position among the routers that no time slot belongs to."""


@pytest.fixture
def anyio_backend() -> str:
    """Use a real clock, since sockets do not work with a virtual one."""
    return "asyncio"


def state(**stated: object) -> Change:
    """Return a change: an answer of a server states something."""

    def change(table: BackendTable, name: str) -> None:
        facts = evolve(AnswerFacts("", b"", False, False), **stated)  # type: ignore[arg-type]
        table.record_statements(table.entries[name], facts, anyio.current_time())

    return change


def drain(table: BackendTable, name: str) -> None:
    """List a server as draining."""
    listed = table.entries[name].backend
    table.update(evolve(listed, state=BackendState.DRAINING))


def move(table: BackendTable, name: str) -> None:
    """Record that another server has the address."""
    table.entries[name].moved = True


def evacuate(table: BackendTable, name: str) -> None:
    """Evacuate the server's failure domain, which no other server is in."""
    listed = table.entries[name].backend
    table.update(evolve(listed, domain="other"))
    table.evacuate(frozenset({"other"}), anyio.current_time())


def cool(table: BackendTable, name: str) -> None:
    """List a server as cold, with a limit that allows nothing yet."""
    table.services = {"svc": Service("svc", 100, cold_time=3.0, cold_rate=1.0)}
    table.shares = LimitShares("vm-1", lambda: 1)
    table.shares.update(["vm-1"])
    listed = table.entries[name].backend
    table.update(evolve(listed, cold_for=3.0), anyio.current_time())


def fill_brittle(table: BackendTable, name: str) -> None:
    """Let a server alone state that it is brittle, with no share of its places left.

    The router has no time slot in which it may send a request nevertheless.
    """
    table.shares = LimitShares("vm-1", lambda: 100)
    table.shares.position = NO_POSITION
    for other in table.entries:
        state(brittle=other == name)(table, other)


def restart(table: BackendTable, name: str) -> None:
    """List a new run of a server, at an address where nothing listens."""
    listed = table.entries[name].backend
    table.update(evolve(listed, started_at=2, address=("127.0.0.1", 1)))


def remove(table: BackendTable, name: str) -> None:
    """Remove a server from the list."""
    table.remove(name, anyio.current_time(), after_outage=False)


CHANGES: list[tuple[str, Change, Cause]] = [
    ("removed", remove, Cause.GONE),
    ("restarted", restart, Cause.GONE),
    ("draining", drain, Cause.DRAINING),
    ("leaving", state(leaving=True), Cause.LEAVING),
    ("moved", move, Cause.MOVED),
    ("evacuated", evacuate, Cause.EVACUATED),
    ("resting", state(rest=2.0), Cause.RESTING),
    ("limited", state(request_limit=1.0), Cause.LIMITED),
    ("cold", cool, Cause.COLD),
    ("brittle", fill_brittle, Cause.BRITTLE),
]

any_change = pytest.mark.parametrize(
    ("change", "cause"),
    [row[1:] for row in CHANGES],
    ids=[row[0] for row in CHANGES],
)


async def ok(server: Server, stream: SocketStream, head: str) -> None:
    """Answer each request with 200."""
    await stream.send(answer(head))


async def refuse_once(server: Server, stream: SocketStream, head: str) -> None:
    """Answer with an error that allows another attempt."""
    await stream.send(answer(head, b"", "500 Internal Server Error"))


async def break_off(server: Server, stream: SocketStream, head: str) -> None:
    """Break a stream off after its first event."""
    await stream.send(stream_head(head) + chunk(event(1)))
    await stream.aclose()


async def go_on(server: Server, stream: SocketStream, head: str) -> None:
    """Send the second and last event of a stream."""
    await stream.send(stream_head(head) + chunk(event(2)) + chunk(b""))


@define(eq=False)
class SlowPool(ChannelPool):
    """A pool in which something happens while the first connection is made.

    Attributes:
        changes: What happens, by the server that is connected to.
    """

    changes: dict[str, Callable[[], None]] = field(factory=dict)

    async def connect(self, name: str, address: tuple[str, int]) -> Channel:
        """Return a new connection, after the change."""
        channel = await super().connect(name, address)
        self.changes.pop(name, lambda: None)()
        return channel


def change_while_connecting(fleet: Rig, name: str, change: Change) -> None:
    """Let a change become known while the first connection to a server is made."""
    forwarder = fleet.forwarder
    changes = {name: lambda: change(forwarder.backends, name)}
    forwarder.paths.pool = SlowPool(forwarder.paths.pool.tasks, changes=changes)


@any_change
async def test_cause_is_known(change: Change, cause: Cause) -> None:
    """Each cause must be told by its name, which logs and metrics show."""
    async with rig(Server("s", ok), Server("other", ok)) as fleet:
        table = fleet.forwarder.backends
        entry = table.entries["s"]
        assert table.withheld(entry, anyio.current_time()) is None
        change(table, "s")
        withheld = table.withheld(entry, anyio.current_time())
    assert withheld is not None
    assert withheld.cause is cause


@any_change
@pytest.mark.parametrize(
    ("first", "then", "path", "last"),
    [
        (None, ok, "/unsafe/x", b"ok"),
        (refuse_once, ok, "/safe/x", b"ok"),
        (break_off, go_on, "/stream/x", event(2)),
    ],
    ids=["first attempt", "retry", "resumed stream"],
)
async def test_request_that_waited_for_a_connection_goes_elsewhere(
    change: Change,
    cause: Cause,
    first: Script | None,
    then: Script,
    path: str,
    last: bytes,
) -> None:
    """What becomes known while a connection is made must not come too late."""
    servers = [Server("a", first)] if first else []
    chosen, other = Server("b", then), Server("c", then)
    async with rig(*servers, chosen, other) as fleet:
        entries = fleet.forwarder.backends.entries
        for place, name in enumerate(entries):
            entries[name].in_flight = 10 * place
        change_while_connecting(fleet, "b", change)
        got = await fleet.ask(request(path, "POST", b"body"))
    assert got.startswith(b"HTTP/1.1 200 ")
    assert last in got
    assert (len(chosen.requests), len(other.requests)) == (0, 1)


@any_change
async def test_request_is_refused_if_its_only_server_is_withheld_late(
    change: Change, cause: Cause
) -> None:
    """A request that no server may get must be refused, with a time to come back."""
    server = Server("s", ok)
    async with rig(server) as fleet:
        change_while_connecting(fleet, "s", change)
        got = await fleet.ask(request("/unsafe/x", "POST", b"body"))
    assert got.startswith(b"HTTP/1.1 503 ")
    assert b"retry-after: " in got.lower()
    assert not server.requests


async def test_withheld_request_uses_no_retry() -> None:
    """A request that was not sent must not use up the fleet's retries."""
    async with rig(Server("a", ok), Server("b", ok), extra_retries=0.0) as fleet:
        fleet.forwarder.backends.entries["b"].in_flight = 10
        change_while_connecting(fleet, "a", drain)
        got = await fleet.ask(request("/safe/x"))
    assert got.startswith(b"HTTP/1.1 200 ")


def test_server_of_another_version_is_withheld_from_a_begun_stream() -> None:
    """The version must be asked for where all other causes are."""
    table = BackendTable()
    server = Server("s", ok, version="v1")
    table.update(server.backend())
    entry = table.entries["s"]
    assert table.withheld(entry, 0.0) is None
    assert table.withheld(entry, 0.0, version="v1") is None
    withheld = table.withheld(entry, 0.0, version="v2")
    assert withheld is not None
    assert withheld.cause is Cause.OTHER_VERSION
    assert withheld.cause.is_binding and not withheld.cause.ends
    assert table.next_allowed("svc", 0.0, "v2") is None
