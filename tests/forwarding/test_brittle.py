"""Servers that state that they are brittle, and the requests that wait for them."""

from __future__ import annotations

import anyio
import pytest
from attrs import evolve

from ebonyhold.coordination import LimitShares
from ebonyhold.forwarding import AnswerFacts, BackendTable
from ebonyhold.forwarding._place_queue import PlaceQueue, wait_until
from ebonyhold.forwarding._withheld import Cause
from ebonyhold.platform import PlatformDialect
from tests.forwarding.kit import Server
from tests.forwarding.test_attempts import good
from tests.virtual import anyio_backend

pytestmark = pytest.mark.anyio
__all__ = ["anyio_backend"]

FACTS = AnswerFacts("", b"", False, False)

STATED = [
    # value of the field, whether it states that the server is brittle
    (b"3", True),
    (b"0", True),
    (b"2.5", True),
    (b"", False),
    (b"yes", False),
    (b"-1", False),
    (b"1e3", False),
]


def table_of(*names: str) -> BackendTable:
    """Return a table of servers with 4 places each, for a fleet of one router."""
    table = BackendTable()
    table.shares = LimitShares("vm-1", lambda: 1)
    table.shares.update(["vm-1"])
    for name in names:
        table.update(Server(name, good).backend())
    return table


def state(table: BackendTable, name: str, brittle: bool, now: float) -> None:
    """Record an answer of a server that states whether it is brittle."""
    facts = evolve(FACTS, brittle=brittle)
    table.record_statements(table.entries[name], facts, now)


def room(table: BackendTable, name: str, now: float) -> int:
    """Return how many requests a server may get at once."""
    entry, before = table.entries[name], table.entries[name].in_flight
    while table.withheld(entry, now) is None and entry.in_flight < 99:
        entry.in_flight += 1
    entry.in_flight, found = before, entry.in_flight
    return found


@pytest.mark.parametrize(("value", "brittle"), STATED)
def test_field_is_read(value: bytes, brittle: bool) -> None:
    facts = PlatformDialect().read_answer(200, [(b"server-brittle", value)])
    assert facts.brittle is brittle


def test_brittle_server_gets_no_more_than_its_places() -> None:
    """A brittle server must not have to turn requests of this router away."""
    table = table_of("i-1")
    assert room(table, "i-1", 1.0) == 99
    state(table, "i-1", True, 1.0)
    assert room(table, "i-1", 1.0) == 4


def test_server_that_returns_in_a_brittle_service_starts_with_one_request() -> None:
    """A server that has fallen must not get as many requests as before at once."""
    table = table_of("i-1", "i-2")
    state(table, "i-1", True, 1.0)
    table.update(evolve(table.entries["i-2"].backend, started_at=2), 2.0)
    assert room(table, "i-2", 2.0) == 1
    table.succeeded(table.entries["i-2"])
    assert room(table, "i-2", 2.0) == 2


def test_brittleness_ends_with_the_statement() -> None:
    """A service that is sound again must not stay limited, nor flap by late answers."""
    table = table_of("i-1", "i-2")
    state(table, "i-1", True, 1.0)
    state(table, "i-2", True, 1.0)
    state(table, "i-1", False, 1.5)
    assert (room(table, "i-1", 1.5), room(table, "i-2", 1.5)) == (99, 4)
    state(table, "i-1", False, 2.5)
    assert (room(table, "i-1", 2.5), room(table, "i-2", 2.5)) == (99, 99)


def test_sound_server_beside_brittle_ones_is_not_limited() -> None:
    """What one server states must not bind another one that answers without it."""
    table = table_of("i-1", "i-2")
    state(table, "i-1", True, 1.0)
    state(table, "i-2", False, 1.2)
    state(table, "i-1", True, 1.4)
    assert (room(table, "i-1", 1.5), room(table, "i-2", 1.5)) == (4, 99)


def test_request_by_way_of_a_relay_does_not_use_this_router_s_share() -> None:
    """The sending router's share must count, and it alone."""
    table = table_of("i-1")
    state(table, "i-1", True, 1.0)
    entry = table.entries["i-1"]
    entry.in_flight = 4
    withheld = table.withheld(entry, 1.0)
    assert withheld is not None and withheld.cause is Cause.BRITTLE
    assert table.withheld(entry, 1.0, relayed=True) is None


async def test_most_urgent_request_gets_the_first_place() -> None:
    """A free place must go to the most urgent request, then to the longest wait."""
    queue, order = PlaceQueue(), []

    async def wait(name: str, priority: int) -> None:
        if await queue.wait("svc", priority, 10.0, 9):
            order.append(name)

    async with anyio.create_task_group() as tasks:
        for name, priority in (("a", 5), ("b", 1), ("c", 5), ("d", 0)):
            tasks.start_soon(wait, name, priority)
            await anyio.sleep(0.1)
        for _ in range(4):
            queue.free("svc")
            await anyio.sleep(0.1)
    assert order == ["d", "b", "a", "c"]


async def test_wait_for_a_place_is_bounded() -> None:
    """A request that gets no place must be refused while its caller can return."""
    queue = PlaceQueue()
    start = anyio.current_time()
    until = wait_until(start, target=0.4, deadline=start + 0.8)
    assert not await queue.wait("svc", 5, until, 9)
    assert anyio.current_time() - start == pytest.approx(0.2)
    assert not await queue.wait("svc", 5, start + 9.0, 0)
    assert not queue.waiting["svc"]
