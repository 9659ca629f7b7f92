"""A connection's incoming bytes: one task reads them, another takes them."""

from __future__ import annotations

from collections.abc import Callable

import anyio
from anyio.abc import ByteStream
from attrs import define, field

from ebonyhold.types import Seconds

CHUNK = 65_536
"""Bytes taken from a socket at once."""

MOST_WAITING = 262_144
"""Bytes kept for a reader that is slow; beyond them the socket is left alone.

It is the flow control: a fast sender then waits for the slow reader.
"""


@define(eq=False)
class Inbox:
    """What has arrived on a connection and nobody has taken yet.

    A task of its own reads the socket all the time, also while a request is
    worked on.  That is how a caller that leaves is noticed at once, and how a
    server that closes an unused connection is noticed before its next use.

    Attributes:
        stream: The connection.
        waiting: Bytes that nobody has taken.
        arrived_at: When the last bytes arrived.
        ended: Whether the other side has ended or broken its direction.
        broken: Whether that was a reset or an error, not an orderly end.
        on_end: Called once the other side has ended.
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
        """Read until the other side ends."""
        try:
            await self.read_on()
        finally:
            # Whoever waits for bytes would wait for ever if this task ended by an
            # error that is none of the connection's.
            if not self.ended:
                self.ended = True
                self.broken = True
                self.notify()

    async def read_on(self) -> None:
        """Read until the other side ends."""
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
            # Whoever closes the connection takes nothing any more, so that ends the
            # wait too; this task and its bytes would else stay for ever.
            while len(self.waiting) > MOST_WAITING and not self.ended:
                self.taken = anyio.Event()
                await self.taken.wait()

    def notify(self) -> None:
        """Wake whoever waits for bytes."""
        self.changed.set()
        self.changed = anyio.Event()
        if self.ended and self.on_end is not None:
            self.on_end()

    async def take(self) -> bytes:
        """Return what has arrived, waiting for at least a byte; empty at the end."""
        while not self.waiting and not self.ended:
            await self.changed.wait()
        data = bytes(self.waiting)
        self.waiting.clear()
        self.taken.set()
        return data

    def discard(self) -> None:
        """Drop what has arrived, so that reading goes on."""
        self.waiting.clear()
        self.taken.set()


async def hang_up(stream: ByteStream) -> None:
    """Close a connection even if the task that does so is being cancelled."""
    with anyio.CancelScope(shield=True):
        await stream.aclose()
