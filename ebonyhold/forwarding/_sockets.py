"""Socket options of connections that the peer may end at any time."""

from __future__ import annotations

import socket
import struct
from contextlib import suppress

from anyio.abc import ByteStream, SocketAttribute

LINGER_NONE = struct.pack("ii", 1, 0)
"""The value of SO_LINGER with which a close resets the connection."""


def set_option(stream: ByteStream, level: int, option: int, value: int | bytes) -> None:
    """Set a socket option; nothing is done for a connection that has ended.

    The event loop closes the socket of a connection that the peer resets. Whoever reads
    or writes the connection is told by that; its options have no effect any more.
    """
    raw = stream.extra(SocketAttribute.raw_socket, None)
    if raw is not None:
        with suppress(OSError):
            raw.setsockopt(level, option, value)


def pause_reading(stream: ByteStream) -> None:
    """Let a wrapped socket read only while its stream is asked to receive.

    anyio does so for connections that it makes. Otherwise bytes are read as fast as the
    peer sends them, and are kept without a bound.
    """
    transport = getattr(stream, "_transport", None)
    if transport is not None:
        transport.pause_reading()


def reset_on_close(stream: ByteStream) -> None:
    """Let the close of a connection reset it; what was not received is lost."""
    set_option(stream, socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
