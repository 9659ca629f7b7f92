"""Which software version each stream belongs to, and which versions are in play.

What two versions of a server's software write into one stream does not fit together. A
stream belongs to the version that brought its first event, whichever router carries it
on.
"""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from typing import TypeAlias

from attrs import define, field, frozen

from ebonyhold.types import Seconds, WorkspaceName

StreamId: TypeAlias = str
"""Identifies a stream among those of all workspaces, by the attempt that began it."""

STREAM_ID_BYTES = 12
"""Length of a stream's identifier in bytes, before it is written in hexadecimal."""

KEPT_FOR: Seconds = 60.0
"""How long it is kept which version began a stream, and that a version was in play.

Callers take a stream up within the time that they wait for one answer.
"""

MAX_STREAMS = 20_000
"""Maximum number of streams that a router keeps; above it the oldest ones go."""

SETTLED_AFTER: Seconds = 2.5
"""Time after which all routers that reach the store know a version that one has seen.

Changes of the list must be in force within two seconds.
"""


@frozen
class BegunStream:
    """A stream that has brought an event.

    Attributes:
        service: The service whose server brought it.
        version: The version of the server's software.
    """

    service: str = ""
    version: str = ""


def stream_id(workspace: WorkspaceName, attempt: str) -> StreamId:
    """Return the identifier of the stream that a caller's attempt has begun.

    It contains the workspace, so that nobody can ask for the streams of another one.

    >>> len(stream_id("acme", "9c41d07be2a35f68"))
    24
    >>> stream_id("acme", "b/r-1") == stream_id("acme/b", "r-1")
    False
    """
    text = f"{len(workspace)}:{workspace}{attempt}".encode()
    return hashlib.blake2b(text, digest_size=STREAM_ID_BYTES).hexdigest()


@define(eq=False)
class StreamRecords:
    """The versions of streams that have begun lately.

    Attributes:
        begun: The streams, the one that was added last at the end.
        added_at: When each was added.
    """

    begun: dict[StreamId, BegunStream] = field(factory=dict)
    added_at: dict[StreamId, Seconds] = field(factory=dict)

    def add(self, stream: StreamId, begun: BegunStream, now: Seconds) -> None:
        """Keep a stream for KEPT_FOR from now on."""
        self.begun.pop(stream, None)
        self.added_at.pop(stream, None)
        self.begun[stream], self.added_at[stream] = begun, now
        if len(self.begun) > MAX_STREAMS:
            self.forget(next(iter(self.begun)))

    def forget(self, stream: StreamId) -> None:
        """Forget a stream."""
        del self.begun[stream], self.added_at[stream]

    def expire(self, now: Seconds) -> None:
        """Forget the streams whose time is over."""
        while self.begun:
            oldest = next(iter(self.begun))
            if now - self.added_at[oldest] < KEPT_FOR:
                return
            self.forget(oldest)

    def of_service(self, service: str) -> dict[StreamId, BegunStream]:
        """Return the streams of a service."""
        return {s: begun for s, begun in self.begun.items() if begun.service == service}


@define
class SeenVersion:
    """When a version was seen.

    Attributes:
        first_at: When a server with it was first listed; minus infinity if all routers
            can be assumed to know it.
        last_at: When one was last.
        inherited: Whether it was in the first list that this router has read, or other
            routers have seen it, or a server has restarted with it under its name, so
            that streams may have begun there without others being told.
    """

    first_at: Seconds
    last_at: Seconds
    inherited: bool = False


@define(eq=False)
class VersionHistory:
    """The versions that servers of each service run, or have run lately.

    Attributes:
        seen: The versions by service.
        is_complete: Whether it contains what earlier processes have seen.
    """

    seen: dict[str, dict[str, SeenVersion]] = field(factory=dict)
    is_complete: bool = True

    def record(
        self, service: str, version: str, now: Seconds, inherited: bool = False
    ) -> bool:
        """Record that a server with a version is listed, or was seen by other routers.

        Of several versions in the first list, the one that is recorded first counts as
        known to all routers.

        Args:
            service: The service.
            version: The version.
            now: The time.
            inherited: See `SeenVersion`.

        Returns:
            Whether the version is new beside another one.
        """
        versions = self.seen.setdefault(service, {})
        known = versions.get(version)
        if known is not None:
            known.last_at = now
            known.inherited |= inherited
            return False
        first_at = now if versions else -float("inf")
        versions[version] = SeenVersion(first_at, now, inherited)
        return len(versions) > 1

    def expire(self, now: Seconds) -> None:
        """Forget the versions that no server has had for KEPT_FOR."""
        for service, versions in list(self.seen.items()):
            for version, seen in list(versions.items()):
                if now - seen.last_at >= KEPT_FOR:
                    del versions[version]
            if not versions:
                del self.seen[service]

    def in_play(self, service: str) -> Mapping[str, SeenVersion]:
        """Return the versions that streams of a service may belong to."""
        return self.seen.get(service, {})

    def are_several(self, service: str) -> bool:
        """Return whether streams of a service may belong to several versions."""
        return len(self.seen.get(service, ())) > 1

    def unsettled_for(self, service: str, version: str, now: Seconds) -> Seconds:
        """Return the time until all routers know a version; 0 if they do."""
        seen = self.seen.get(service, {}).get(version)
        return 0.0 if seen is None else max(0.0, seen.first_at + SETTLED_AFTER - now)

    def possible(self, service: str, now: Seconds) -> list[str]:
        """Return the versions at which a stream that nobody knows may have begun.

        Streams begin at a version that not all routers know only if nothing else is
        left, and then others were told.
        """
        return [
            version
            for version, seen in self.in_play(service).items()
            if seen.inherited or not self.unsettled_for(service, version, now)
        ]
