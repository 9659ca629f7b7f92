"""Encoding of each kind of message, and kinds that cannot be registered."""

from __future__ import annotations

import typing
from enum import Enum

import attrs
import pytest
from attrs import frozen

import ebonyhold.daemon._messages
from ebonyhold.routers import PeerMessage, peer_message
from ebonyhold.routers._exchange import Frame, Purpose
from ebonyhold.routers._registry import KINDS
from ebonyhold.routers._wire import decode, encode

EXAMPLES: dict[type, object] = {bool: True, int: 7, float: 0.5, str: "oak", bytes: b"a"}


def example_of(kind: typing.Any) -> typing.Any:
    """Return a value of a type, with all fields of nested classes set."""
    if kind in EXAMPLES:
        return EXAMPLES[kind]
    if attrs.has(kind):
        fields = attrs.fields(kind)
        return kind(**{member.name: example_of(member.type) for member in fields})
    if isinstance(kind, type) and issubclass(kind, Enum):
        return next(iter(kind))
    inner = typing.get_args(kind)
    if typing.get_origin(kind) is tuple:
        return tuple(example_of(item) for item in inner if item is not Ellipsis)
    return example_of(inner[0])


@pytest.mark.parametrize("name", sorted(KINDS))
def test_every_kind_is_decoded_with_all_fields_set(name: str) -> None:
    """Guards against a kind of message that every receiver refuses as malformed."""
    frame = Frame(Purpose.ANSWER, 1, example_of(KINDS[name]))
    assert decode(encode(frame)) == frame


def test_the_kinds_of_the_daemon_are_registered() -> None:
    assert ebonyhold.daemon._messages.StatusReply in KINDS.values()


@frozen
class Unresolved:
    """A nested class with an annotation that is not defined."""

    value: Unknown  # type: ignore[name-defined]  # noqa: F821


@frozen
class UnresolvedField(PeerMessage):
    """A message with a field whose annotations cannot be resolved."""

    inner: tuple[Unresolved, ...] = ()


@frozen
class ObjectField(PeerMessage):
    """A message with a field that the codec cannot decode."""

    value: object = None


@frozen
class CallableField(PeerMessage):
    """A message with a union that the codec cannot decode."""

    value: typing.Callable[[], int] | None = None


@pytest.mark.parametrize(
    ("kind", "error"),
    [
        (UnresolvedField, NameError),
        (ObjectField, TypeError),
        (CallableField, TypeError),
    ],
)
def test_a_kind_that_cannot_be_decoded_is_rejected(
    kind: type[PeerMessage], error: type[Exception]
) -> None:
    """Guards against a kind that causes an error only when a message is sent."""
    with pytest.raises(error):
        peer_message("unreadable")(kind)
    assert "unreadable" not in KINDS
