"""What all other routers have at a backend server."""

from __future__ import annotations

from typing import Protocol

from attrs import frozen

from ebonyhold.coordination._crashes import ServerRun
from ebonyhold.types import Seconds, Tokens


@frozen
class ServerLoad:
    """The load of a server by all routers but this one.

    Attributes:
        requests: Number of requests in flight.
        unread: Prompt tokens that the server has not read yet.
        resident: Maximum number of prompt and output tokens of the requests in flight.
        slowness: Time to the first event of an answer compared with the median of the
            servers of its service; 1.0 if unknown.
        failing: Share of the recent attempts that failed, from 0 to 1; 0 if unknown.
    """

    requests: int
    unread: Tokens
    resident: Tokens
    slowness: float = 1.0
    failing: float = 0.0


class FleetLoad(Protocol):
    """What is known here of the load that the other routers put on servers."""

    def load(self, run: ServerRun, now: Seconds) -> ServerLoad | None:
        """Return the load of a server's run; None if it is unknown or too old."""
        ...

    def is_on(self, service: str) -> bool:
        """Return whether routers share the load of a service's servers."""
        ...


@frozen
class NoFleetLoad:
    """The load of a fleet whose routers do not share it."""

    def load(self, run: ServerRun, now: Seconds) -> None:
        """Return None, as no load is known."""
        del run, now

    def is_on(self, service: str) -> bool:
        """Return False, as no load is shared."""
        del service
        return False
