"""Checks, when a kind of message is registered, that receivers can read it back."""

from __future__ import annotations

import types
import typing
from collections.abc import Iterator
from enum import Enum

import attrs

PLAIN = (bool, int, float, str, bytes, type(None))
"""Types that travel as they are."""

CONTAINERS = (tuple, list, dict, frozenset, set)
UNIONS = (typing.Union, types.UnionType)


def resolve_fields(kind: type, done: frozenset[type] = frozenset()) -> None:
    """Resolve the annotations of a message's fields, and of all that is nested there.

    Annotations are strings, and the codec reads a class whose strings were not
    resolved only as long as its values are not sent.

    Args:
        kind: The class of messages.
        done: Classes around this one, whose fields are being resolved.

    Raises:
        TypeError: A field has a type that receivers could not read back.
        NameError: A field has a type that its module does not know.
    """
    attrs.resolve_types(kind)
    for member in attrs.fields(kind):
        for part in parts_of(member.type):
            if not is_readable(part):
                what = f"{kind.__name__}.{member.name}"
                raise TypeError(f"{what} cannot be read back: {part!r}")
            if attrs.has(part) and part not in done:
                resolve_fields(part, done | {kind})


def parts_of(annotation: object) -> Iterator[type]:
    """Yield the types that an annotation is made of, containers left out.

    >>> list(parts_of(dict[str, tuple[int | None, ...]]))
    [<class 'str'>, <class 'int'>, <class 'NoneType'>]
    """
    origin = typing.get_origin(annotation)
    if origin in CONTAINERS or origin in UNIONS:
        for argument in typing.get_args(annotation):
            if argument is not Ellipsis:
                yield from parts_of(argument)
    else:
        yield typing.cast(type, annotation)


def is_readable(part: object) -> bool:
    """Say whether the codec can turn bytes back into a value of this type."""
    if not isinstance(part, type):
        return False
    return part in PLAIN or issubclass(part, Enum) or attrs.has(part)
