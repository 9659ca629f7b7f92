"""API keys of workspaces, compared as hashes in constant time."""

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
    """The sender of a request: the workspace and the identifier of its API key."""

    workspace: Workspace
    key: str


@define
class KeyRing:
    """The API keys of the document in force, indexed by hash.

    A key is looked up by its SHA-256, so that the time of the look-up reveals nothing
    about the keys that exist; the match is then compared in constant time.
    """

    fleet: FleetView
    document: Document | None = None
    callers: dict[str, Caller] = field(factory=dict)

    def caller(self, key: str) -> Caller:
        """Return the caller that a key belongs to.

        Raises:
            Refusal: The key is empty, or no workspace has it.
        """
        if not key:
            raise Refusal(KEY_MISSING)
        if self.document is not self.fleet.document:
            self.rebuild_index()
        digest = hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()
        caller = self.callers.get(digest)
        expected = digest if caller is not None else ""
        if caller is None or not hmac.compare_digest(digest, expected):
            raise Refusal(KEY_UNKNOWN)
        return caller

    def rebuild_index(self) -> None:
        """Rebuild the index from the document in force."""
        self.document = self.fleet.document
        self.callers = {
            key.sha256.lower(): Caller(workspace, key.id)
            for workspace in self.document.workspaces
            for key in workspace.keys
        }
