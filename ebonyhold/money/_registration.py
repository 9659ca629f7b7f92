"""The row of an incarnation in the table, from its registration until it is closed."""

from __future__ import annotations

import time
from contextlib import suppress

from attrs import evolve

from ebonyhold.coordination import (
    Delete,
    GrantRow,
    Observed,
    RouterRow,
    RouterState,
    Table,
    Transaction,
    close_transaction,
    grant_prefix,
    observe_row,
    open_row,
)
from ebonyhold.exceptions import (
    ConflictError,
    SealedError,
    UnavailableError,
    UnknownOutcomeError,
)
from ebonyhold.money._journal import Journal
from ebonyhold.types import RouterId

MAX_TRIES = 5
"""Maximum tries of one write that conflicts or whose outcome is unknown."""

DELETE_BATCH = 100
"""Maximum number of grant rows that one transaction deletes."""


async def register(
    table: Table, router: RouterId, domain: str, address: str
) -> Observed[RouterRow]:
    """Write an incarnation's row and return it.

    Later writes of the incarnation check the version of that row, so they fail once
    another router has sealed it.

    Raises:
        PlatformError: The table could not be written.
        SealedError: The incarnation was sealed or closed before.
    """
    key, row = open_row(router, domain, address, time.time())
    absent: Observed[RouterRow] = Observed(key)
    transaction = Transaction((absent.check,), (absent.put(row),))
    for _ in range(MAX_TRIES):
        with suppress(ConflictError, UnknownOutcomeError):
            await table.commit(transaction)
        (raw,) = await table.read((key,))
        stored = observe_row(key, raw, RouterRow)
        if stored.value is None:
            continue
        if stored.value.state is not RouterState.OPEN:
            raise SealedError(f"{router} was sealed")
        return stored
    raise UnavailableError(f"{router} could not be registered")


async def unregister(table: Table, journal: Journal) -> None:
    """Close an incarnation that has filed all bills and returned all tokens.

    Its journal segments and empty grant rows are deleted, and no further entry can be
    queued in its journal.

    Raises:
        PlatformError: The table could not be written.
    """
    await _delete_empty_grants(table, journal)
    transaction = close_transaction(journal.router, time.time())
    assert transaction is not None
    deletions = tuple(Delete(key) for key in journal.table_keys())
    for _ in range(MAX_TRIES):
        with suppress(ConflictError, UnknownOutcomeError):
            await table.commit(
                evolve(transaction, writes=(*transaction.writes, *deletions))
            )
        (row,) = await table.read((journal.router.key,))
        if row is not None and row.version != journal.router.version:
            journal.sealed.set()
            return
    raise UnavailableError(f"{journal.self_id} could not be closed")


async def _delete_empty_grants(table: Table, journal: Journal) -> None:
    """Delete the incarnation's grant rows that count no tokens.

    Tokens that a row still counts belong to a transfer that the receiver has not
    settled, so this row is kept until the transfer has ended.
    """
    prefix = grant_prefix(journal.self_id)
    after = ""
    while True:
        page = await table.scan(prefix, after, DELETE_BATCH)
        grants = [observe_row(row.key, row, GrantRow) for row in page]
        empty = [one for one in grants if one.value and one.value.held == 0]
        checks = tuple(one.check for one in empty)
        deletions = tuple(Delete(one.key) for one in empty)
        if deletions:
            with suppress(ConflictError, UnknownOutcomeError):
                await table.commit(
                    Transaction((journal.router.check, *checks), deletions)
                )
        if len(page) < DELETE_BATCH:
            return
        after = page[-1].key
