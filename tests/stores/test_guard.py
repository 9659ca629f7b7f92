"""The guard of the table and the object store, tested with a virtual clock."""

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
POLICY = GuardPolicy(writes=40.0, reads=100.0, max_wait=5.0)


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test on trio, with a virtual clock that skips idle time."""
    clock = MockClock(autojump_threshold=0)
    anyio.run(test, backend="trio", backend_options={"clock": clock})


def guarded(table: MemoryTable, policy: GuardPolicy = POLICY) -> GuardedTable:
    return GuardedTable(table, Guard(policy, random.Random(7)))


def is_closed(client: GuardedTable) -> bool:
    return client.guard.breaker.state is BreakerState.CLOSED


def write(key: str) -> Transaction:
    return Transaction((), (Put(key, 1),))


def test_writes_reach_the_table_at_the_full_rate() -> None:
    """Guards against lost writes, and against a rate above or below the limit.

    All 420 writes are queued at once; a burst of 20 passes, then 40 a second.
    """

    async def test() -> None:
        table = MemoryTable()
        client = guarded(table, evolve(POLICY, max_waiting=1000, max_wait=60.0))
        view = client.for_class(Priority.BILLS)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(client.run)
            async with anyio.create_task_group() as writers:
                for number in range(420):
                    writers.start_soon(view.commit, write(f"k/{number}"))
            assert len(table.rows) == 420
            assert anyio.current_time() == pytest.approx((420 - 20) / 40.0, rel=0.02)
            tasks.cancel_scope.cancel()

    run(test)


def test_classes_share_the_rate() -> None:
    """Guards against bills that wait for many housekeeping writes, and vice versa.

    While both are queued, eight bills are written for each housekeeping write.
    """

    async def test() -> None:
        table = MemoryTable()
        client = guarded(table, evolve(POLICY, max_wait=1000.0))
        order: list[Priority] = []

        async def send_one(priority: Priority, number: int) -> None:
            await client.for_class(priority).commit(write(f"{priority}/{number}"))
            order.append(priority)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(client.run)
            async with anyio.create_task_group() as writers:
                for number in range(200):
                    writers.start_soon(send_one, Priority.HOUSEKEEPING, number)
                await anyio.sleep(0.1)
                for number in range(80):
                    writers.start_soon(send_one, Priority.BILLS, number)
            tasks.cancel_scope.cancel()
        last_bill = len(order) - 1 - order[::-1].index(Priority.BILLS)
        before = Counter(order[: last_bill + 1])
        assert before[Priority.BILLS] == 80
        share = before[Priority.HOUSEKEEPING] - 24
        assert share == pytest.approx(80 / 8, abs=1)

    run(test)


def test_full_queue_refuses_without_effect() -> None:
    async def test() -> None:
        table = MemoryTable()
        policy = evolve(POLICY, writes=1.0, max_waiting=3, max_wait=100.0)
        client = guarded(table, policy)
        view = client.for_class(Priority.BILLS)
        refused = 0

        async def send_one(number: int) -> None:
            nonlocal refused
            try:
                await view.commit(write(f"k/{number}"))
            except RefusedHereError:
                refused += 1

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(client.run)
            async with anyio.create_task_group() as writers:
                for number in range(10):
                    writers.start_soon(send_one, number)
            tasks.cancel_scope.cancel()
        assert refused == 6
        assert len(table.rows) == 4
        assert client.guard.counters[Priority.BILLS].refused == 6

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
def test_only_calls_without_effect_are_retried(
    faults: Faults, error: type[PlatformError] | None, tries: int
) -> None:
    """Guards against retries of writes that may have taken effect."""

    async def test() -> None:
        table = MemoryTable(faults=evolve(faults))
        client = guarded(table)
        view = client.for_class(Priority.BILLS)
        if error is None:
            await view.commit(PUT)
        else:
            with pytest.raises(error):
                await view.commit(PUT)
        assert client.guard.counters[Priority.BILLS].retries == tries - 1

    run(test)


def test_retries_add_at_most_a_tenth_of_the_calls() -> None:
    async def test() -> None:
        table = MemoryTable(faults=Faults(down=True))
        policy = evolve(POLICY, breaker=BreakerPolicy(min_calls=10_000))
        client = guarded(table, policy)
        view = client.for_class(Priority.BUDGETS)
        for _ in range(200):
            with pytest.raises(UnavailableError):
                await view.read(("a",))
            await anyio.sleep(0.1)
        counters = client.guard.counters[Priority.BUDGETS]
        assert counters.unavailable == pytest.approx(200 * 1.1, rel=0.02)

    run(test)


def test_breaker_opens_and_closes() -> None:
    """Guards against calls to an unreachable table, and a breaker that stays open.

    The table is down for 60 s: fewer than 15 of 600 calls are sent.  A successful
    probe afterwards closes the breaker.
    """

    async def test() -> None:
        table = MemoryTable(faults=Faults(down=True))
        client = guarded(table, evolve(POLICY, max_retries=0))
        view = client.for_class(Priority.INTENTS)
        for _ in range(600):
            with suppress(UnavailableError):
                await view.commit(PUT)
            await anyio.sleep(0.1)
        counters = client.guard.counters[Priority.INTENTS]
        assert not is_closed(client)
        assert counters.unavailable < 15
        table.faults.down = False
        await anyio.sleep(10.0)
        await view.commit(PUT)
        assert is_closed(client)
        with pytest.raises(ConflictError):
            await view.commit(PUT)

    run(test)


def test_routers_share_a_rate_without_coordination() -> None:
    """Guards against using little of the table's rate, and sharing it unevenly.

    Nine routers, each limited to 200 writes a second, share a table that accepts
    400.  Each lowers its rate when it is throttled.
    """

    async def test() -> None:
        table = MemoryTable.limited(writes=400, reads=2000)
        done: Counter[int] = Counter()
        policy = evolve(POLICY, writes=200.0, max_retries=0)

        async def router(number: int) -> None:
            client = GuardedTable(table, Guard(policy, random.Random(number)))
            view = client.for_class(Priority.BILLS)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(client.run)
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


def test_cancelled_calls_are_released() -> None:
    """Guards against cancelled calls that stay queued or count as in flight."""

    async def test() -> None:
        table = MemoryTable()
        client = guarded(table, evolve(POLICY, writes=1.0, max_in_flight=1))
        view = client.for_class(Priority.BILLS)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(client.run)
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
        assert client.guard.writes.queue.in_flight == 0

    run(test)


def test_scans_are_charged_for_their_rows() -> None:
    async def test() -> None:
        table = MemoryTable()
        for number in range(300):
            table.put(f"k/{number}", 1)
        client = guarded(table)
        view = client.for_class(Priority.HOUSEKEEPING)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(client.run)
            assert len(await view.scan("k/")) == 300
            await view.read(("k/1",))
            assert anyio.current_time() == pytest.approx(2.51, abs=0.05)
            tasks.cancel_scope.cancel()

    run(test)


def test_objects_calls_pass_the_guard() -> None:
    async def test() -> None:
        client = GuardedObjects(MemoryObjects(), Guard(POLICY))
        view = client.for_class(Priority.INTENTS)
        await view.put("j/1", b"x", if_absent=True)
        with pytest.raises(ConflictError):
            await view.put("j/1", b"y", if_absent=True)
        assert await view.get("j/1") == b"x"
        assert await view.keys("j/") == ["j/1"]
        await view.delete("j/1")
        assert await view.get("j/1") is None

    run(test)
