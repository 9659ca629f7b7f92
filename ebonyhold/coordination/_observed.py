"""A row as last read, with the check that it has not changed since."""

from __future__ import annotations

from typing import Generic, TypeVar

from attrs import frozen

from ebonyhold.coordination._codec import from_json, to_json
from ebonyhold.coordination._transactions import Absent, AtVersion, Check, Put, Row

T = TypeVar("T")


@frozen
class Observed(Generic[T]):
    """One key of the table as last read, with its typed value.

    Attributes:
        key: The row's key.
        version: The version read; 0 if there was no row.
        value: The row's value; None if there was no row.
    """

    key: str
    version: int = 0
    value: T | None = None

    @property
    def check(self) -> Check:
        """The check that holds while the row is unchanged."""
        if self.version == 0:
            return Absent(self.key)
        return AtVersion(self.key, self.version)

    def put(self, value: T) -> Put:
        """Return the write that replaces the row's value."""
        return Put(self.key, to_json(value))


def observe_row(key: str, row: Row | None, as_type: type[T]) -> Observed[T]:
    """Return a row as read, with its value converted to a type.

    Raises:
        cattrs.BaseValidationError: The value does not match the type.
    """
    if row is None:
        return Observed(key)
    return Observed(key, row.version, from_json(row.value, as_type))
