"""API keys of workspaces: compared as hashes, in constant time."""

from __future__ import annotations

import hashlib
import hmac

from attrs import define, field, frozen

from ebonyhold.callers._codes import (
    KEY_MISSING,
    KEY_UNKNOWN,
)
from ebonyhold.callers._refusals import Refusal
from ebonyhold.document import Document, Workspace
from ebonyhold.fleet import FleetView


@frozen
class Caller:
    """Who sends a request."""

    workspace: Workspace
    key: str


@define
class KeyRing:
    """The API keys of the document in force, indexed by hash.

    The index is looked up by the SHA-256 of what the caller sent, which tells
    an attacker nothing about the keys that exist; the match is then compared in
    constant time.
    """

    fleet: FleetView
    document: Document | None = None
    callers: dict[str, Caller] = field(factory=dict)

    def caller(self, key: str) -> Caller:
        """Return whose key this is.

        Raises:
            Refusal: There is no key, or nobody's.
        """
        if not key:
            raise Refusal(KEY_MISSING)
        if self.document is not self.fleet.document:
            self.index()
        digest = hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()
        caller = self.callers.get(digest)
        expected = digest if caller is not None else ""
        if caller is None or not hmac.compare_digest(digest, expected):
            raise Refusal(KEY_UNKNOWN)
        return caller

    def index(self) -> None:
        """Follow the document."""
        self.document = self.fleet.document
        self.callers = {
            key.sha256.lower(): Caller(workspace, key.id)
            for workspace in self.document.workspaces
            for key in workspace.keys
        }
