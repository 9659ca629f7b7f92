"""The keys that the routers of a deployment share, read from a file."""

from __future__ import annotations

import logging
import os
from pathlib import Path

from attrs import field, frozen

from ebonyhold.exceptions import SettingsError

logger = logging.getLogger(__name__)

SECRET_BYTES = 32
MAX_KEYS = 4
"""Maximum number of keys in a file; a rotation needs no more."""


@frozen
class PeerKey:
    """One shared key.

    Attributes:
        identifier: The name of the key, sent unencrypted with each message.
        secret: The key itself; excluded from `repr`, so that it is not logged.
    """

    identifier: str
    secret: bytes = field(repr=False)


def parse_keys(text: str) -> tuple[PeerKey, ...]:
    """Parse lines of ``id:hexadecimal``; ``#`` starts a comment.

    The keys are returned in the order of the lines, which must be newest first.

    Raises:
        SettingsError: A line is invalid, a name is used twice, or there are no keys
            or more than `MAX_KEYS`.

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
    """Parse one line without a comment into a key.

    Raises:
        SettingsError: The line is not ``id:hexadecimal`` with an id of 1 to 32
            characters and `SECRET_BYTES` bytes.
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
    """The keys in use; `refresh` reads them again if their file has changed.

    Attributes:
        keys: The keys, newest first.
        path: The file of the keys, or None for fixed keys.
        last_fingerprint: The fingerprint of the file when its keys were last accepted.
    """

    def __init__(self, keys: tuple[PeerKey, ...], path: Path | None = None) -> None:
        self.keys = keys
        self.path = path
        self.last_fingerprint = self.fingerprint()

    @classmethod
    def load(cls, path: Path) -> KeyRing:
        """Read a file of keys.

        Raises:
            SettingsError: The file cannot be read, or its content is invalid.
        """
        try:
            return cls(parse_keys(path.read_text(encoding="ascii")), path)
        except (OSError, UnicodeDecodeError) as error:
            raise SettingsError(f"{path}: {error}") from error

    @property
    def identifiers(self) -> tuple[str, ...]:
        """The names of the keys, newest first."""
        return tuple(key.identifier for key in self.keys)

    def find(self, identifier: str) -> PeerKey | None:
        """Return the key with that name, or None if there is none."""
        for key in self.keys:
            if key.identifier == identifier:
                return key
        return None

    def fingerprint(self) -> tuple[int, int, int] | None:
        """Return the file's modification time (in ns), size and inode.

        The result is None if `path` is None or the file cannot be accessed.
        """
        if self.path is None:
            return None
        try:
            status = os.stat(self.path)
        except OSError:
            return None
        return (status.st_mtime_ns, status.st_size, status.st_ino)

    def refresh(self) -> bool:
        """Read the file again if it has changed; return whether the keys changed.

        During a rotation the file may be incomplete or missing.  Then the old keys
        stay in use, so that the router can still communicate with its peers.  An
        invalid file is logged as an error; a missing one is not logged.
        """
        current = self.fingerprint()
        if current is None or current == self.last_fingerprint or self.path is None:
            return False
        try:
            keys = parse_keys(self.path.read_text(encoding="ascii"))
        except (OSError, UnicodeDecodeError, SettingsError) as error:
            logger.error(
                "peer keys cannot be reloaded; the old ones stay in use",
                extra={"cause": str(error)},
            )
            return False
        self.last_fingerprint = current
        changed = keys != self.keys
        self.keys = keys
        return changed
