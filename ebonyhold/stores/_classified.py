"""Puts each call to the table and the object store in the class of its keys."""

from __future__ import annotations

from attrs import frozen

from ebonyhold.coordination import Row, Transaction
from ebonyhold.stores._guarded import GuardedObjects, GuardedTable
from ebonyhold.stores._turnstile import Priority

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
"""The class of a key's first word; all others are housekeeping."""


def class_of(key: str) -> Priority:
    """Return the class of a key.

    >>> class_of("journal/r.1/0000000001"), class_of("lease/orders")
    (<Priority.INTENTS: 'intents'>, <Priority.HOUSEKEEPING: 'housekeeping'>)
    """
    return CLASSES.get(key.partition("/")[0], Priority.HOUSEKEEPING)


def class_of_transaction(transaction: Transaction) -> Priority:
    """Return the class of a transaction.

    A request row alone is a claim, which a caller waits for; with a budget's row
    it is a filing of bills, dozens of rows long and waited for by nobody.  While
    both were one class, claims queued behind filings: callers saw permits of
    1.6 s on average and refusals, at seven requests a second.
    """
    if not transaction.writes:
        return Priority.HOUSEKEEPING
    classes = {class_of(write.key) for write in transaction.writes}
    if Priority.INTENTS in classes and Priority.BUDGETS in classes:
        return Priority.BILLS
    return class_of(transaction.writes[0].key)


@frozen
class ClassifiedTable:
    """A `Table` whose calls wait with those of their own class.

    What keeps promises (intents, bills) is so never held up by scans.
    """

    guarded: GuardedTable

    async def read(self, keys: tuple[str, ...]) -> tuple[Row | None, ...]:
        """Read rows, in the order of the keys.

        Raises:
            UnavailableError: The table cannot be reached.
        """
        priority = class_of(keys[0]) if keys else Priority.HOUSEKEEPING
        return await self.guarded.for_class(priority).read(keys)

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """Read rows whose key starts with a prefix, in the order of their keys.

        Raises:
            UnavailableError: The table cannot be reached.
        """
        view = self.guarded.for_class(Priority.HOUSEKEEPING)
        return await view.scan(prefix, after, limit)

    async def commit(self, transaction: Transaction) -> None:
        """Commit a transaction.

        Raises:
            ConflictError: A check failed; nothing was written.
            UnavailableError: It certainly had no effect.
            UnknownOutcomeError: It may have taken effect.
        """
        priority = class_of_transaction(transaction)
        await self.guarded.for_class(priority).commit(transaction)


@frozen
class ClassifiedObjects:
    """An `Objects` whose calls wait with those of their own class."""

    guarded: GuardedObjects

    async def get(self, key: str) -> bytes | None:
        """Read an object, or None when there is none.

        Raises:
            UnavailableError: The store cannot be reached.
        """
        return await self.guarded.for_class(class_of(key)).get(key)

    async def put(self, key: str, body: bytes, *, if_absent: bool = False) -> None:
        """Write an object.

        Raises:
            ConflictError: There is one already, and `if_absent` was asked.
            UnavailableError: It certainly had no effect.
            UnknownOutcomeError: It may have taken effect.
        """
        view = self.guarded.for_class(class_of(key))
        await view.put(key, body, if_absent=if_absent)

    async def delete(self, key: str) -> None:
        """Remove an object, if it is there.

        Raises:
            UnavailableError: The store cannot be reached.
        """
        await self.guarded.for_class(Priority.HOUSEKEEPING).delete(key)

    async def keys(self, prefix: str, after: str = "", limit: int = 1000) -> list[str]:
        """List keys that start with a prefix, in order.

        Raises:
            UnavailableError: The store cannot be reached.
        """
        view = self.guarded.for_class(Priority.HOUSEKEEPING)
        return await view.keys(prefix, after, limit)
