"""The digest of a request's content, which is the same when a caller repeats it."""

from __future__ import annotations

import hashlib

from ebonyhold.types import RequestDigest, WorkspaceName

DIGEST_LENGTH = 32
"""Length of a digest in hexadecimal digits; the collisions of a much shorter one could
be found by trial."""


def request_digest(
    workspace: WorkspaceName, method: bytes, host: str, target: bytes, body: bytes
) -> RequestDigest:
    """Return the digest of a request's workspace and content.

    Header fields other than the host are left out, since they differ when a caller
    repeats a request: its identifier, the time left, the position in a stream.
    """
    digest = hashlib.sha256()
    for part in (workspace.encode(), method, host.encode(), target, body):
        # The lengths keep the parts apart.
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.hexdigest()[:DIGEST_LENGTH]
