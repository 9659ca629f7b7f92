"""Turning typed rows and messages into JSON values and back."""

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

DAMAGED = (
    cattrs.BaseValidationError,
    ValueError,
    LookupError,
    TypeError,
    AttributeError,
)
"""What a value raises that does not have the form of an object; where the whole value
is of another type, that is not one of the library's own errors."""

converter = cattrs.Converter(forbid_extra_keys=False, omit_if_default=True)
configure_tagged_union(JournalEntry, converter, tag_name="entry")


def to_json(value: object, as_type: object = None) -> Json:
    """Turn an attrs object into a value that JSON can carry."""
    unstructured: Json = converter.unstructure(value, as_type)
    return unstructured


def from_json(value: Json, as_type: type[T]) -> T:
    """Turn a JSON value back into an attrs object.

    Raises:
        cattrs.BaseValidationError: The value does not have that form.
    """
    return converter.structure(value, as_type)


def read_row(row: Row, as_type: type[T]) -> T:
    """Turn the value of a row back into an attrs object.

    Raises:
        DamagedRowError: It does not have that form.
    """
    # An empty list would else pass for an object all of whose members are absent, and
    # a budget of which nothing was spent yet.
    if not isinstance(row.value, Mapping):
        raise DamagedRowError(f"{row.key}: {str(row.value)[:80]} is no object")
    try:
        return from_json(row.value, as_type)
    except DAMAGED as error:
        raise DamagedRowError(f"{row.key}: {error!r}") from error


def to_bytes(value: object) -> bytes:
    """Encode an attrs object as compact JSON."""
    return json.dumps(to_json(value), separators=(",", ":")).encode()


def from_bytes(body: bytes, as_type: type[T]) -> T:
    """Decode compact JSON into an attrs object.

    Raises:
        ValueError: The bytes are not JSON.
        cattrs.BaseValidationError: The value does not have that form.
    """
    return from_json(json.loads(body), as_type)
