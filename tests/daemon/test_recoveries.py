"""Who recovers whom, and when."""

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

ME, OTHER, THIRD = "a.1", "b.1", "c.1"
GRACE: Seconds = 60.0


@define
class Fleet:
    """What one router knows of the others, and the recoveries it asked for.

    Attributes:
        table: Where the rows of routers are.
        me: The present incarnation.
        alive: The others believed alive.
        gone: Incarnations believed gone.
        stranded: What each recovery leaves; absent for a settled one.
        down: Whether recoveries fail.
        asked: Whose recovery was asked for, in order.
        read: Whose rows were read, in order.
    """

    table: MemoryTable = field(factory=MemoryTable)
    me: RouterId = ME
    alive: tuple[RouterId, ...] = ()
    gone: tuple[RouterId, ...] = ()
    stranded: dict[RouterId, Tokens] = field(factory=dict)
    down: bool = False
    asked: list[RouterId] = field(factory=list)
    read: list[RouterId] = field(factory=list)

    async def recover(self, router: RouterId) -> RecoveryReport:
        self.asked.append(router)
        if self.down:
            raise UnavailableError("the object store is away")
        tokens = self.stranded.get(router, 0)
        return RecoveryReport(router, closed=not tokens, stranded=tokens)

    def recoveries(self) -> Recoveries:
        return Recoveries(
            self.table,
            lambda: cast(Any, self),
            lambda: self.me,
            lambda: self.alive,
            lambda: self.gone,
            lambda router, since: since >= GRACE,
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
    assert fleet.asked == [OTHER]
    assert recoveries.closed == {OTHER}


@pytest.mark.parametrize("number", range(12))
async def test_one_survivor_recovers_each(number: int) -> None:
    """A router dies and all others recover it at once, each reading its journal.

    That is safe but multiplies the load on a platform that may be the cause;
    those who see the same survivors choose the same one.
    """
    lost = f"lost-{number}.1"
    survivors = (ME, OTHER, THIRD)
    asked: list[RouterId] = []
    for me in survivors:
        others = tuple(one for one in survivors if one != me)
        fleet = Fleet(me=me, alive=others, gone=(lost,))
        await fleet.recoveries().recover_gone()
        asked += [me] * len(fleet.asked)
    assert asked == [responsible(lost, survivors)]


async def test_unsettled_recovery_is_tried_again() -> None:
    fleet = Fleet(gone=(OTHER,), stranded={OTHER: 40})
    recoveries = fleet.recoveries()
    await recoveries.recover_gone()
    assert recoveries.stranded == {OTHER: 40}
    fleet.stranded.clear()
    await recoveries.recover_gone()
    await recoveries.recover_gone()
    assert recoveries.stranded == {}
    assert fleet.asked == [OTHER, OTHER]


async def test_platform_is_away() -> None:
    """The object store is away when a router dies; later nobody recovers it.

    A failed look must not end the task.
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


async def test_one_hopeless_router_does_not_hold_up_the_others() -> None:
    """Two routers die, and the budget of the second is never given back.

    The first one's recovery fails at each look, and a look that ended there
    would never come to the second.
    """
    fleet = Fleet(gone=(OTHER, THIRD))
    recoveries = fleet.recoveries()
    whole = fleet.recover

    async def fail_for_other(router: RouterId) -> RecoveryReport:
        if router == OTHER:
            raise UnavailableError("its journal cannot be read")
        return await whole(router)

    recoveries.make_recovery = lambda: cast(Any, Failing(fail_for_other))
    await run_for(recoveries, 30.0)
    assert recoveries.closed == {THIRD}


@define
class Failing:
    """A recovery that does as a test says."""

    recover: Any


async def test_nobody_knew_the_routers_before_a_total_restart() -> None:
    """All routers start anew, and what the old ones held stays stranded.

    Nobody's heartbeats tell of them; only their rows in the table do.  They get
    the grace in which one that is merely unheard of would be heard.
    """
    fleet = Fleet()
    await fleet.register(OTHER, RouterState.OPEN)
    await fleet.register(THIRD, RouterState.CLOSED)
    await fleet.register(ME, RouterState.OPEN)
    recoveries = fleet.recoveries()
    await run_for(recoveries, GRACE / 2)
    assert fleet.asked == []
    await run_for(recoveries, GRACE + 4 * SCAN_INTERVAL)
    assert fleet.asked == [OTHER]


async def test_open_rows_are_read_at_the_first_look() -> None:
    """Guards against a router that died unmet and is looked for half a minute later."""
    fleet = Fleet(alive=(THIRD,))
    await fleet.register(ME, RouterState.OPEN)
    await fleet.register(OTHER, RouterState.OPEN)
    await fleet.register(THIRD, RouterState.OPEN)
    await fleet.register("d.1", RouterState.CLOSED)
    await fleet.register("e.1", RouterState.SEALED)
    await run_for(fleet.recoveries(), 2 * RECOVERY_INTERVAL)
    assert fleet.read == [OTHER, "e.1"]


class AwayTable(MemoryTable):
    """A table whose rows cannot be scanned."""

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        raise UnavailableError("the table is away")


class SilentTable(MemoryTable):
    """A table that does not answer scans."""

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        await anyio.sleep_forever()
        return []


@pytest.mark.parametrize(
    ("table", "read"),
    [(MemoryTable(), [OTHER]), (AwayTable(), []), (SilentTable(), [])],
    ids=["there", "away", "silent"],
)
async def test_start_looks_around_without_waiting_for_the_table(
    table: MemoryTable, read: list[RouterId]
) -> None:
    """Guards against a start that hangs, or ends, because rows cannot be read."""
    fleet = Fleet(table)
    await fleet.register(OTHER, RouterState.OPEN)
    with anyio.fail_after(2 * START_SCAN_TIMEOUT):
        await fleet.recoveries().scan_at_start()
    assert fleet.read == read


async def test_router_heard_again_within_the_grace() -> None:
    """A router that was unheard of for a while is sealed in the midst of its work.

    Being heard once begins the grace anew.
    """
    fleet = Fleet()
    await fleet.register(OTHER, RouterState.OPEN)
    recoveries = fleet.recoveries()
    assert await recoveries.scan() == set()
    await anyio.sleep(GRACE - 1)
    fleet.alive = (OTHER,)
    assert await recoveries.scan() == set()
    fleet.alive = ()
    await anyio.sleep(GRACE - 1)
    assert await recoveries.scan() == set()
    await anyio.sleep(GRACE)
    assert await recoveries.scan() == {OTHER}


async def test_own_earlier_incarnation() -> None:
    """A sealed router is its own only survivor, and settles what it was before."""
    fleet = Fleet(me="a.2", gone=("a.1", "a.2"))
    await fleet.recoveries().recover_gone()
    assert fleet.asked == ["a.1"]
