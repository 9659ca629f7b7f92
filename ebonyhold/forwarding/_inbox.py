"""The receiving side of a connection: one task reads it, another takes the bytes."""

from __future__ import annotations

from collections.abc import Callable

import anyio
from anyio.abc import ByteStream
from attrs import define, field

from ebonyhold.types import Seconds

CHUNK = 65_536
"""Bytes read from a socket at once."""

MAX_WAITING = 262_144
"""Bytes buffered for a slow reader; above this, reading from the socket pauses.

This is the flow control: a fast sender is slowed down to the speed of the reader.
"""


@define(eq=False)
class Inbox:
    """The bytes received on a connection that have not been taken yet.

    A separate task reads the socket all the time, also while a request is processed.
    A caller that disconnects is thus noticed at once, and a server that closes an
    unused connection is noticed before the connection is reused.

    Attributes:
        stream: The connection.
        waiting: Bytes received and not taken yet.
        arrived_at: When the last bytes arrived.
        ended: Whether the peer has closed its side or the connection broke.
        broken: Whether it ended by a reset or an error.
        changed: Set when bytes arrive or the connection ends, then replaced.
        taken: Set when bytes are taken, so that paused reading resumes.
        on_end: Called when the connection has ended.
    """

    stream: ByteStream
    waiting: bytearray = field(factory=bytearray)
    arrived_at: Seconds = 0.0
    ended: bool = False
    broken: bool = False
    changed: anyio.Event = field(factory=anyio.Event)
    taken: anyio.Event = field(factory=anyio.Event)
    on_end: Callable[[], None] | None = None

    async def fill(self) -> None:
        """Read until the connection ends."""
        try:
            await self.read_until_end()
        finally:
            # If this task ends by an unexpected error, a task that waits for bytes must
            # still be woken, or it would wait forever.
            if not self.ended:
                self.ended = True
                self.broken = True
                self.notify()

    async def read_until_end(self) -> None:
        """Read until the connection ends, pausing while the buffer is full."""
        while not self.ended:
            try:
                self.waiting += await self.stream.receive(CHUNK)
                self.arrived_at = anyio.current_time()
            except anyio.EndOfStream:
                self.ended = True
            except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
                self.ended = True
                self.broken = True
            self.notify()
            # After a close no one takes bytes any more, so the close must end this wait
            # too; otherwise this task and its buffer would never be freed.
            while len(self.waiting) > MAX_WAITING and not self.ended:
                self.taken = anyio.Event()
                await self.taken.wait()

    def notify(self) -> None:
        """Wake the tasks that wait for bytes."""
        self.changed.set()
        self.changed = anyio.Event()
        if self.ended and self.on_end is not None:
            self.on_end()

    async def take(self) -> bytes:
        """Return the bytes received, waiting for at least one; empty at the end."""
        while not self.waiting and not self.ended:
            await self.changed.wait()
        data = bytes(self.waiting)
        self.waiting.clear()
        self.taken.set()
        return data

    def discard(self) -> None:
        """Drop the bytes received, so that reading continues."""
        self.waiting.clear()
        self.taken.set()


async def close_shielded(stream: ByteStream) -> None:
    """Close a connection, even if the calling task is being cancelled."""
    with anyio.CancelScope(shield=True):
        await stream.aclose()
