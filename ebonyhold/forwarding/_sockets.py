"""Socket options of connections that the peer may end at any time."""

from __future__ import annotations

import fcntl
import socket
import struct
import termios
from contextlib import suppress

from anyio.abc import ByteStream, SocketAttribute

from ebonyhold.types import Seconds

LINGER_NONE = struct.pack("ii", 1, 0)
"""The value of SO_LINGER with which a close resets the connection."""

LAST_DATA_RECV = 52
"""Offset of ``tcpi_last_data_recv`` in ``struct tcp_info`` (linux/tcp.h)."""

READ_SIZE = 16_384
"""Maximum number of bytes that are read at once where memory is bounded."""

UNREAD_BYTES = 262_144
"""Number of bytes up to which a connection that is held back is not read."""


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


def bound_reads(stream: ByteStream) -> None:
    """Let the event loop read at most READ_SIZE bytes at once.

    What it has read beyond what its stream is asked for is kept and not counted: by
    default up to 256 KB of each connection.
    """
    transport = getattr(stream, "_transport", None)
    if transport is not None:
        transport.max_size = READ_SIZE


def grow_send_buffer(stream: ByteStream, size: int) -> None:
    """Let the system take this many bytes to send, as far as its limits allow.

    The system doubles the size that it is asked for, and states the doubled one.
    """
    raw = stream.extra(SocketAttribute.raw_socket, None)
    if raw is None:
        return
    with suppress(OSError):
        current = raw.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF)
        if size > current // 2:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)


def reset_on_close(stream: ByteStream) -> None:
    """Let the close of a connection reset it; what was not received is lost."""
    set_option(stream, socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)


def hold_back(stream: ByteStream, held: bool) -> None:
    """Set whether the event loop leaves the bytes that arrive to the system.

    It is still told when the peer ends the connection.
    """
    size = UNREAD_BYTES if held else 1
    set_option(stream, socket.SOL_SOCKET, socket.SO_RCVLOWAT, size)


def unread_bytes(stream: ByteStream) -> int:
    """Return how many bytes have arrived that were not read; 0 if not known."""
    raw = stream.extra(SocketAttribute.raw_socket, None)
    if raw is None:
        return 0
    try:
        size = fcntl.ioctl(raw.fileno(), termios.FIONREAD, bytes(4))
    except (OSError, ValueError):
        return 0
    (unread,) = struct.unpack("i", size)
    return int(unread)


def since_last_bytes(stream: ByteStream) -> Seconds:
    """Return how long ago the last bytes arrived, read or not; 0 if not known."""
    raw = stream.extra(SocketAttribute.raw_socket, None)
    if raw is None:
        return 0.0
    try:
        info = raw.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECV + struct.calcsize("I")
        )
        (milliseconds,) = struct.unpack_from("I", info, LAST_DATA_RECV)
    except (OSError, struct.error):
        return 0.0
    return float(milliseconds) / 1000
