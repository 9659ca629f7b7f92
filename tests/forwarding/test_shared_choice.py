"""The choice of a server by the load of all routers, without a network."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from attrs import define, evolve, field

from ebonyhold.coordination import EjectionPolicy, LimitShares, ServerLoad, ServerRun
from ebonyhold.forwarding import BackendEntry, BackendTable, CallerRequest, Service
from ebonyhold.forwarding._choice import rank
from ebonyhold.forwarding._outliers import ejected_by_fleet
from ebonyhold.forwarding._shared_choice import (
    MAX_ORDERS,
    RendezvousOrders,
    SharedChoice,
)
from ebonyhold.types import Seconds
from tests.forwarding.test_decisions import backend

IDLE = ServerLoad(0, 0, 0)
SERVICE = Service("svc", 100, slots=96, memory=258_964)
"""The servers that generate text in deployment A."""


@define(eq=False)
class Figures:
    """The load of the other routers as a test states it."""

    loads: dict[str, ServerLoad | None] = field(factory=dict)
    on: bool = True

    def load(self, run: ServerRun, now: Seconds) -> ServerLoad | None:
        del now
        return self.loads.get(run.server, None)

    def is_on(self, service: str) -> bool:
        return self.on and service == "svc"


def long_prompt(key: str, own: str = "own") -> CallerRequest:
    """Return a long request of deployment A: 6,300 shared tokens and 2,890 others."""
    parts = ((key, 6_300), (own, 2_890))
    return CallerRequest(own, prompt_tokens=9_190, max_output=51, prompt_parts=parts)


def short_prompt(key: str) -> CallerRequest:
    """Return a short request of deployment A."""
    return CallerRequest(key, prompt_tokens=715, prompt_parts=((key, 172), ("o", 543)))


def router(
    figures: Figures, count: int = 30, seed: int = 0, service: Service = SERVICE
) -> SharedChoice:
    """Return the choice of one router in a fleet with servers s0, s1 and so on."""
    table = BackendTable(services={"svc": service})
    table.fleet_load = figures
    for number in range(count):
        table.update(backend(f"s{number}", "abc"[number % 3]))
    return SharedChoice("a", table, rng=random.Random(seed))


def pick(
    choice: SharedChoice, request: CallerRequest, wall: Seconds = 0.0
) -> BackendEntry | None:
    """Return the server that is chosen, or None if it is today's choice."""
    entries = list(choice.backends.entries.values())
    rated = choice.choose(request, "svc", entries, 0.0, wall)
    return rated.entry if rated is not None else None


def names(count: int) -> list[str]:
    return [f"s{number}" for number in range(count)]


def order(key: str, count: int = 30) -> list[str]:
    """Return the rendezvous order of a part."""
    return sorted(names(count), key=lambda name: rank(key, name))


UNKNOWN = [
    pytest.param(Figures(dict.fromkeys(names(30), IDLE), on=False), id="off"),
    pytest.param(Figures(dict.fromkeys(names(30))), id="too old"),
    pytest.param(Figures(), id="nothing heard"),
]


@pytest.mark.parametrize("figures", UNKNOWN)
@pytest.mark.parametrize("request_", [long_prompt("k"), CallerRequest("plain")])
def test_unknown_load_leaves_todays_choice(
    figures: Figures, request_: CallerRequest
) -> None:
    """Guards against a different choice where routers share no load."""
    choice = router(figures)
    assert pick(choice, request_) is None
    assert not any(entry.work.sent for entry in choice.backends.entries.values())


BURSTS = [
    # name, unread tokens of the server with the least, of the others, requests in the
    # burst before new figures arrive, largest share of the burst that it may get
    pytest.param("equal", 0, 0, 300, 0.12, id="peak on idle servers"),
    pytest.param("k", 0, 4_000, 24, 0.75, id="one idle server, one prompt part"),
    pytest.param("equal", 0, 20_000, 300, 0.30, id="one idle server, many parts"),
]


