"""Planned stops: leaving servers get no new requests, and no request is cut."""

from __future__ import annotations

from datetime import UTC, datetime

import anyio
import pytest
from attrs import evolve

from ebonyhold.document import Stop
from tests.backends.kit import TOKENS, answers, opening, sends, token
from tests.backends.kit import closing as ending
from tests.callers.kit import Bench, CallerResponse, make_bench, make_document

pytestmark = pytest.mark.anyio
START = datetime(2026, 12, 2, 5, 0, tzinfo=UTC)
END = datetime(2026, 12, 2, 6, 0, tzinfo=UTC)
SLOWLY = [piece for index in range(TOKENS) for piece in (token(index), 1.0)]


def calls(bench: Bench, name: str) -> int:
    """Return the number of requests that reached a server."""
    return len(bench.servers[name].calls)


async def ask_many(bench: Bench, count: int = 12) -> None:
    """Send `count` chats and `count` bookings; all must succeed."""
    for _ in range(count):
        assert (await bench.chat()).whole
        response = await bench.ask("POST", "/services/booking/bookings")
        assert response.status == 201


def with_services(bench: Bench) -> Bench:
    """Let the servers of the plain service answer with 201."""
    for name in ("s0", "s1"):
        bench.servers[name].scripts = [answers(201)]
    return bench


@pytest.mark.parametrize(
    ("source", "left"),
    [
        ("planned for a server", {"e0"}),
        ("planned for a domain", {"e0", "s0"}),
        ("membership list", {"e0", "s0"}),
        ("load report", {"e0"}),
    ],
)
async def test_leaving_server_gets_no_new_requests(source: str, left: set[str]) -> None:
    """A server is about to stop, which the router learns from one of four sources.

    The server gets no new requests; the others answer all of them.
    """
    stops = {
        "planned for a server": Stop("s", START, END, backend="e0"),
        "planned for a domain": Stop("s", START, END, domain="d0"),
    }
    planned = (stops[source],) if source in stops else ()
    bench = with_services(make_bench(make_document(stops=planned)))
    fleet = bench.app.fleet
    fleet.wall_clock = lambda: START.timestamp()
    if source == "membership list":
        fleet.leaving = frozenset({"e0", "s0"})
    if source == "load report":
        bench.servers["e0"].load["leaving"] = True
        bench.app.backends.refresh()
        await bench.app.backends.poll(bench.app.backends.states["e0"])
    await ask_many(bench)
    served = {name for name in bench.servers if calls(bench, name)}
    assert not served & left
    assert len(served) >= 2


async def test_stop_is_cancelled_or_ends() -> None:
    """A server gets requests again at once when its announced stop is over.

    First a new version of the document cancels the stop; later the end of another stop
    is reached.
    """
    stop = Stop("s", START, END, backend="e0")
    bench = with_services(make_bench(make_document(stops=(stop,))))
    fleet = bench.app.fleet
    fleet.wall_clock = lambda: START.timestamp()
    await ask_many(bench, 4)
    assert calls(bench, "e0") == 0
    fleet.adopt(evolve(fleet.document, stops=()), 2)
    await ask_many(bench)
    cancelled = calls(bench, "e0")
    assert cancelled > 0
    fleet.adopt(evolve(fleet.document, stops=(stop,)), 3)
    fleet.wall_clock = lambda: END.timestamp()
    await ask_many(bench)
    assert calls(bench, "e0") > cancelled


async def test_request_in_progress_completes_and_is_listed() -> None:
    """A server starts to leave while it streams an answer.

    The stream completes.  Until then the request is listed as open at the server;
    afterwards none is.
    """
    bench = make_bench(make_document(engines=1, service_count=0))
    bench.servers["e0"].scripts = [sends(opening(), *SLOWLY, *ending())]
    responses: list[CallerResponse] = []

    async def ask() -> None:
        responses.append(await bench.chat())

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(ask)
        await anyio.sleep(2.5)
        bench.app.fleet.leaving = frozenset({"e0"})
        (held,) = bench.app.backends.draining_servers()
        assert [item.request for item in held.requests] == [
            bench.money.orders[0].request
        ]
    assert responses[0].whole
    assert bench.app.backends.draining_servers()[0].requests == ()


async def test_engine_refuses_while_leaving() -> None:
    """An engine is leaving and refuses requests; the router doesn't know it is leaving.

    The refused attempts did not run, so the other engine answers the requests.
    """
    bench = make_bench(make_document(service_count=0))
    for name in ("e0", "e1"):
        bench.servers[name].scripts = []
    bench.servers["e0"].scripts = [answers(503, b'{"error": "leaving"}')]
    for _ in range(8):
        assert (await bench.chat()).whole
