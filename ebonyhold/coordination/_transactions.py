"""Conditional multi-row transactions, as the platform's table service accepts them.

The functions of this library return transactions; a program that embeds the library
commits them to its own table.
"""

from __future__ import annotations

from typing import Protocol, TypeAlias

from attrs import frozen

from ebonyhold.types import Json


@frozen
class Row:
    """One row as read.

    Attributes:
        key: The row's key.
        version: Counts the writes of the row, from 1.
        value: The row's value.
    """

    key: str
    version: int
    value: Json


@frozen
class Absent:
    """Check that no row has this key."""

    key: str


@frozen
class AtVersion:
    """Check that the row is at exactly this version."""

    key: str
    version: int


Check: TypeAlias = Absent | AtVersion


@frozen
class Put:
    """Write that sets the value of a row."""

    key: str
    value: Json


@frozen
class Delete:
    """Write that deletes a row, if it exists."""

    key: str


Write: TypeAlias = Put | Delete


@frozen
class Transaction:
    """Writes that take effect together if all checks hold, and otherwise not at all."""

    checks: tuple[Check, ...]
    writes: tuple[Write, ...]


class Table(Protocol):
    """The interface that this library needs of a transactional table service."""

    async def read(self, keys: tuple[str, ...]) -> tuple[Row | None, ...]:
        """Read rows, in the order of the keys.

        Raises:
            UnavailableError: The table cannot be reached.
        """
        ...

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """Read at most `limit` rows with a prefix and a key above `after`, in order.

        Raises:
            UnavailableError: The table cannot be reached.
        """
        ...

    async def commit(self, transaction: Transaction) -> None:
        """Commit a transaction.

        Raises:
            ConflictError: A check failed; nothing was written.
            UnavailableError: The table cannot be reached; nothing was written.
            UnknownOutcomeError: The transaction may have taken effect.
        """
        ...


class Objects(Protocol):
    """The interface that this library needs of an object store."""

    async def get(self, key: str) -> bytes | None:
        """Read an object, or None when there is none.

        Raises:
            UnavailableError: The store cannot be reached.
        """
        ...

    async def put(self, key: str, body: bytes, *, if_absent: bool = False) -> None:
        """Write an object, or only create it if `if_absent` is set.

        Raises:
            ConflictError: The object exists and `if_absent` is set.
            UnavailableError: The store cannot be reached; nothing was written.
            UnknownOutcomeError: The object may have been written.
        """
        ...

    async def delete(self, key: str) -> None:
        """Delete an object, if it exists.

        Raises:
            UnavailableError: The store cannot be reached.
        """
        ...

    async def keys(self, prefix: str, after: str = "", limit: int = 1000) -> list[str]:
        """List at most `limit` keys with a prefix and above `after`, in order.

        Raises:
            UnavailableError: The store cannot be reached.
        """
        ...
