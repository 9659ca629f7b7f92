"""A bounded buffer between the engine's stream and the caller's."""

from __future__ import annotations

import anyio
from attrs import define, field

from ebonyhold.callers._codes import (
    CALLER_TOO_SLOW,
)
from ebonyhold.callers._refusals import Refusal


@define
class Pipe:
    """Bytes of a stream that are not sent to the caller yet.

    Attributes:
        max_size: Maximum number of buffered bytes.
        error: The error that ended the stream, or None.
        parts: The buffered bytes, in order.
        size: Number of buffered bytes.
        closed: Whether the stream has ended; `parts` may still hold bytes.
        ready: Set when bytes are added or the stream is closed.
    """

    max_size: int
    error: Exception | None = None
    parts: list[bytes] = field(factory=list)
    size: int = 0
    closed: bool = False
    ready: anyio.Event = field(factory=anyio.Event)

    def put(self, data: bytes) -> None:
        """Add bytes.

        Raises:
            Refusal: The buffer would exceed its maximum, because the caller is too
                slow.  Without this limit a few slow callers could use up the memory
                of several routers, which would then crash together.
        """
        self.size += len(data)
        if self.size > self.max_size:
            raise Refusal(CALLER_TOO_SLOW)
        self.parts.append(data)
        self.ready.set()

    def close(self, error: Exception | None = None) -> None:
        """End the stream; `take` still returns the buffered bytes."""
        self.closed = True
        self.error = error
        self.ready.set()

    async def take(self) -> bytes:
        """Wait for bytes and return all that are buffered; none at the stream's end."""
        while not self.parts and not self.closed:
            self.ready = anyio.Event()
            await self.ready.wait()
        data = b"".join(self.parts)
        self.parts.clear()
        self.size = 0
        return data
