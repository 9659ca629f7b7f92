"""Admission: order of starts, waiting, refusal and shedding."""

from __future__ import annotations

import pytest

from ebonyhold.coordination import AdmissionLimits, AdmissionQueue, Ticket

ONE = AdmissionLimits(concurrency=100, queue=100)


def ticket(
    number: int,
    workspace: str = "w",
    priority: int = 0,
    deadline: float = 100.0,
    arrived: float = 0.0,
    shed_after: float = 100.0,
) -> Ticket:
    return Ticket(number, workspace, priority, deadline, arrived, shed_after)


def numbers(tickets: list[Ticket]) -> list[int]:
    return [item.number for item in tickets]


@pytest.mark.parametrize(
    ("offers", "shares", "free", "started"),
    [
        pytest.param([("a", 0), ("a", 0)], {}, 5, [0, 1], id="in order"),
        pytest.param([("a", -100), ("a", 0)], {}, 1, [1], id="live before batch"),
        pytest.param(
            [("a", 0), ("a", 0), ("a", 0), ("b", 0)],
            {},
            2,
            [0, 3],
            id="fair to workspaces",
        ),
        pytest.param(
            [("a", 0)] * 4 + [("b", 0)] * 4,
            {"a": AdmissionLimits(weight=3)},
            4,
            [0, 4, 1, 2],
            id="by weight",
        ),
        pytest.param(
            [("a", 0), ("a", 0), ("b", 0)],
            {"a": AdmissionLimits(concurrency=1)},
            3,
            [0, 2],
            id="bound of a workspace",
        ),
        pytest.param([("a", 0)], {}, 0, [], id="nothing free"),
    ],
)
def test_order_of_starts(
    offers: list[tuple[str, int]],
    shares: dict[str, AdmissionLimits],
    free: int,
    started: list[int],
) -> None:
    queue = AdmissionQueue()
    for number, (workspace, priority) in enumerate(offers):
        share = shares.get(workspace, ONE)
        assert queue.offer(ticket(number, workspace, priority), share, 0.0) is None
    assert numbers(queue.start(free, 0.0)) == started


def test_only_the_workspace_at_its_limit_is_refused() -> None:
    """One workspace sends a thousand requests at once, another sends one.

    Ten of the thousand wait, as the first workspace's limit allows, and the others are
    refused.  The single request of the second workspace starts after the first of them.
    """
    queue = AdmissionQueue()
    refusals = [
        queue.offer(ticket(n, "a"), AdmissionLimits(queue=10), 0.0) for n in range(1000)
    ]
    assert sum(refused is None for refused in refusals) == 10
    assert all(refused.workspace_bound for refused in refusals if refused)
    assert queue.offer(ticket(1000, "b"), ONE, 0.0) is None
    assert numbers(queue.start(2, 0.0)) == [0, 1000]


def test_a_request_that_cannot_start_in_time_is_refused_immediately() -> None:
    """Requests complete at one per second and five are waiting.

    A sixth request with a deadline in two seconds is refused immediately.  Its
    suggested delay is the time that the queue needs to drain, five seconds.
    """
    queue = AdmissionQueue()
    for number in range(3):
        queue.offer(ticket(number), ONE, 0.0)
    for at, started in enumerate(queue.start(3, 0.0)):
        queue.finished(started, float(at))
    for number in range(3, 8):
        assert queue.offer(ticket(number), ONE, 3.0) is None
    refused = queue.offer(ticket(9, deadline=5.0), ONE, 3.0)
    assert refused is not None
    assert refused.retry_after == pytest.approx(5.0)


def test_a_burst_waits_and_a_standing_queue_sheds() -> None:
    """Two requests may wait for longer than `shed_after` while the queue is a burst.

    After the queue has been non-empty for more than a second, these two are shed and
    the newest request starts first.
    """
    queue = AdmissionQueue()
    queue.offer(ticket(0, arrived=0.0, shed_after=0.25), ONE, 0.0)
    queue.offer(ticket(1, arrived=0.1, shed_after=0.25), ONE, 0.1)
    assert queue.expire(0.6) == []
    queue.offer(ticket(2, arrived=1.1, shed_after=0.25), ONE, 1.1)
    queue.offer(ticket(3, arrived=1.15, shed_after=0.25), ONE, 1.15)
    assert numbers([item.ticket for item in queue.expire(1.2)]) == [0, 1]
    assert numbers(queue.start(1, 1.2)) == [3]


def test_deadlines_and_cancelled_requests() -> None:
    queue = AdmissionQueue()
    tickets = [ticket(n, deadline=float(n)) for n in range(1, 4)]
    for item in tickets:
        queue.offer(item, ONE, 0.0)
    assert queue.leave(tickets[2])
    assert not queue.leave(tickets[2])
    (late,) = queue.expire(1.5)
    assert (late.ticket.number, late.expired) == (1, True)
    assert numbers(queue.start(9, 1.5)) == [2]
    queue.finished(tickets[1], 2.0)
    assert queue.workspaces == {}
