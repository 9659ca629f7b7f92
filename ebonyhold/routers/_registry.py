"""The registry of the kinds of messages between routers, by their name on the wire."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

from attrs import frozen

from ebonyhold.routers._readable import resolve_fields


@frozen
class PeerMessage:
    """The base class of all messages between routers."""


Kind = TypeVar("Kind", bound=type[PeerMessage])

KINDS: dict[str, type[PeerMessage]] = {}
NAMES: dict[type[PeerMessage], str] = {}


def peer_message(name: str) -> Callable[[Kind], Kind]:
    """Return a decorator that registers a class of messages under a name on the wire.

    Fields are sent by position.  A later release may only append fields with
    defaults, so that routers of both releases can communicate during an upgrade.

    Args:
        name: The name, which must be unique.

    Returns:
        A decorator that returns the class unchanged.  It raises `ValueError` for a
        name that is in use, `TypeError` for a field that receivers cannot decode,
        and `NameError` for an undefined annotation.
    """

    def register(kind: Kind) -> Kind:
        if name in KINDS:
            raise ValueError(f"a kind of message named {name} is registered already")
        resolve_fields(kind)
        KINDS[name] = kind
        NAMES[kind] = name
        return kind

    return register
