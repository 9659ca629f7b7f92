"""Placement orders: the lease, fencing numbers and late orders."""

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
        pytest.param([], None, id="no engines"),
        pytest.param([engine("a")], "load a", id="not loaded anywhere"),
        pytest.param(
            [engine("a", MODEL), engine("b"), engine("c", domain="d1")],
            "load c",
            id="another domain first",
        ),
        pytest.param([engine("a", MODEL), engine("b", MODEL)], None, id="enough"),
        pytest.param(
            [engine("a", MODEL), engine("b", MODEL, usable=False), engine("c")],
            "load c",
            id="an unusable one does not count",
        ),
        pytest.param(
            [engine("a", MODEL), engine("b", "x", "y")], None, id="no engine has room"
        ),
    ],
)
def test_minimum_engines(engines: list[EngineView], order: str | None) -> None:
    decided = Placement(QUICK).decide([MODEL], engines, [], 0.0)
    assert (decided and f"{decided.action.value} {decided.backend}") == order


def test_oscillating_load_loads_no_model() -> None:
    """The load crosses the threshold every few seconds; no model must be loaded."""
    placement = Placement(QUICK)
    for second in range(120):
        load = 16 if second % 8 < 6 else 8
        engines = [engine("a", MODEL, load=load), engine("b", MODEL, load=load)]
        engines.append(engine("c"))
        assert placement.decide([MODEL], engines, [], float(second)) is None


def test_lasting_load_orders_one_load_at_a_time() -> None:
    """All engines that serve the model stay full.

    One more engine is ordered to load it; no second order follows before the model is
    reported as loaded.
    """
    placement = Placement(QUICK)
    engines = [engine("a", MODEL, load=16), engine("b", MODEL, load=16)]
    engines += [engine("c"), engine("d")]
    orders = [placement.decide([MODEL], engines, [], float(at)) for at in range(60)]
    assert [item.backend for item in orders if item] == ["c"]


def test_an_idle_model_is_unloaded_where_another_is_loaded() -> None:
    placement = Placement(QUICK)
    engines = [engine(name, MODEL, "other") for name in ("a", "b", "c")]
    orders = [
        placement.decide([MODEL], engines, [], float(at)) for at in range(0, 90, 5)
    ]
    assert [item.action for item in orders if item][:1] == [Action.UNLOAD]
    assert orders[0] is None


def test_an_engine_with_a_pending_unload_does_not_count() -> None:
    """An earlier holder of the lease ordered an unload, and the outcome is unknown.

    The engine must not count as serving the model, so a third engine must load it.
    """
    engines = [engine("a", MODEL), engine("b", MODEL), engine("c")]
    pending = OrderRow(EngineOrder("b", Action.UNLOAD, MODEL), 1)
    order = Placement(QUICK).decide([MODEL], engines, [pending], 0.0)
    assert order == EngineOrder("c", Action.LOAD, MODEL)


@define
class Rig:
    """Two routers that compete for the lease, and three engines.

    Attributes:
        table: The table with the lease and the unload orders.
        servers: The engines by name.
        holders: The `PlacementHolder` of each router.
    """

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
            Placement(PlacementPolicy(min_engines=2)),
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
            await holder.run_round()
        await rig.poll()
    first, second = rig.holders
    assert first.held is not None
    assert second.held is None
    orders = [order for server in rig.servers.values() for order in server.orders]
    assert orders == ["load assistant 1"] * 2


@pytest.mark.anyio
@pytest.mark.parametrize("checks_fencing", [True, False])
async def test_a_paused_holder_sends_its_order_late(checks_fencing: bool) -> None:
    """A router is paused after checking its lease; its unload order arrives late.

    Another router holds the lease by then.  An engine that checks fencing numbers
    refuses the order; one that does not executes it.  In both cases at least two
    engines must still have the model.
    """
    rig = make_rig(checks_fencing)
    old, new = rig.holders
    rig.servers["e0"].models = {MODEL, "other"}
    rig.servers["e1"].models = {MODEL}
    await rig.poll()
    await old.run_round()
    assert old.held is not None
    release = anyio.Event()
    rig.servers["e0"].order_delay = release
    unload = EngineOrder("e0", Action.UNLOAD, MODEL)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(old.issue, unload, old.held)
        await anyio.sleep(1.0)
        rig.servers["e0"].order_delay = None
        for _ in range(12):
            await new.run_round()
            await rig.poll()
            await anyio.sleep(3.0)
        assert new.held is not None
        assert new.held.row.fencing == 2
        await deliver_late(rig, unload, old.held.row.fencing)
        release.set()
    for _ in range(3):
        await rig.poll()
        await new.run_round()
    assert ("unload assistant 1" in rig.servers["e0"].orders) is not checks_fencing
    loaded = [name for name, server in rig.servers.items() if MODEL in server.models]
    assert len(loaded) >= 2
    if checks_fencing:
        assert await rig.table.scan("order/") == []


async def deliver_late(rig: Rig, unload: EngineOrder, fencing: int) -> None:
    """Deliver an unload order after its sender's timeout."""
    await rig.servers[unload.backend].execute_order(
        {"order": unload.action.value, "model": unload.model, "fencing": fencing}
    )
