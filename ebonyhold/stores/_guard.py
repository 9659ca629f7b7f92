"""What every call to one of the platform's services passes through.

A rate ceiling shared fairly between classes, a bounded queue, a circuit breaker
and a retry budget.  Only what is proved to have had no effect is repeated.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio
from attrs import define, field, frozen

from ebonyhold.coordination import (
    AdaptiveRate,
    Backoff,
    BreakerPolicy,
    CircuitBreaker,
    RetryBudget,
    TokenBucket,
)
from ebonyhold.exceptions import (
    ConflictError,
    ThrottledError,
    UnavailableError,
    UnknownOutcomeError,
)
from ebonyhold.stores._turnstile import Priority, RefusedHereError, Turnstile
from ebonyhold.types import Seconds

T = TypeVar("T")

BURST = 0.5
"""The burst of a ceiling, in seconds of its rate."""


@frozen
class GuardPolicy:
    """How one service is treated.

    Attributes:
        writes: Row writes a second that this process allows itself.
        reads: Row reads a second that this process allows itself.
        most_waiting: Calls of one class that may wait; more are refused.
        most_in_flight: Calls of each direction under way at once.
        most_wait: The longest wait for a turn, in seconds.
        most_retries: Retries of one call.
        retry_ratio: Retries for each call, on average.
        backoff: The waits between them.
        breaker: When calls stop.
    """

    writes: float = 40.0
    reads: float = 200.0
    most_waiting: int = 256
    most_in_flight: int = 16
    most_wait: Seconds = 2.0
    most_retries: int = 2
    retry_ratio: float = 0.1
    backoff: Backoff = field(factory=Backoff)
    breaker: BreakerPolicy = field(factory=BreakerPolicy)


@define
class Counters:
    """What happened to the calls of one class.

    Attributes:
        calls: Calls asked for.
        rows: Rows they named.
        waited: Seconds spent waiting for turns.
        retries: Further attempts.
        refused: Calls that the queue or the breaker refused.
        throttled: Attempts that the service refused as too many.
        unavailable: Attempts without effect.
        unknown: Writes without a known outcome.
        conflicts: Writes whose checks failed.
    """

    calls: int = 0
    rows: int = 0
    waited: Seconds = 0.0
    retries: int = 0
    refused: int = 0
    throttled: int = 0
    unavailable: int = 0
    unknown: int = 0
    conflicts: int = 0


@define
class Lane:
    """One direction, reads or writes, with its ceiling."""

    pace: AdaptiveRate
    turnstile: Turnstile

    @classmethod
    def at(cls, rate: float, policy: GuardPolicy) -> Lane:
        """Make a lane with a ceiling in units a second."""
        bucket = TokenBucket.full(rate, max(1.0, rate * BURST), 0.0)
        turnstile = Turnstile(bucket, policy.most_waiting, policy.most_in_flight)
        return cls(AdaptiveRate(rate, rate), turnstile)

    def set_rate(self, rate: float) -> None:
        """Change the ceiling."""
        self.pace = AdaptiveRate(rate, rate)
        self.turnstile.bucket.burst = max(1.0, rate * BURST)

    def refresh(self, now: Seconds) -> None:
        """Let the turnstile follow the pace."""
        self.turnstile.bucket.refill(now)
        self.turnstile.bucket.rate = self.pace.current(now)


@define
class Guard:
    """The guard of one service; `run` must run beside the callers.

    Attributes:
        policy: How the service is treated.
        breaker: Whether calls go through.
        retries: The budget of retries.
        counters: What happened, by class; for metrics.
        chance: Draws the jitter.
    """

    policy: GuardPolicy = field(factory=GuardPolicy)
    chance: random.Random = field(factory=random.Random)
    breaker: CircuitBreaker = field(init=False)
    retries: RetryBudget = field(init=False)
    reads: Lane = field(init=False)
    writes: Lane = field(init=False)
    counters: dict[Priority, Counters] = field(
        factory=lambda: {priority: Counters() for priority in Priority}
    )

    def __attrs_post_init__(self) -> None:
        """Make the parts that the policy describes."""
        policy = self.policy
        self.breaker = CircuitBreaker(policy.breaker)
        self.retries = RetryBudget(ratio=policy.retry_ratio)
        self.reads = Lane.at(policy.reads, policy)
        self.writes = Lane.at(policy.writes, policy)

    def set_rates(self, writes: float, reads: float) -> None:
        """Change the ceilings, in rows a second."""
        self.writes.set_rate(writes)
        self.reads.set_rate(reads)

    async def run(self) -> None:
        """Give out turns for ever."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.reads.turnstile.run)
            tasks.start_soon(self.writes.turnstile.run)

    async def call(
        self,
        lane: Lane,
        priority: Priority,
        rows: int,
        operation: Callable[[], Awaitable[T]],
    ) -> T:
        """Carry out a call, and repeat it while that is safe and allowed.

        UnknownOutcomeError is never repeated here: only the caller can read
        back whether its own write took effect.

        Raises:
            ConflictError: A check failed.
            UnavailableError: It certainly had no effect.
            UnknownOutcomeError: It may have taken effect.
        """
        counters = self.counters[priority]
        counters.calls += 1
        counters.rows += rows
        self.retries.first_attempt()
        retry = 0
        while True:
            try:
                return await self.attempt(lane, priority, rows, operation)
            except RefusedHereError:
                counters.refused += 1
                raise
            except UnavailableError:
                retry += 1
                if retry > self.policy.most_retries or not self.retries.take():
                    raise
            counters.retries += 1
            wait = self.policy.backoff.wait(retry, self.chance.random())
            await anyio.sleep(wait)

    async def attempt(
        self,
        lane: Lane,
        priority: Priority,
        rows: int,
        operation: Callable[[], Awaitable[T]],
    ) -> T:
        """Carry out a call once, in its turn."""
        # Asked before the queue, so that nobody waits for a turn that comes to
        # nothing, and again behind it, since the breaker may have opened.
        if not self.breaker.would_allow(anyio.current_time()):
            raise RefusedHereError("the circuit breaker is open")
        await self.enter(lane, priority, rows)
        try:
            if not self.breaker.allow(anyio.current_time()):
                raise RefusedHereError("the circuit breaker is open")
            return await self.observe(lane, priority, operation)
        finally:
            lane.turnstile.leave()

    async def enter(self, lane: Lane, priority: Priority, rows: int) -> None:
        """Wait for a turn.

        Raises:
            RefusedHereError: The queue is full, or the wait too long.
        """
        began_at = anyio.current_time()
        lane.refresh(began_at)
        try:
            with anyio.fail_after(self.policy.most_wait):
                await lane.turnstile.enter(priority, rows)
        except TimeoutError as error:
            raise RefusedHereError("no turn in time") from error
        finally:
            waited = anyio.current_time() - began_at
            self.counters[priority].waited += waited

    async def observe(
        self, lane: Lane, priority: Priority, operation: Callable[[], Awaitable[T]]
    ) -> T:
        """Carry out a call, and tell the breaker and the counters how it ended."""
        counters = self.counters[priority]
        try:
            result = await operation()
        except ConflictError:
            counters.conflicts += 1
            self.breaker.succeeded(anyio.current_time())
            raise
        except ThrottledError:
            # A service that refuses is alive: slow down, but do not stop.
            counters.throttled += 1
            now = anyio.current_time()
            lane.pace.refused(now)
            lane.refresh(now)
            self.breaker.succeeded(now)
            raise
        except UnavailableError:
            counters.unavailable += 1
            self.breaker.failed(anyio.current_time())
            raise
        except UnknownOutcomeError:
            counters.unknown += 1
            self.breaker.failed(anyio.current_time())
            raise
        except BaseException:
            # Cancelled, or an error of this process: it says nothing about the
            # service, and its probe must not be waited for.
            self.breaker.abandoned()
            raise
        self.breaker.succeeded(anyio.current_time())
        return result
