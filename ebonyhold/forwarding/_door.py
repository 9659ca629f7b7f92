"""The socket at which callers connect, and whoever waits at it."""

from __future__ import annotations

import socket
from collections.abc import Iterator

BACKLOG = 1024
"""Connections that the kernel keeps until they are accepted."""


def open_door(address: tuple[str, int]) -> socket.socket:
    """Listen at an address, without ever waiting for who connects.

    Raises:
        OSError: It cannot be listened at.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    door = socket.create_server(address, family=family, backlog=BACKLOG)
    door.setblocking(False)
    return door


def arrivals(door: socket.socket) -> Iterator[socket.socket]:
    """Accept all connections that wait at a door, in one step.

    An accept that waits can be cancelled when it has taken a connection already; its
    caller then has an open connection that nobody reads from.

    Raises:
        OSError: The system has no room for more.
    """
    while True:
        try:
            connection, _ = door.accept()
        except BlockingIOError:
            return
        except ConnectionAbortedError:
            # This caller has left again.
            continue
        connection.setblocking(False)
        yield connection
