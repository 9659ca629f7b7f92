"""Limits, queues and retries the calls to one of the platform's services.

Each call passes a rate limit shared fairly between classes, a bounded queue and a
circuit breaker.  Calls are retried only if they certainly had no effect, and within
a retry budget.
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
from ebonyhold.stores._call_queue import CallQueue, Priority, RefusedHereError
from ebonyhold.types import Seconds

T = TypeVar("T")

BURST = 0.5
"""Capacity of a token bucket, in seconds at the maximum rate.

The capacity is at least one row.
"""


@frozen
class GuardPolicy:
    """The limits of a guard; reads and writes are limited separately.

    Attributes:
        writes: Maximum rate of this process, in row writes a second.
        reads: Maximum rate of this process, in row reads a second.
        max_waiting: Maximum number of queued calls of one class, for reads and
            writes each; further calls are refused.
        max_in_flight: Maximum number of concurrent calls, for reads and writes
            each.
        max_wait: Maximum time that an attempt waits in the queue, in seconds.
        max_retries: Maximum number of retries of one call.
        retry_ratio: Retries allowed per call, on average over all calls.
        backoff: The delays before retries.
        breaker: When the circuit breaker opens and for how long.
    """

    writes: float = 40.0
    reads: float = 200.0
    max_waiting: int = 256
    max_in_flight: int = 16
    max_wait: Seconds = 2.0
    max_retries: int = 2
    retry_ratio: float = 0.1
    backoff: Backoff = field(factory=Backoff)
    breaker: BreakerPolicy = field(factory=BreakerPolicy)


@define
class Counters:
    """Totals over the calls of one class, for metrics.

    Attributes:
        calls: Calls, including refused ones.
        rows: Rows read or written by these calls; a scan counts as one.
        waited: Seconds spent in the queue.
        retries: Attempts after the first one of a call.
        refused: Calls refused in this process: the queue was full, the wait too
            long or the breaker open.
        throttled: Attempts that the service refused because of its rate limit.
        unavailable: Other attempts that failed without effect, and reads without
            an answer.
        unknown: Attempts whose outcome is unknown.
        conflicts: Writes refused because a check failed or the object exists.
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
class CallLimiter:
    """Limits the rate and concurrency of either reads or writes.

    Attributes:
        rate: The rate, in rows a second; lowered when the service throttles.
        queue: The queue of calls, which applies the rate.
    """

    rate: AdaptiveRate
    queue: CallQueue

    @classmethod
    def for_rate(cls, rate: float, policy: GuardPolicy) -> CallLimiter:
        """Make a limiter with a maximum rate in rows a second."""
        bucket = TokenBucket.full(rate, max(1.0, rate * BURST), 0.0)
        queue = CallQueue(bucket, policy.max_waiting, policy.max_in_flight)
        return cls(AdaptiveRate(rate, rate), queue)

    def set_rate(self, rate: float) -> None:
        """Set the maximum rate, in rows a second, and undo reductions by throttling."""
        self.rate = AdaptiveRate(rate, rate)
        self.queue.bucket.burst = max(1.0, rate * BURST)

    def refresh(self, now: Seconds) -> None:
        """Set the rate of the queue to the current adaptive rate."""
        self.queue.bucket.refill(now)
        self.queue.bucket.rate = self.rate.current(now)


