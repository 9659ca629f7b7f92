"""Conversion of typed rows and messages to JSON values and back."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import TypeVar

import cattrs
from cattrs.strategies import configure_tagged_union

from ebonyhold.coordination._rows import JournalEntry
from ebonyhold.coordination._transactions import Row
from ebonyhold.exceptions import DamagedRowError
from ebonyhold.types import Json

T = TypeVar("T")

DECODE_ERRORS = (
    cattrs.BaseValidationError,
    ValueError,
    LookupError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)
"""Exceptions raised when a value cannot be structured as the requested type.

A value of an entirely different type raises builtin exceptions instead of those of
cattrs, and so does JSON that is nested too deeply for the decoder.
"""

converter = cattrs.Converter(forbid_extra_keys=False, omit_if_default=True)
configure_tagged_union(JournalEntry, converter, tag_name="entry")


def to_json(value: object, as_type: object = None) -> Json:
    """Convert an attrs object to a JSON value."""
    unstructured: Json = converter.unstructure(value, as_type)
    return unstructured


def from_json(value: Json, as_type: type[T]) -> T:
    """Convert a JSON value to an attrs object.

    Raises:
        cattrs.BaseValidationError: The value does not match the type.  A value of an
            entirely different type may raise a ValueError, LookupError, TypeError or
            AttributeError instead.
    """
    return converter.structure(value, as_type)


def read_row(row: Row, as_type: type[T]) -> T:
    """Convert the value of a row to an attrs object.

    Raises:
        DamagedRowError: The value does not match the type.
    """
    # cattrs would accept an empty list as an object without attributes, for example as
    # a budget of which nothing was spent yet.
    try:
        if not isinstance(row.value, Mapping):
            raise DamagedRowError(f"{row.key}: {str(row.value)[:80]} is no object")
        return from_json(row.value, as_type)
    except DECODE_ERRORS as error:
        raise DamagedRowError(f"{row.key}: {error!r}") from error


def to_bytes(value: object) -> bytes:
    """Encode an attrs object as compact JSON."""
    return json.dumps(to_json(value), separators=(",", ":")).encode()


def from_bytes(body: bytes, as_type: type[T]) -> T:
    """Decode JSON into an attrs object.

    Raises:
        ValueError: The bytes are not JSON.
        RecursionError: They are nested too deeply.
        cattrs.BaseValidationError: The value does not match the type; see `from_json`
            for the other exceptions.
    """
    return from_json(json.loads(body), as_type)
