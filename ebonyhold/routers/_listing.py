"""The other routers as the platform lists them, and as operators see them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable, Sequence
from typing import Protocol

from attrs import frozen

from ebonyhold.coordination import Listed, MemberStatus
from ebonyhold.types import RouterId, Seconds


class ListEntry(Protocol):
    """One router of the platform's membership list, as its client returns it."""

    @property
    def name(self) -> str:
        """Return the VM's name."""

    @property
    def address(self) -> str:
        """Return where its peers reach it, ``ip:port``."""

    @property
    def domain(self) -> str:
        """Return its failure domain."""

    @property
    def state(self) -> object:
        """Return ``live`` or ``leaving``, as text or as an enum of it."""


MemberSource = Callable[[], Awaitable[Sequence[ListEntry]]]


@frozen
class PeerStatus:
    """One other router, as operators see it.

    Attributes:
        router: The incarnation.
        address: Where it is reached.
        domain: Its failure domain.
        status: What is believed of it.
        listed: Whether the platform lists it.
        heard_ago: Seconds since it spoke to this router itself, or None.
    """

    router: RouterId
    address: str
    domain: str
    status: MemberStatus
    listed: bool
    heard_ago: Seconds | None


def listed(entries: Iterable[ListEntry]) -> list[Listed]:
    """Turn the platform's entries into those of the membership protocol."""
    return [
        Listed(entry.name, entry.address, entry.domain, word(entry.state) == "leaving")
        for entry in entries
        if word(getattr(entry, "role", "entry")) == "entry"
    ]


def word(value: object) -> str:
    """Return the text of a string or of an enum of strings."""
    return str(getattr(value, "value", value))
