"""Runs a listener at an address; it can be run again after a failure."""

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
files, can occur while connections are accepted, and are transient."""


class ListenError(EbonyholdError):
    """An address cannot be listened at, for example because its port is taken."""

    code = "address_unusable"


async def listen(
    listener: CallerListener, address: tuple[str, int], tasks: TaskGroup
) -> None:
    """Accept connections until the listener's `accepting` scope is cancelled.

    If it was cancelled before the call, return at once.

    Args:
        listener: Serves the connections; it can be used again after a failed call.
        address: The host and port.
        tasks: The task group that serves the connections.

    Raises:
        ListenError: The address cannot be used.
        OSError: Accepting connections failed for another reason.
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
