"""The row by which others know of an incarnation, from its opening to its close."""

from __future__ import annotations

import time
from contextlib import suppress

from attrs import evolve

from ebonyhold.coordination import (
    Delete,
    GrantRow,
    RouterRow,
    RouterState,
    Seen,
    Table,
    Transaction,
    close_transaction,
    grant_prefix,
    open_row,
    seen,
)
from ebonyhold.exceptions import (
    ConflictError,
    SealedError,
    UnavailableError,
    UnknownOutcomeError,
)
from ebonyhold.money._journal import Journal
from ebonyhold.types import RouterId

TRIES = 5

DROPPED_AT_ONCE = 100
"""Rows of grants that one transaction deletes."""


async def register(
    table: Table, router: RouterId, domain: str, address: str
) -> Seen[RouterRow]:
    """Write an incarnation's row; its version is what all its writes check.

    Raises:
        PlatformError: The table could not be written.
        SealedError: The incarnation is over already.
    """
    key, row = open_row(router, domain, address, time.time())
    absent: Seen[RouterRow] = Seen(key)
    wish = Transaction((absent.check,), (absent.put(row),))
    for _ in range(TRIES):
        with suppress(ConflictError, UnknownOutcomeError):
            await table.commit(wish)
        (raw,) = await table.read((key,))
        there = seen(key, raw, RouterRow)
        if there.value is None:
            continue
        if there.value.state is not RouterState.OPEN:
            raise SealedError(f"{router} was sealed")
        return there
    raise UnavailableError(f"{router} could not be registered")


async def unregister(table: Table, journal: Journal) -> None:
    """Close an incarnation that has filed and returned everything.

    Raises:
        PlatformError: The table could not be written.
    """
    await _drop_empty_grants(table, journal)
    wish = close_transaction(journal.router, time.time())
    assert wish is not None
    drops = tuple(Delete(key) for key in journal.table_keys())
    for _ in range(TRIES):
        with suppress(ConflictError, UnknownOutcomeError):
            await table.commit(evolve(wish, writes=(*wish.writes, *drops)))
        (row,) = await table.read((journal.router.key,))
        if row is not None and row.version != journal.router.version:
            journal.sealed.set()
            return
    raise UnavailableError(f"{journal.me} could not be closed")


async def _drop_empty_grants(table: Table, journal: Journal) -> None:
    """Delete the rows of grants that hold nothing any more.

    One that still holds tokens has given them to a router that did not settle
    them yet; its row stays until that is decided.
    """
    prefix = grant_prefix(journal.me)
    after = ""
    while True:
        page = await table.scan(prefix, after, DROPPED_AT_ONCE)
        grants = [seen(row.key, row, GrantRow) for row in page]
        empty = [one for one in grants if one.value and one.value.held == 0]
        checks = tuple(one.check for one in empty)
        drops = tuple(Delete(one.key) for one in empty)
        if drops:
            with suppress(ConflictError, UnknownOutcomeError):
                await table.commit(Transaction((journal.router.check, *checks), drops))
        if len(page) < DROPPED_AT_ONCE:
            return
        after = page[-1].key
