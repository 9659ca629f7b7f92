"""Streams of servers with several software versions, over real sockets."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import pytest
from anyio.abc import SocketStream
from attrs import evolve

from ebonyhold.forwarding import BackendTable
from ebonyhold.forwarding._streams import UNKNOWN_VERSION
from tests.forwarding.kit import (
    Rig,
    Script,
    Server,
    answer,
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
from tests.forwarding.test_streams import Keepers

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


@pytest.mark.parametrize("ended", ["same", "bad"])
async def test_run_that_the_list_does_not_show_yet_mixes_nothing(ended: str) -> None:
    """A server that is back under its name may run another version."""
    bad = Server("bad", broken_stream, version="v1")
    same = Server("same", whole_stream, version="v1")
    async with rig(bad, same) as router:
        prefer(router, [bad, same])
        entry = router.forwarder.backends.entries[ended]
        router.forwarder.backends.record_end(entry, anyio.current_time())
        got = await router.ask(request("/stream/x"))
    assert numbers(got)[:2] == [1, 2]
    assert not got.endswith(b"0\r\n\r\n")
    assert not same.requests


RUNS = [
    # end of the process, last update, age of the list, versions, opened, run is known
    pytest.param(None, 0.0, 0.0, 2, 9.0, True, id="nothing seen"),
    pytest.param(5.0, 0.0, 0.0, 2, 4.0, True, id="opened before the end"),
    pytest.param(5.0, 0.0, 0.0, 2, 6.0, False, id="opened after the end"),
    pytest.param(5.0, 6.0, 0.0, 2, 6.0, False, id="entry may be older than the end"),
    pytest.param(5.0, 8.0, 0.0, 2, 6.0, True, id="confirmed by the list"),
    pytest.param(5.0, 0.0, 0.0, 1, 6.0, False, id="one version, opened after the end"),
    pytest.param(None, 0.0, 4.0, 2, 5.0, True, id="opened before the last reading"),
    pytest.param(None, 0.0, 4.0, 2, 7.0, False, id="opened since the last reading"),
    pytest.param(None, 0.0, 4.0, 1, 5.0, True, id="one version, opened before"),
    pytest.param(None, 0.0, 4.0, 1, 7.0, False, id="one version, opened since"),
]


@pytest.mark.parametrize(
    ("ended_at", "updated_at", "age", "versions", "opened_at", "known"), RUNS
)
def test_run_behind_a_connection(
    ended_at: float | None,
    updated_at: float,
    age: float,
    versions: int,
    opened_at: float,
    known: bool,
) -> None:
    """What was known when a connection was opened is stronger than the list."""
    table = BackendTable()
    for number in range(1, versions + 1):
        table.update(Server(f"s{number}", whole_stream, version=f"v{number}").backend())
    entry = table.entries["s1"]
    if ended_at is not None:
        table.record_end(entry, ended_at)
    if updated_at:
        table.update(entry.backend, updated_at)
    table.read_age = lambda: age
    assert table.is_run_known(entry, opened_at, 10.0) is known
    withheld = table.withheld(entry, 10.0, version="v1", opened_at=opened_at)
    assert (withheld is None) is known
    assert table.withheld(entry, 10.0, opened_at=opened_at) is None


@pytest.mark.parametrize(
    ("versions", "opened_at", "confirmed"),
    [(2, 6.0, False), (2, 8.0, True), (1, 6.0, True)],
)
def test_first_list_of_a_router_may_show_runs_that_have_ended(
    versions: int, opened_at: float, confirmed: bool
) -> None:
    """A router that has just started has not seen which servers had restarted."""
    table = BackendTable()
    servers = [Server(f"s{n}", whole_stream, version=f"v{n}") for n in range(versions)]
    backends = [server.backend() for server in servers]
    table.replace({backend.name: backend for backend in backends}, 5.0, False)
    entry = table.entries["s0"]
    withheld = table.withheld(entry, 9.0, version="v0", opened_at=opened_at)
    assert (withheld is None) is confirmed
    assert table.is_run_known(entry, opened_at, 9.0)


def test_connections_of_a_router_s_first_seconds_are_confirmed_by_the_list() -> None:
    """A router must carry streams on over the connections that it keeps from then."""
    table = BackendTable()
    backends = [
        Server(f"s{n}", whole_stream, version=f"v{n}").backend() for n in (0, 1)
    ]
    table.replace({backend.name: backend for backend in backends}, 5.0, False)
    entry = table.entries["s0"]
    for read_at, confirmed in ((7.0, False), (7.6, True)):
        table.update(backends[0], read_at)
        withheld = table.withheld(entry, 9.0, version="v0", opened_at=5.1)
        assert (withheld is None) is confirmed


def test_end_that_follows_another_one_is_not_confirmed_by_the_list_too_soon() -> None:
    """A server that ends twice must not count as confirmed after its first restart."""
    table = BackendTable()
    backends = [
        Server(f"s{n}", whole_stream, version=f"v{n}").backend() for n in (0, 1)
    ]
    for backend in backends:
        table.update(backend)
    entry = table.entries["s0"]
    table.record_end(entry, 5.0)
    table.record_end(entry, 7.0)
    for read_at, known in ((8.0, False), (9.6, True)):
        table.update(backends[0], read_at)
        assert table.is_run_known(entry, 7.5, read_at) is known


@pytest.mark.parametrize(
    ("refuses", "versions", "known", "connects"),
    [
        pytest.param(True, 2, False, 1, id="process has ended"),
        pytest.param(False, 2, True, 2, id="idle connection closed"),
        pytest.param(True, 1, True, 1, id="one version"),
    ],
)
async def test_end_of_an_unused_connection_tells_of_a_restart(
    refuses: bool, versions: int, known: bool, connects: int
) -> None:
    """A router without a request at a server must notice that the server restarts."""

    async def ends_later(server: Server, stream: SocketStream, head: str) -> None:
        await stream.send(answer(head))
        await anyio.sleep(0.05)
        if refuses:
            await server.crash()
        await stream.aclose()

    first = Server("first", ends_later, version="v1")
    other = Server("other", whole_stream, version=f"v{versions}")
    async with rig(first, other) as router:
        prefer(router, [first, other])
        await router.ask(request("/safe/x"))
        await anyio.sleep(0.2)
        table = router.forwarder.backends
        now = anyio.current_time()
        assert table.is_run_known(table.entries["first"], now, now) is known
    assert first.connections == connects


@pytest.mark.parametrize("version", ["v1", "v2"])
@pytest.mark.parametrize("listed_after", [0, 1], ids=["before event", "after event"])
async def test_stream_begun_shortly_before_the_list_shows_a_restart(
    version: str, listed_after: int
) -> None:
    """A stream must not count as one of the run that the list showed too long."""

    async def begins(server: Server, stream: SocketStream, head: str) -> None:
        first = b"%x\r\n" % len(event(1)) + event(1) + b"\r\n"
        await stream.send(stream_head(head) + (first if listed_after else b""))
        await anyio.sleep(0.05)
        table = router.forwarder.backends
        backend = table.entries["bad"].backend
        table.update(evolve(backend, version=version, started_at=2))
        await stream.send(b"" if listed_after else first)
        await anyio.sleep(0.05)
        await stream.aclose()

    bad = Server("bad", begins, version="v1")
    same = Server("same", whole_stream, version="v1")
    async with rig(bad, same) as router:
        prefer(router, [bad, same])
        got = await router.ask(request("/stream/x"))
    goes_on = version == "v1"
    assert numbers(got) == ([1, 2, 3, 4] if goes_on else [1])
    assert len(same.requests) == goes_on


async def late_broken_stream(server: Server, stream: SocketStream, head: str) -> None:
    """Begin a stream after a report would have come, and break it off."""
    await anyio.sleep(0.1)
    await broken_stream(server, stream, head)


@pytest.mark.parametrize("script", [broken_stream, late_broken_stream])
@pytest.mark.parametrize(
    ("started_at", "version"),
    [
        pytest.param(1, "v1", id="listed run"),
        pytest.param(2, UNKNOWN_VERSION, id="later run"),
        pytest.param(0, UNKNOWN_VERSION, id="no report"),
        pytest.param(-1, UNKNOWN_VERSION, id="no answer"),
    ],
)
async def test_stream_begun_while_the_list_is_late_belongs_to_the_run_that_reports(
    script: Script, started_at: int, version: str
) -> None:
    """Guards against taking a server's next run for the one on an old list."""
    bad, same = Server("bad", script), Server("same", whole_stream)
    for server in (bad, same):
        server.version, server.started_at = "v1", started_at
    async with rig(bad, same, reports=True) as router:
        prefer(router, [bad, same])
        keepers = router.forwarder.streams.keepers = Keepers()
        router.forwarder.backends.read_age = lambda: 9.0
        got = await router.ask(request("/stream/x"))
    goes_on = version == "v1"
    assert numbers(got)[:4] == ([1, 2, 3, 4] if goes_on else numbers(got)[:2])
    assert len(same.requests) == goes_on
    assert {one.version for one in keepers.told.values()} == {version}


