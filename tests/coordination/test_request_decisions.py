"""Planned stops, ejection, prefix hashes, and the choice policies."""

from __future__ import annotations

import hashlib
import random

import pytest

from ebonyhold.coordination import (
    Candidate,
    EjectionPolicy,
    Ejector,
    InProgress,
    Need,
    PlannedStop,
    PrefixIndex,
    choice_policies,
    draining_servers,
    is_stopped,
    make_choice_policy,
    prefix_hashes,
    working_set,
)
from ebonyhold.standins._cache import PrefixCache


@pytest.mark.parametrize(
    ("stop", "now", "stopped"),
    [
        (PlannedStop("s", 100, 200, backend="e1"), 98.9, False),
        (PlannedStop("s", 100, 200, backend="e1"), 99.0, True),
        (PlannedStop("s", 100, 200, backend="e1"), 199.9, True),
        (PlannedStop("s", 100, 200, backend="e1"), 200.0, False),
        (PlannedStop("s", 100, 200, backend="e2"), 150, False),
        (PlannedStop("s", 100, 200, domain="north"), 150, True),
        (PlannedStop("s", 100, 200, domain="south"), 150, False),
        (PlannedStop("s", 100, 200), 150, False),
    ],
)
def test_planned_stops(stop: PlannedStop, now: float, stopped: bool) -> None:
    assert is_stopped([stop], "e1", "north", now) is stopped


def test_requests_that_a_leaving_server_must_finish() -> None:
    running = [InProgress("late", "e1", 5.0), InProgress("early", "e1", 2.0)]
    running.append(InProgress("other", "e2", 1.0))
    first, second = draining_servers(["e1", "e3"], running)
    assert [item.request for item in first.requests] == ["early", "late"]
    assert second.requests == ()


NINE = {f"e{n}": f"d{n % 3}" for n in range(9)}


def test_errors_everywhere_eject_only_a_share() -> None:
    """A prompt that crashes every engine makes all nine look like outliers.

    At most half of the engines of a failure domain and 34 % of all engines may be
    ejected, which are one of three and three of nine.
    """
    ejector = Ejector()
    for name in NINE:
        for _ in range(10):
            ejector.failed(name, 0.0)
    out = ejector.ejected(NINE, 0.1)
    assert len(out) == 3
    assert max(sum(NINE[name] == d for name in out) for d in set(NINE.values())) == 1


def test_an_unreachable_domain_is_ejected_as_a_whole() -> None:
    """All three engines of a failed domain refuse connections and are ejected.

    An engine that answers again is no longer ejected.
    """
    ejector = Ejector()
    failed = {name for name, domain in NINE.items() if domain == "d1"}
    for name in failed:
        ejector.lost(name, 0.0)
        ejector.lost(name, 0.0)
    assert ejector.ejected(NINE, 0.0) == failed
    ejector.reached("e1")
    assert ejector.ejected(NINE, 0.0) == failed - {"e1"}


def test_nothing_is_ejected_if_everything_is_unreachable() -> None:
    """Guards against a router that ejects all engines when its own network fails."""
    ejector = Ejector()
    for name in NINE:
        ejector.lost(name, 0.0)
        ejector.lost(name, 0.0)
    assert ejector.ejected(NINE, 0.0) == frozenset()


def test_an_unreachable_server_is_tried_again() -> None:
    """Guards against a service that is never tried again after it was unreachable.

    A plain service is not polled, so only a request can show that the service has
    restarted.  Its ejection gets longer with each failed request, up to a maximum.
    """
    ejector = Ejector(EjectionPolicy(lost=2, first_duration=1.0, max_unreachable=3.0))
    spans = []
    for now in (0.0, 10.0, 20.0, 30.0):
        assert "e0" not in ejector.ejected(NINE, now)
        ejector.lost("e0", now)
        spans.append("e0" in ejector.ejected(NINE, now + 0.5))
    assert spans == [False, True, True, True]
    assert "e0" in ejector.ejected(NINE, 32.9)
    assert "e0" not in ejector.ejected(NINE, 33.1)


