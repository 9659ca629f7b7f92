"""The keys that the routers of a fleet share, read from a file."""

from __future__ import annotations

import logging
import os
from pathlib import Path

from attrs import field, frozen

from ebonyhold.exceptions import SettingsError

logger = logging.getLogger(__name__)

SECRET_BYTES = 32
MAX_KEYS = 4
"""More keys than a rotation needs only keep old ones alive."""


@frozen
class PeerKey:
    """One shared key.

    Attributes:
        identifier: Its name, which travels in the clear.
        secret: The key itself; it is kept out of logs.
    """

    identifier: str
    secret: bytes = field(repr=False)


def parse_keys(text: str) -> tuple[PeerKey, ...]:
    """Parse lines of ``id:hexadecimal``, newest first; ``#`` begins a comment.

    Raises:
        SettingsError: A line is wrong, or there are too few or too many keys.

    >>> parse_keys("k1:" + "00" * 32)
    (PeerKey(identifier='k1'),)
    """
    lines = [line.split("#")[0].strip() for line in text.splitlines()]
    keys = tuple(parse_key(line) for line in lines if line)
    identifiers = {key.identifier for key in keys}
    if not 1 <= len(keys) <= MAX_KEYS or len(identifiers) < len(keys):
        raise SettingsError(f"need 1 to {MAX_KEYS} peer keys with different names")
    return keys


def parse_key(line: str) -> PeerKey:
    """Parse one line.

    Raises:
        SettingsError: It is not ``id:hexadecimal`` of the right length.
    """
    identifier, _, digits = line.partition(":")
    try:
        secret = bytes.fromhex(digits)
    except ValueError:
        secret = b""
    if not identifier or len(identifier) > 32 or len(secret) != SECRET_BYTES:
        raise SettingsError(f"a peer key is id:hexadecimal of {SECRET_BYTES} bytes")
    return PeerKey(identifier, secret)


class KeyRing:
    """The keys in use, read again whenever the file changes.

    Attributes:
        keys: The keys, newest first.
        path: Where they come from, or None for fixed keys.
        seen: What the file looked like when it was last read.
    """

    def __init__(self, keys: tuple[PeerKey, ...], path: Path | None = None) -> None:
        self.keys = keys
        self.path = path
        self.seen = self.fingerprint()

    @classmethod
    def load(cls, path: Path) -> KeyRing:
        """Read a file of keys.

        Raises:
            SettingsError: The file cannot be read, or a line is wrong.
        """
        try:
            return cls(parse_keys(path.read_text(encoding="ascii")), path)
        except (OSError, UnicodeDecodeError) as error:
            raise SettingsError(f"{path}: {error}") from error

    @property
    def identifiers(self) -> tuple[str, ...]:
        """Return the names of the keys, newest first."""
        return tuple(key.identifier for key in self.keys)

    def find(self, identifier: str) -> PeerKey | None:
        """Return the key of that name, if it is in use."""
        for key in self.keys:
            if key.identifier == identifier:
                return key
        return None

    def fingerprint(self) -> tuple[int, int, int] | None:
        """Return what changes with the file, or None when it cannot be seen."""
        if self.path is None:
            return None
        try:
            status = os.stat(self.path)
        except OSError:
            return None
        return (status.st_mtime_ns, status.st_size, status.st_ino)

    def refresh(self) -> bool:
        """Read the file again if it has changed; return whether the keys have.

        A file that is half written or missing during a rotation must not leave
        the router without keys, cut off from its peers: the keys in use stay
        until a whole file can be read.
        """
        seen = self.fingerprint()
        if seen is None or seen == self.seen or self.path is None:
            return False
        try:
            keys = parse_keys(self.path.read_text(encoding="ascii"))
        except (OSError, UnicodeDecodeError, SettingsError) as error:
            logger.error("peer keys not reloaded", extra={"cause": str(error)})
            return False
        self.seen = seen
        changed = keys != self.keys
        self.keys = keys
        return changed