@pytest.mark.parametrize(("key", "least", "others", "burst", "share"), BURSTS)
def test_burst_on_stale_figures_is_spread(
    key: str, least: int, others: int, burst: int, share: float
) -> None:
    """Load: 131 routers read the same old figures during a burst of short prompts.

    Guards against all of them choosing the one server that was the least loaded.
    """
    loads: dict[str, ServerLoad | None] = {
        name: ServerLoad(8, others, 0) for name in names(30)
    }
    spare = order("k")[2]
    loads[spare] = ServerLoad(0, least, 0)
    routers = [router(Figures(loads), seed=number) for number in range(131)]
    counts: Counter[str] = Counter()
    for number in range(burst):
        part = key if key == "k" else f"part {number}"
        entry = pick(routers[number % 131], short_prompt(part))
        assert entry is not None
        counts[entry.backend.name] += 1
    assert max(counts.values()) <= share * burst


HOT = [
    # requests per second of one part, in those that one server can read without the
    # shared tokens; fewest and most servers that read it
    pytest.param(0.5, 1, 2, id="half a server"),
    pytest.param(1.7, 2, 4, id="1.7 servers"),
    pytest.param(3.2, 4, 6, id="3.2 servers"),
]


@pytest.mark.parametrize(("load", "fewest", "most"), HOT)
def test_hot_part_is_read_by_as_many_servers_as_needed(
    load: float, fewest: int, most: int
) -> None:
    """Load: one workspace's prompt part has more requests than one server can read.

    Guards against a queue at the part's first server, and against a part that spreads
    over all servers although few are enough. Figures are 0.3 s old.
    """
    rate, step = 32_400.0, 0.3
    figures = Figures(dict.fromkeys(names(30), IDLE))
    routers = [router(figures, seed=number) for number in range(90)]
    unread = dict.fromkeys(names(30), 0.0)
    arrivals = round(load * rate * step / 2_890)
    counts: Counter[str] = Counter()
    chance = random.Random(1)
    for moment in range(60):
        for name in unread:
            unread[name] = max(0.0, unread[name] - rate * step)
        figures.loads = {
            name: ServerLoad(0, round(tokens), 0) for name, tokens in unread.items()
        }
        for _ in range(arrivals):
            entry = pick(chance.choice(routers), long_prompt("hot"))
            assert entry is not None
            unread[entry.backend.name] += 2_890
            if moment >= 10:
                counts[entry.backend.name] += 1
    used = [name for name, count in counts.items() if count > 0.02 * counts.total()]
    assert fewest <= len(used) <= most
    assert max(unread.values()) < 2.0 * rate


SLOW_SERVERS = [
    # slowness, unread tokens of all servers, share of 400 requests it may get at most
    pytest.param(5.0, 2_000, 0.04, id="five times slower"),
    pytest.param(1.0, 2_000, 1.0, id="as fast as the others"),
]


@pytest.mark.parametrize(("slowness", "unread", "most"), SLOW_SERVERS)
def test_slow_server_gets_less(slowness: float, unread: int, most: float) -> None:
    """Load: the first server of a part has become 5 times slower."""
    first = order("k")[0]
    loads: dict[str, ServerLoad | None] = {
        name: ServerLoad(4, unread, 0) for name in names(30)
    }
    loads[first] = ServerLoad(4, unread, 0, slowness)
    choice = router(Figures(loads))
    chosen = [pick(choice, long_prompt("k")) for _ in range(400)]
    count = sum(entry is not None and entry.backend.name == first for entry in chosen)
    assert count <= most * 400
    assert count > most * 100 or slowness > 1.0


def test_slow_server_is_tried_once_in_two_seconds() -> None:
    """Guards against a recovered server that stays slow as nobody asks it."""
    loads: dict[str, ServerLoad | None] = dict.fromkeys(names(30), IDLE)
    loads["s7"] = evolve(IDLE, slowness=5.0)
    members = [f"vm-{number:03}" for number in range(90)]
    tried = 0
    for member in members:
        choice = router(Figures(loads))
        choice.backends.shares = LimitShares(member, lambda: 90)
        choice.backends.shares.update(members)
        key = next(k for k in map(str, range(99)) if "s7" not in order(k)[:6])
        for tenth in range(200):
            entry = pick(choice, short_prompt(key), wall=1e6 + tenth / 10)
            tried += entry is not None and entry.backend.name == "s7"
            if entry is not None:
                entry.work.sent.clear()
    extra = 90 * 200 * 0.02
    assert 10 <= tried <= 10 + extra


