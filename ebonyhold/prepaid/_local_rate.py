"""How many requests of each workspace reach this router.

A router that gets many requests of a workspace, for example all those of one large
caller, would send as many messages to the workspace's holders. They would use a part of
its network link, and no request could be served while the link is full.
"""

from __future__ import annotations

import math

from attrs import define, field

from ebonyhold.types import Seconds, WorkspaceName

RATE_TIME: Seconds = 2.0
"""Time constant of the decay of past requests."""

MANY_REQUESTS = 15.0
"""Requests per second of a workspace from which a router keeps tokens of its own.

Only a few routers get as many, so a budget is not split into pieces smaller than a
request.
"""

FEW_REQUESTS = 5.0
"""Requests per second below which a router returns these tokens."""


@define
class RequestRate:
    """The requests of one workspace, with an exponential decay.

    Attributes:
        weight: The past requests, each multiplied by its decay.
        at: When the weight was computed.
        many: Whether `MANY_REQUESTS` were reached, and not less than `FEW_REQUESTS`
            since.
    """

    weight: float = 0.0
    at: Seconds = 0.0
    many: bool = False

    def update(self, now: Seconds, requests: int = 0) -> None:
        """Apply the decay until now, and add requests."""
        self.weight = self.weight * math.exp((self.at - now) / RATE_TIME) + requests
        self.at = now
        rate = self.weight / RATE_TIME
        self.many = rate >= (FEW_REQUESTS if self.many else MANY_REQUESTS)


@define(eq=False)
class LocalRates:
    """The requests of all workspaces that reach this router.

    Attributes:
        rates: The requests of each workspace that had one.
    """

    rates: dict[WorkspaceName, RequestRate] = field(factory=dict)

    def record(self, workspace: WorkspaceName, now: Seconds) -> None:
        """Count a request."""
        self.rates.setdefault(workspace, RequestRate(at=now)).update(now, 1)

    def has_many(self, workspace: WorkspaceName, now: Seconds) -> bool:
        """Return whether this router gets many requests of a workspace."""
        rate = self.rates.get(workspace)
        if rate is None:
            return False
        rate.update(now)
        return rate.many
