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
"""How many more requests a server of the own failure domain may have in flight.

A request to another domain costs the delay between domains twice, some 1 to 3 ms, and
traffic between them. A request queued behind another waits until that one ends.
"""


def rank(key: str, name: str) -> bytes:
    """Return a server's hash for a key, which is the same at every router."""
    return hashlib.blake2b(f"{key}/{name}".encode(), digest_size=8).digest()


def choose_by_prompt(
    request: CallerRequest, entries: Sequence[BackendEntry], now: Seconds
) -> BackendEntry:
    """Return the server that can read a prompt soonest.

    A server first reads the prompts that it was sent before, and then the part of this
    prompt that is not in its cache. The shared part is assumed to be cached at servers
    that this router recently sent it to, and at the server that comes first in the
    rendezvous hashing order of that part: all routers send it there unless that server
    is busy, without coordinating. A popular prompt is thus cached at few servers, and a
    request goes to another one when reading the prompt there takes less than waiting.
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
