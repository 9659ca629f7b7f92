"""Circuit breaker: stops calls to a failing service and probes for its recovery."""

from __future__ import annotations

from collections import deque
from enum import Enum

from attrs import define, field, frozen

from ebonyhold.types import Seconds


class BreakerState(Enum):
    """Whether calls are allowed.

    Attributes:
        CLOSED: All calls are allowed.
        OPEN: No call is allowed until the open time has passed.
        HALF_OPEN: A limited number of calls is allowed, as probes.
    """

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


@frozen
class BreakerPolicy:
    """When a breaker opens, and for how long.

    Attributes:
        window: How long a result is counted, in seconds.
        min_calls: The minimum number of results in the window to open it.
        failure_ratio: The minimum share of failures in the window to open it.
        open_for: How long it stays open the first time, in seconds.
        max_open_for: The maximum of that time in seconds; the time doubles whenever a
            probe fails.
        probes: The maximum number of concurrent calls while half open.
        probe_timeout: How long a probe without a result counts as a concurrent call, in
            seconds.
    """

    window: Seconds = 10.0
    min_calls: int = 5
    failure_ratio: float = 0.5
    open_for: Seconds = 0.5
    max_open_for: Seconds = 10.0
    probes: int = 1
    probe_timeout: Seconds = 5.0


@frozen
class Result:
    """The result of one call."""

    at: Seconds
    ok: bool


@define
class CircuitBreaker:
    """Decides whether a call may be made; its methods take the current time.

    Attributes:
        policy: When it opens, and for how long.
        state: The state as of the last `allow`, `succeeded` or `failed`.
        results: The results inside the window.
        opened_at: When it opened last.
        open_for: How long it stays open this time, in seconds.
        probes: Start times of the probes without a result.
        openings: How often it has opened, including after failed probes.
    """

    policy: BreakerPolicy = field(factory=BreakerPolicy)
    state: BreakerState = BreakerState.CLOSED
    results: deque[Result] = field(factory=deque)
    opened_at: Seconds = 0.0
    open_for: Seconds = 0.0
    probes: list[Seconds] = field(factory=list)
    openings: int = 0

    def allow(self, now: Seconds) -> bool:
        """Return whether a call may be made now; while half open, it counts as a probe.

        After each True the caller must call `succeeded` or `failed`, or `abandoned` if
        it gave up the call before the result was known.
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
        """Return whether `allow` would return True, without counting a probe."""
        if self.state is BreakerState.CLOSED:
            return True
        if self.state is BreakerState.OPEN:
            return now >= self.opened_at + self.open_for
        timeout = self.policy.probe_timeout
        waiting = [at for at in self.probes if now < at + timeout]
        return len(waiting) < self.policy.probes

    def succeeded(self, now: Seconds) -> None:
        """Record a successful call; it closes a half-open breaker."""
        if self.state is BreakerState.HALF_OPEN:
            self.close()
            return
        self.record(Result(now, ok=True))

    def failed(self, now: Seconds) -> None:
        """Record a call that failed or timed out; the breaker may open or reopen."""
        if self.state is BreakerState.HALF_OPEN:
            self.reopen(now)
            return
        if self.state is BreakerState.OPEN:
            # The call began before the breaker opened.  Its failure is no new evidence
            # and must not keep the breaker open for longer.
            return
        self.record(Result(now, ok=False))
        if self.is_failing():
            self.open_for = self.policy.open_for
            self.open(now)

    def abandoned(self) -> None:
        """Discard a probe whose call was given up, so that another one is allowed."""
        if self.probes:
            self.probes.pop()

    def retry_after(self, now: Seconds) -> Seconds:
        """Return how long the breaker still stays open, in seconds; 0 if not open."""
        if self.state is not BreakerState.OPEN:
            return 0.0
        return max(0.0, self.opened_at + self.open_for - now)

    def record(self, result: Result) -> None:
        """Add a result, and discard those that are older than the window."""
        self.results.append(result)
        while self.results[0].at <= result.at - self.policy.window:
            self.results.popleft()

    def is_failing(self) -> bool:
        """Return whether the results in the window meet the policy for opening."""
        calls = len(self.results)
        if calls < self.policy.min_calls:
            return False
        failures = sum(1 for result in self.results if not result.ok)
        return failures >= calls * self.policy.failure_ratio

    def open(self, now: Seconds) -> None:
        """Refuse calls for `open_for` from now on; discard all results and probes."""
        self.state = BreakerState.OPEN
        self.opened_at = now
        self.openings += 1
        self.probes.clear()
        self.results.clear()

    def reopen(self, now: Seconds) -> None:
        """Open the breaker again, for twice as long as before up to the maximum."""
        self.open_for = min(self.open_for * 2, self.policy.max_open_for)
        self.open(now)

    def close(self) -> None:
        """Allow all calls again; discard the results from before."""
        self.state = BreakerState.CLOSED
        self.probes.clear()
        self.results.clear()

    def expire_probes(self, now: Seconds) -> None:
        """Discard probes without a result after `probe_timeout`.

        A probe whose caller was cancelled may never report a result.  Without a timeout
        the breaker would then stay half open forever.
        """
        timeout = self.policy.probe_timeout
        self.probes = [at for at in self.probes if now < at + timeout]
