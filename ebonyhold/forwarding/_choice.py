"""Choice of the backend server for a request."""

from __future__ import annotations

import hashlib
import random
from collections.abc import Sequence

from ebonyhold.forwarding._backends import BackendEntry
from ebonyhold.forwarding._types import CallerRequest
from ebonyhold.forwarding._work import shared_tokens, sharing_key
from ebonyhold.types import Seconds

NEAR_SLACK = 1
"""How many more requests a server of the own failure domain may have in flight than one
of another domain and still be chosen.

A request to another domain costs the delay between domains twice, some 1 to 3 ms, and
traffic between them. A request queued behind another waits until that one ends.
"""


def rank(key: str, name: str) -> bytes:
    """Return a server's rendezvous hash for a key; all routers compute the same."""
    return hashlib.blake2b(f"{key}/{name}".encode(), digest_size=8).digest()


def choose_by_prompt(
    request: CallerRequest, entries: Sequence[BackendEntry], now: Seconds
) -> BackendEntry:
    """Return the server that can read a prompt soonest.

    The cost at a server is its load in prompt tokens, plus the shared tokens of this
    prompt if they are probably not in its cache. They probably are at a server that
    this router sent them to recently, and at the first server in rendezvous hashing
    order. All routers have the same order, so few servers read a popular prompt.
    """
    key = sharing_key(request)
    shared = shared_tokens(request)
    ordered = sorted(entries, key=lambda entry: rank(key, entry.backend.name))

    def cost(entry: BackendEntry) -> float:
        kept = entry is ordered[0] or entry.work.has_cached(key, now)
        return entry.work.waiting + (0 if kept else shared)

    return min(ordered, key=cost)


def choose_nearby(entries: Sequence[BackendEntry], domain: str) -> BackendEntry:
    """Return the least loaded server, preferring the own failure domain."""

    def load(entry: BackendEntry) -> float:
        here = entry.backend.domain == domain
        share = entry.in_flight - (NEAR_SLACK + 0.5 if here else 0)
        return share + random.random() * 0.1

    return min(entries, key=load)


def choose(
    request: CallerRequest, entries: Sequence[BackendEntry], domain: str, now: Seconds
) -> BackendEntry:
    """Return the server for a request; ``entries`` must not be empty."""
    if sharing_key(request):
        return choose_by_prompt(request, entries, now)
    return choose_nearby(entries, domain)
