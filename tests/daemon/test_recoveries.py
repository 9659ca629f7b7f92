"""Which router recovers a failed incarnation, and when."""

from __future__ import annotations

import random
from typing import Any, cast

import anyio
import pytest
from attrs import define, field

from ebonyhold.coordination import (
    Put,
    RouterRow,
    RouterState,
    Row,
    Transaction,
    responsible,
    router_key,
    to_json,
)
from ebonyhold.daemon._recoveries import (
    RECOVERY_INTERVAL,
    SCAN_INTERVAL,
    START_SCAN_TIMEOUT,
    Recoveries,
)
from ebonyhold.exceptions import UnavailableError
from ebonyhold.money import RecoveryReport
from ebonyhold.standins import MemoryTable
from ebonyhold.types import RouterId, Seconds, Tokens
from tests.virtual import anyio_backend

__all__ = ["anyio_backend"]

pytestmark = pytest.mark.anyio

OWN, OTHER, THIRD = "a.1", "b.1", "c.1"
UNKNOWN_GRACE: Seconds = 60.0


@define
class Fleet:
    """One router's view of the fleet, and a fake recovery that records its calls.

    Attributes:
        table: The table with the rows of routers.
        me: The current incarnation.
        alive: The other routers believed alive.
        gone: The incarnations believed to have failed.
        stranded: Tokens that the recovery of each incarnation can't return; those
            without an entry are settled completely.
        down: Whether recoveries fail.
        attempted: Incarnations whose recovery was attempted, in order.
        read: Incarnations whose rows were added to the members, in order.
    """

    table: MemoryTable = field(factory=MemoryTable)
    me: RouterId = OWN
    alive: tuple[RouterId, ...] = ()
    gone: tuple[RouterId, ...] = ()
    stranded: dict[RouterId, Tokens] = field(factory=dict)
    down: bool = False
    attempted: list[RouterId] = field(factory=list)
    read: list[RouterId] = field(factory=list)

    async def recover(self, router: RouterId) -> RecoveryReport:
        self.attempted.append(router)
        if self.down:
            raise UnavailableError("the object store is unavailable")
        tokens = self.stranded.get(router, 0)
        return RecoveryReport(router, closed=not tokens, stranded=tokens)

    def recoveries(self) -> Recoveries:
        return Recoveries(
            self.table,
            lambda: cast(Any, self),
            lambda: self.me,
            lambda: self.alive,
            lambda: self.gone,
            lambda router, since: since >= UNKNOWN_GRACE,
            lambda router, row: self.read.append(router),
            random.Random(7),
        )

    async def register(self, router: RouterId, state: RouterState) -> None:
        row = RouterRow(state, "domain", "10.0.0.1:1", 0.0)
        write = Put(router_key(router), to_json(row))
        await self.table.commit(Transaction((), (write,)))


async def run_for(recoveries: Recoveries, seconds: Seconds) -> None:
    with anyio.move_on_after(seconds):
        await recoveries.run()


async def test_gone_router_is_recovered_once() -> None:
    fleet = Fleet(gone=(OTHER,))
    recoveries = fleet.recoveries()
    await run_for(recoveries, 30.0)
    assert fleet.attempted == [OTHER]
    assert recoveries.closed == {OTHER}


@pytest.mark.parametrize("number", range(12))
async def test_one_survivor_recovers_each(number: int) -> None:
    """Guards against all routers recovering a failed one at the same time.

    That is safe, but each reads the journal, which loads a platform that may be the
    cause of the failure. Routers with the same view of survivors choose the same one.
    """
    lost = f"lost-{number}.1"
    survivors = (OWN, OTHER, THIRD)
    attempted: list[RouterId] = []
    for me in survivors:
        others = tuple(one for one in survivors if one != me)
        fleet = Fleet(me=me, alive=others, gone=(lost,))
        await fleet.recoveries().recover_gone()
        attempted += [me] * len(fleet.attempted)
    assert attempted == [responsible(lost, survivors)]


async def test_unsettled_recovery_is_repeated() -> None:
    fleet = Fleet(gone=(OTHER,), stranded={OTHER: 40})
    recoveries = fleet.recoveries()
    await recoveries.recover_gone()
    assert recoveries.stranded == {OTHER: 40}
    fleet.stranded.clear()
    await recoveries.recover_gone()
    await recoveries.recover_gone()
    assert recoveries.stranded == {}
    assert fleet.attempted == [OTHER, OTHER]


