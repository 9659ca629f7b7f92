"""Planned stops: which backend servers get no new requests at a given time."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from attrs import frozen

from ebonyhold.types import BackendName, RequestId, Seconds

CLOCK_MARGIN: Seconds = 1.0
"""How long before a planned stop a server already gets no new requests.

The margin allows for differences between the clocks of the VMs.
"""


@frozen
class PlannedStop:
    """A period in which a backend server or failure domain gets no new requests.

    Attributes:
        name: Unique in the configuration document.
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
        """Return whether this stop applies to a backend server."""
        if self.backend:
            return self.backend == backend
        return bool(self.domain) and self.domain == domain

    def active(self, now: Seconds) -> bool:
        """Return whether the stop, with the clock margin before it, is in effect."""
        return self.starts - CLOCK_MARGIN <= now < self.ends


def is_stopped(
    stops: Iterable[PlannedStop], backend: BackendName, domain: str, now: Seconds
) -> bool:
    """Return whether a backend server gets no new requests due to a planned stop.

    >>> night = PlannedStop("night", 100.0, 200.0, domain="north")
    >>> [is_stopped([night], "e1", "north", at) for at in (98.0, 99.5, 200.0)]
    [False, True, False]
    """
    return any(stop.active(now) and stop.covers(backend, domain) for stop in stops)


@frozen
class InProgress:
    """A request that a backend server is running.

    Attributes:
        request: The request.
        backend: The backend server.
        since: When it started, in seconds since the epoch.
    """

    request: RequestId
    backend: BackendName
    since: Seconds


@frozen
class DrainingServer:
    """A leaving backend server and the requests that it must still finish.

    Attributes:
        backend: The leaving server.
        requests: The requests that it still runs, oldest first; empty when it can stop.
    """

    backend: BackendName
    requests: tuple[InProgress, ...]


def draining_servers(
    leaving: Sequence[BackendName], running: Iterable[InProgress]
) -> tuple[DrainingServer, ...]:
    """Return each leaving backend server with the requests that it must finish."""
    by_backend: dict[BackendName, list[InProgress]] = {name: [] for name in leaving}
    for request in running:
        if request.backend in by_backend:
            by_backend[request.backend].append(request)
    return tuple(
        DrainingServer(name, tuple(sorted(requests, key=lambda item: item.since)))
        for name, requests in by_backend.items()
    )
