"""The receiving side of a connection: one task reads it, another takes the bytes."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import anyio
from anyio.abc import ByteStream
from attrs import define, field

from ebonyhold.forwarding._flow_control import BufferAccount
from ebonyhold.forwarding._sockets import hold_back, since_last_bytes, unread_bytes
from ebonyhold.types import Seconds

CHUNK = 65_536
"""Maximum number of bytes read from a socket at once."""

MAX_WAITING = 65_536
"""Number of buffered bytes at which reading from the socket pauses.

This limits a fast sender to the speed at which its bytes are taken.
"""


@define(eq=False)
class Traffic:
    """The bytes that a router has received on some of its connections."""

    received: int = 0


@define(eq=False)
class Inbox:
    """The bytes received on a connection that have not been taken yet.

    A separate task reads the socket, also while a request is processed or the
    connection is unused. It detects at once that a caller has disconnected or that a
    server has closed an unused connection, unless the buffer is full.

    Attributes:
        stream: The connection.
        traffic: Counts the bytes received.
        waiting: Bytes received and not taken yet.
        arrived_at: When the last bytes arrived, as far as the system tells.
        ended: Whether the peer has closed its side or the connection broke.
        broken: Whether it ended by a reset or an error.
        ended_at: When the peer ended it; 0 before that.
        changed: Set when bytes arrive or the connection ends, then replaced.
        taken: Set when bytes are taken, so that paused reading resumes.
        on_end: Called when the connection has ended.
        account: Bounds the bytes held; None if only `max_waiting` does.
        max_waiting: Bytes waiting at which reading pauses, without an account.
        taken_size: Bytes that were taken last, which count as held until the next are.
        dates_bytes: Whether to ask the system when bytes have arrived.
        waited: How long the bytes that were read last had waited for this process; 0 if
            that is not asked for.
    """

    stream: ByteStream
    traffic: Traffic = field(factory=Traffic)
    waiting: bytearray = field(factory=bytearray)
    arrived_at: Seconds = 0.0
    ended: bool = False
    broken: bool = False
    ended_at: Seconds = 0.0
    changed: anyio.Event = field(factory=anyio.Event)
    taken: anyio.Event = field(factory=anyio.Event)
    on_end: Callable[[], None] | None = None
    account: BufferAccount | None = None
    max_waiting: int = MAX_WAITING
    taken_size: int = 0
    dates_bytes: bool = False
    waited: Seconds = 0.0

    async def fill(self) -> None:
        """Read until the connection ends.

        An unexpected error is raised, but also marks the connection as broken.
        """
        try:
            await self.read_until_end()
        finally:
            # After an unexpected error, a task that waits for bytes must still be
            # woken, or it would wait forever.
            if not self.ended:
                self.ended = True
                self.broken = True
                self.notify()

    async def read_until_end(self) -> None:
        """Read until the connection ends, pausing while the buffer is full."""
        while not self.ended:
            try:
                data = await self.stream.receive(self.room())
                self.traffic.received += len(data)
                self.waiting += data
                if self.account is not None:
                    self.account.held += len(data)
                if self.dates_bytes:
                    self.waited = since_last_bytes(self.stream)
                self.arrived_at = anyio.current_time() - self.waited
            except anyio.EndOfStream:
                self.ended = True
            except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
                self.ended = True
                self.broken = True
            if self.ended:
                self.ended_at = anyio.current_time()
            self.notify()
            # No bytes are taken after a close, so the close must end this wait too.
            # Otherwise this task and its buffer would never be freed.
            while not (self.room() or self.ended):
                self.taken = anyio.Event()
                await self.taken.wait()

    def room(self) -> int:
        """Return how many bytes may be read now; 0 if reading pauses."""
        if self.account is not None:
            return self.account.room(len(self.waiting) + self.taken_size)
        return max(0, min(CHUNK, self.max_waiting - len(self.waiting)))

    def release(self, size: int) -> None:
        """Count bytes no more as held, so that paused reading resumes."""
        if self.account is not None:
            self.account.held -= size
        self.taken.set()

    def notify(self) -> None:
        """Wake tasks that wait for bytes; call `on_end` if the connection has ended."""
        self.changed.set()
        self.changed = anyio.Event()
        if self.ended and self.on_end is not None:
            self.on_end()

    @contextmanager
    def held_back(self) -> Iterator[None]:
        """Read nothing from the socket in the enclosed block.

        The end of the connection is still detected. If the connection is closed in the
        block, what was not read resets it, so that the peer can tell that.
        """
        hold_back(self.stream, True)
        try:
            yield
        finally:
            hold_back(self.stream, False)

    @property
    def has_more(self) -> bool:
        """Whether bytes have arrived that were not taken, read or not."""
        return bool(self.waiting) or unread_bytes(self.stream) > 0

    @property
    def blocks_sender(self) -> bool:
        """Whether the peer has sent more than was taken, or may send no more."""
        return bool(self.waiting) or not self.room()

    async def take(self, size: int) -> bytes:
        """Remove and return the first buffered bytes.

        Wait for some if there are none; after the end, the result is empty.

        Args:
            size: Maximum number of bytes.
        """
        # What was taken before is passed on by now.
        done, self.taken_size = self.taken_size, 0
        self.release(done)
        while not self.waiting and not self.ended:
            await self.changed.wait()
        data = bytes(self.waiting[:size])
        del self.waiting[:size]
        if self.account is None:
            self.taken.set()
        else:
            self.taken_size = len(data)
        return data

    def detach(self) -> None:
        """Drop the bytes received, and count none from now on."""
        self.discard()
        self.account = None

    def discard(self) -> None:
        """Drop the bytes received, so that reading continues."""
        size = len(self.waiting) + self.taken_size
        self.waiting.clear()
        self.taken_size = 0
        self.release(size)


async def close_shielded(stream: ByteStream) -> None:
    """Close a connection, even if the calling task is being cancelled."""
    with anyio.CancelScope(shield=True):
        await stream.aclose()
