"""What servers state about themselves in their answers, over real sockets."""

from __future__ import annotations

import anyio
import pytest
from anyio.abc import SocketStream
from attrs import evolve

from ebonyhold.forwarding import BackendEntry, BackendState
from ebonyhold.forwarding._backends import LAPSE_GRACE, UNLISTED_KEPT
from ebonyhold.platform import PlatformDialect
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

LEAVING = "Server-Leaving: 1\r\n"
FULL = "X-Ebonyhold-Not-Executed: 1\r\n"


@pytest.fixture
def anyio_backend() -> str:
    """Use a real clock, since sockets do not work with a virtual one."""
    return "asyncio"


def answering(extra: str, status: str = "200 OK") -> Script:
    """Return a script of answers with further fields."""

    async def script(server: Server, stream: SocketStream, head: str) -> None:
        await stream.send(answer(head, b"ok", status, extra))

    return script


async def start_stream(server: Server, stream: SocketStream, head: str) -> None:
    """State leaving in the head of a stream, long before the end of the stream."""
    stated = stream_head(head).replace(b"\r\n\r\n", f"\r\n{LEAVING}\r\n".encode())
    await stream.send(stated + chunk(event(1)))
    await anyio.sleep(0.3)
    await stream.send(chunk(b""))


async def answer_another_first(server: Server, stream: SocketStream, head: str) -> None:
    """Send a late answer to another request, which states leaving, and then the own."""
    late = answer(head.replace("r1", "r0"), b"late", "200 OK", LEAVING)
    await stream.send(late + answer(head))


def entry_of(fleet: Rig, name: str) -> BackendEntry:
    """Return what a router knows of a server."""
    return fleet.forwarder.backends.entries[name]


@pytest.mark.parametrize(
    ("script", "path"),
    [
        (answering(LEAVING), "/unsafe/x"),
        (answering(LEAVING, "400 Bad Request"), "/unsafe/x"),
        (answering(LEAVING + FULL, "429 Too Many Requests"), "/unsafe/x"),
        (answering(LEAVING, "500 Internal Server Error"), "/unsafe/x"),
        (answering(LEAVING, "503 Service Unavailable"), "/unsafe/x"),
        (answering(LEAVING + FULL, "503 Service Unavailable"), "/unsafe/x"),
        (answer_another_first, "/unsafe/x"),
        (start_stream, "/stream/x"),
    ],
    ids=["200", "400", "429", "500", "503", "not run", "to another request", "stream"],
)
async def test_any_answer_of_a_server_may_state_that_it_leaves(
    script: Script, path: str
) -> None:
    """A server must get nothing more, whatever kind of answer stated that it leaves."""
    server = Server("s", script)
    async with rig(server) as fleet, anyio.create_task_group() as tasks:
        tasks.start_soon(fleet.ask, request(path, "POST", b"body"))
        await anyio.sleep(0.15)
        assert entry_of(fleet, "s").leaving
        got = await fleet.ask(request("/unsafe/x", "POST", b"body"))
    assert got.startswith(b"HTTP/1.1 503 ")
    assert b"no_server" in got
    assert len(server.requests) == 1


async def test_request_that_runs_at_a_leaving_server_goes_on_to_its_end() -> None:
    """A stream whose server leaves must not be cut or sent elsewhere."""
    server = Server("s", start_stream)
    async with rig(server, Server("other", start_stream)) as fleet:
        got = await fleet.ask(request("/stream/x", "POST", b"body"))
    assert event(1) in got
    assert got.endswith(b"0\r\n\r\n")
    assert len(server.requests) <= 1


