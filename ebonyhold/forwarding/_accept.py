"""The listening socket for callers, and accepting connections from it."""

from __future__ import annotations

import errno
import socket
from collections.abc import Iterator

BACKLOG = 1024
"""Maximum number of connections that the kernel queues until they are accepted."""

CONNECTION_ERRORS = frozenset(
    {
        errno.ECONNABORTED,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENONET,
        errno.ENOPROTOOPT,
        errno.EOPNOTSUPP,
        errno.EPERM,
        errno.EPROTO,
    }
)
"""Errors of accept(2) that concern one connection: one that its caller has closed, one
that a firewall forbids, and pending network errors, which Linux reports there."""


def listen_at(
    address: tuple[str, int], receive_buffer: int | None = None
) -> socket.socket:
    """Return a non-blocking socket that listens at an address.

    Args:
        address: The host and port.
        receive_buffer: Size asked for the buffer of what connections receive, in bytes;
            None for the system's own choice.

    Raises:
        OSError: It is not possible to listen on the address.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    listening = socket.create_server(address, family=family, backlog=BACKLOG)
    if receive_buffer is not None:
        # Connections that are accepted have the buffer of the listening socket.
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    listening.setblocking(False)
    return listening


def accept_all(listening: socket.socket) -> Iterator[socket.socket]:
    """Accept all queued connections without waiting, and yield their sockets.

    An asynchronous accept is not used, because cancelling it can lose a connection that
    was already taken from the queue: it would stay open but never be served.

    Raises:
        OSError: No file descriptors or memory are left.
    """
    while True:
        try:
            connection, _ = listening.accept()
        except BlockingIOError:
            return
        except OSError as error:
            if error.errno in CONNECTION_ERRORS:
                continue
            raise
        connection.setblocking(False)
        yield connection
