"""The queue for memory serves every workspace, size, priority and failure domain."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable

import pytest

from ebonyhold.coordination import FairQueue, Waiting

LATE = 1e9


def request(
    name: str, workspace: str = "a", priority: int = 0, cost: int = 1000
) -> Waiting:
    """Return a request that can wait for long."""
    return Waiting(name, workspace, priority, cost, LATE)


def served(queue: FairQueue, count: int) -> list[Waiting]:
    """Serve as many requests, and return them."""
    return [one for _ in range(count) if (one := queue.serve()) is not None]


Kind = tuple[str, int, int]
"""Workspace, priority and size."""

KINDS: dict[str, tuple[list[Kind], Callable[[Waiting], object], float]] = {
    # What waits all the time, by what it is compared, the least share of the tokens.
    "workspaces": (
        [("large", 0, 3000)] * 20 + [("small", 0, 3000)] * 2,
        lambda one: one.workspace,
        0.45,
    ),
    "sizes": (
        [("long", 0, 12_000)] + [("short", 0, 500)] * 9,
        lambda one: one.cost > 1000,
        0.2,
    ),
    "sizes of two workspaces": (
        [("long", 0, 12_000)] + [("short", 0, 500)] * 9,
        lambda one: one.workspace,
        0.3,
    ),
    "priorities": (
        [("a", 0, 1000)] * 9 + [("a", 1, 1000)],
        lambda one: one.priority,
        0.12,
    ),
    "three priorities": (
        [("a", 0, 1000)] * 9 + [("b", 1, 1000)] * 5 + [("c", 2, 1000)],
        lambda one: one.priority,
        0.015,
    ),
}


@pytest.mark.parametrize("name", KINDS)
def test_no_kind_of_request_starves(name: str) -> None:
    """One kind of request would get no memory while others keep the queue full."""
    kinds, kind_of, least = KINDS[name]
    queue, tokens, number = FairQueue(), Counter[object](), 0
    for _ in range(2000):
        waiting = Counter(
            (one.workspace, one.priority, one.cost) for one in queue.requests.values()
        )
        for kind in (Counter(kinds) - waiting).elements():
            number += 1
            queue.add(request(str(number), *kind))
        for one in served(queue, 1):
            tokens[kind_of(one)] += one.cost
    assert min(tokens.values()) >= least * sum(tokens.values())
    assert len(tokens) == len({kind_of(request("", *kind)) for kind in kinds})


def test_one_of_eight_is_of_a_lower_priority() -> None:
    """The priority's requests end and come back, which must not restart the count."""
    queue, number, row = FairQueue(), 0, 0
    queue.add(request("low", priority=3))
    while row < 20:
        number += 1
        queue.add(request(str(number)))
        one = queue.serve()
        assert one is not None
        if one.priority:
            break
        row += 1
    assert row == 7


def test_large_request_is_not_overtaken_once_chosen() -> None:
    """Small requests would take each bit of memory before it adds up to enough."""
    queue = FairQueue()
    queue.add(request("large", "a", 1, 9000))
    assert queue.next() == request("large", "a", 1, 9000)
    for number in range(5):
        queue.add(request(f"small-{number}", "b", 0, 10))
    assert served(queue, 1)[0].name == "large"


def test_same_order_for_callers_of_two_failure_domains() -> None:
    """Requests of one workspace are served as they came, through whatever router."""
    queue = FairQueue()
    names = [f"vm-{number % 2}/{number}" for number in range(20)]
    for name in names:
        queue.add(request(name))
    assert [one.name for one in served(queue, 20)] == names


@pytest.mark.parametrize(
    ("waiting", "newcomer", "refused"),
    [
        ({"a": 4}, "b", "a3"),
        ({"a": 3, "b": 1}, "b", "a2"),
        ({"a": 2, "b": 2}, "b", "new"),
        ({"a": 4}, "a", "new"),
        ({"a": 2, "b": 1}, "c", None),
    ],
)
def test_full_queue_refuses_the_workspace_with_most_requests(
    waiting: dict[str, int], newcomer: str, refused: str | None
) -> None:
    """One workspace would fill the queue, and all others be refused."""
    queue = FairQueue(max_waiting=4)
    for workspace, count in waiting.items():
        for number in range(count):
            queue.add(request(f"{workspace}{number}", workspace))
    found = queue.add(request("new", newcomer))
    assert (found.name if found else None) == refused
    assert len(queue) == 4


def test_requests_that_cannot_meet_their_deadline_leave() -> None:
    """They would be given memory for an answer that comes too late."""
    queue = FairQueue()
    for name, until in (("late", 1.0), ("early", 2.0)):
        queue.add(Waiting(name, "a", 0, 10, until))
    assert queue.next() is not None
    assert [one.name for one in queue.expire(1.0)] == ["late"]
    assert [one.name for one in served(queue, 2)] == ["early"]
    assert not queue.levels
    assert not queue.requests


@pytest.mark.parametrize("seed", range(20))
def test_random_use_loses_no_request(seed: int) -> None:
    """A request that is in none of the lists any more would wait for nothing."""
    rng, queue, left = random.Random(seed), FairQueue(max_waiting=5), set[str]()
    for number in range(500):
        step = rng.choice(["add", "add", "serve", "remove", "next"])
        if step == "add":
            kind = rng.choice("abc"), rng.randrange(-1, 10), rng.choice([0, 500, 9000])
            refused = queue.add(request(str(number), *kind))
            left.add(str(number))
            if refused is not None:
                left.remove(refused.name)
        elif step == "next":
            assert (queue.next() is None) == (not left)
        elif step == "serve" and left:
            one = queue.serve()
            assert one is not None
            left.remove(one.name)
        elif left:
            name = rng.choice(sorted(left))
            assert queue.remove(name) is not None
            left.remove(name)
        assert set(queue.requests) == left
    assert {one.name for one in served(queue, 1000)} == left
