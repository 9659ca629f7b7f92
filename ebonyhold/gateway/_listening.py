"""Listening at an address, again and again, with an error of its own if it cannot."""

from __future__ import annotations

import errno
import socket

import anyio
from anyio.abc import TaskGroup

from ebonyhold.exceptions import EbonyholdError
from ebonyhold.forwarding import CallerListener

NO_ADDRESS = frozenset(
    {errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.EACCES, errno.EPERM}
)
"""Errors of the system that only the taking of an address has; others, such as a full
table of files, may come from accepting a connection and pass."""


class ListenError(EbonyholdError):
    """An address cannot be listened at: its port is taken, or it is not ours."""

    code = "address_unusable"


async def listen(
    listener: CallerListener, address: tuple[str, int], tasks: TaskGroup
) -> None:
    """Accept connections until the listener is told to stop accepting.

    Args:
        listener: Serves them; it may have failed before.
        address: The host and port.
        tasks: Where the connections are served.

    Raises:
        ListenError: The address cannot be used.
    """
    if listener.accepting.cancel_called:
        return
    # A scope can be entered once only, so each try needs one of its own.
    listener.accepting = anyio.CancelScope()
    try:
        await listener.run(address, tasks)
    except OSError as error:
        unusable = error.errno in NO_ADDRESS or isinstance(error, socket.gaierror)
        if not unusable:
            raise
        raise ListenError(f"{address[0]}:{address[1]}: {error}") from error