@define
class Guard:
    """The guard of one service; queued calls wait until `run` admits them.

    Attributes:
        policy: The limits.
        rng: Draws the jitter of retry delays.
        breaker: Refuses calls while the service keeps failing.
        retries: Limits retries to a ratio of the calls.
        reads: Limits reads.
        writes: Limits writes.
        counters: Totals by class, for metrics.
    """

    policy: GuardPolicy = field(factory=GuardPolicy)
    rng: random.Random = field(factory=random.Random)
    breaker: CircuitBreaker = field(init=False)
    retries: RetryBudget = field(init=False)
    reads: CallLimiter = field(init=False)
    writes: CallLimiter = field(init=False)
    counters: dict[Priority, Counters] = field(
        factory=lambda: {priority: Counters() for priority in Priority}
    )

    def __attrs_post_init__(self) -> None:
        """Make the breaker, the retry budget and the limiters from the policy."""
        policy = self.policy
        self.breaker = CircuitBreaker(policy.breaker)
        self.retries = RetryBudget(ratio=policy.retry_ratio)
        self.reads = CallLimiter.for_rate(policy.reads, policy)
        self.writes = CallLimiter.for_rate(policy.writes, policy)

    def set_rates(self, writes: float, reads: float) -> None:
        """Set the maximum rates, in rows a second."""
        self.writes.set_rate(writes)
        self.reads.set_rate(reads)

    async def run(self) -> None:
        """Admit queued calls until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.reads.queue.run)
            tasks.start_soon(self.writes.queue.run)

    async def call(
        self,
        limiter: CallLimiter,
        priority: Priority,
        rows: int,
        operation: Callable[[], Awaitable[T]],
    ) -> T:
        """Run a call, with retries after failures that certainly had no effect.

        A call whose outcome is unknown is not retried: only the caller can find
        out whether its write took effect.

        Raises:
            ConflictError: A check failed; nothing was written.
            RefusedHereError: The call was refused in this process.
            UnavailableError: The call had no effect or is a read, and no further retry
                is allowed.
            UnknownOutcomeError: The call may have taken effect.
        """
        counters = self.counters[priority]
        counters.calls += 1
        counters.rows += rows
        self.retries.first_attempt()
        retry = 0
        while True:
            try:
                return await self.attempt(limiter, priority, rows, operation)
            except RefusedHereError:
                counters.refused += 1
                raise
            except UnavailableError:
                retry += 1
                if retry > self.policy.max_retries or not self.retries.take():
                    raise
            counters.retries += 1
            wait = self.policy.backoff.wait(retry, self.rng.random())
            await anyio.sleep(wait)

    async def attempt(
        self,
        limiter: CallLimiter,
        priority: Priority,
        rows: int,
        operation: Callable[[], Awaitable[T]],
    ) -> T:
        """Run a call once, when the queue admits it and the breaker allows it.

        Raises:
            RefusedHereError: The breaker is open, the queue is full or the wait
                too long.
        """
        # Checked before queueing, so that calls don't wait only to be refused,
        # and again afterwards, since the breaker may have opened meanwhile.
        if not self.breaker.would_allow(anyio.current_time()):
            raise RefusedHereError("the circuit breaker is open")
        await self.enter(limiter, priority, rows)
        try:
            if not self.breaker.allow(anyio.current_time()):
                raise RefusedHereError("the circuit breaker is open")
            return await self.run_operation(limiter, priority, operation)
        finally:
            limiter.queue.leave()

    async def enter(self, limiter: CallLimiter, priority: Priority, rows: int) -> None:
        """Wait until the queue admits the call, and count the time waited.

        Raises:
            RefusedHereError: The queue is full, or the wait exceeds `max_wait`.
        """
        began_at = anyio.current_time()
        limiter.refresh(began_at)
        try:
            with anyio.fail_after(self.policy.max_wait):
                await limiter.queue.enter(priority, rows)
        except TimeoutError as error:
            raise RefusedHereError("no turn in time") from error
        finally:
            waited = anyio.current_time() - began_at
            self.counters[priority].waited += waited

    async def run_operation(
        self,
        limiter: CallLimiter,
        priority: Priority,
        operation: Callable[[], Awaitable[T]],
    ) -> T:
        """Run a call, and record its result in the breaker and the counters."""
        counters = self.counters[priority]
        try:
            result = await operation()
        except ConflictError:
            counters.conflicts += 1
            self.breaker.succeeded(anyio.current_time())
            raise
        except ThrottledError:
            # The service is reachable: lower the rate, but count a success.
            counters.throttled += 1
            now = anyio.current_time()
            limiter.rate.refused(now)
            limiter.refresh(now)
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
            # Cancelled, or an error of this process: not a result of the service.
            # Releases the probe, so that the breaker doesn't wait for its result.
            self.breaker.abandoned()
            raise
        self.breaker.succeeded(anyio.current_time())
        return result
