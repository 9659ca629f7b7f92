"""An engine's prefix cache: bounded blocks, and events that come late, with gaps."""

from __future__ import annotations

import random
from collections import OrderedDict, deque

from attrs import define, field, frozen

from ebonyhold.coordination import BLOCK_WORDS, prefix_hashes
from ebonyhold.types import Seconds

KEPT_EVENTS = 10_000


@frozen
class CacheEvent:
    """A block was stored or removed; `at` is when it happened."""

    sequence: int
    action: str
    prefix: str
    at: Seconds


@define
class PrefixCache:
    """Blocks of prompts, the least recently used removed first.

    Attributes:
        capacity: Blocks it can hold.
        lag: How late events become visible, in seconds.
        gap: The part of the events that never do.
        chance: Decides which.
        held: The blocks, least recently used first.
        events: The latest events.
        sequence: The number of the latest event.
    """

    capacity: int
    lag: Seconds
    gap: float
    chance: random.Random
    held: OrderedDict[str, None] = field(factory=OrderedDict)
    events: deque[CacheEvent] = field(factory=lambda: deque(maxlen=KEPT_EVENTS))
    sequence: int = 0

    def cached_tokens(self, words: tuple[str, ...]) -> int:
        """Return how long a prefix of a prompt is held, in words."""
        length = 0
        for prefix in prefix_hashes(words):
            if prefix not in self.held:
                break
            length += BLOCK_WORDS
        return length

    def store(self, words: tuple[str, ...], now: Seconds) -> None:
        """Hold the blocks of a prompt."""
        for prefix in prefix_hashes(words):
            self.add(prefix, now)

    def add(self, prefix: str, now: Seconds) -> None:
        """Hold one block, and remove the oldest ones when there is no room."""
        if prefix in self.held:
            self.held.move_to_end(prefix)
            return
        self.held[prefix] = None
        self.report("stored", prefix, now)
        while len(self.held) > self.capacity:
            oldest, _ = self.held.popitem(last=False)
            self.report("removed", oldest, now)

    def report(self, action: str, prefix: str, now: Seconds) -> None:
        """Record an event, or lose it."""
        self.sequence += 1
        if self.chance.random() >= self.gap:
            self.events.append(CacheEvent(self.sequence, action, prefix, now))

    def visible(self, after: int, now: Seconds) -> list[CacheEvent]:
        """Return the events behind a sequence number that are visible by now."""
        return [
            event
            for event in self.events
            if event.sequence > after and event.at <= now - self.lag
        ]
