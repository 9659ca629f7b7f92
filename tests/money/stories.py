"""Running failure stories in a fleet of their own, under a virtual clock."""

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
from ebonyhold.money import Order, Permit, Treasury, verify_bills
from ebonyhold.money._exchange import TokenExchange
from ebonyhold.standins import Faults, MemoryObjects, MemoryTable

Story = Callable[[MemoryFleet], Awaitable[None]]

POLICY = Policy(grants="adaptive_transfer")


def run(story: Story, policy: Policy = POLICY) -> None:
    """Run a story."""

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            await story(MemoryFleet(tasks, policy))
            tasks.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


async def begin(treasury: Treasury, order: Order) -> Permit:
    """Begin a request that must get its permit."""
    permit = await treasury.begin(order)
    assert isinstance(permit, Permit)
    return permit


def request(fleet: MemoryFleet, workspace: str, name: str) -> RequestRow | None:
    """Return a request's row, past all faults."""
    value = fleet.table.value(f"{REQUEST_PREFIX}{workspace}/{name}")
    return None if value is None else from_json(value, RequestRow)


async def check_books(fleet: MemoryFleet) -> None:
    """Check what must hold after every story: no overspend, and all adds up."""
    assert await verify_bills(fleet.table) == []


async def check_all_returned(fleet: MemoryFleet, workspace: str) -> None:
    """Check that nothing is stranded."""
    await check_books(fleet)
    assert fleet.budget(workspace).outstanding == 0
    assert fleet.table.matching(GRANT_PREFIX, "", 10) == []


def own_view(fleet: MemoryFleet) -> tuple[MemoryTable, MemoryObjects]:
    """Give a router faults of its own towards the same table and store."""
    table = MemoryTable(
        Faults(),
        fleet.table.writes,
        fleet.table.reads,
        fleet.table.rows,
        fleet.table.order,
    )
    objects = MemoryObjects(Faults(), objects=fleet.objects.objects)
    return table, objects


def exchange(treasury: Treasury) -> TokenExchange:
    """Return what a router gives and takes tokens through."""
    assert treasury.exchange is not None
    return treasury.exchange


async def spend(treasury: Treasury, name: str, hold: int, charge: int) -> None:
    """Run one request to its end."""
    permit = await begin(treasury, order("w", name, hold))
    await treasury.finish(permit, ended(permit, charge))
