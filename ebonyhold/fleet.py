"""The document in force and the backend servers that are leaving, at one router."""

from __future__ import annotations

import time
from collections.abc import Callable

from attrs import define, field

from ebonyhold.coordination import PlannedStop, is_stopped
from ebonyhold.document import Backend, BackendKind, Document, ModelRoute, ServiceRoute
from ebonyhold.types import BackendName, Seconds


@define
class FleetView:
    """The document in force, and which backend servers are leaving.

    The daemon's tasks update it, all in one event loop. Requests read it each time
    and keep no copies, so that a change applies to the next request.

    Attributes:
        document: The document in force.
        version: The document's version; 0 before there is one.
        domain: The failure domain of this router.
        leaving: Backend servers that the membership list marks as leaving.
        reported_leaving: Backend servers whose latest load report marks them as
            leaving.
        wall_clock: Returns the seconds since the epoch, for planned stops.
        planned_stops: The document's planned stops; times in seconds since the epoch.
    """

    document: Document
    version: int = 0
    domain: str = ""
    leaving: frozenset[BackendName] = frozenset()
    reported_leaving: set[BackendName] = field(factory=set)
    wall_clock: Callable[[], Seconds] = time.time
    planned_stops: tuple[PlannedStop, ...] = field(init=False, factory=tuple)

    def __attrs_post_init__(self) -> None:
        """Set the planned stops of the first document."""
        self.adopt(self.document, self.version)

    def adopt(self, document: Document, version: int) -> None:
        """Use a document, and drop `reported_leaving` servers that it lacks."""
        self.document = document
        self.version = version
        self.planned_stops = tuple(
            PlannedStop(
                stop.name,
                stop.starts.timestamp(),
                stop.ends.timestamp(),
                stop.backend,
                stop.domain,
            )
            for stop in document.stops
        )
        known = {backend.name for backend in document.backends}
        self.reported_leaving &= known

    def accepts(self, backend: Backend) -> bool:
        """Return whether new work may go to a backend server now.

        Any of three sources excludes a server, since each may lag behind the others:
        the document's planned stops by this router's clock, the membership list, and
        the server's own load reports.
        """
        if backend.name in self.leaving or backend.name in self.reported_leaving:
            return False
        now = self.wall_clock()
        return not is_stopped(self.planned_stops, backend.name, backend.domain, now)

    def model(self, name: str) -> ModelRoute | None:
        """Return the route of a model, or None if the document has none."""
        for route in self.document.models:
            if route.model == name:
                return route
        return None

    def service(self, name: str) -> ServiceRoute | None:
        """Return the route of a plain service, or None if the document has none."""
        for route in self.document.services:
            if route.service == name:
                return route
        return None

    def backends(self, kind: BackendKind) -> tuple[Backend, ...]:
        """Return the document's backend servers of one kind, leaving ones included."""
        return tuple(item for item in self.document.backends if item.kind is kind)
