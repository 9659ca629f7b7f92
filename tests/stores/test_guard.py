"""The guard of the table and the object store, under a virtual clock."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress

import anyio
import pytest
from attrs import evolve
from trio.testing import MockClock

from ebonyhold.coordination import (
    Absent,
    BreakerPolicy,
    BreakerState,
    Put,
    Transaction,
)
from ebonyhold.exceptions import (
    ConflictError,
    PlatformError,
    ThrottledError,
    UnavailableError,
    UnknownOutcomeError,
)
from ebonyhold.standins import Faults, MemoryObjects, MemoryTable
from ebonyhold.stores import (
    Guard,
    GuardedObjects,
    GuardedTable,
    GuardPolicy,
    Priority,
    RefusedHereError,
)

PUT = Transaction((Absent("a"),), (Put("a", 1),))
POLICY = GuardPolicy(writes=40.0, reads=100.0, most_wait=5.0)


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test under a virtual clock that jumps over idle time."""
    clock = MockClock(autojump_threshold=0)
    anyio.run(test, backend="trio", backend_options={"clock": clock})


def guarded(table: MemoryTable, policy: GuardPolicy = POLICY) -> GuardedTable:
    return GuardedTable(table, Guard(policy, random.Random(7)))


def is_closed(made: GuardedTable) -> bool:
    return made.guard.breaker.state is BreakerState.CLOSED


def write(key: str) -> Transaction:
    return Transaction((), (Put(key, 1),))


def test_ceiling_holds_and_is_used() -> None:
    """A flood of writes reaches the table at the rate, and none is lost."""

    async def test() -> None:
        table = MemoryTable()
        made = guarded(table, evolve(POLICY, most_waiting=1000, most_wait=60.0))
        view = made.for_class(Priority.BILLS)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(made.run)
            async with anyio.create_task_group() as writers:
                for number in range(420):
                    writers.start_soon(view.commit, write(f"k/{number}"))
            assert len(table.rows) == 420
            assert anyio.current_time() == pytest.approx((420 - 20) / 40.0, rel=0.02)
            tasks.cancel_scope.cancel()

    run(test)


def test_classes_share_the_ceiling() -> None:
    """Housekeeping floods the table while a few bills wait.

    Without shares, bills would come last and budgets run dry; with strict
    ranks, housekeeping would never come.
    """

    async def test() -> None:
        table = MemoryTable()
        made = guarded(table, evolve(POLICY, most_wait=1000.0))
        order: list[Priority] = []

        async def one(priority: Priority, number: int) -> None:
            await made.for_class(priority).commit(write(f"{priority}/{number}"))
            order.append(priority)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(made.run)
            async with anyio.create_task_group() as writers:
                for number in range(200):
                    writers.start_soon(one, Priority.HOUSEKEEPING, number)
                await anyio.sleep(0.1)
                for number in range(80):
                    writers.start_soon(one, Priority.BILLS, number)
            tasks.cancel_scope.cancel()
        last_bill = len(order) - 1 - order[::-1].index(Priority.BILLS)
        before = Counter(order[: last_bill + 1])
        assert before[Priority.BILLS] == 80
        share = before[Priority.HOUSEKEEPING] - 24
        assert share == pytest.approx(80 / 8, abs=1)

    run(test)


def test_full_queue_refuses_truthfully() -> None:
    async def test() -> None:
        table = MemoryTable()
        policy = evolve(POLICY, writes=1.0, most_waiting=3, most_wait=100.0)
        made = guarded(table, policy)
        view = made.for_class(Priority.BILLS)
        refused = 0

        async def one(number: int) -> None:
            nonlocal refused
            try:
                await view.commit(write(f"k/{number}"))
            except RefusedHereError:
                refused += 1

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(made.run)
            async with anyio.create_task_group() as writers:
                for number in range(10):
                    writers.start_soon(one, number)
            tasks.cancel_scope.cancel()
        assert refused == 6
        assert len(table.rows) == 4
        assert made.guard.counters[Priority.BILLS].refused == 6

    run(test)


@pytest.mark.parametrize(
    ("faults", "error", "tries"),
    [
        (Faults(lose_answers=1), UnknownOutcomeError, 1),
        (Faults(lose_requests=1), UnknownOutcomeError, 1),
        (Faults(throttled=1), None, 2),
        (Faults(throttled=9), ThrottledError, 2),
        (Faults(down=True), UnavailableError, 2),
    ],
)
def test_only_what_had_no_effect_is_repeated(
    faults: Faults, error: type[PlatformError] | None, tries: int
) -> None:
    """The answer to a write is lost; repeating it would write twice."""

    async def test() -> None:
        table = MemoryTable(faults=evolve(faults))
        made = guarded(table)
        view = made.for_class(Priority.BILLS)
        if error is None:
            await view.commit(PUT)
        else:
            with pytest.raises(error):
                await view.commit(PUT)
        assert made.guard.counters[Priority.BILLS].retries == tries - 1

    run(test)


