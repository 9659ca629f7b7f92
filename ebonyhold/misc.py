"""Helper functions that several packages use."""

from __future__ import annotations

import hashlib
import random
import secrets
import socket
from contextlib import suppress

BOOT_BYTES = 6
"""Random bytes in a boot identifier."""

LISTENING_PORTS = range(16_384, 20_000)
"""Ports for `free_port`, below the range that systems use for outgoing connections."""

PORT_TRIES = 100
"""Number of random ports that `free_port` tries."""


def sha256_hex(text: str | bytes) -> str:
    """Return the SHA-256 digest of bytes or of a text in UTF-8, in hexadecimal.

    >>> sha256_hex("demo")[:8]
    '2a97516c'
    """
    data = text.encode() if isinstance(text, str) else text
    return hashlib.sha256(data).hexdigest()


def new_incarnation(name: str) -> str:
    """Return a router identifier for a new incarnation, ``name.boot``.

    The boot identifier is random rather than a counter, since the VM has no disk to
    store a counter on.
    """
    return f"{name}.{secrets.token_hex(BOOT_BYTES)}"


def vm_name(router: str) -> str:
    """Return the VM's name from a router identifier.

    >>> vm_name("entry-1.0a1b2c")
    'entry-1'
    """
    return router.rpartition(".")[0]


def free_port() -> int:
    """Return a loopback port that is free now.

    Ports of the range for outgoing connections are left out: an outgoing connection
    would often use such a port before the caller of this function listens there.

    Raises:
        OSError: All `PORT_TRIES` ports that were tried are in use.
    """
    for port in random.sample(LISTENING_PORTS, PORT_TRIES):
        with socket.socket() as probe, suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return port
    raise OSError(f"no free port: all {PORT_TRIES} ports tried are in use")
