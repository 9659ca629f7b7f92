"""Reading many rows of the table page by page, with retries at its rate limit."""

from __future__ import annotations

from collections.abc import AsyncIterator

import anyio

from ebonyhold.coordination import Row, Table
from ebonyhold.exceptions import ThrottledError
from ebonyhold.types import Seconds

PAGE_SIZE = 100
"""Rows per read.

A small part of what the table allows per second, so that a long scan leaves room for
the reads that requests wait for.
"""

RETRY_DELAY: Seconds = 0.1
"""Delay after a read that the rate limit refused."""

MAX_TRIES = 100
"""Maximum reads of one page; the scan then fails, after ten seconds of delays."""


async def scan_rows(table: Table, prefix: str, after: str = "") -> AsyncIterator[Row]:
    """Read all rows whose key starts with a prefix, in the order of their keys.

    Pages are read one after the other, so the rows are no snapshot of one time.

    Args:
        table: The table.
        prefix: The prefix of the keys.
        after: Only rows with a greater key are read; empty for all.

    Yields:
        One row at a time.

    Raises:
        UnavailableError: The table cannot be reached; a `ThrottledError` if the rate
            limit refused a page `MAX_TRIES` times.
    """
    while True:
        page = await read_page(table, prefix, after)
        for row in page:
            yield row
        if len(page) < PAGE_SIZE:
            return
        after = page[-1].key


async def read_page(table: Table, prefix: str, after: str) -> list[Row]:
    """Read one page, retrying with a delay while the rate limit refuses the read.

    Raises:
        UnavailableError: The table cannot be reached; a `ThrottledError` if the rate
            limit refused a page `MAX_TRIES` times.
    """
    for _ in range(MAX_TRIES):
        try:
            return await table.scan(prefix, after, PAGE_SIZE)
        except ThrottledError:
            await anyio.sleep(RETRY_DELAY)
    raise ThrottledError(f"no room to read {prefix}")
