"""Checks, when a kind of message is registered, that receivers can decode it."""

from __future__ import annotations

import types
import typing
from collections.abc import Iterator
from enum import Enum

import attrs

SCALARS = (bool, int, float, str, bytes, type(None))
"""Types that msgpack encodes directly."""

CONTAINERS = (tuple, list, dict, frozenset, set)
UNIONS = (typing.Union, types.UnionType)


def resolve_fields(kind: type, done: frozenset[type] = frozenset()) -> None:
    """Resolve the annotations of a message's fields, including those of nested classes.

    Annotations are strings.  Without this check, an unresolvable annotation or a type
    that cannot be decoded would cause an error only when a message is sent or received.

    Args:
        kind: The class of messages.
        done: The classes that contain this one, which are not resolved again.

    Raises:
        TypeError: A field has a type that receivers cannot decode.
        NameError: The type of a field is not defined in its module.
    """
    attrs.resolve_types(kind)
    for member in attrs.fields(kind):
        for part in parts_of(member.type):
            if not is_decodable(part):
                name = f"{kind.__name__}.{member.name}"
                raise TypeError(f"{name} has a type that cannot be decoded: {part!r}")
            if attrs.has(part) and part not in done:
                resolve_fields(part, done | {kind})


def parts_of(annotation: object) -> Iterator[type]:
    """Yield the types in an annotation, except containers and unions.

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


def is_decodable(part: object) -> bool:
    """Return whether the codec can decode a value of this type."""
    if not isinstance(part, type):
        return False
    return part in SCALARS or issubclass(part, Enum) or attrs.has(part)
