"""Entries of the platform's membership list, and the status of other routers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable, Sequence
from typing import Protocol

from attrs import frozen

from ebonyhold.coordination import Listed, MemberStatus
from ebonyhold.types import RouterId, Seconds


class ListEntry(Protocol):
    """One entry of the membership list, as the platform's client returns it."""

    @property
    def name(self) -> str:
        """The name of the VM."""

    @property
    def address(self) -> str:
        """The address for messages from peers, ``ip:port``."""

    @property
    def domain(self) -> str:
        """The failure domain of the VM."""

    @property
    def state(self) -> object:
        """``live`` or ``leaving``, as a string or an enum member with such a value."""


MemberSource = Callable[[], Awaitable[Sequence[ListEntry]]]


@frozen
class PeerStatus:
    """The status of one other router, for operators.

    Attributes:
        router: The incarnation.
        address: The address for messages from peers, ``ip:port``.
        domain: The failure domain.
        status: The status in this router's membership view.
        listed: Whether the platform's list contains the router.
        heard_ago: Seconds since the last heartbeat received from the router; None
            before the first.
    """

    router: RouterId
    address: str
    domain: str
    status: MemberStatus
    listed: bool
    heard_ago: Seconds | None


def to_listed(entries: Iterable[ListEntry]) -> list[Listed]:
    """Return the routers in the platform's list, for the membership protocol.

    Entries of other roles are skipped; an entry without a `role` counts as a router.
    """
    return [
        Listed(
            entry.name, entry.address, entry.domain, text_of(entry.state) == "leaving"
        )
        for entry in entries
        if text_of(getattr(entry, "role", "entry")) == "entry"
    ]


def text_of(value: object) -> str:
    """Return a string itself, or the string value of an enum member."""
    return str(getattr(value, "value", value))
