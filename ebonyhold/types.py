"""Type aliases that the packages share."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import TypeAlias

WorkspaceName: TypeAlias = str
"""The name of a workspace, unique in one document."""

RouterId: TypeAlias = str
"""The identifier of one incarnation of a router, written ``name.boot``.

A router gets a new one when it restarts or finds that its journal was sealed.
"""

HoldId: TypeAlias = str
"""The identifier of a hold of tokens for one request.

Unique among all incarnations of all routers.
"""

RequestId: TypeAlias = str
"""The identifier of a request in its workspace.

The caller's idempotency key, or a generated one.
"""

RequestDigest: TypeAlias = str
"""Identifies the requests of one workspace that have the same content."""

PartDigest: TypeAlias = str
"""Identifies a part of the prompts that requests of one service have."""

AttemptId: TypeAlias = str
"""The identifier of an attempt: one dispatch of a request to a backend server."""

BackendName: TypeAlias = str
"""The name of a backend server in the document."""

Tokens: TypeAlias = int
"""An amount of tokens; not negative unless documented where it is used."""

Seconds: TypeAlias = float
"""A duration or a point in time, in seconds."""

Json: TypeAlias = (
    "bool | int | float | str | Sequence[Json] | Mapping[str, Json] | None"
)
"""A value that can be encoded as JSON."""
