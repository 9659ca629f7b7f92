"""An amount of a backend server's memory, and the requests that have parts of it."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Sequence

from attrs import define, field, frozen
from attrs.validators import deep_mapping, ge, instance_of

from ebonyhold.types import Seconds, Tokens

MAX_SHARED_PARTS = 8
"""Number of parts of a prompt that can be shared; further ones count for each request.

It bounds the size of a message about a request.
"""


@frozen
class MemoryNeed:
    """The memory that a request needs at a backend server, at most.

    Attributes:
        own: Tokens that only this request has: its last part and its output.
        shared: Tokens of each shared part of its prompt, by `shared_parts` key.
    """

    own: Tokens = field(validator=[instance_of(int), ge(0)])
    shared: dict[str, Tokens] = field(
        factory=dict, validator=deep_mapping(instance_of(str), ge(0))
    )

    @property
    def total(self) -> Tokens:
        """The memory needed if the server holds none of the shared parts."""
        return self.own + sum(self.shared.values())


def shared_parts(parts: Sequence[tuple[str, Tokens]]) -> dict[str, Tokens]:
    """Return the tokens of each part of a prompt but the last, by a key.

    A server can use what it has of a part only after the same preceding parts, so the
    key depends on these too, and on the stated lengths.  Parts that servers might share
    beyond that are counted more than once, which is safe.
    """
    found: dict[str, Tokens] = {}
    digest = hashlib.blake2b(digest_size=8)
    for name, tokens in parts[:-1][:MAX_SHARED_PARTS]:
        digest.update(f"{len(name)}:{name}={tokens}\n".encode())
        found[digest.hexdigest()] = max(0, tokens)
    return found


@define
class SharedPart:
    """A shared part of prompts that requests in flight have.

    Attributes:
        tokens: Its length.
        users: Number of these requests.
    """

    tokens: Tokens
    users: int = 0


@define
class Occupant:
    """A request that has memory.

    Attributes:
        need: What it needs.
        expires_at: When it has ended in any case.
        since: When it got the memory.
    """

    need: MemoryNeed
    expires_at: Seconds
    since: Seconds


@define(eq=False)
class MemoryPool:
    """An amount of a server's memory, and the requests that have parts of it.

    A shared part counts once while any of the requests has it.

    Attributes:
        size: The amount; if it shrinks below what is used, nothing more is given out.
        used: What the requests need together.
        occupants: The requests by name.
        shared: Their shared parts by key.
        next_expiry: No request expires before this time.
    """

    size: Tokens = 0
    used: Tokens = 0
    occupants: dict[str, Occupant] = field(factory=dict)
    shared: dict[str, SharedPart] = field(factory=dict)
    next_expiry: Seconds = math.inf

    def added(self, need: MemoryNeed) -> Tokens:
        """Return how much more is used with a further request."""
        return need.own + sum(
            tokens for key, tokens in need.shared.items() if key not in self.shared
        )

    def fits(self, need: MemoryNeed) -> bool:
        """Return whether there is room for a further request."""
        return self.used + self.added(need) <= self.size

    def add(
        self, name: str, need: MemoryNeed, now: Seconds, expires_at: Seconds
    ) -> None:
        """Count a request, whether there is room for it or not."""
        self.used += self.added(need)
        for key, tokens in need.shared.items():
            self.shared.setdefault(key, SharedPart(tokens)).users += 1
        self.occupants[name] = Occupant(need, expires_at, now)
        self.next_expiry = min(self.next_expiry, expires_at)

    def remove(self, name: str) -> Tokens | None:
        """Remove a request; return what became free, or None if it is unknown."""
        occupant = self.occupants.pop(name, None)
        if occupant is None:
            return None
        before = self.used
        self.used -= occupant.need.own
        for key in occupant.need.shared:
            part = self.shared[key]
            part.users -= 1
            if not part.users:
                del self.shared[key]
                self.used -= part.tokens
        return before - self.used

    def end_by(self, name: str, expires_at: Seconds) -> None:
        """Let a request expire at a time, if it does not before."""
        occupant = self.occupants.get(name)
        if occupant is not None:
            occupant.expires_at = min(occupant.expires_at, expires_at)
            self.next_expiry = min(self.next_expiry, occupant.expires_at)

    def expire(self, now: Seconds) -> list[str]:
        """Remove the requests that have expired; return their names."""
        if now < self.next_expiry:
            return []
        late = [n for n, one in self.occupants.items() if one.expires_at <= now]
        for name in late:
            self.remove(name)
        self.next_expiry = min(
            (one.expires_at for one in self.occupants.values()), default=math.inf
        )
        return late
