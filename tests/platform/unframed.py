"""Answers of a stand-in's engine that end with their connection."""

from __future__ import annotations

from collections.abc import Sequence

from attrs import define

from ebonyhold.forwarding import CallerConnection


@define
class UnframedAnswer:
    """Writes an answer with neither a length nor chunks.

    Attributes:
        connection: The connection, which carries no further answer.
    """

    connection: CallerConnection

    async def begin(self, headers: Sequence[tuple[bytes, bytes]]) -> None:
        """Write the head of an answer with status 200."""
        lines = [b"%s: %s\r\n" % field for field in headers]
        await self.send(b"HTTP/1.1 200 OK\r\n" + b"".join(lines) + b"\r\n")

    async def send(self, data: bytes) -> None:
        """Write a part of the body."""
        await self.connection.stream.send(data)

    async def end(self) -> None:
        """End the answer and the connection."""
        await self.connection.close()

    async def close(self) -> None:
        """Break the answer off."""
        await self.connection.close()
