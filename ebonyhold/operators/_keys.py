"""Who is an operator: keys that are kept as hashes only."""

from __future__ import annotations

import hashlib
import hmac
from pathlib import Path

from attrs import define, frozen

from ebonyhold.exceptions import SettingsError

SHA256_LENGTH = 64


@frozen
class OperatorKey:
    """One operator's key, as its SHA-256."""

    name: str
    sha256: str


@define
class OperatorKeys:
    """The operators' keys, read again when their file changes.

    Attributes:
        path: The file, one ``name:hexadecimal`` a line; ``#`` begins a comment.
        keys: What it held when it was last read.
        stamp: Its change time and size then.
    """

    path: Path
    keys: tuple[OperatorKey, ...] = ()
    stamp: tuple[int, int] = (0, -1)

    def reload(self) -> None:
        """Read the file if it has changed.

        Raises:
            SettingsError: It cannot be read, or a line has another form.
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
        """Return the operator who holds a key, or None.

        Every hash is compared, each in constant time, so that the time taken
        tells nothing about the key.
        """
        digest = hashlib.sha256(key.encode()).hexdigest()
        found: str | None = None
        for each in self.keys:
            if hmac.compare_digest(each.sha256, digest):
                found = each.name
        return found


def parse_keys(text: str) -> tuple[OperatorKey, ...]:
    """Read the lines of a file of keys.

    Raises:
        SettingsError: A line has another form.
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
    """Tell whether a text is a SHA-256 in hexadecimal."""
    digits = set("0123456789abcdef")
    return len(text) == SHA256_LENGTH and set(text.lower()) <= digits
