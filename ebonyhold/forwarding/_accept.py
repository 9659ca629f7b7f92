"""The listening socket for callers, and accepting connections from it."""

from __future__ import annotations

import socket
from collections.abc import Iterator

BACKLOG = 1024
"""Connections that the kernel queues until they are accepted."""


def listen_at(address: tuple[str, int]) -> socket.socket:
    """Return a non-blocking socket that listens at an address.

    Raises:
        OSError: The address cannot be listened at.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    listening = socket.create_server(address, family=family, backlog=BACKLOG)
    listening.setblocking(False)
    return listening


def accept_all(listening: socket.socket) -> Iterator[socket.socket]:
    """Accept all queued connections without waiting.

    A cancelled asynchronous accept may already have taken a connection from the queue.
    Its caller would then have an open connection that nobody reads from.

    Raises:
        OSError: The system is out of sockets or memory.
    """
    while True:
        try:
            connection, _ = listening.accept()
        except BlockingIOError:
            return
        except ConnectionAbortedError:
            # The caller closed the connection before it was accepted.
            continue
        connection.setblocking(False)
        yield connection
