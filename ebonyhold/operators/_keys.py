"""The operators' keys, stored only as SHA-256 hashes."""

from __future__ import annotations

import hashlib
import hmac
from pathlib import Path

from attrs import define, frozen

from ebonyhold.exceptions import SettingsError

SHA256_LENGTH = 64
"""Hexadecimal digits of a SHA-256 hash."""


@frozen
class OperatorKey:
    """One operator's name and the SHA-256 hash of the key, in hexadecimal."""

    name: str
    sha256: str


@define
class OperatorKeys:
    """The operators' keys, read from a file.

    Attributes:
        path: The file, one ``name:sha256`` a line; ``#`` begins a comment.
        keys: The keys from the last successful read of the file.
        stamp: The file's modification time in nanoseconds and its size in bytes at
            that read.
    """

    path: Path
    keys: tuple[OperatorKey, ...] = ()
    stamp: tuple[int, int] = (0, -1)

    def reload(self) -> None:
        """Read the file if its modification time or size has changed.

        After an error the previous keys stay, and the next call tries again.

        Raises:
            SettingsError: The file cannot be read, or a line is malformed.
        """
        try:
            status = self.path.stat()
            stamp = (status.st_mtime_ns, status.st_size)
            if stamp == self.stamp:
                return
            self.keys = parse_keys(self.path.read_text(encoding="utf-8"))
        except (OSError, UnicodeDecodeError) as error:
            raise SettingsError(f"{self.path}: {error}") from error
        self.stamp = stamp

    def find(self, key: str) -> str | None:
        """Return the name of the operator to whom a key belongs, or None.

        Every hash is compared, each in constant time, so that the response time
        reveals nothing about the keys.
        """
        digest = hashlib.sha256(key.encode()).hexdigest()
        found: str | None = None
        for each in self.keys:
            if hmac.compare_digest(each.sha256, digest):
                found = each.name
        return found


def parse_keys(text: str) -> tuple[OperatorKey, ...]:
    """Return the keys in the text of a key file.

    Raises:
        SettingsError: A line is not ``name:sha256``.
    """
    keys: list[OperatorKey] = []
    for number, line in enumerate(text.splitlines(), 1):
        content = line.partition("#")[0].strip()
        if not content:
            continue
        name, _, digest = (part.strip() for part in content.partition(":"))
        if not name or not is_sha256(digest):
            raise SettingsError(f"line {number}: expected name:sha256")
        keys.append(OperatorKey(name, digest.lower()))
    return tuple(keys)


def is_sha256(text: str) -> bool:
    """Return whether a text is a SHA-256 hash in hexadecimal, of either case."""
    digits = set("0123456789abcdef")
    return len(text) == SHA256_LENGTH and set(text.lower()) <= digits
