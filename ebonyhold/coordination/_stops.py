"""Planned stops: who may get new work at a given time."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from attrs import frozen

from ebonyhold.types import BackendName, RequestId, Seconds

CLOCK_MARGIN: Seconds = 1.0
"""Clocks of VMs differ; new work ends this much before a stop starts."""


@frozen
class PlannedStop:
    """A time in which a backend server or a failure domain gets no new work.

    Attributes:
        name: Unique in the document.
        starts: Seconds since the epoch.
        ends: Seconds since the epoch.
        backend: The backend server, or empty.
        domain: The failure domain, or empty.
    """

    name: str
    starts: Seconds
    ends: Seconds
    backend: BackendName = ""
    domain: str = ""

    def covers(self, backend: BackendName, domain: str) -> bool:
        """Return whether this stop is about a backend server."""
        if self.backend:
            return self.backend == backend
        return bool(self.domain) and self.domain == domain

    def active(self, now: Seconds) -> bool:
        """Return whether new work is kept away at a time."""
        return self.starts - CLOCK_MARGIN <= now < self.ends


def is_stopped(
    stops: Iterable[PlannedStop], backend: BackendName, domain: str, now: Seconds
) -> bool:
    """Return whether any planned stop keeps new work from a backend server.

    >>> night = PlannedStop("night", 100.0, 200.0, domain="north")
    >>> [is_stopped([night], "e1", "north", at) for at in (98.0, 99.5, 200.0)]
    [False, True, False]
    """
    return any(stop.active(now) and stop.covers(backend, domain) for stop in stops)


@frozen
class InProgress:
    """A request that a backend server still runs.

    Attributes:
        request: The request.
        backend: Where it runs.
        since: When it began, seconds since the epoch.
    """

    request: RequestId
    backend: BackendName
    since: Seconds


@frozen
class Holding:
    """What still holds one leaving backend server.

    Attributes:
        backend: The server that leaves.
        requests: What it still runs, oldest first; empty when it is free to go.
    """

    backend: BackendName
    requests: tuple[InProgress, ...]


def holdings(
    leaving: Sequence[BackendName], running: Iterable[InProgress]
) -> tuple[Holding, ...]:
    """Return what still holds each leaving backend server."""
    by_backend: dict[BackendName, list[InProgress]] = {name: [] for name in leaving}
    for request in running:
        if request.backend in by_backend:
            by_backend[request.backend].append(request)
    return tuple(
        Holding(name, tuple(sorted(requests, key=lambda item: item.since)))
        for name, requests in by_backend.items()
    )
