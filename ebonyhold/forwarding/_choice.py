"""Choice of the backend server for a request."""

from __future__ import annotations

import hashlib
import random
from collections.abc import Sequence

from ebonyhold.forwarding._entry import BackendEntry
from ebonyhold.forwarding._types import CallerRequest
from ebonyhold.forwarding._work import shared_tokens, sharing_key
from ebonyhold.types import Seconds

NEAR_SLACK = 1
"""How many more requests a server of the own failure domain may have in flight than one
of another domain and still be chosen.

A request to another domain takes some 1 to 3 ms longer, twice the delay between the
domains, and causes traffic between them. A request queued behind another request waits
until that one ends.
"""


def rank(key: str, name: str) -> bytes:
    """Return a server's rendezvous hash for a key; it is the same at all routers."""
    return hashlib.blake2b(f"{key}/{name}".encode(), digest_size=8).digest()


def choose_by_prompt(
    request: CallerRequest, entries: Sequence[BackendEntry], now: Seconds
) -> BackendEntry:
    """Return the server with the lowest cost of reading a prompt.

    The cost is the server's load in prompt tokens, plus the shared tokens of this
    prompt unless the server probably has them in its cache. A server is assumed to have
    them if this router sent them to it within CACHED_FOR, or if it is the first server
    in rendezvous hashing order. This order is the same at all routers, so that few
    servers read a popular prompt.
    """
    key = sharing_key(request)
    shared = shared_tokens(request)
    ordered = sorted(entries, key=lambda entry: rank(key, entry.backend.name))

    def cost(entry: BackendEntry) -> float:
        cached = entry is ordered[0] or entry.work.has_cached(key, now)
        return entry.work.waiting + (0 if cached else shared)

    return min(ordered, key=cost)


def choose_nearby(entries: Sequence[BackendEntry], domain: str) -> BackendEntry:
    """Return the server with the fewest requests of this router in flight.

    A server of the own failure domain may have NEAR_SLACK more than the others. Among
    equal servers the choice is random.
    """

    def load(entry: BackendEntry) -> float:
        here = entry.backend.domain == domain
        adjusted = entry.in_flight - (NEAR_SLACK + 0.5 if here else 0)
        return adjusted + random.random() * 0.1

    return min(entries, key=load)


def with_fewest_suspects(entries: Sequence[BackendEntry]) -> list[BackendEntry]:
    """Return the servers with the fewest requests that may crash them.

    If such requests are kept apart, a crash shows which one is the cause.
    """
    fewest = min(entry.suspects for entry in entries)
    return [entry for entry in entries if entry.suspects == fewest]


def choose(
    request: CallerRequest, entries: Sequence[BackendEntry], domain: str, now: Seconds
) -> BackendEntry:
    """Return the server for a request; ``entries`` must not be empty.

    A request with prompt parts goes to the server with the lowest cost of reading its
    prompt. Other requests go to the server with the fewest requests in flight, with a
    preference for the own failure domain.
    """
    if sharing_key(request):
        return choose_by_prompt(request, entries, now)
    return choose_nearby(entries, domain)
