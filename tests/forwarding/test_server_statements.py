"""What servers state about themselves in their answers, over real sockets."""

from __future__ import annotations

import anyio
import pytest
from anyio.abc import SocketStream
from attrs import evolve

from ebonyhold.forwarding import AnswerFacts, BackendEntry, BackendState
from ebonyhold.forwarding._backends import (
    MAX_REST,
    REST_SPREAD,
)
from ebonyhold.forwarding._refusals import RETRY_SPREAD
from ebonyhold.forwarding._server_list import LAPSE_GRACE, UNLISTED_KEPT
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

NOTICED_WITHIN = 0.4
"""Seconds in which a statement is noticed, well before the end of its stream."""


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
    await anyio.sleep(2 * NOTICED_WITHIN)
    await stream.send(chunk(b""))


async def stream(server: Server, stream: SocketStream, head: str) -> None:
    """Send a stream of one event."""
    await stream.send(stream_head(head) + chunk(event(1)) + chunk(b""))


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
        with anyio.fail_after(NOTICED_WITHIN):
            while not entry_of(fleet, "s").leaving:  # noqa: ASYNC110 - not an event
                await anyio.sleep(0.005)
        got = await fleet.ask(request("/unsafe/x", "POST", b"body"))
    assert got.startswith(b"HTTP/1.1 503 ")
    assert b"no_server" in got
    assert len(server.requests) == 1


async def test_request_that_runs_at_a_leaving_server_goes_on_to_its_end() -> None:
    """A stream whose server leaves must not be cut or sent elsewhere."""
    server = Server("s", start_stream)
    other = Server("other", start_stream)
    async with rig(server, other) as fleet:
        got = await fleet.ask(request("/stream/x", "POST", b"body"))
    assert event(1) in got
    assert got.endswith(b"0\r\n\r\n")
    assert len(server.requests) + len(other.requests) == 1


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


def resting(seconds: str, extra: str = FULL, status: str = "503 Resting") -> Script:
    """Return a script of answers that turn requests away and ask for rest."""
    return answering(f"Retry-After: {seconds}\r\n{extra}", status)


def rest_of(fleet: Rig, name: str) -> float:
    """Return for how long a server is to rest from now on."""
    return entry_of(fleet, name).rest_until - anyio.current_time()


@pytest.mark.parametrize(
    ("status", "values", "rest"),
    [
        (503, [b"3"], 3.0),
        (503, [b" 1.5 "], 1.5),
        (503, [b"1", b"2.5"], 2.5),
        (503, [b"abc", b"2"], 2.0),
        (503, [b"999999999"], 999_999_999.0),
        (429, [b"3"], 3.0),
        (200, [b"3"], 0.0),
        (500, [b"3"], 0.0),
        (503, [], 0.0),
        (503, [b""], 0.0),
        (503, [b"0"], 0.0),
        (503, [b"-1"], 0.0),
        (503, [b"abc"], 0.0),
        (503, [b"nan"], 0.0),
        (503, [b"inf"], 0.0),
        (503, [b"1e9"], 0.0),
        (503, [b"2, 3"], 0.0),
        (503, [b"9" * 5000], 0.0),
        (503, [b"Wed, 03 Dec 2026 19:00:00 GMT"], 0.0),
        (503, [b"\xff"], 0.0),
    ],
)
def test_only_seconds_ask_for_rest(
    status: int, values: list[bytes], rest: float
) -> None:
    """A malformed value must neither fail a request nor hide a server."""
    headers = [(b"retry-after", value) for value in values]
    assert PlatformDialect().read_answer(status, headers).rest == rest


