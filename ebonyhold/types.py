"""Type aliases shared by every package."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import TypeAlias

WorkspaceName: TypeAlias = str
"""The name of a workspace, unique in one document."""

RouterId: TypeAlias = str
"""One life of one router process, written ``name.boot``.

A router that restarts, or that finds its journal sealed, takes a new one.
"""

HoldId: TypeAlias = str
"""A hold of tokens for one request; unique among all routers and their lives."""

RequestId: TypeAlias = str
"""One request of a workspace: the caller's idempotency key, or one made here."""

AttemptId: TypeAlias = str
"""One dispatch of a request to one backend server."""

BackendName: TypeAlias = str
"""The name of a backend server in the document."""

Tokens: TypeAlias = int
"""An amount of tokens, never negative unless the docstring says so."""

Seconds: TypeAlias = float
"""A length of time, or a point on a monotonic clock."""

Json: TypeAlias = (
    "bool | int | float | str | Sequence[Json] | Mapping[str, Json] | None"
)
"""A value that JSON can carry."""
