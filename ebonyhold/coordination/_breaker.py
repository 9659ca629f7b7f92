"""A circuit breaker: stop calling what keeps failing, and probe it now and then."""

from __future__ import annotations

from collections import deque
from enum import Enum

from attrs import define, field, frozen

from ebonyhold.types import Seconds


class BreakerState(Enum):
    """Whether calls go through."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


@frozen
class BreakerPolicy:
    """When a breaker opens, and for how long.

    Attributes:
        window: How far back results count, in seconds.
        least_calls: Fewer results than this never open it.
        failure_ratio: The part of failures in the window that opens it.
        open_for: How long it stays open the first time, in seconds.
        most_open_for: The bound on that time, which doubles with each failed
            round of probes, in seconds.
        probes: Calls let through at once while half open.
        probe_timeout: After how long a probe without a result counts as failed,
            in seconds.
    """

    window: Seconds = 10.0
    least_calls: int = 5
    failure_ratio: float = 0.5
    open_for: Seconds = 0.5
    most_open_for: Seconds = 10.0
    probes: int = 1
    probe_timeout: Seconds = 5.0


@frozen
class Result:
    """How one call ended."""

    at: Seconds
    ok: bool


@define
class CircuitBreaker:
    """Decides whether a call may be made; every method is told the time.

    Attributes:
        policy: Its thresholds.
        state: Whether calls go through, as of the last question.
        results: The results inside the window.
        opened_at: When it opened last.
        open_for: How long it stays open this time, in seconds.
        probes: When each unanswered probe was let through.
        openings: How often it has opened.
    """

    policy: BreakerPolicy = field(factory=BreakerPolicy)
    state: BreakerState = BreakerState.CLOSED
    results: deque[Result] = field(factory=deque)
    opened_at: Seconds = 0.0
    open_for: Seconds = 0.0
    probes: list[Seconds] = field(factory=list)
    openings: int = 0

    def allow(self, now: Seconds) -> bool:
        """Decide whether a call may be made now.

        Each True must be followed by `succeeded` or `failed`, or by `abandoned`
        when the call was given up before it said anything about the other side.
        """
        if self.state is BreakerState.CLOSED:
            return True
        if self.state is BreakerState.OPEN:
            if now < self.opened_at + self.open_for:
                return False
            self.state = BreakerState.HALF_OPEN
            self.probes.clear()
        self.expire_probes(now)
        if len(self.probes) >= self.policy.probes:
            return False
        self.probes.append(now)
        return True

    def would_allow(self, now: Seconds) -> bool:
        """Tell whether `allow` would agree, without taking a probe."""
        if self.state is BreakerState.CLOSED:
            return True
        if self.state is BreakerState.OPEN:
            return now >= self.opened_at + self.open_for
        timeout = self.policy.probe_timeout
        waiting = [at for at in self.probes if now < at + timeout]
        return len(waiting) < self.policy.probes

    def succeeded(self, now: Seconds) -> None:
        """Record that a call was answered."""
        if self.state is BreakerState.HALF_OPEN:
            self.close()
            return
        self.record(Result(now, ok=True))

    def failed(self, now: Seconds) -> None:
        """Record that a call failed or was not answered in time."""
        if self.state is BreakerState.HALF_OPEN:
            self.reopen(now)
            return
        if self.state is BreakerState.OPEN:
            # A call from before the opening ends late.  Counting it would
            # lengthen the outage, since the breaker has drawn its conclusion.
            return
        self.record(Result(now, ok=False))
        if self.is_failing():
            self.open_for = self.policy.open_for
            self.open(now)

    def abandoned(self) -> None:
        """Record that a call was given up without learning anything."""
        if self.probes:
            self.probes.pop()

    def retry_after(self, now: Seconds) -> Seconds:
        """Return how long to wait before the next question, in seconds."""
        if self.state is not BreakerState.OPEN:
            return 0.0
        return max(0.0, self.opened_at + self.open_for - now)

    def record(self, result: Result) -> None:
        """Add a result and forget those that have left the window."""
        self.results.append(result)
        while self.results[0].at <= result.at - self.policy.window:
            self.results.popleft()

    def is_failing(self) -> bool:
        """Tell whether the window holds enough failures to open."""
        calls = len(self.results)
        if calls < self.policy.least_calls:
            return False
        failures = sum(1 for result in self.results if not result.ok)
        return failures >= calls * self.policy.failure_ratio

    def open(self, now: Seconds) -> None:
        """Stop calls for a while."""
        self.state = BreakerState.OPEN
        self.opened_at = now
        self.openings += 1
        self.probes.clear()
        self.results.clear()

    def reopen(self, now: Seconds) -> None:
        """Stop calls again, for longer than the last time."""
        self.open_for = min(self.open_for * 2, self.policy.most_open_for)
        self.open(now)

    def close(self) -> None:
        """Let calls through again."""
        self.state = BreakerState.CLOSED
        self.probes.clear()
        self.results.clear()

    def expire_probes(self, now: Seconds) -> None:
        """Forget probes without a result.

        A probe whose caller is cancelled may never report.  It would show as a
        breaker that stays half open for ever; forgetting it after a while frees
        its place.
        """
        timeout = self.policy.probe_timeout
        self.probes = [at for at in self.probes if now < at + timeout]