def test_ejections_end_and_grow_longer() -> None:
    ejector = Ejector(EjectionPolicy(errors=2, first_duration=1.0, max_duration=3.0))
    ejector.failed("e0", 0.0)
    assert ejector.ejected(NINE, 0.0) == frozenset()
    spans = []
    for now in (0.0, 10.0, 20.0):
        ejector.failed("e0", now)
        spans.append(ejector.records["e0"].ejected_until - now)
    assert spans == [1.0, 2.0, 3.0]
    ejector.succeeded("e0")
    assert ejector.ejected(NINE, 20.5) == frozenset()


def test_hashes_have_the_form_in_cache_events() -> None:
    """Guards against a changed hash, which would match no cache event of an engine."""
    words = [f"w{n}" for n in range(40)]
    first = hashlib.sha256(f"\0{' '.join(words[:16])}".encode()).hexdigest()[:16]
    second = hashlib.sha256(f"{first}\0{' '.join(words[16:32])}".encode())
    assert prefix_hashes(words) == (first, second.hexdigest()[:16])


def test_hashes_equal_those_of_simulated_engines() -> None:
    words = [f"w{n}" for n in range(70)]
    cache = PrefixCache(100, 0.0, 0.0, random.Random(1))
    cache.store(tuple(words), 0.0)
    assert tuple(cache.held) == prefix_hashes(words)


def test_prefix_index() -> None:
    index = PrefixIndex(max_blocks=4)
    hashes = prefix_hashes([f"w{n}" for n in range(64)])
    index.sent(hashes)
    assert index.reuse(hashes) == 64
    index.removed(hashes[2])
    assert index.reuse(hashes) == 32
    index.stored("another")
    index.stored("one more")
    assert index.reuse(hashes) == 0
    index.clear()
    assert not index.held


IDLE = Candidate("idle", 16)
BUSY = Candidate("busy", 16, reported=14)
FULL = Candidate("full", 16, reported=16, own_at_report=1, own=9)
WARM = Candidate("warm", 16, reported=3, reuse=800)
NEED = Need(prompt=1000, max_tokens=100)


@pytest.mark.parametrize(
    ("policy", "candidates", "chosen"),
    [
        ("least_load", [IDLE, BUSY], {"idle"}),
        ("least_load", [Candidate("sent to", 16, own=9), BUSY], {"sent to"}),
        ("two_choices", [IDLE, FULL], {"idle"}),
        ("two_choices", [IDLE, BUSY, FULL], {"idle", "busy"}),
        ("prefix_aware", [IDLE, WARM, BUSY, FULL], {"warm"}),
        ("prefix_aware", [IDLE, Candidate("far", 16, distance=0.2)], {"idle"}),
        (
            "prefix_aware",
            [IDLE, Candidate("warm", 16, reported=40, reuse=16)],
            {"idle"},
        ),
        ("round_robin", [IDLE, BUSY], {"idle", "busy"}),
        ("random", [IDLE, BUSY], {"idle", "busy"}),
    ],
)
def test_preferences(
    policy: str, candidates: list[Candidate], chosen: set[str]
) -> None:
    made = make_choice_policy(policy)
    rng = random.Random(1)
    names = {made.choose(NEED, candidates, rng).name for _ in range(50)}
    assert names == chosen


@pytest.mark.parametrize("policy", sorted(choice_policies))
def test_one_candidate(policy: str) -> None:
    assert make_choice_policy(policy).choose(NEED, [BUSY], random.Random(1)) is BUSY


def test_own_requests_in_a_report_are_counted_once() -> None:
    """Of the 10 reported requests, 4 are of this router, which now has 6 there."""
    item = Candidate("e", 16, reported=10, own_at_report=4, own=6)
    assert item.load == 12


def test_working_sets_spread_over_the_servers() -> None:
    """A hundred routers use ten of two hundred servers each.

    No server is used by more than 16 routers; the mean is 5.  Removing a server changes
    only the sets that contained it.
    """
    names = [f"e{number}" for number in range(200)]
    sets = [working_set(f"r{number}", names, 10) for number in range(100)]
    counts = [sum(name in kept for kept in sets) for name in names]
    assert sum(counts) == 1000
    assert max(counts) <= 16
    after = [working_set(f"r{number}", names[1:], 10) for number in range(100)]
    changed = [old != new for old, new in zip(sets, after, strict=True)]
    assert sum(changed) == counts[0]
