"""Reading many rows of the table without running into its rate ceiling."""

from __future__ import annotations

from collections.abc import AsyncIterator

import anyio

from ebonyhold.coordination import Row, Table
from ebonyhold.exceptions import ThrottledError
from ebonyhold.types import Seconds

PAGE = 100
"""Rows of one read: a small part of what the table allows in a second, so that a
long scan leaves room for the reads that requests wait for."""

PAUSE: Seconds = 0.1
TRIES = 100
"""Ten seconds of waiting for one page before the scan gives up."""


async def scan_rows(table: Table, prefix: str, after: str = "") -> AsyncIterator[Row]:
    """Read all rows whose key starts with a prefix, in the order of their keys.

    Args:
        table: The table.
        prefix: How the keys start.
        after: The key behind which to begin; empty for the first.

    Yields:
        The rows.

    Raises:
        UnavailableError: The table cannot be reached, or its ceiling left no room.
    """
    while True:
        page = await read_page(table, prefix, after)
        for row in page:
            yield row
        if len(page) < PAGE:
            return
        after = page[-1].key


async def read_page(table: Table, prefix: str, after: str) -> list[Row]:
    """Read one page, waiting while the table's ceiling refuses it.

    Raises:
        UnavailableError: The table cannot be reached, or its ceiling left no room.
    """
    for _ in range(TRIES):
        try:
            return await table.scan(prefix, after, PAGE)
        except ThrottledError:
            await anyio.sleep(PAUSE)
    raise ThrottledError(f"no room to read {prefix}")
