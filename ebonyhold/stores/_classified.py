"""Chooses the priority class of each call to the table and the object store."""

from __future__ import annotations

from attrs import frozen

from ebonyhold.coordination import Row, Transaction
from ebonyhold.stores._call_queue import Priority
from ebonyhold.stores._guarded import GuardedObjects, GuardedTable

CLASSES = {
    "journal": Priority.INTENTS,
    "request": Priority.INTENTS,
    "budget": Priority.BUDGETS,
    "grant": Priority.BUDGETS,
    "topup": Priority.BUDGETS,
    "refund": Priority.BUDGETS,
    "config": Priority.CONFIGURATION,
    "parts": Priority.CONFIGURATION,
}
"""The class of a key, by the text before its first slash.

Keys with any other text are housekeeping.
"""


def class_of(key: str) -> Priority:
    """Return the class of a key.

    >>> class_of("journal/r.1/0000000001"), class_of("lease/orders")
    (<Priority.INTENTS: 'intents'>, <Priority.HOUSEKEEPING: 'housekeeping'>)
    """
    return CLASSES.get(key.partition("/")[0], Priority.HOUSEKEEPING)


def class_of_transaction(transaction: Transaction) -> Priority:
    """Return the class of a transaction.

    A transaction with keys of both intents and budgets is a filing of bills.  It has
    dozens of rows, and no caller waits for it.  A transaction with only a request row
    is a claim, for which a caller waits.  If both had one class, claims would queue
    behind filings: at 7 requests a second, requests would wait 1.6 s longer on
    average before they may run, and some would be refused.

    Any other transaction has the class of its first write; one without writes is
    housekeeping.
    """
    if not transaction.writes:
        return Priority.HOUSEKEEPING
    classes = {class_of(write.key) for write in transaction.writes}
    if Priority.INTENTS in classes and Priority.BUDGETS in classes:
        return Priority.BILLS
    return class_of(transaction.writes[0].key)


@frozen
class ClassifiedTable:
    """A `Table` that queues each call with the calls of the same class.

    A read has the class of its first key; one without keys is housekeeping.  Scans
    are housekeeping, the class with the smallest share of the rate, so that they
    delay reads for intents and bills as little as possible.
    """

    guarded: GuardedTable

    async def read(self, keys: tuple[str, ...]) -> tuple[Row | None, ...]:
        """Return the rows of keys, in the order given; None for a missing row.

        Raises:
            UnavailableError: The call failed or was refused in this process.
        """
        priority = class_of(keys[0]) if keys else Priority.HOUSEKEEPING
        return await self.guarded.for_class(priority).read(keys)

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """Return at most `limit` rows with a key prefix, in key order after `after`.

        Raises:
            UnavailableError: The call failed or was refused in this process.
        """
        view = self.guarded.for_class(Priority.HOUSEKEEPING)
        return await view.scan(prefix, after, limit)

    async def commit(self, transaction: Transaction) -> None:
        """Commit a transaction.

        Raises:
            ConflictError: A check failed; nothing was written.
            UnavailableError: The call had no effect.
            UnknownOutcomeError: The call may have taken effect.
        """
        priority = class_of_transaction(transaction)
        await self.guarded.for_class(priority).commit(transaction)


@frozen
class ClassifiedObjects:
    """An `Objects` that queues each call with the calls of the same class.

    Deletions and listings are housekeeping, whatever their keys.
    """

    guarded: GuardedObjects

    async def get(self, key: str) -> bytes | None:
        """Return the body of an object, or None if there is no such object.

        Raises:
            UnavailableError: The call failed or was refused in this process.
        """
        return await self.guarded.for_class(class_of(key)).get(key)

    async def put(self, key: str, body: bytes, *, if_absent: bool = False) -> None:
        """Write an object, replacing it unless `if_absent` is set.

        Raises:
            ConflictError: The object exists, and `if_absent` is set.
            UnavailableError: The call had no effect.
            UnknownOutcomeError: The call may have taken effect.
        """
        view = self.guarded.for_class(class_of(key))
        await view.put(key, body, if_absent=if_absent)

    async def delete(self, key: str) -> None:
        """Delete an object; do nothing if there is none.

        Raises:
            UnavailableError: The call had no effect.
            UnknownOutcomeError: The object may have been deleted; a retry is safe.
        """
        await self.guarded.for_class(Priority.HOUSEKEEPING).delete(key)

    async def keys(self, prefix: str, after: str = "", limit: int = 1000) -> list[str]:
        """Return at most `limit` keys with a prefix, in order after `after`.

        Raises:
            UnavailableError: The call failed or was refused in this process.
        """
        view = self.guarded.for_class(Priority.HOUSEKEEPING)
        return await view.keys(prefix, after, limit)