@pytest.mark.parametrize(
    ("values", "leaving"),
    [
        ([b"1"], True),
        ([b" 1 "], True),
        ([b"0", b"1"], True),
        ([b"0"], False),
        ([b""], False),
        ([b"yes"], False),
        ([b"1, 1"], False),
        ([b"9" * 5000], False),
        ([b"\xff"], False),
        ([], False),
    ],
)
def test_only_the_published_value_states_leaving(
    values: list[bytes], leaving: bool
) -> None:
    """A malformed value must neither fail a request nor hide a server."""
    headers = [(b"server-leaving", value) for value in values]
    assert PlatformDialect().read_answer(200, headers).leaving is leaving


async def test_answer_without_the_field_does_not_take_leaving_back() -> None:
    """Answers on several connections may overtake each other."""
    server = Server("s", answering(LEAVING))
    async with rig(server) as fleet:
        await fleet.ask(request("/unsafe/x", "POST", b"body"))
        facts = PlatformDialect().read_answer(200, [])
        fleet.forwarder.backends.record_statements(entry_of(fleet, "s"), facts, 0.0)
        assert entry_of(fleet, "s").leaving


@pytest.mark.parametrize(
    ("started_at", "after", "leaving"),
    [(1, 0.1, True), (1, UNLISTED_KEPT + 1.0, False), (2, 0.1, False)],
    ids=["same run", "same run much later", "next run"],
)
async def test_server_that_is_listed_again(
    started_at: int, after: float, leaving: bool
) -> None:
    """An old entry must not undo a statement, which holds for one run only."""
    server = Server("s", answering(LEAVING))
    async with rig(server) as fleet:
        table = fleet.forwarder.backends
        await fleet.ask(request("/unsafe/x", "POST", b"body"))
        listed = evolve(entry_of(fleet, "s").backend, started_at=started_at)
        table.replace({}, 100.0, after_outage=True)
        table.expire(100.0 + LAPSE_GRACE)
        assert not table.entries
        table.expire(100.0 + LAPSE_GRACE + after)
        table.replace({"s": listed}, 100.0 + LAPSE_GRACE + after, after_outage=True)
        assert entry_of(fleet, "s").leaving is leaving
        table.expire(100.0 + LAPSE_GRACE + after + UNLISTED_KEPT)
        assert entry_of(fleet, "s").listed
        assert not table.unlisted


async def test_run_without_a_known_start_is_not_taken_for_the_next() -> None:
    """A statement must not hide all later runs of a server that states no start."""
    async with rig(Server("s", answering(LEAVING))) as fleet:
        table = fleet.forwarder.backends
        listed = evolve(entry_of(fleet, "s").backend, started_at=0)
        table.update(listed)
        await fleet.ask(request("/unsafe/x", "POST", b"body"))
        assert entry_of(fleet, "s").leaving
        table.remove("s", 1.0, after_outage=False)
        table.update(listed)
        assert not entry_of(fleet, "s").leaving


async def test_misdirected_answer_is_a_statement_of_the_server_at_the_address() -> None:
    """What another server states must not be recorded for the one that has moved."""
    moved = Server("moved", answering(LEAVING, "421 Misdirected Request"))
    async with rig(moved) as fleet:
        now_there = evolve(entry_of(fleet, "moved").backend, name="next", service="x")
        fleet.forwarder.backends.update(now_there)
        await fleet.ask(request("/unsafe/x", "POST", b"body"))
        assert not entry_of(fleet, "moved").leaving
        assert entry_of(fleet, "next").leaving


@pytest.mark.parametrize(
    ("stated", "state"),
    [(LEAVING, BackendState.READY), ("", BackendState.DRAINING)],
    ids=["by its answer", "by the list"],
)
async def test_end_of_a_leaving_server_is_no_crash(
    stated: str, state: BackendState
) -> None:
    """A request must not be suspected since its server ended as announced."""
    server = Server("s", answering(stated))
    async with rig(server) as fleet:
        await fleet.ask(request("/unsafe/x", "POST", b"body"))
        entry = entry_of(fleet, "s")
        fleet.forwarder.backends.update(evolve(entry.backend, state=state))
        assert entry.is_expected_to_end
