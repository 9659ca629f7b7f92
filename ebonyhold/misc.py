"""Plain functions that belong to no one part."""

from __future__ import annotations

import hashlib
import secrets
import socket

BOOT_BYTES = 6


def sha256_hex(text: str | bytes) -> str:
    """Return the SHA-256 of a text or of bytes, in hexadecimal.

    >>> sha256_hex("demo")[:8]
    '2a97516c'
    """
    data = text.encode() if isinstance(text, str) else text
    return hashlib.sha256(data).hexdigest()


def new_incarnation(name: str) -> str:
    """Return a router identifier that no earlier life of this VM had.

    It is random, not a counter, since the VM has no disk to keep a count on.
    """
    return f"{name}.{secrets.token_hex(BOOT_BYTES)}"


def vm_name(router: str) -> str:
    """Return the VM's name in a router identifier.

    >>> vm_name("entry-1.0a1b2c")
    'entry-1'
    """
    return router.rpartition(".")[0]


def free_port() -> int:
    """Return a loopback port that nothing listens on now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port
