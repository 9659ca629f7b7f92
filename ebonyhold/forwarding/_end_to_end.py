"""Which header fields are passed on from one connection to another."""

from __future__ import annotations

from ebonyhold.forwarding._types import Headers

CONNECTION_FIELDS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    }
)
"""Header fields that apply to a single connection and are not passed on."""


def end_to_end(headers: Headers) -> Headers:
    """Return the fields without those that apply to one connection only.

    These are CONNECTION_FIELDS and the fields that a Connection field names.
    """
    named = {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }
    return [
        (name, value)
        for name, value in headers
        if name not in CONNECTION_FIELDS and name not in named
    ]
