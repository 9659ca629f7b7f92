"""Planned stops: no new work for a leaving server, and no request cut."""

from __future__ import annotations

from datetime import UTC, datetime

import anyio
import pytest
from attrs import evolve

from ebonyhold.document import Stop
from tests.backends.kit import TOKENS, answers, opening, sends, token
from tests.backends.kit import closing as ending
from tests.callers.kit import Bench, Heard, make_bench, make_document

pytestmark = pytest.mark.anyio
START = datetime(2026, 12, 2, 5, 0, tzinfo=UTC)
END = datetime(2026, 12, 2, 6, 0, tzinfo=UTC)
SLOWLY = [piece for index in range(TOKENS) for piece in (token(index), 1.0)]


def calls(bench: Bench, name: str) -> int:
    """Return how many requests reached a server."""
    return len(bench.servers[name].calls)


async def ask_many(bench: Bench, count: int = 12) -> None:
    """Send requests of both kinds."""
    for _ in range(count):
        assert (await bench.chat()).whole
        heard = await bench.ask("POST", "/services/booking/bookings")
        assert heard.status == 201


def with_services(bench: Bench) -> Bench:
    """Let the plain services answer."""
    for name in ("s0", "s1"):
        bench.servers[name].scripts = [answers(201)]
    return bench


@pytest.mark.parametrize(
    ("news", "left"),
    [
        ("planned for a server", {"e0"}),
        ("planned for a domain", {"e0", "s0"}),
        ("membership list", {"e0", "s0"}),
        ("load report", {"e0"}),
    ],
)
async def test_a_leaving_server_gets_nothing_new(news: str, left: set[str]) -> None:
    """A server is about to stop; the news comes by any one of four ways.

    From then on it gets no new work, the others take all of it, and no caller
    notices.
    """
    stops = {
        "planned for a server": Stop("s", START, END, backend="e0"),
        "planned for a domain": Stop("s", START, END, domain="d0"),
    }
    planned = (stops[news],) if news in stops else ()
    bench = with_services(make_bench(make_document(stops=planned)))
    fleet = bench.app.fleet
    fleet.wall_clock = lambda: START.timestamp()
    if news == "membership list":
        fleet.leaving = frozenset({"e0", "s0"})
    if news == "load report":
        bench.servers["e0"].load["leaving"] = True
        bench.app.backends.refresh()
        await bench.app.backends.poll(bench.app.backends.states["e0"])
    await ask_many(bench)
    served = {name for name in bench.servers if calls(bench, name)}
    assert not served & left
    assert len(served) >= 2


async def test_a_stop_that_ends_or_is_cancelled() -> None:
    """A stop is cancelled by the next version of the document; another ends.

    The servers get work again at once.
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


async def test_what_is_in_progress_ends_and_is_shown() -> None:
    """A server's stop begins while it streams an answer.

    The stream ends whole; until then operators see what holds the server, and
    afterwards that nothing does.
    """
    bench = make_bench(make_document(engines=1, service_count=0))
    bench.servers["e0"].scripts = [sends(opening(), *SLOWLY, *ending())]
    heard: list[Heard] = []

    async def ask() -> None:
        heard.append(await bench.chat())

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(ask)
        await anyio.sleep(2.5)
        bench.app.fleet.leaving = frozenset({"e0"})
        (held,) = bench.app.backends.holdings()
        assert [item.request for item in held.requests] == [
            bench.money.orders[0].request
        ]
    assert heard[0].whole
    assert bench.app.backends.holdings()[0].requests == ()


async def test_a_router_that_missed_the_news() -> None:
    """This router has no news of a stop; the engine refuses what it sends.

    The caller notices nothing; the request went elsewhere, truthfully not run.
    """
    bench = make_bench(make_document(service_count=0))
    for name in ("e0", "e1"):
        bench.servers[name].scripts = []
    bench.servers["e0"].scripts = [answers(503, b'{"error": "leaving"}')]
    for _ in range(8):
        assert (await bench.chat()).whole
