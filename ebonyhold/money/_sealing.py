"""Sealing the journal of another incarnation, and reading it afterwards."""

from __future__ import annotations

from contextlib import suppress

from attrs import frozen

from ebonyhold.coordination import (
    Delete,
    JournalReading,
    JournalSegment,
    Objects,
    RouterRow,
    RouterState,
    Seal,
    Seen,
    Table,
    Transaction,
    from_bytes,
    from_json,
    journal_prefix,
    router_key,
    seal_transaction,
    seen,
    segment_key,
    to_bytes,
)
from ebonyhold.exceptions import ConflictError, UnavailableError, UnknownOutcomeError
from ebonyhold.scans import scan_rows
from ebonyhold.types import RouterId

TRIES = 20
"""Tries to seal the router's row against other writers."""

PAGE = 500


@frozen
class SealedJournal:
    """The journal of an incarnation that may be dead.

    Attributes:
        table: The table.
        objects: The object store.
        router: The incarnation.
        by: Who seals it.
    """

    table: Table
    objects: Objects
    router: RouterId
    by: RouterId

    async def row(self) -> Seen[RouterRow]:
        """Read the incarnation's row.

        Raises:
            UnavailableError: The table could not be reached.
        """
        key = router_key(self.router)
        (row,) = await self.table.read((key,))
        return seen(key, row, RouterRow)

    async def seal(self) -> Seen[RouterRow]:
        """Take the right to write from the incarnation, in both places.

        Returns:
            Its row; the store is left alone when it is closed, or unknown.

        Raises:
            PlatformError: A place could not be reached.
        """
        for _ in range(TRIES):
            row = await self.row()
            wish = seal_transaction(row, self.by)
            if wish is None:
                break
            with suppress(ConflictError, UnknownOutcomeError):
                await self.table.commit(wish)
        else:
            raise UnavailableError(f"{self.router} could not be sealed")
        if row.value is not None and row.value.state is RouterState.SEALED:
            await self._seal_objects()
        return row

    async def _seal_objects(self) -> None:
        """Put a seal at the next free number of the chain in the object store.

        The router numbers its segments densely, so whatever it still has under
        way is for the very number that the seal takes, or was written before.
        """
        prefix = journal_prefix(self.router)
        keys = await self._object_keys()
        number = int(keys[-1].removeprefix(prefix)) if keys else 1
        seal = to_bytes(JournalSegment((Seal(self.by),)))
        while True:
            key = segment_key(self.router, number)
            there = await self.objects.get(key)
            if there is None:
                with suppress(ConflictError, UnknownOutcomeError):
                    await self.objects.put(key, seal, if_absent=True)
                continue
            if _holds_seal(there):
                return
            number += 1

    async def _object_keys(self) -> list[str]:
        prefix = journal_prefix(self.router)
        keys: list[str] = []
        while True:
            page = await self.objects.keys(prefix, keys[-1] if keys else "", PAGE)
            keys.extend(page)
            if len(page) < PAGE:
                return keys

    async def read(self) -> JournalReading:
        """Read both chains; nothing is missing once they are sealed.

        Raises:
            UnavailableError: A place could not be reached.
        """
        reading = JournalReading()
        async for row in scan_rows(self.table, journal_prefix(self.router)):
            reading.add(from_json(row.value, JournalSegment).entries)
        for key in await self._object_keys():
            body = await self.objects.get(key)
            if body is not None:
                reading.add(from_bytes(body, JournalSegment).entries)
        return reading

    async def drop(self) -> None:
        """Delete a closed incarnation's journal, but for the seal.

        The seal must outlive the incarnation: a router that wakes after a long
        pause would otherwise find its next number in the store free.

        Raises:
            PlatformError: A place could not be reached.
        """
        async for row in scan_rows(self.table, journal_prefix(self.router)):
            with suppress(ConflictError, UnknownOutcomeError):
                await self.table.commit(Transaction((), (Delete(row.key),)))
        for key in (await self._object_keys())[:-1]:
            await self.objects.delete(key)


def _holds_seal(body: bytes) -> bool:
    entries = from_bytes(body, JournalSegment).entries
    return any(isinstance(entry, Seal) for entry in entries)
