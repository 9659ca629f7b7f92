"""Listens at an address, and can do so again after a failure."""

from __future__ import annotations

import errno
import socket

import anyio
from anyio.abc import TaskGroup

from ebonyhold.exceptions import EbonyholdError
from ebonyhold.forwarding import CallerListener

ADDRESS_ERRORS = frozenset(
    {errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.EACCES, errno.EPERM}
)
"""Errors that mean that the address cannot be used. Others, such as too many open
files, can come from accepting a connection and are transient."""


class ListenError(EbonyholdError):
    """An address cannot be listened at: its port is taken or it is not local."""

    code = "address_unusable"


async def listen(
    listener: CallerListener, address: tuple[str, int], tasks: TaskGroup
) -> None:
    """Accept connections until the listener's `accepting` scope is cancelled.

    Args:
        listener: Serves the connections; an earlier call may have failed.
        address: The host and port.
        tasks: The task group that serves the connections.

    Raises:
        ListenError: The address cannot be used.
    """
    if listener.accepting.cancel_called:
        return
    # A scope can be entered only once, so each call needs a new one.
    listener.accepting = anyio.CancelScope()
    try:
        await listener.run(address, tasks)
    except OSError as error:
        unusable = error.errno in ADDRESS_ERRORS or isinstance(error, socket.gaierror)
        if not unusable:
            raise
        raise ListenError(f"{address[0]}:{address[1]}: {error}") from error
