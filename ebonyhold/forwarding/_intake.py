"""Takes what a peer has sent a little at a time, and measures what it is made of.

The load handled here is peers that send interim answers, tiny chunks or chunk
extensions without end. Each of them costs processor time, while the message does not
grow, so that no limit of its size is reached.
"""

from __future__ import annotations

import anyio
import anyio.lowlevel
from attrs import define, field

from ebonyhold.forwarding._inbox import Inbox
from ebonyhold.types import Seconds

MAX_TAKE = 16_384
"""Maximum number of bytes that are taken at once, before their framing is measured."""

MAX_FRAMING = 24_576
"""Bytes of framing, beyond the bytes of the body, that a message may have at once.

The head of a message, of at most 16 KB, counts until it is complete.
"""

FRAMING_RATE = 4_096
"""Further bytes of framing for each second, so that a long answer may have small parts.

It is far below the rate at which they can be read, or they would never exceed it.
"""

EVENTS_AT_ONCE = 16
"""Number of protocol events after which other tasks run."""

MAX_BUSY = 8
"""Maximum number of connections with buffered bytes that are read between two runs of
the other tasks.
"""


def new_turns() -> anyio.Semaphore:
    """Return the turns that connections with buffered bytes take."""
    return anyio.Semaphore(MAX_BUSY, fast_acquire=True)


@define(eq=False)
class Intake:
    """Takes the bytes of one connection for its parser.

    Attributes:
        inbox: The bytes received.
        framing: Bytes taken that are no content, less those that are, and less what is
            allowed for the time that has passed; at least 0.
        counted_at: When `framing` was last computed.
        events: Number of protocol events since other tasks were last let run.
        turns: Shared by connections of which only MAX_BUSY go on at a time.
    """

    inbox: Inbox
    framing: float = 0.0
    counted_at: Seconds = field(factory=anyio.current_time)
    events: int = 0
    turns: anyio.Semaphore = field(factory=new_turns)

    async def yield_often(self) -> None:
        """Let other tasks run if EVENTS_AT_ONCE were counted since they last did.

        Without this, nothing else would run while many bytes are buffered, and the
        deadline of the request would be noticed late. The same holds for many
        connections that each go on after a short time, so they take turns.
        """
        if self.events >= EVENTS_AT_ONCE:
            self.events = 0
            async with self.turns:
                await anyio.lowlevel.checkpoint()

    def record_wait(self) -> None:
        """Record that other tasks could run, as this one has waited."""
        self.events = 0

    async def take(self) -> bytes:
        """Remove and return bytes of the inbox; empty after the end; see `Inbox`."""
        if not self.inbox.waiting:
            self.record_wait()
        data = await self.inbox.take(MAX_TAKE)
        now = anyio.current_time()
        allowed = (now - self.counted_at) * FRAMING_RATE
        self.framing = max(0.0, self.framing - allowed) + len(data)
        self.counted_at = now
        return data

    def count_content(self, size: int) -> None:
        """Count bytes taken as content, for which as much framing is allowed."""
        self.framing = max(0.0, self.framing - 2 * size)

    def count_head(self) -> None:
        """Count what was taken as the head of a message."""
        self.framing = 0.0

    @property
    def excess(self) -> float:
        """Bytes of framing beyond MAX_FRAMING; negative if they are fewer."""
        return self.framing - MAX_FRAMING
