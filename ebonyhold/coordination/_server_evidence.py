"""What routers have recently observed of the speed and the failures of servers.

Load that it handles: one server is slow, or fails many of its requests while its health
check passes. Each of 131 routers sends such a server a request every few seconds, too
few to tell it from others. So the observations of all routers are added up.
"""

from __future__ import annotations

import math
import statistics
from collections.abc import Mapping

from attrs import define, frozen

from ebonyhold.coordination._load_totals import RunKey, ServerShare
from ebonyhold.types import Seconds, Tokens

MEMORY: Seconds = 3.0
"""Time constant with which observations lose weight."""

BASE_WORK: Tokens = 500
"""Expected work of a request besides the tokens to be read before its first event.

A request that waits for nothing still takes some steps of the server.
"""

MIN_UNANSWERED: Seconds = 1.0
"""Time without a first event from which on an attempt that was given up counts as slow.

Callers that leave earlier tell nothing about the server.
"""

MIN_ATTEMPTS = 5.0
"""Recent attempts of all routers below which the failures of a server do not count."""

FORGOTTEN = 0.1
"""Weight of attempts below which nothing is reported; one is below it after 7 s."""

PRIOR_WORK: Tokens = 2_000
"""Expected work that is assumed to have been observed at the median speed.

It keeps a single observation from making a server appear slow.
"""

MIN_COMPARED = 3
"""Number of servers with observations from which on they are compared."""

MAX_SLOWNESS = 20.0


@define(eq=False)
class ServerEvidence:
    """One router's recent observations of a run of a server; older ones weigh less.

    Attributes:
        observed: Sum of the times to the first event, in seconds.
        expected: Sum of the work that was expected before these events, in tokens.
        attempts: Number of ended attempts.
        failures: Number of those that failed.
        at: When the sums were last brought up to date.
    """

    observed: float = 0.0
    expected: float = 0.0
    attempts: float = 0.0
    failures: float = 0.0
    at: Seconds = 0.0

    @property
    def is_any(self) -> bool:
        """Whether there are observations."""
        return bool(self.attempts or self.expected)

    def decay(self, now: Seconds) -> None:
        """Bring the sums up to date."""
        weight = math.exp(-max(0.0, now - self.at) / MEMORY)
        self.at = now
        self.observed *= weight
        self.expected *= weight
        self.attempts *= weight
        self.failures *= weight

    def record_answer(self, length: Seconds, ahead: Tokens, now: Seconds) -> None:
        """Record the time to a first event.

        Args:
            length: The time from the dispatch to the event.
            ahead: Tokens that the server had to read before it.
            now: The time.
        """
        self.decay(now)
        self.observed += length
        self.expected += BASE_WORK + ahead

    def record_end(self, failed: bool, now: Seconds) -> None:
        """Record the end of an attempt."""
        self.decay(now)
        self.attempts += 1.0
        self.failures += failed

    def forget_ends(self) -> None:
        """Forget how attempts ended, as this router's link was the cause."""
        self.attempts = self.failures = 0.0

    def share(
        self, requests: int, unread: Tokens, resident: Tokens, now: Seconds
    ) -> ServerShare | None:
        """Return the observations with the load; None if there is nothing to report."""
        if not self.is_any:
            return ServerShare(requests, unread, resident) if requests else None
        self.decay(now)
        if max(self.attempts, self.expected / BASE_WORK) < FORGOTTEN:
            self.observed = self.expected = self.attempts = self.failures = 0.0
            return ServerShare(requests, unread, resident) if requests else None
        return ServerShare(
            requests,
            unread,
            resident,
            round(self.observed * 1_000),
            round(self.expected),
            round(self.attempts * 10),
            round(self.failures * 10),
        )


@frozen
class ServerRating:
    """A server compared with the others of its service.

    Attributes:
        slowness: Its time to the first event compared with the median.
        failing: By how much its share of failed attempts exceeds the median.
    """

    slowness: float = 1.0
    failing: float = 0.0


UNRATED = ServerRating()


def rate_servers(shares: Mapping[RunKey, ServerShare]) -> dict[RunKey, ServerRating]:
    """Compare the servers of one service by the observations of all routers.

    Failures that all servers have in common, such as timeouts under an overload, say
    nothing about one of them. So only what exceeds the median counts: otherwise the
    servers that happen to be first would be ejected and the others get their load.
    """
    times = {
        key: share.observed / share.expected
        for key, share in shares.items()
        if share.expected >= PRIOR_WORK
    }
    usual = statistics.median(times.values()) if len(times) >= MIN_COMPARED else 0.0
    failed = {
        key: share.failures / share.attempts
        for key, share in shares.items()
        if share.attempts >= MIN_ATTEMPTS * 10
    }
    common = statistics.median(failed.values()) if len(failed) >= MIN_COMPARED else 0.0
    ratings: dict[RunKey, ServerRating] = {}
    for key, share in shares.items():
        slowness = 1.0
        if usual > 0.0:
            observed = share.observed / usual + PRIOR_WORK
            slowness = min(MAX_SLOWNESS, observed / (share.expected + PRIOR_WORK))
        ratings[key] = ServerRating(slowness, max(0.0, failed.get(key, 0.0) - common))
    return ratings
