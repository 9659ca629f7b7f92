"""Sealing and reading the journal of another incarnation."""

from __future__ import annotations

from contextlib import suppress

from attrs import frozen

from ebonyhold.coordination import (
    Delete,
    JournalContents,
    JournalSegment,
    Objects,
    Observed,
    RouterRow,
    RouterState,
    Seal,
    Table,
    Transaction,
    from_bytes,
    from_json,
    journal_prefix,
    observe_row,
    router_key,
    seal_transaction,
    segment_key,
    to_bytes,
)
from ebonyhold.exceptions import ConflictError, UnavailableError, UnknownOutcomeError
from ebonyhold.scans import scan_rows
from ebonyhold.types import RouterId

MAX_TRIES = 20
"""Maximum tries to seal a router's row when the write conflicts with others."""

PAGE_SIZE = 500
"""Maximum number of keys listed by one call to the object store."""


@frozen
class SealedJournal:
    """The journal of an incarnation that another router recovers.

    Attributes:
        table: The table.
        objects: The object store.
        router: The incarnation that is recovered.
        by: The router that seals the journal.
    """

    table: Table
    objects: Objects
    router: RouterId
    by: RouterId

    async def row(self) -> Observed[RouterRow]:
        """Read the incarnation's row.

        Raises:
            UnavailableError: The table could not be reached.
        """
        key = router_key(self.router)
        (row,) = await self.table.read((key,))
        return observe_row(key, row, RouterRow)

    async def seal(self) -> Observed[RouterRow]:
        """Prevent further writes of the incarnation, in the table and the object store.

        Returns:
            The incarnation's row. If the row is closed or absent, there is nothing to
            seal, and the journal in the object store is left as it is.

        Raises:
            PlatformError: The table or the object store could not be reached.
        """
        for _ in range(MAX_TRIES):
            row = await self.row()
            transaction = seal_transaction(row, self.by)
            if transaction is None:
                break
            with suppress(ConflictError, UnknownOutcomeError):
                await self.table.commit(transaction)
        else:
            raise UnavailableError(f"{self.router} could not be sealed")
        if row.value is not None and row.value.state is RouterState.SEALED:
            await self._seal_objects()
        return row

    async def _seal_objects(self) -> None:
        """Write a seal at the first free number of the journal in the object store.

        The incarnation numbers its segments without gaps. So an append in flight either
        takes that number first, and the seal takes the next one, or fails because of
        the seal.
        """
        prefix = journal_prefix(self.router)
        keys = await self._object_keys()
        number = int(keys[-1].removeprefix(prefix)) if keys else 1
        seal = to_bytes(JournalSegment((Seal(self.by),)))
        while True:
            key = segment_key(self.router, number)
            existing = await self.objects.get(key)
            if existing is None:
                with suppress(ConflictError, UnknownOutcomeError):
                    await self.objects.put(key, seal, if_absent=True)
                continue
            if _has_seal(existing):
                return
            number += 1

    async def _object_keys(self) -> list[str]:
        prefix = journal_prefix(self.router)
        keys: list[str] = []
        while True:
            page = await self.objects.keys(prefix, keys[-1] if keys else "", PAGE_SIZE)
            keys.extend(page)
            if len(page) < PAGE_SIZE:
                return keys

    async def read(self) -> JournalContents:
        """Read all segments of the journal, in the table and the object store.

        Call `seal` first: no segment can be added after that.

        Raises:
            UnavailableError: The table or the object store could not be reached.
        """
        reading = JournalContents()
        async for row in scan_rows(self.table, journal_prefix(self.router)):
            reading.add(from_json(row.value, JournalSegment).entries)
        for key in await self._object_keys():
            body = await self.objects.get(key)
            if body is not None:
                reading.add(from_bytes(body, JournalSegment).entries)
        return reading

    async def delete(self) -> None:
        """Delete the journal of a closed incarnation, except for the seal.

        The seal is kept because a router that resumes after a long pause could
        otherwise write its next segment to the object store, and dispatch requests.

        Raises:
            PlatformError: The table or the object store could not be reached.
        """
        async for row in scan_rows(self.table, journal_prefix(self.router)):
            with suppress(ConflictError, UnknownOutcomeError):
                await self.table.commit(Transaction((), (Delete(row.key),)))
        for key in (await self._object_keys())[:-1]:
            await self.objects.delete(key)


def _has_seal(body: bytes) -> bool:
    entries = from_bytes(body, JournalSegment).entries
    return any(isinstance(entry, Seal) for entry in entries)