@pytest.mark.parametrize(
    ("started_at", "version"), [(1, "v1"), (2, UNKNOWN_VERSION), (0, UNKNOWN_VERSION)]
)
async def test_streams_begun_before_the_list_is_old_are_told_of_then(
    started_at: int, version: str
) -> None:
    """Guards against streams of a later run that nobody knows while lists are old."""
    server = Server("one", whole_stream, version="v1", started_at=started_at)
    async with rig(server, reports=True) as router:
        keepers = router.forwarder.streams.keepers = Keepers()
        table = router.forwarder.backends
        await router.ask(request("/stream/x"))
        table.expire(anyio.current_time())
        assert not keepers.told
        table.read_age = lambda: 9.0
        table.expire(anyio.current_time())
        assert {one.version for one in keepers.told.values()} == {UNKNOWN_VERSION}
        await anyio.sleep(0.1)
    assert {one.version for one in keepers.told.values()} == {version}


@pytest.mark.parametrize(("versions", "reports"), [(1, 0), (2, 1)])
async def test_servers_are_asked_for_their_run_while_several_versions_are_in_play(
    versions: int, reports: int
) -> None:
    """Ordinary streams must cost no report for each connection."""
    server = Server("one", whole_stream, version="v1", started_at=1)
    other = Server("other", whole_stream, version=f"v{versions}", started_at=1)
    async with rig(server, other, reports=True) as router:
        prefer(router, [server, other])
        for _ in range(3):
            got = await router.ask(request("/stream/x"))
            assert numbers(got) == [1, 2, 3, 4]
        await anyio.sleep(0.05)
    assert (server.reports, other.reports) == (reports, 0)


@pytest.mark.parametrize(
    ("listed_at", "known"),
    [pytest.param(8.0, False, id="at once"), pytest.param(9.6, True, id="for long")],
)
def test_entry_outlasts_a_report_that_contradicts_it(
    listed_at: float, known: bool
) -> None:
    """Guards against servers whose reports state their starts in another way."""
    table = BackendTable()
    table.update(Server("one", whole_stream, version="v1").backend())
    entry = table.entries["one"]
    table.record_replaced(entry, 6.9, 7.0)
    table.update(entry.backend, listed_at)
    assert table.is_run_known(entry, 7.5, listed_at) is known
    assert (entry.is_replaced, entry.states_no_start) == (not known, known)


def test_version_of_a_server_that_restarts_under_its_name_is_possible_at_once() -> None:
    """Guards against streams of a restarted server that a late list has misread."""
    table = BackendTable()
    for name in ("one", "two"):
        table.update(Server(name, whole_stream, version="v1").backend(), 1.0)
    again = evolve(table.entries["one"].backend, version="v2", started_at=2)
    new = evolve(again, name="three", version="v3")
    for backend in (again, new):
        table.update(backend, 2.0)
    assert table.versions.possible("svc", 2.1) == ["v1", "v2"]
