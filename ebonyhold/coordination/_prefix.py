"""Hashes of prompt prefixes, and an index of the prefixes that an engine caches."""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Iterable, Sequence

from attrs import define, field

from ebonyhold.types import Tokens

BLOCK_WORDS = 16
"""Words per block, the unit in which prefixes are cached."""

MAX_BLOCKS = 256
"""Maximum number of hashed blocks per prompt.

Reusing a longer prefix from the cache would save little more.
"""

HASH_DIGITS = 16


def prefix_hashes(words: Sequence[str]) -> tuple[str, ...]:
    """Return the chained hash of each whole block of a prompt.

    Equal hashes at a position mean equal prompts up to there.  Engines use the same
    hashes in their cache events.

    >>> first = prefix_hashes(["w"] * 40)
    >>> second = prefix_hashes(["w"] * 20 + ["v"] * 20)
    >>> len(first), first[0] == second[0], first[1] == second[1]
    (2, True, False)
    """
    hashes: list[str] = []
    previous = ""
    for block in range(min(len(words) // BLOCK_WORDS, MAX_BLOCKS)):
        start = block * BLOCK_WORDS
        text = f"{previous}\0{' '.join(words[start : start + BLOCK_WORDS])}"
        digest = hashlib.sha256(text.encode("utf-8", "surrogatepass"))
        previous = digest.hexdigest()[:HASH_DIGITS]
        hashes.append(previous)
    return tuple(hashes)


@define
class PrefixIndex:
    """The prefix blocks that one engine is expected to have cached.

    The index is built from the engine's cache events, which arrive late and with gaps,
    and from the prompts that this router sent to it.  The least recently used blocks
    are dropped.

    Attributes:
        max_blocks: The maximum number of blocks in the index.
        sequence: Number of the last processed cache event.
        held: The blocks by hash, the least recently used first.
    """

    max_blocks: int = 20_000
    sequence: int = 0
    held: OrderedDict[str, None] = field(factory=OrderedDict)

    def sent(self, hashes: Iterable[str]) -> None:
        """Add the blocks of a prompt that is sent to the engine."""
        for item in hashes:
            self.held[item] = None
            self.held.move_to_end(item)
        while len(self.held) > self.max_blocks:
            self.held.popitem(last=False)

    def stored(self, item: str) -> None:
        """Add a block that the engine reports as stored."""
        self.sent((item,))

    def removed(self, item: str) -> None:
        """Remove a block that the engine reports as evicted."""
        self.held.pop(item, None)

    def clear(self) -> None:
        """Remove all blocks and reset `sequence`, after a restart of the engine."""
        self.held.clear()
        self.sequence = 0

    def reuse(self, hashes: Sequence[str]) -> Tokens:
        """Return the length of the prompt's prefix expected to be cached, in words."""
        blocks = 0
        for item in hashes:
            if item not in self.held:
                break
            blocks += 1
        return blocks * BLOCK_WORDS