def test_retries_do_not_keep_an_outage_alive() -> None:
    async def test() -> None:
        table = MemoryTable(faults=Faults(down=True))
        policy = evolve(POLICY, breaker=BreakerPolicy(least_calls=10_000))
        made = guarded(table, policy)
        view = made.for_class(Priority.BUDGETS)
        for _ in range(200):
            with pytest.raises(UnavailableError):
                await view.read(("a",))
            await anyio.sleep(0.1)
        counters = made.guard.counters[Priority.BUDGETS]
        assert counters.unavailable == pytest.approx(200 * 1.1, rel=0.02)

    run(test)


def test_breaker_opens_and_closes() -> None:
    """The table is down for a minute; calls fail at once, and one probe finds it."""

    async def test() -> None:
        table = MemoryTable(faults=Faults(down=True))
        made = guarded(table, evolve(POLICY, most_retries=0))
        view = made.for_class(Priority.INTENTS)
        for _ in range(600):
            with suppress(UnavailableError):
                await view.commit(PUT)
            await anyio.sleep(0.1)
        counters = made.guard.counters[Priority.INTENTS]
        assert not is_closed(made)
        assert counters.unavailable < 15
        table.faults.down = False
        await anyio.sleep(10.0)
        await view.commit(PUT)
        assert is_closed(made)
        with pytest.raises(ConflictError):
            await view.commit(PUT)

    run(test)


def test_fleet_shares_a_ceiling_without_talking() -> None:
    """Nine routers, each allowed 200 writes a second, share a table of 400.

    Each backs off when it is refused; together they use the table well and
    none is starved.
    """

    async def test() -> None:
        table = MemoryTable.limited(writes=400, reads=2000)
        done: Counter[int] = Counter()
        policy = evolve(POLICY, writes=200.0, most_retries=0)

        async def router(number: int) -> None:
            made = GuardedTable(table, Guard(policy, random.Random(number)))
            view = made.for_class(Priority.BILLS)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(made.run)
                while True:
                    try:
                        await view.commit(write(f"{number}"))
                        done[number] += 1
                    except ThrottledError:
                        await anyio.sleep(0.01)

        with anyio.move_on_after(30):
            async with anyio.create_task_group() as tasks:
                for number in range(9):
                    tasks.start_soon(router, number)
        assert sum(done.values()) > 0.75 * 400 * 30
        assert min(done.values()) > 0.5 * max(done.values())

    run(test)


def test_cancelled_callers_leave_no_trace() -> None:
    """A caller gives up while it waits for its turn; its place is free again."""

    async def test() -> None:
        table = MemoryTable()
        made = guarded(table, evolve(POLICY, writes=1.0, most_in_flight=1))
        view = made.for_class(Priority.BILLS)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(made.run)
            await view.commit(write("first"))
            for _ in range(5):
                with anyio.move_on_after(0.01):
                    await view.commit(write("given up"))
            table.faults.pause()
            await anyio.sleep(2)
            with anyio.move_on_after(1):
                await view.commit(write("paused"))
            table.faults.release()
            await view.commit(write("last"))
            tasks.cancel_scope.cancel()
        assert list(table.rows) == ["first", "last"]
        assert made.guard.writes.turnstile.in_flight == 0

    run(test)


def test_scans_are_charged_for_their_rows() -> None:
    async def test() -> None:
        table = MemoryTable()
        for number in range(300):
            table.put(f"k/{number}", 1)
        made = guarded(table)
        view = made.for_class(Priority.HOUSEKEEPING)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(made.run)
            assert len(await view.scan("k/")) == 300
            await view.read(("k/1",))
            assert anyio.current_time() == pytest.approx(2.51, abs=0.05)
            tasks.cancel_scope.cancel()

    run(test)


def test_objects_pass_through() -> None:
    async def test() -> None:
        made = GuardedObjects(MemoryObjects(), Guard(POLICY))
        view = made.for_class(Priority.INTENTS)
        await view.put("j/1", b"x", if_absent=True)
        with pytest.raises(ConflictError):
            await view.put("j/1", b"y", if_absent=True)
        assert await view.get("j/1") == b"x"
        assert await view.keys("j/") == ["j/1"]
        await view.delete("j/1")
        assert await view.get("j/1") is None

    run(test)
