"""Prompt prefixes: their hashes, and what engines are believed to hold."""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Iterable, Sequence

from attrs import define, field

from ebonyhold.types import Tokens

BLOCK_WORDS = 16
"""Words of one block, the unit in which a prefix is kept."""

MOST_BLOCKS = 256
"""Blocks of a prompt that are hashed; a longer prefix saves little more."""

HASH_DIGITS = 16


def prefix_hashes(words: Sequence[str]) -> tuple[str, ...]:
    """Return the chained hash of each whole block of a prompt.

    Equal hashes at a position mean equal prompts up to there.  It is the hash
    that engines name in their cache events.

    >>> first = prefix_hashes(["w"] * 40)
    >>> second = prefix_hashes(["w"] * 20 + ["v"] * 20)
    >>> len(first), first[0] == second[0], first[1] == second[1]
    (2, True, False)
    """
    hashes: list[str] = []
    previous = ""
    for block in range(min(len(words) // BLOCK_WORDS, MOST_BLOCKS)):
        start = block * BLOCK_WORDS
        text = f"{previous}\0{' '.join(words[start : start + BLOCK_WORDS])}"
        digest = hashlib.sha256(text.encode("utf-8", "surrogatepass"))
        previous = digest.hexdigest()[:HASH_DIGITS]
        hashes.append(previous)
    return tuple(hashes)


@define
class PrefixIndex:
    """The prefix blocks that one engine is believed to hold.

    It learns from the engine's cache events, which come late and with gaps, and
    from what this router sent there; the least recently used are forgotten.

    Attributes:
        most: Blocks that are remembered.
        sequence: The last cache event that was seen.
    """

    most: int = 20_000
    sequence: int = 0
    held: OrderedDict[str, None] = field(factory=OrderedDict)

    def sent(self, hashes: Iterable[str]) -> None:
        """Note that a prompt goes to the engine, which will hold its blocks."""
        for item in hashes:
            self.held[item] = None
            self.held.move_to_end(item)
        while len(self.held) > self.most:
            self.held.popitem(last=False)

    def stored(self, item: str) -> None:
        """Note the engine's word that it holds a block."""
        self.sent((item,))

    def removed(self, item: str) -> None:
        """Note the engine's word that it evicted a block."""
        self.held.pop(item, None)

    def clear(self) -> None:
        """Forget all: the engine restarted with an empty cache."""
        self.held.clear()
        self.sequence = 0

    def reuse(self, hashes: Sequence[str]) -> Tokens:
        """Return the words of a prompt's prefix that the engine should hold."""
        blocks = 0
        for item in hashes:
            if item not in self.held:
                break
            blocks += 1
        return blocks * BLOCK_WORDS