@pytest.mark.parametrize(
    ("script", "path"),
    [
        (resting("2"), "/safe/x"),
        (resting("2"), "/unsafe/x"),
        (resting("2", status="429 Too Many Requests"), "/unsafe/x"),
        (resting("2", extra=""), "/safe/x"),
        (resting("2"), "/stream/x"),
    ],
    ids=["safe", "unsafe", "429", "may have run", "stream"],
)
async def test_other_servers_get_what_a_resting_one_does_not(
    script: Script, path: str
) -> None:
    """A server that rests must get nothing, and not count as one that fails."""
    server, other = Server("s", script), Server("other", answering(""))
    if path == "/stream/x":
        other.script = stream
    async with rig(server, other) as fleet:
        entry_of(fleet, "other").in_flight = 10
        for _ in range(4):
            got = await fleet.ask(request(path, "POST", b"body"))
            assert got.startswith(b"HTTP/1.1 200 ")
        assert 1.0 < rest_of(fleet, "s") <= 2.0 * (1 + REST_SPREAD)
        assert "s" not in fleet.forwarder.backends.ejector.records
    assert len(server.requests) == 1


async def test_longest_rest_counts() -> None:
    """Neither a shorter rest nor an answer without one must end a longer rest."""
    async with rig(Server("s", answering(""))) as fleet:
        table, entry = fleet.forwarder.backends, entry_of(fleet, "s")
        for seconds in (2.0, 5.0, 1.0, 0.0):
            facts = AnswerFacts("", b"", True, False, rest=seconds)
            table.record_statements(entry, facts, 100.0)
        assert 105.0 <= entry.rest_until <= 105.0 + 5.0 * REST_SPREAD


async def test_no_rest_hides_a_server_for_good() -> None:
    """An absurd number must end some day."""
    async with rig(Server("s", resting("999999999"))) as fleet:
        await fleet.ask(request("/unsafe/x", "POST", b"body"))
        assert 0 < rest_of(fleet, "s") <= MAX_REST * (1 + REST_SPREAD)


async def test_routers_that_were_told_together_return_one_by_one() -> None:
    """A server must not get all its requests back in one moment."""
    async with rig(*(Server(f"s{n}", answering("")) for n in range(20))) as fleet:
        table = fleet.forwarder.backends
        for entry in table.entries.values():
            facts = AnswerFacts("", b"", True, False, rest=3.0)
            table.record_statements(entry, facts, 100.0)
        ends = {entry.rest_until for entry in table.entries.values()}
    assert len(ends) > 10
    assert all(103.0 <= end <= 103.0 + 3.0 * REST_SPREAD for end in ends)


async def test_full_server_is_used_where_all_others_rest() -> None:
    """A server that has only declined may be asked again, one that rests may not."""
    full, tired = Server("full", answering("")), Server("tired", answering(""))
    async with rig(full, tired) as fleet:
        now = anyio.current_time()
        entry_of(fleet, "full").full_until = now + 2.0
        entry_of(fleet, "tired").rest_until = now + 2.0
        got = await fleet.ask(request("/unsafe/x", "POST", b"body"))
    assert got.startswith(b"HTTP/1.1 200 ")
    assert (len(full.requests), len(tired.requests)) == (1, 0)


async def test_refusal_says_when_the_first_rest_ends() -> None:
    """Where all servers rest, callers must come back when one may get requests."""
    servers = [Server("a", resting("0.6")), Server("b", resting("5"))]
    async with rig(*servers) as fleet:
        await fleet.ask(request("/safe/x"))
        got = await fleet.ask(request("/safe/x"))
        left = rest_of(fleet, "a")
        head = got.decode().lower()
        wait = float(head.partition("retry-after: ")[2].partition("\r\n")[0])
        assert head.startswith("http/1.1 503 ")
        assert "servers_limited" in head
        assert left <= wait <= (left + 0.1) * (1 + RETRY_SPREAD)
        assert [len(server.requests) for server in servers] == [1, 1]
        servers[0].script = answering("")
        await anyio.sleep(wait)
        got = await fleet.ask(request("/safe/x"))
    assert got.startswith(b"HTTP/1.1 200 ")
    assert [len(server.requests) for server in servers] == [2, 1]
