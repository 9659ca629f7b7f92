"""Why a backend server may not get a request from this router now, and for how long."""

from __future__ import annotations

import math
from enum import Enum

from attrs import frozen

from ebonyhold.types import Seconds


class Cause(Enum):
    """Why a server may not get a request.

    Attributes:
        GONE: It is no longer listed, or has restarted.
        DRAINING: Its list entry states that it leaves.
        LEAVING: It has stated in an answer that it leaves.
        MOVED: Another server has its address.
        OTHER_VERSION: It runs another software version than the one that began the
            stream.
        UNCONFIRMED: It may have restarted with another version since the list was read.
        EVACUATED: Its failure domain is evacuated.
        RESTING: It has asked this router for rest.
        LIMITED: The limit that it states does not allow a request from this router now.
        BRITTLE: It is brittle, and has no place left for a request from this router.
        COLD: It is cold, and what it tolerates from this router is used up.
        MEMORY: Its memory is used up, or none is set aside for the request.
        FULL: It declined a request a moment ago.
        UNSETTLED: Not all routers may know its software version yet, and the request
            may begin a stream that another router is to carry on.
    """

    GONE = "gone"
    DRAINING = "draining"
    LEAVING = "leaving"
    MOVED = "moved"
    OTHER_VERSION = "other_version"
    UNCONFIRMED = "unconfirmed"
    EVACUATED = "evacuated"
    RESTING = "resting"
    LIMITED = "limited"
    BRITTLE = "brittle"
    COLD = "cold"
    MEMORY = "memory"
    FULL = "full"
    UNSETTLED = "unsettled"

    @property
    def ends(self) -> bool:
        """Whether the server may get requests again later, in the same run."""
        return self in TEMPORARY

    @property
    def is_binding(self) -> bool:
        """Whether the server gets no request even if no other server is left."""
        return self not in (Cause.FULL, Cause.UNSETTLED)


TEMPORARY = frozenset(
    {
        Cause.RESTING,
        Cause.LIMITED,
        Cause.BRITTLE,
        Cause.COLD,
        Cause.MEMORY,
        Cause.FULL,
        Cause.UNSETTLED,
    }
)
"""The causes that end while the server runs."""


@frozen
class Withheld:
    """A cause for which a server may not get a request now.

    Attributes:
        cause: The cause.
        wait: Time until the server may get a request; infinite if it is not known.
    """

    cause: Cause
    wait: Seconds = math.inf
