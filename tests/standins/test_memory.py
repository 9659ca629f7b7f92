"""The table and the object store in memory, with their faults."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from functools import partial

import anyio
import pytest
from attrs import evolve
from trio.testing import MockClock

from ebonyhold.coordination import Absent, AtVersion, Delete, Put, Row, Transaction
from ebonyhold.exceptions import (
    ConflictError,
    PlatformError,
    ThrottledError,
    UnavailableError,
    UnknownOutcomeError,
)
from ebonyhold.standins import Faults, MemoryObjects, MemoryTable


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test under a virtual clock that jumps over idle time."""
    clock = MockClock(autojump_threshold=0)
    anyio.run(test, backend="trio", backend_options={"clock": clock})


PUT = Transaction((Absent("a"),), (Put("a", {"n": 1}),))


@pytest.mark.parametrize(
    ("transaction", "failed"),
    [
        (Transaction((Absent("a"),), (Put("b", 1),)), ("a",)),
        (Transaction((AtVersion("a", 2),), (Put("b", 1),)), ("a",)),
        (Transaction((AtVersion("z", 1), Absent("a")), ()), ("z", "a")),
        (Transaction((AtVersion("a", 1), Absent("b")), (Put("b", 1),)), ()),
        (Transaction((), (Delete("a"), Put("b", 1))), ()),
    ],
)
def test_transactions_are_whole(
    transaction: Transaction, failed: tuple[str, ...]
) -> None:
    async def test() -> None:
        table = MemoryTable()
        await table.commit(PUT)
        if not failed:
            await table.commit(transaction)
            assert table.value("b") == 1
            return
        with pytest.raises(ConflictError) as caught:
            await table.commit(transaction)
        assert caught.value.keys == failed
        assert list(table.rows) == ["a"]

    run(test)


def test_scan_goes_page_by_page() -> None:
    async def test() -> None:
        table = MemoryTable()
        for number in range(5):
            table.put(f"p/{number}", number)
        table.put("o/9", 0)
        table.put("q/0", 0)
        first = await table.scan("p/", limit=3)
        second = await table.scan("p/", after=first[-1].key, limit=3)
        assert [row.value for row in [*first, *second]] == [0, 1, 2, 3, 4]
        assert await table.read(("q/0", "x")) == (Row("q/0", 1, 0), None)

    run(test)


@pytest.mark.parametrize(
    ("faults", "error", "applied"),
    [
        (Faults(down=True), UnavailableError, False),
        (Faults(throttled=1), ThrottledError, False),
        (Faults(lose_answers=1), UnknownOutcomeError, True),
        (Faults(lose_requests=1), UnknownOutcomeError, False),
        (Faults(late=1), UnknownOutcomeError, False),
        (Faults(duplicates=1), None, True),
        (Faults(delay=3.0), None, True),
        (Faults(answer_delay=3.0), None, True),
    ],
)
@pytest.mark.parametrize("kind", ["table", "objects"])
def test_faults_of_writes(
    kind: str, faults: Faults, error: type[PlatformError] | None, applied: bool
) -> None:
    async def test() -> None:
        table = MemoryTable(faults=evolve(faults))
        objects = MemoryObjects(faults=evolve(faults))
        call = {
            "table": partial(table.commit, PUT),
            "objects": partial(objects.put, "a", b"1", if_absent=True),
        }[kind]
        if error is None:
            await call()
        else:
            with pytest.raises(error):
                await call()
        assert ("a" in table.rows or "a" in objects.objects) is applied
        assert anyio.current_time() >= faults.delay + faults.answer_delay

    run(test)


def test_late_write_takes_effect_later() -> None:
    """The caller gives up, another writes, then the late write arrives.

    Its check fails, so the other's row stands.
    """

    async def test() -> None:
        table = MemoryTable(faults=Faults(late=1))
        with pytest.raises(UnknownOutcomeError):
            await table.commit(PUT)
        table.put("a", "other")
        await table.faults.flush()
        assert table.value("a") == "other"

    run(test)


def test_pause_holds_calls_until_release() -> None:
    async def test() -> None:
        table = MemoryTable()
        table.faults.pause()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(table.commit, PUT)
            await anyio.sleep(60)
            assert not table.rows
            table.faults.release()
        assert table.value("a") == {"n": 1}

    run(test)


def test_ceilings_count_rows() -> None:
    async def test() -> None:
        table = MemoryTable.limited(writes=100, reads=1000)
        done = 0
        while anyio.current_time() < 10:
            try:
                await table.commit(Transaction((), (Put("a", 1), Put("b", 2))))
                done += 2
            except ThrottledError:
                await anyio.sleep(0.01)
        assert done == pytest.approx(1000 + 25, abs=4)
        assert table.writes.refused > 0

    run(test)
