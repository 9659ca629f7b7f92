"""Who is counted, who is asked, and who holds, by the rows of presence."""

from __future__ import annotations

import anyio
import pytest
from attrs import define, field

from ebonyhold.coordination import Put, Transaction
from ebonyhold.gateway import Presence
from ebonyhold.gateway._presence import COUNT, GONE_AFTER
from ebonyhold.standins import MemoryRows, RowHistory
from tests.virtual import anyio_backend

pytestmark = pytest.mark.anyio
__all__ = ["anyio_backend"]


@define(eq=False)
class Fleet:
    """Routers that show themselves in one store."""

    history: RowHistory = field(factory=RowHistory)
    seen: dict[str, dict[str, str]] = field(factory=dict)

    def presence(self, name: str, address: str = "10.0.0.1:1") -> Presence:
        """Return one router's presence, whose view of the fleet is kept."""
        return Presence(
            MemoryRows(self.history),
            name,
            f"{name}.a",
            address,
            f"domain-of-{name}",
            lambda fleet: self.seen.__setitem__(name, dict(fleet)),
        )


async def test_routers_that_can_be_asked_make_the_fleet() -> None:
    """A router without a port of its own would be asked for tokens in vain."""
    fleet = Fleet()
    one, two = fleet.presence("vm-1"), fleet.presence("vm-2")
    silent = fleet.presence("vm-3", address="")
    for _ in range(2):
        for presence in (one, two, silent):
            await presence.count_routers()
    assert fleet.seen["vm-1"] == {"vm-1": "domain-of-vm-1", "vm-2": "domain-of-vm-2"}
    assert one.count() == 3


@pytest.mark.parametrize(
    ("readings", "listed"), [(1, True), (GONE_AFTER - 1, True), (GONE_AFTER, False)]
)
async def test_a_router_that_shows_no_life_holds_no_more(
    readings: int, listed: bool
) -> None:
    """Each request of its workspaces would wait for it first."""
    fleet = Fleet()
    one, two = fleet.presence("vm-1"), fleet.presence("vm-2")
    await two.count_routers()
    await one.count_routers()
    for _ in range(readings):
        await anyio.sleep(COUNT)
        await one.count_routers()
    assert ("vm-2" in fleet.seen["vm-1"]) is listed


async def test_an_outage_of_the_store_takes_no_router_out_of_the_fleet() -> None:
    """All grants would move to other routers whenever the store was away."""
    fleet = Fleet()
    one, two = fleet.presence("vm-1"), fleet.presence("vm-2")
    for _ in range(2):
        await two.count_routers()
        await one.count_routers()
    await anyio.sleep(40 * COUNT)
    await one.count_routers()
    assert "vm-2" in fleet.seen["vm-1"]


async def test_a_router_that_stops_leaves_the_fleet_at_once() -> None:
    fleet = Fleet()
    one, two = fleet.presence("vm-1"), fleet.presence("vm-2")
    await two.count_routers()
    await one.count_routers()
    await two.leave()
    await one.count_routers()
    assert "vm-2" not in fleet.seen["vm-1"]


async def test_a_damaged_row_makes_no_holder() -> None:
    fleet = Fleet()
    one = fleet.presence("vm-1")
    fleet.history.apply(Transaction((), (Put("routers//vm-9", [1, 2]),)))
    await one.count_routers()
    assert set(fleet.seen["vm-1"]) == {"vm-1"}


async def test_large_fleets_count_themselves_less_often() -> None:
    """What all routers read of all others grows with the square of their number."""
    fleet = Fleet()
    one = fleet.presence("vm-1")
    for number in range(195):
        await fleet.presence(f"vm-{number + 2}").count_routers()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(one.run)
        await anyio.sleep(2.0)
        assert one.counts == 2
        await anyio.sleep(2 * COUNT)
        assert one.counts == 2
        await anyio.sleep(2 * COUNT)
        assert one.counts == 3
        tasks.cancel_scope.cancel()
