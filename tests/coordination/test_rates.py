"""The circuit breaker, the token bucket, fair scheduling, retries and backoff."""

from __future__ import annotations

from collections import Counter

import pytest

from ebonyhold.coordination import (
    Backoff,
    BreakerPolicy,
    BreakerState,
    CircuitBreaker,
    FairScheduler,
    RetryBudget,
    TokenBucket,
)

POLICY = BreakerPolicy(min_calls=4, open_for=1.0, max_open_for=3.0)


def opened(at: float = 0.0) -> CircuitBreaker:
    breaker = CircuitBreaker(POLICY)
    for _ in range(4):
        breaker.failed(at)
    return breaker


@pytest.mark.parametrize(
    ("results", "state"),
    [
        ("fff", BreakerState.CLOSED),
        ("ffff", BreakerState.OPEN),
        ("ssff", BreakerState.OPEN),
        ("sssf", BreakerState.CLOSED),
        ("sssssfff", BreakerState.CLOSED),
    ],
)
def test_breaker_opens_at_the_failure_ratio(results: str, state: BreakerState) -> None:
    breaker = CircuitBreaker(POLICY)
    for result in results:
        (breaker.succeeded if result == "s" else breaker.failed)(0.0)
    assert breaker.state is state


def test_old_failures_leave_the_window() -> None:
    breaker = CircuitBreaker(POLICY)
    for at in (0.0, 0.0, 0.0, 11.0):
        breaker.failed(at)
    assert breaker.state is BreakerState.CLOSED


def test_half_open_lets_one_probe_through() -> None:
    breaker = opened()
    assert not breaker.allow(0.5)
    assert breaker.retry_after(0.5) == 0.5
    assert breaker.would_allow(1.0)
    assert breaker.allow(1.0)
    assert not breaker.would_allow(1.0)
    assert not breaker.allow(1.0)
    breaker.succeeded(1.1)
    assert breaker.allow(1.1)
    assert breaker.allow(1.1)


def test_failed_probes_double_the_wait_up_to_a_maximum() -> None:
    breaker = opened()
    waits = []
    now = 0.0
    for _ in range(4):
        waits.append(breaker.retry_after(now))
        now += waits[-1]
        assert breaker.allow(now)
        breaker.failed(now)
    assert waits == [1.0, 2.0, 3.0, 3.0]


def test_probe_without_result_times_out() -> None:
    """Guards against a breaker that stays half open after a probe without result."""
    breaker = opened()
    assert breaker.allow(1.0)
    assert not breaker.allow(5.9)
    assert breaker.allow(6.0)


def test_abandoned_probe_allows_another() -> None:
    breaker = opened()
    assert breaker.allow(1.0)
    breaker.abandoned()
    assert breaker.allow(1.0)


def test_late_failures_do_not_keep_the_breaker_open_longer() -> None:
    breaker = opened()
    breaker.failed(0.9)
    assert breaker.allow(1.0)


@pytest.mark.parametrize(
    ("amount", "now", "allowed", "wait"),
    [(4, 0.0, True, 0.0), (5, 0.0, True, 0.0), (9, 0.0, True, 0.0)],
)
def test_bucket_starts_full(
    amount: float, now: float, allowed: bool, wait: float
) -> None:
    bucket = TokenBucket.full(10.0, 5.0, 0.0)
    assert bucket.wait(amount, now) == wait
    assert bucket.take(amount, now) is allowed


def test_bucket_keeps_its_rate_after_a_negative_level() -> None:
    bucket = TokenBucket.full(10.0, 5.0, 0.0)
    assert bucket.take(15, 0.0)
    assert bucket.wait(1, 0.0) == pytest.approx(1.1)
    assert not bucket.take(1, 1.0)
    assert bucket.take(1, 1.11)
    taken = sum(bucket.take(1, 2 + tick / 1000) for tick in range(10_000))
    assert taken == pytest.approx(100 + 5, abs=2)


def test_turns_follow_the_weights() -> None:
    turns = FairScheduler({"bills": 3.0, "heartbeats": 1.0})
    chosen: Counter[str] = Counter()
    for _ in range(400):
        chosen_class = turns.choose(("bills", "heartbeats"))
        turns.charge(chosen_class, 1.0)
        chosen[chosen_class] += 1
    assert chosen == {"bills": 300, "heartbeats": 100}


def test_idle_class_does_not_catch_up() -> None:
    turns = FairScheduler({"a": 1.0, "b": 1.0})
    for _ in range(100):
        turns.charge("a", 1.0)
    chosen = []
    for _ in range(6):
        chosen_class = turns.choose(("a", "b"))
        turns.charge(chosen_class, 1.0)
        chosen.append(chosen_class)
    assert 2 <= chosen.count("a") <= 4


def test_retries_stay_a_share_of_first_attempts() -> None:
    budget = RetryBudget(ratio=0.125, max_level=2.0, level=0.0)
    retries = 0
    for _ in range(800):
        budget.first_attempt()
        retries += budget.take()
    assert retries == 100
    assert budget.refused == 700


@pytest.mark.parametrize(
    ("retry", "bound"), [(1, 0.05), (2, 0.1), (3, 0.2), (9, 2.0), (10_000, 2.0)]
)
def test_backoff_doubles_up_to_its_maximum(retry: int, bound: float) -> None:
    backoff = Backoff()
    assert backoff.bound(retry) == pytest.approx(bound)
    assert backoff.wait(retry, 0.5) == pytest.approx(bound / 2)
