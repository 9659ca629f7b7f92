"""Parses JSON messages from other gateways."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import TypeVar

from ebonyhold.coordination import DECODE_ERRORS, from_json
from ebonyhold.exceptions import MalformedMessageError

T = TypeVar("T")


def read_message(body: bytes, as_type: type[T]) -> T:
    """Return the object of type `as_type` in the body of another gateway's message.

    Raises:
        MalformedMessageError: It is not JSON or does not have the expected type.
    """
    try:
        raw = json.loads(body)
        if not isinstance(raw, Mapping):
            raise MalformedMessageError(f"{body[:80]!r} is not a JSON object")
        return from_json(raw, as_type)
    except DECODE_ERRORS as error:
        raise MalformedMessageError(f"{body[:80]!r}: {error!r}") from error
