"""A bounded way for a stream from the engine's side to the caller's."""

from __future__ import annotations

import anyio
from attrs import define, field

from ebonyhold.callers._codes import (
    CALLER_TOO_SLOW,
)
from ebonyhold.callers._refusals import Refusal


@define
class Pipe:
    """Bytes that the caller has not taken yet, joined while it is slow.

    Attributes:
        most: The most bytes that are held; beyond that the stream ends.
        error: Why the stream ends without its end, if it does.
    """

    most: int
    error: Exception | None = None
    parts: list[bytes] = field(factory=list)
    size: int = 0
    closed: bool = False
    ready: anyio.Event = field(factory=anyio.Event)

    def put(self, data: bytes) -> None:
        """Add bytes.

        Raises:
            Refusal: The caller is too slow.  Holding more would let a few slow
                callers take all of the router's memory, which shows as routers
                that die together; so the stream ends with an error event.
        """
        self.size += len(data)
        if self.size > self.most:
            raise Refusal(CALLER_TOO_SLOW)
        self.parts.append(data)
        self.ready.set()

    def close(self, error: Exception | None = None) -> None:
        """End the stream, after what it holds was taken."""
        self.closed = True
        self.error = error
        self.ready.set()

    async def take(self) -> bytes:
        """Return all bytes there are, waiting for some; empty at the end."""
        while not self.parts and not self.closed:
            self.ready = anyio.Event()
            await self.ready.wait()
        data = b"".join(self.parts)
        self.parts.clear()
        self.size = 0
        return data
