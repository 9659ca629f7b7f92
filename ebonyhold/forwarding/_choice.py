"""Choosing the backend server of an opaque request."""

from __future__ import annotations

import hashlib
import random
from collections.abc import Sequence

from ebonyhold.forwarding._backends import Entry
from ebonyhold.forwarding._types import CallerRequest

SLACK = 3
"""Requests by which the preferred server may be busier than the least busy one.

Fewer spread a popular prompt over servers that must all read it again; more let
it queue behind itself.
"""

NEAR_SLACK = 1
"""Requests by which a server of the own failure domain may be busier.

A request to another domain costs its delay twice, some 1 to 3 ms, and the bytes
between domains; a request that waits behind another costs its whole work.
"""


def sharing_key(request: CallerRequest) -> str:
    """Return the part of the prompt by which requests share an engine's cache.

    The last part belongs to one request or session alone; the one before it is
    the longest beginning that other requests have too.
    """
    parts = request.prompt_parts
    if not parts:
        return ""
    return parts[-2][0] if len(parts) > 1 else parts[-1][0]


def rank(key: str, name: str) -> bytes:
    """Return a server's place for a key: the same at every router."""
    return hashlib.blake2b(f"{key}/{name}".encode(), digest_size=8).digest()


def choose_by_prompt(key: str, entries: Sequence[Entry]) -> Entry:
    """Return the first server in a key's order that is not much busier than others.

    All routers agree on the order without talking (rendezvous hashing), so a
    shared prompt is read by few servers; the bound keeps a popular one from
    overloading its first server.
    """
    ordered = sorted(entries, key=lambda entry: rank(key, entry.backend.name))
    least = min(entry.in_flight for entry in entries)
    for entry in ordered:
        if entry.in_flight <= least + SLACK:
            return entry
    return ordered[0]


def choose_nearby(entries: Sequence[Entry], domain: str) -> Entry:
    """Return the least busy server, the own failure domain's if about as busy."""

    def load(entry: Entry) -> float:
        here = entry.backend.domain == domain
        share = entry.in_flight - (NEAR_SLACK + 0.5 if here else 0)
        return share + random.random() * 0.1

    return min(entries, key=load)


def choose(request: CallerRequest, entries: Sequence[Entry], domain: str) -> Entry:
    """Return the server that gets a request; there is at least one."""
    key = sharing_key(request)
    if key:
        return choose_by_prompt(key, entries)
    return choose_nearby(entries, domain)
