"""The socket for datagrams between gateways."""

from __future__ import annotations

import errno
import ipaddress
import socket

from ebonyhold.gateway._listening import ADDRESS_ERRORS, ListenError

RECEIVE_BUFFER = 1_048_576
"""Size of the socket's receive buffer in bytes; the system may allow less.

The reports of an interval of 110 routers arrive while a collector is busy.
"""


MAX_PORT = 65_535
"""The highest UDP port; sending to a higher one raises no OSError."""


def read_address(text: str) -> tuple[str, int] | None:
    """Return the address of a router; None if it is malformed or not numeric.

    A name would have to be looked up, which could block all requests.
    """
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host)
        number = int(port)
    except ValueError:
        return None
    return (host, number) if 0 < number <= MAX_PORT else None


def open_socket(address: tuple[str, int]) -> socket.socket:
    """Return a UDP socket that is bound to an address and does not block.

    Raises:
        ListenError: The address cannot be used.
        OSError: The socket could not be opened for another reason.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_DGRAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        sock.bind(address)
    except OSError as error:
        sock.close()
        if error.errno in ADDRESS_ERRORS or error.errno == errno.EINVAL:
            raise ListenError(f"{address[0]}:{address[1]}: {error}") from error
        raise
    return sock
