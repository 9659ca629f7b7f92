"""The kinds of messages that routers exchange, by the name they have on the wire."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

from attrs import frozen

from ebonyhold.routers._readable import resolve_fields


@frozen
class PeerMessage:
    """The base of everything one router tells another."""


Kind = TypeVar("Kind", bound=type[PeerMessage])

KINDS: dict[str, type[PeerMessage]] = {}
NAMES: dict[type[PeerMessage], str] = {}


def peer_message(name: str) -> Callable[[Kind], Kind]:
    """Register a class of messages under its name on the wire.

    Fields travel by position: a later release may only append fields with
    defaults, so that releases can be mixed while a fleet is replaced.

    Args:
        name: The name, which no other kind has.

    Returns:
        A decorator that raises `TypeError` for a kind that cannot be read back.
    """

    def register(kind: Kind) -> Kind:
        if name in KINDS:
            raise ValueError(f"two kinds of messages are named {name}")
        resolve_fields(kind)
        KINDS[name] = kind
        NAMES[kind] = name
        return kind

    return register