FAILING = [
    # share of failed attempts, ejected by this router, ejected by the fleet's figures
    ({"s0": 0.45}, set(), {"s0"}),
    ({"s0": 0.29}, set(), set()),
    ({"s0": 0.45}, {"s0"}, set()),
    ({"s0": 0.4, "s1": 0.6, "s2": 0.5}, set(), {"s1", "s2"}),
    ({"s0": 0.4, "s3": 0.6}, set(), {"s3"}),
    ({f"s{n}": 0.9 for n in range(6)}, {"s0", "s1"}, set()),
]


@pytest.mark.parametrize(("failing", "own", "found"), FAILING)
def test_failing_servers_are_ejected_within_the_limits(
    failing: dict[str, float], own: set[str], found: set[str]
) -> None:
    """Load: servers fail 30% and more of the requests of all routers.

    Guards against ejecting most servers when the requests are at fault. Of 6 servers in
    3 failure domains, 2 may be ejected, one of each domain.
    """
    domains = {f"s{number}": "abc"[number % 3] for number in range(6)}
    ejected = ejected_by_fleet(
        failing, domains, frozenset(own), LimitShares(), EjectionPolicy(), 0.0
    )
    assert ejected == found


def test_failing_server_gets_no_requests_where_load_is_shared() -> None:
    """A server that fails 45% of the fleet's requests is not usable here either."""
    loads: dict[str, ServerLoad | None] = dict.fromkeys(names(6), IDLE)
    loads["s2"] = evolve(IDLE, failing=0.45)
    figures = Figures(loads)
    table = router(figures, 6).backends
    assert "s2" not in {entry.backend.name for entry in table.usable("svc", 0.0)}
    figures.on = False
    assert len(table.usable("svc", 0.0)) == 6


FULL = [
    pytest.param(evolve(IDLE, requests=105), id="more requests than slots"),
    pytest.param(evolve(IDLE, requests=28, resident=255_000), id="memory in use"),
    pytest.param(evolve(IDLE, unread=40_000), id="long queue of prompts"),
]


@pytest.mark.parametrize("load", FULL)
def test_full_server_is_avoided(load: ServerLoad) -> None:
    """Load: the other routers have filled the first server of a part."""
    loads: dict[str, ServerLoad | None] = dict.fromkeys(names(30), IDLE)
    first = order("k")[0]
    loads[first] = load
    choice = router(Figures(loads))
    chosen = [pick(choice, long_prompt("k")) for _ in range(100)]
    assert not any(entry is None or entry.backend.name == first for entry in chosen)


def test_server_without_figures_is_not_taken_for_idle() -> None:
    """Guards against a burst on a server that has restarted a moment ago."""
    loads: dict[str, ServerLoad | None] = {
        name: ServerLoad(9, 9_000, 60_000) for name in names(30)
    }
    loads[order("k")[1]] = None
    choice = router(Figures(loads))
    chosen = [pick(choice, long_prompt("k")) for _ in range(100)]
    new = [e for e in chosen if e is None or e.backend.name == order("k")[1]]
    assert len(new) < 50


@pytest.mark.parametrize("requests", [(0, 0, 0), (6, 0, 0), (9, 9, 9)])
def test_plain_requests_are_placed_without_shared_load(
    requests: tuple[int, ...],
) -> None:
    """Guards against routers of a failure domain that leave its server all at once."""
    loads: dict[str, ServerLoad | None] = {
        f"s{number}": evolve(IDLE, requests=count)
        for number, count in enumerate(requests)
    }
    assert pick(router(Figures(loads), 3), CallerRequest("r")) is None


def test_cached_orders_are_those_of_all_routers_and_bounded() -> None:
    """Guards against another order after servers left, and against growing memory."""
    orders = RendezvousOrders()
    for present in (names(30), names(20), names(33)):
        found = [name for name in orders.order("k", present) if name in present]
        assert found == sorted(present, key=lambda name: rank("k", name))
    for number in range(MAX_ORDERS + 9):
        orders.order(f"key {number}", names(3))
    assert len(orders.orders) == MAX_ORDERS
