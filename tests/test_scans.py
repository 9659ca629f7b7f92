"""Scans of many rows at the table's rate limit."""

from __future__ import annotations

import anyio
import pytest
import trio.testing

from ebonyhold.coordination import Absent, Put, Row, Transaction
from ebonyhold.exceptions import ThrottledError
from ebonyhold.scans import PAGE_SIZE, scan_rows
from ebonyhold.standins import MemoryTable

READS_PER_SECOND = 600.0


async def fill(table: MemoryTable, count: int) -> None:
    for number in range(count):
        key = f"r/{number:06d}"
        await table.commit(Transaction((Absent(key),), (Put(key, number),)))


@pytest.mark.parametrize(
    "count", [0, 1, PAGE_SIZE - 1, PAGE_SIZE, PAGE_SIZE + 1, 20 * PAGE_SIZE]
)
def test_reads_every_row_once(count: int) -> None:
    """Guards against a scan that fails at the table's rate limit.

    ``bill verify`` of a busy fleet reads so many pages that it exceeds the limit on
    reads. If throttled reads are not retried, the operator gets status 503.
    """

    async def run() -> list[object]:
        table = MemoryTable.limited(0, READS_PER_SECOND)
        await fill(table, count)
        return [row.value async for row in scan_rows(table, "r/")]

    clock = trio.testing.MockClock(autojump_threshold=0)
    found = anyio.run(run, backend="trio", backend_options={"clock": clock})
    assert found == list(range(count))


class FullTable(MemoryTable):
    """A table that refuses every scan for its rate limit."""

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        raise ThrottledError("the rate ceiling is reached")


def test_a_scan_that_is_always_throttled_fails() -> None:
    async def run() -> None:
        async for _ in scan_rows(FullTable(), "r/"):
            pass

    clock = trio.testing.MockClock(autojump_threshold=0)
    with pytest.raises(ThrottledError):
        anyio.run(run, backend="trio", backend_options={"clock": clock})
