"""Each kind of message over the wire, and kinds that cannot be registered."""

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


def filled(kind: typing.Any) -> typing.Any:
    """Return a value of a type, with something in every nested field."""
    if kind in EXAMPLES:
        return EXAMPLES[kind]
    if attrs.has(kind):
        fields = attrs.fields(kind)
        return kind(**{member.name: filled(member.type) for member in fields})
    if isinstance(kind, type) and issubclass(kind, Enum):
        return next(iter(kind))
    inner = typing.get_args(kind)
    if typing.get_origin(kind) is tuple:
        return tuple(filled(item) for item in inner if item is not Ellipsis)
    return filled(inner[0])


@pytest.mark.parametrize("name", sorted(KINDS))
def test_every_kind_is_read_back_with_every_field_filled(name: str) -> None:
    """Guards against answers that every receiver refuses as malformed."""
    frame = Frame(Purpose.ANSWER, 1, filled(KINDS[name]))
    assert decode(encode(frame)) == frame


def test_the_daemons_kinds_are_among_them() -> None:
    assert ebonyhold.daemon._messages.StatusReply in KINDS.values()


@frozen
class Unresolved:
    """Nested in a message, with an annotation that no module knows."""

    value: Unknown  # type: ignore[name-defined]  # noqa: F821


@frozen
class OfUnresolved(PeerMessage):
    """Holds what cannot be resolved."""

    inner: tuple[Unresolved, ...] = ()


@frozen
class OfAnything(PeerMessage):
    """Holds what the codec cannot turn back."""

    value: object = None


@frozen
class OfOneOfTwo(PeerMessage):
    """Holds what the codec cannot tell apart."""

    value: typing.Callable[[], int] | None = None


@pytest.mark.parametrize(
    ("kind", "error"),
    [(OfUnresolved, NameError), (OfAnything, TypeError), (OfOneOfTwo, TypeError)],
)
def test_kind_that_cannot_be_read_back(
    kind: type[PeerMessage], error: type[Exception]
) -> None:
    """Guards against a kind that fails only once a value is sent."""
    with pytest.raises(error):
        peer_message("unreadable")(kind)
    assert "unreadable" not in KINDS
