"""Orders to engines: one holder, fencing numbers, and late orders of a paused one."""

from __future__ import annotations

import anyio
import pytest
from attrs import define, evolve

from ebonyhold.backends import Backends, PlacementHolder
from ebonyhold.coordination import (
    Action,
    EngineOrder,
    EngineView,
    OrderRow,
    Placement,
    PlacementPolicy,
)
from ebonyhold.fleet import FleetView
from ebonyhold.standins import MemoryTable
from tests.backends.kit import Engine, Fleet
from tests.callers.kit import make_document

MODEL = "assistant"
QUICK = PlacementPolicy(up_after=10.0, down_after=60.0)


def engine(
    name: str,
    *loaded: str,
    load: int = 0,
    domain: str = "d0",
    usable: bool = True,
) -> EngineView:
    models = frozenset(loaded)
    allowed = frozenset({MODEL, "other"})
    return EngineView(name, domain, 16, load, models, allowed, usable)


@pytest.mark.parametrize(
    ("engines", "order"),
    [
        pytest.param([], None, id="nobody"),
        pytest.param([engine("a")], "load a", id="first one"),
        pytest.param(
            [engine("a", MODEL), engine("b"), engine("c", domain="d1")],
            "load c",
            id="another domain first",
        ),
        pytest.param([engine("a", MODEL), engine("b", MODEL)], None, id="enough"),
        pytest.param(
            [engine("a", MODEL), engine("b", MODEL, usable=False), engine("c")],
            "load c",
            id="a leaving one does not count",
        ),
        pytest.param(
            [engine("a", MODEL), engine("b", "x", "y")], None, id="no place for it"
        ),
    ],
)
def test_least_engines(engines: list[EngineView], order: str | None) -> None:
    given = Placement(QUICK).decide([MODEL], engines, [], 0.0)
    assert (given and f"{given.action.value} {given.backend}") == order


def test_demand_that_swings_changes_nothing() -> None:
    """Load crosses the threshold every few seconds; no model is loaded for it."""
    placement = Placement(QUICK)
    for second in range(120):
        load = 16 if second % 8 < 6 else 8
        engines = [engine("a", MODEL, load=load), engine("b", MODEL, load=load)]
        engines.append(engine("c"))
        assert placement.decide([MODEL], engines, [], float(second)) is None


def test_lasting_demand_loads_once_at_a_time() -> None:
    """All engines stay full: one load is ordered, and no other while it lasts."""
    placement = Placement(QUICK)
    engines = [engine("a", MODEL, load=16), engine("b", MODEL, load=16)]
    engines += [engine("c"), engine("d")]
    given = [placement.decide([MODEL], engines, [], float(at)) for at in range(60)]
    assert [item.backend for item in given if item] == ["c"]


def test_an_idle_model_is_dropped_where_another_one_is() -> None:
    placement = Placement(QUICK)
    engines = [engine(name, MODEL, "other") for name in ("a", "b", "c")]
    given = [
        placement.decide([MODEL], engines, [], float(at)) for at in range(0, 90, 5)
    ]
    assert [item.action for item in given if item][:1] == [Action.UNLOAD]
    assert given[0] is None


def test_an_unanswered_drop_is_not_counted_on() -> None:
    """An earlier holder decided to drop a model and nobody knows whether it will.

    The model is loaded on a third engine before anything else.
    """
    engines = [engine("a", MODEL), engine("b", MODEL), engine("c")]
    doubt = OrderRow(EngineOrder("b", Action.UNLOAD, MODEL), 1)
    given = Placement(QUICK).decide([MODEL], engines, [doubt], 0.0)
    assert given == EngineOrder("c", Action.LOAD, MODEL)


@define
class Rig:
    """Two routers that want to order, and three engines."""

    table: MemoryTable
    servers: dict[str, Engine]
    holders: list[PlacementHolder]

    async def poll(self) -> None:
        for holder in self.holders:
            holder.backends.refresh()
            for state in holder.engines():
                await holder.backends.poll(state)


def make_rig(checks_fencing: bool) -> Rig:
    document = make_document(engines=3, service_count=0)
    backends = tuple(
        evolve(item, checks_fencing=checks_fencing) for item in document.backends
    )
    document = evolve(document, backends=backends)
    servers = {item.name: Engine(checks_fencing=checks_fencing) for item in backends}
    transport = Fleet({item.address: servers[item.name] for item in backends})
    table = MemoryTable()
    holders = [
        PlacementHolder(
            lambda index=index: f"r{index}.1",  # type: ignore[misc]
            table,
            Backends(FleetView(document, 1, "d0"), transport=transport),
            Placement(PlacementPolicy(least=2)),
            clock=lambda: 1000.0,
        )
        for index in range(2)
    ]
    return Rig(table, servers, holders)


@pytest.mark.anyio
async def test_one_holder_at_a_time() -> None:
    rig = make_rig(checks_fencing=True)
    await rig.poll()
    for _ in range(4):
        for holder in rig.holders:
            await holder.round()
        await rig.poll()
    first, second = rig.holders
    assert first.held is not None
    assert second.held is None
    orders = [order for server in rig.servers.values() for order in server.orders]
    assert orders == ["load assistant 1"] * 2


@pytest.mark.anyio
@pytest.mark.parametrize("checks_fencing", [True, False])
async def test_a_paused_holder_wakes_up(checks_fencing: bool) -> None:
    """A holder checks its lease, is paused, and its drop arrives much later.

    Meanwhile another router has taken the lease.  An engine that checks numbers
    refuses the drop.  One that does not obeys it; by then the model is on a
    further engine, so two still serve it, and no caller is refused for it.
    """
    rig = make_rig(checks_fencing)
    old, new = rig.holders
    rig.servers["e0"].models = {MODEL, "other"}
    rig.servers["e1"].models = {MODEL}
    await rig.poll()
    await old.round()
    assert old.held is not None
    road = anyio.Event()
    rig.servers["e0"].order_delay = road
    drop = EngineOrder("e0", Action.UNLOAD, MODEL)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(old.give, drop, old.held)
        await anyio.sleep(1.0)
        rig.servers["e0"].order_delay = None
        for _ in range(12):
            await new.round()
            await rig.poll()
            await anyio.sleep(3.0)
        assert new.held is not None
        assert new.held.row.fencing == 2
        await arrive_late(rig, drop, old.held.row.fencing)
        road.set()
    for _ in range(3):
        await rig.poll()
        await new.round()
    assert ("unload assistant 1" in rig.servers["e0"].orders) is not checks_fencing
    having = [name for name, server in rig.servers.items() if MODEL in server.models]
    assert len(having) >= 2
    if checks_fencing:
        assert await rig.table.scan("order/") == []


async def arrive_late(rig: Rig, drop: EngineOrder, fencing: int) -> None:
    """Let the drop arrive that its sender has long given up."""
    await rig.servers[drop.backend].obey(
        {"order": drop.action.value, "model": drop.model, "fencing": fencing}
    )