async def test_platform_is_unavailable() -> None:
    """Guards against a failed check that ends the recovery task.

    The object store is unavailable when a router fails, and available again later.
    """
    fleet = Fleet(gone=(OTHER,), down=True)
    recoveries = fleet.recoveries()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(recoveries.run)
        await anyio.sleep(30.0)
        assert not recoveries.closed
        fleet.down = False
        await anyio.sleep(30.0)
        tasks.cancel_scope.cancel()
    assert recoveries.closed == {OTHER}


async def test_failing_recovery_does_not_block_the_others() -> None:
    """Guards against tokens that are never returned because another recovery fails.

    Two routers fail. The recovery of the first fails at each check, and the check must
    still reach the second.
    """
    fleet = Fleet(gone=(OTHER, THIRD))
    recoveries = fleet.recoveries()
    succeed = fleet.recover

    async def fail_for_other(router: RouterId) -> RecoveryReport:
        if router == OTHER:
            raise UnavailableError("its journal cannot be read")
        return await succeed(router)

    recoveries.make_recovery = lambda: cast(Any, FakeRecovery(fail_for_other))
    await run_for(recoveries, 30.0)
    assert recoveries.closed == {THIRD}


@define
class FakeRecovery:
    """A recovery whose `recover` a test supplies."""

    recover: Any


async def test_routers_from_before_a_total_restart() -> None:
    """Guards against tokens that stay stranded after a restart of all routers.

    The earlier incarnations send no heartbeats and are found only by their rows. They
    are recovered after `UNKNOWN_GRACE`, in which a running router would be noticed.
    """
    fleet = Fleet()
    await fleet.register(OTHER, RouterState.OPEN)
    await fleet.register(THIRD, RouterState.CLOSED)
    await fleet.register(OWN, RouterState.OPEN)
    recoveries = fleet.recoveries()
    await run_for(recoveries, UNKNOWN_GRACE / 2)
    assert fleet.attempted == []
    await run_for(recoveries, UNKNOWN_GRACE + 4 * SCAN_INTERVAL)
    assert fleet.attempted == [OTHER]


async def test_open_rows_are_added_at_the_first_check() -> None:
    """Guards against unknown failed routers that are found only by the second scan."""
    fleet = Fleet(alive=(THIRD,))
    await fleet.register(OWN, RouterState.OPEN)
    await fleet.register(OTHER, RouterState.OPEN)
    await fleet.register(THIRD, RouterState.OPEN)
    await fleet.register("d.1", RouterState.CLOSED)
    await fleet.register("e.1", RouterState.SEALED)
    await run_for(fleet.recoveries(), 2 * RECOVERY_INTERVAL)
    assert fleet.read == [OTHER, "e.1"]


class UnavailableTable(MemoryTable):
    """A table whose scans fail."""

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        raise UnavailableError("the table is unavailable")


class SilentTable(MemoryTable):
    """A table whose scans never return."""

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        await anyio.sleep_forever()
        return []


@pytest.mark.parametrize(
    ("table", "read"),
    [(MemoryTable(), [OTHER]), (UnavailableTable(), []), (SilentTable(), [])],
    ids=["there", "away", "silent"],
)
async def test_start_does_not_wait_for_the_table(
    table: MemoryTable, read: list[RouterId]
) -> None:
    """Guards against a start that hangs or fails because rows can't be read."""
    fleet = Fleet(table)
    await fleet.register(OTHER, RouterState.OPEN)
    with anyio.fail_after(2 * START_SCAN_TIMEOUT):
        await fleet.recoveries().scan_at_start()
    assert fleet.read == read


async def test_router_alive_again_within_the_grace() -> None:
    """Guards against sealing a running router that was not alive for a while.

    The grace period starts again once the router has been alive in between.
    """
    fleet = Fleet()
    await fleet.register(OTHER, RouterState.OPEN)
    recoveries = fleet.recoveries()
    assert await recoveries.scan() == set()
    await anyio.sleep(UNKNOWN_GRACE - 1)
    fleet.alive = (OTHER,)
    assert await recoveries.scan() == set()
    fleet.alive = ()
    await anyio.sleep(UNKNOWN_GRACE - 1)
    assert await recoveries.scan() == set()
    await anyio.sleep(UNKNOWN_GRACE)
    assert await recoveries.scan() == {OTHER}


async def test_own_earlier_incarnation() -> None:
    """A router recovers its own earlier incarnation if no other router is alive."""
    fleet = Fleet(me="a.2", gone=("a.1", "a.2"))
    await fleet.recoveries().recover_gone()
    assert fleet.attempted == ["a.1"]
