"""Helpers that run failure scenarios in a fleet in memory, under a virtual clock."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
import trio
import trio.testing

from ebonyhold.coordination import (
    GRANT_PREFIX,
    REQUEST_PREFIX,
    RequestRow,
    from_json,
)
from ebonyhold.document import Policy
from ebonyhold.experiments._memory_fleet import MemoryFleet, ended, order
from ebonyhold.money import GrantManager, Order, Permit, verify_bills
from ebonyhold.money._exchange import TokenExchange
from ebonyhold.standins import Faults, MemoryObjects, MemoryTable

Scenario = Callable[[MemoryFleet], Awaitable[None]]

POLICY = Policy(grants="adaptive_transfer")


def run(scenario: Scenario, policy: Policy = POLICY) -> None:
    """Run a scenario in a new in-memory fleet, under a clock that skips idle time."""

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            await scenario(MemoryFleet(tasks, policy))
            tasks.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


async def begin(manager: GrantManager, order: Order) -> Permit:
    """Begin a request that must get its permit."""
    permit = await manager.begin(order)
    assert isinstance(permit, Permit)
    return permit


def request(fleet: MemoryFleet, workspace: str, name: str) -> RequestRow | None:
    """Return a request's row, read without injected faults."""
    value = fleet.table.value(f"{REQUEST_PREFIX}{workspace}/{name}")
    return None if value is None else from_json(value, RequestRow)


async def check_bills(fleet: MemoryFleet) -> None:
    """Check that no budget is overspent and all rows add up."""
    assert await verify_bills(fleet.table) == []


async def check_all_returned(fleet: MemoryFleet, workspace: str) -> None:
    """Check that all rows add up and no tokens are stranded."""
    await check_bills(fleet)
    assert fleet.budget(workspace).outstanding == 0
    assert fleet.table.matching(GRANT_PREFIX, "", 10) == []


def view_with_own_faults(fleet: MemoryFleet) -> tuple[MemoryTable, MemoryObjects]:
    """Return views of the shared table and store, with faults for one router."""
    table = MemoryTable(
        Faults(),
        fleet.table.writes,
        fleet.table.reads,
        fleet.table.rows,
        fleet.table.order,
    )
    objects = MemoryObjects(Faults(), objects=fleet.objects.objects)
    return table, objects


def exchange(manager: GrantManager) -> TokenExchange:
    """Return the exchange through which a router gives and receives tokens."""
    assert manager.exchange is not None
    return manager.exchange


async def spend(manager: GrantManager, name: str, hold: int, charge: int) -> None:
    """Run one request of the workspace `w` with a hold and a charge, in tokens."""
    permit = await begin(manager, order("w", name, hold))
    await manager.finish(permit, ended(permit, charge))
