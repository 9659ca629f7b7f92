"""How the answers of backend servers end."""

from __future__ import annotations

from enum import Enum

from ebonyhold.forwarding._types import Headers

BODILESS = frozenset({204, 304})
"""Statuses whose answers have no body."""


class AnswerEnding(Enum):
    """How the bytes of an answer ended.

    Attributes:
        STATED: By its length or its last chunk, or it has no body.
        CLOSED: By the close of its connection, so that it may be incomplete.
        RESET: By a reset of its connection, so that it is incomplete.
        ABANDONED: This router stopped to read it.
    """

    STATED = "stated"
    CLOSED = "closed"
    RESET = "reset"
    ABANDONED = "abandoned"


def states_end(method: bytes, status: int, headers: Headers) -> bool:
    """Return whether an answer states its own end.

    Args:
        method: The method of the request.
        status: The status of the answer.
        headers: The header fields of the answer.

    >>> states_end(b"GET", 200, [(b"content-length", b"0")])
    True
    >>> states_end(b"GET", 200, []), states_end(b"HEAD", 200, [])
    (False, True)
    """
    if method == b"HEAD" or status in BODILESS:
        return True
    return any(name in (b"content-length", b"transfer-encoding") for name, _ in headers)
