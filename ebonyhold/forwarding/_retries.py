"""This router's share of the retry budget of all routers."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from attrs import define, field, frozen

from ebonyhold.forwarding._types import ServiceName
from ebonyhold.types import Seconds

USED_SHARE = 0.7
"""The share of the retry budget that is used.

Routers count their windows separately, and a restarted router has lost its counts; the
unused share covers both errors.
"""


@frozen
class RetryRules:
    """The retry budget of a service, for all routers together.

    Attributes:
        ratio: Retries allowed per request.
        extra: Retries allowed in addition to those, per window.
        window: The period for which requests and retries are counted, in seconds.
    """

    ratio: float
    extra: float
    window: Seconds


@define
class Window:
    """Times of the recent requests and retries of one service."""

    requests: deque[Seconds] = field(factory=deque)
    retries: deque[Seconds] = field(factory=deque)

    def forget(self, before: Seconds) -> None:
        """Drop the times before the start of the window."""
        for times in (self.requests, self.retries):
            while times and times[0] < before:
                times.popleft()


@define
class FleetRetryBudget:
    """Decides whether a request may be retried, without contacting other routers.

    Each router may use the retries that its own requests earn, and an equal part of
    the fixed number of extra retries.

    Attributes:
        rules: The retry budget of each service, for all routers together.
        routers: Returns the number of routers.
        windows: The recent requests and retries of each service.
    """

    rules: RetryRules
    routers: Callable[[], int]
    windows: dict[ServiceName, Window] = field(factory=dict)

    def window(self, service: ServiceName, now: Seconds) -> Window:
        """Return the window of a service, without times before its start."""
        found = self.windows.setdefault(service, Window())
        found.forget(now - self.rules.window)
        return found

    def request(self, service: ServiceName, now: Seconds) -> None:
        """Record the first attempt of a request."""
        self.window(service, now).requests.append(now)

    def allowance(self, service: ServiceName, now: Seconds) -> float:
        """Return the number of retries that this router may make in the window."""
        earned = len(self.window(service, now).requests) * self.rules.ratio
        share = self.rules.extra / max(1, self.routers())
        return USED_SHARE * (earned + share)

    def take(self, service: ServiceName, now: Seconds) -> bool:
        """Count one retry if the budget allows it; return whether it does."""
        window = self.window(service, now)
        if len(window.retries) + 1 > self.allowance(service, now):
            return False
        window.retries.append(now)
        return True

    def give_back(self, service: ServiceName, now: Seconds) -> None:
        """Count a retry no more that was taken just before and never sent."""
        retries = self.window(service, now).retries
        if retries:
            retries.pop()
