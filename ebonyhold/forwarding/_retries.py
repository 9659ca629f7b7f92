"""This router's part of a retry budget that all routers share."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from attrs import define, field, frozen

from ebonyhold.forwarding._types import ServiceName
from ebonyhold.types import Seconds

PART = 0.7
"""The part of the budget that is used.

Routers count their windows apart, and one that restarts forgets what it sent;
the rest covers both.
"""


@frozen
class RetryRules:
    """The budget of all routers together.

    Attributes:
        ratio: Retries allowed for each request.
        extra: Retries allowed beside those.
        window: Over how long both are counted.
    """

    ratio: float
    extra: float
    window: Seconds


@define
class Window:
    """The requests and retries of one service within the window."""

    requests: deque[Seconds] = field(factory=deque)
    retries: deque[Seconds] = field(factory=deque)

    def forget(self, before: Seconds) -> None:
        """Drop what has left the window."""
        for times in (self.requests, self.retries):
            while times and times[0] < before:
                times.popleft()


@define
class FleetRetries:
    """Decides whether one more server may be asked, without asking the others.

    The part that grows with the requests adds up over the routers by itself;
    the fixed part is divided among them.

    Attributes:
        rules: The budget of all routers together.
        routers: Returns how many routers there are.
        windows: What was sent for each service.
    """

    rules: RetryRules
    routers: Callable[[], int]
    windows: dict[ServiceName, Window] = field(factory=dict)

    def window(self, service: ServiceName, now: Seconds) -> Window:
        """Return a service's window as of now."""
        found = self.windows.setdefault(service, Window())
        found.forget(now - self.rules.window)
        return found

    def request(self, service: ServiceName, now: Seconds) -> None:
        """Note a request's first sending."""
        self.window(service, now).requests.append(now)

    def allowance(self, service: ServiceName, now: Seconds) -> float:
        """Return the retries that this window allows here."""
        earned = len(self.window(service, now).requests) * self.rules.ratio
        share = self.rules.extra / max(1, self.routers())
        return PART * (earned + share)

    def take(self, service: ServiceName, now: Seconds) -> bool:
        """Take one retry if the budget allows it, and tell whether it did."""
        window = self.window(service, now)
        if len(window.retries) + 1 > self.allowance(service, now):
            return False
        window.retries.append(now)
        return True
