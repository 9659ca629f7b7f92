"""Presence rows show the number of routers and which ones can be holders."""

from __future__ import annotations

import anyio
import pytest
from attrs import define, field

from ebonyhold.coordination import Put, Transaction
from ebonyhold.gateway import Presence
from ebonyhold.gateway._presence import COUNT_INTERVAL, GONE_AFTER_READINGS
from ebonyhold.standins import MemoryRows, RowHistory
from tests.virtual import anyio_backend

pytestmark = pytest.mark.anyio
__all__ = ["anyio_backend"]


@define(eq=False)
class FleetRig:
    """Routers that share one store."""

    history: RowHistory = field(factory=RowHistory)
    reported: dict[str, dict[str, str]] = field(factory=dict)

    def presence(self, name: str, address: str = "10.0.0.1:1") -> Presence:
        """Return one router's presence; each count stores its fleet in `reported`."""
        return Presence(
            MemoryRows(self.history),
            name,
            f"{name}.a",
            address,
            f"domain-of-{name}",
            lambda fleet: self.reported.__setitem__(name, dict(fleet)),
        )


async def test_fleet_contains_routers_with_an_address() -> None:
    """A router without an address is counted but cannot be a holder.

    No other router could request tokens from it.
    """
    fleet = FleetRig()
    one, two = fleet.presence("vm-1"), fleet.presence("vm-2")
    unreachable = fleet.presence("vm-3", address="")
    for _ in range(2):
        for presence in (one, two, unreachable):
            await presence.count_routers()
    assert fleet.reported["vm-1"] == {
        "vm-1": "domain-of-vm-1",
        "vm-2": "domain-of-vm-2",
    }
    assert one.count() == 3


@pytest.mark.parametrize(
    ("readings", "listed"),
    [(1, True), (GONE_AFTER_READINGS - 1, True), (GONE_AFTER_READINGS, False)],
)
async def test_router_with_unchanged_row_leaves_fleet(
    readings: int, listed: bool
) -> None:
    """A router was killed, so its row does not change any more.

    While it counts as a holder, each request for tokens of its workspaces first waits
    for an answer from it.
    """
    fleet = FleetRig()
    one, two = fleet.presence("vm-1"), fleet.presence("vm-2")
    await two.count_routers()
    await one.count_routers()
    for _ in range(readings):
        await anyio.sleep(COUNT_INTERVAL)
        await one.count_routers()
    assert ("vm-2" in fleet.reported["vm-1"]) is listed


async def test_store_outage_keeps_routers_in_fleet() -> None:
    """During an outage of the store, no row changes although all routers are alive.

    If the outage removed them from the fleet, other routers would become holders.
    """
    fleet = FleetRig()
    one, two = fleet.presence("vm-1"), fleet.presence("vm-2")
    for _ in range(2):
        await two.count_routers()
        await one.count_routers()
    await anyio.sleep(40 * COUNT_INTERVAL)
    await one.count_routers()
    assert "vm-2" in fleet.reported["vm-1"]


async def test_stopped_router_leaves_fleet_at_once() -> None:
    fleet = FleetRig()
    one, two = fleet.presence("vm-1"), fleet.presence("vm-2")
    await two.count_routers()
    await one.count_routers()
    await two.leave()
    await one.count_routers()
    assert "vm-2" not in fleet.reported["vm-1"]


async def test_damaged_row_is_not_in_fleet() -> None:
    fleet = FleetRig()
    one = fleet.presence("vm-1")
    fleet.history.apply(Transaction((), (Put("routers//vm-9", [1, 2]),)))
    await one.count_routers()
    assert set(fleet.reported["vm-1"]) == {"vm-1"}


async def test_large_fleet_is_counted_less_often() -> None:
    """With a fixed interval, the rows read by all routers would grow quadratically."""
    fleet = FleetRig()
    one = fleet.presence("vm-1")
    for number in range(195):
        await fleet.presence(f"vm-{number + 2}").count_routers()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(one.run)
        await anyio.sleep(2.0)
        assert one.counts == 2
        await anyio.sleep(2 * COUNT_INTERVAL)
        assert one.counts == 2
        await anyio.sleep(2 * COUNT_INTERVAL)
        assert one.counts == 3
        tasks.cancel_scope.cancel()
