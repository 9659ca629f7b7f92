"""Conditional multi-row transactions, as the platform's table service takes them.

The decisions of this library return these; whoever embeds it carries them to a
table of their own.
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
        version: Counts the row's writes, from 1.
        value: What the row holds.
    """

    key: str
    version: int
    value: Json


@frozen
class Absent:
    """Holds while no row has this key."""

    key: str


@frozen
class AtVersion:
    """Holds while the row is exactly at this version."""

    key: str
    version: int


Check: TypeAlias = Absent | AtVersion


@frozen
class Put:
    """Writes a whole row."""

    key: str
    value: Json


@frozen
class Delete:
    """Removes a row, if it is there."""

    key: str


Write: TypeAlias = Put | Delete


@frozen
class Transaction:
    """Writes that take effect together, if every check holds, or not at all."""

    checks: tuple[Check, ...]
    writes: tuple[Write, ...]


class Table(Protocol):
    """The transactional table service, as this library needs it."""

    async def read(self, keys: tuple[str, ...]) -> tuple[Row | None, ...]:
        """Read rows, in the order of the keys.

        Raises:
            UnavailableError: The table cannot be reached.
        """
        ...

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """Read rows whose key starts with a prefix, in the order of their keys.

        Raises:
            UnavailableError: The table cannot be reached.
        """
        ...

    async def commit(self, transaction: Transaction) -> None:
        """Commit a transaction.

        Raises:
            ConflictError: A check failed; nothing was written.
            UnavailableError: It certainly had no effect.
            UnknownOutcomeError: It may have taken effect.
        """
        ...


class Objects(Protocol):
    """The object store, as this library needs it."""

    async def get(self, key: str) -> bytes | None:
        """Read an object, or None when there is none.

        Raises:
            UnavailableError: The store cannot be reached.
        """
        ...

    async def put(self, key: str, body: bytes, *, if_absent: bool = False) -> None:
        """Write an object.

        Raises:
            ConflictError: There is one already, and `if_absent` was asked.
            UnavailableError: It certainly had no effect.
            UnknownOutcomeError: It may have taken effect.
        """
        ...

    async def delete(self, key: str) -> None:
        """Remove an object, if it is there.

        Raises:
            UnavailableError: The store cannot be reached.
        """
        ...

    async def keys(self, prefix: str, after: str = "", limit: int = 1000) -> list[str]:
        """List keys that start with a prefix, in order.

        Raises:
            UnavailableError: The store cannot be reached.
        """
        ...
