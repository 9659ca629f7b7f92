"""Which requests are held responsible for crashes of servers."""

from __future__ import annotations

import itertools

import pytest
from attrs import evolve

from ebonyhold.coordination import (
    CrashRecords,
    CrashReport,
    PartRecords,
    RequestLoss,
    ServerRun,
)
from ebonyhold.coordination._crashes import (
    ANSWER_VALIDITY,
    LOSS_EXPIRY,
    MAX_LOSSES,
    MAX_REPORTED,
    REJECTION_TIME,
)

NOW = 1_790_000_000.0


def loss(
    request: str, server: str, depth: int, started_at: int = 1, at: float = NOW
) -> RequestLoss:
    """Return the loss of a request in a server's crash."""
    return RequestLoss(request, ServerRun(server, started_at), depth, at)


def together(request: str, server: str, depth: int) -> RequestLoss:
    """Return the loss of a request at a server that ended with others."""
    return RequestLoss(request, ServerRun(server, 1), depth, NOW + depth, alone=False)


def records(*losses: RequestLoss) -> CrashRecords:
    """Return the records of a router that has seen some losses."""
    known = CrashRecords()
    for each in losses:
        known.add(each)
    return known


CASES = {
    "no crash": ([], set()),
    "two crashes": ([("x", "a", 1), ("x", "b", 2)], set()),
    "three crashes": ([("x", "a", 1), ("x", "b", 2), ("x", "c", 3)], {"x"}),
    "three servers of one rack at once": (
        [("x", "a", 1), ("x", "b", 1), ("x", "c", 1)],
        set(),
    ),
    "all copies of a service at once, after one crash": (
        [("x", "a", 1), ("x", "b", 2), ("x", "c", 2), ("x", "d", 2)],
        set(),
    ),
    "one server, seen by two routers": (
        [("x", "a", 1), ("x", "a", 2), ("x", "b", 2), ("x", "b", 3)],
        set(),
    ),
    "one server, restarted under its name": (
        [("x", "a", 1, 1), ("x", "a", 2, 2), ("x", "a", 3, 3)],
        {"x"},
    ),
    "others that were in flight": (
        [
            *[("x", "a", 1), ("x", "b", 2), ("x", "c", 3)],
            *[("y", "a", 1), ("y", "b", 2), ("z", "c", 1)],
        ],
        {"x"},
    ),
    "two requests on the same three servers": (
        [
            *[("x", "a", 1), ("x", "b", 2), ("x", "c", 3)],
            *[("y", "a", 1), ("y", "b", 2), ("y", "c", 3)],
        ],
        set(),
    ),
    "the cause of the fourth crash explains the other three": (
        [
            *[("x", "a", 1), ("x", "b", 2), ("x", "c", 3), ("x", "d", 4)],
            *[("y", "a", 1), ("y", "b", 2), ("y", "c", 3)],
        ],
        {"x"},
    ),
    "two requests on different servers": (
        [
            *[("x", "a", 1), ("x", "b", 2), ("x", "c", 3)],
            *[("y", "d", 1), ("y", "e", 2), ("y", "f", 3)],
        ],
        {"x", "y"},
    ),
}


@pytest.mark.parametrize(("losses", "rejected"), CASES.values(), ids=CASES)
def test_only_the_cause_of_crashes_is_rejected(
    losses: list[tuple[str, str, int]], rejected: set[str]
) -> None:
    """A request that was only in flight where servers crashed must not be rejected."""
    assert records(*(loss(*each) for each in losses)).rejected == rejected


@pytest.mark.parametrize(
    ("servers", "alone", "rejected"),
    [
        ("abc", "", False),
        ("abcde", "", False),
        ("abcdef", "", True),
        ("ab", "cd", True),
    ],
)
def test_servers_that_end_together_count_less(
    servers: str, alone: str, rejected: bool
) -> None:
    """Racks must not accuse a request, nor others' crashes hide one that crashes."""
    known = CrashRecords()
    for depth, server in enumerate(servers):
        known.add(together("x", server, depth + 1))
    for depth, server in enumerate(alone):
        known.add(loss("x", server, len(servers) + depth + 1))
    assert known.rejected == ({"x"} if rejected else frozenset())


def test_servers_that_end_together_are_reported_apart() -> None:
    """An older router, which reads only the losses, must not count whole crashes."""
    known = records(loss("x", "a", 1), together("x", "b", 2))
    report = known.report()
    assert [each.run.server for each in report.losses] == ["a"]
    assert [each.run.server for each in report.shared] == ["b"]
    other = CrashRecords()
    other.merge(report, NOW)
    assert other.depth("x") == 2
    assert [each.alone for each in other.losses] == [True, False]


def test_a_request_stays_rejected_when_another_explains_some_crashes() -> None:
    """Of several requests that crash servers, none may come back by others' crashes."""
    runs = "abcd"
    known = records(*(loss("x", run, depth + 1) for depth, run in enumerate(runs)))
    for depth, run in enumerate("cdefgh"):
        known.add(loss("y", run, depth + 1))
    assert known.rejected == {"x", "y"}


@pytest.mark.parametrize(
    ("servers", "responsible"),
    [("efg", True), ("abc", False), ("abef", True), ("abcd", True)],
)
def test_parts_rejected_together_do_not_excuse_a_request_for_ever(
    servers: str, responsible: bool
) -> None:
    """A request without all of the parts must not go on after its fourth crash."""
    parts = PartRecords()
    for part, server in itertools.product("pq", "abcd"):
        parts.add(evolve(loss(part, server, 2), holder=f"other at {server}"))
    assert parts.groups == (frozenset("pq"),)
    assert not parts.is_rejected(("p", "u"))
    known = records(*(loss("x", server, n + 1) for n, server in enumerate(servers)))
    assert known.is_responsible("x", parts.explained) is responsible
    assert not known.is_responsible("y", parts.explained)


def test_requests_with_enough_crashes_of_their_own_are_rejected() -> None:
    """One server on which two requests were must not protect both."""
    known = records(*(loss("x", run, depth + 1) for depth, run in enumerate("abc")))
    for depth, run in enumerate("def"):
        known.add(loss("y", run, depth + 1))
    assert known.rejected == {"x", "y"}
    for request in "xy":
        known.add(loss(request, "g", 3))
    assert known.rejected == {"x", "y"}


def test_a_complete_answer_acquits_a_request() -> None:
    """Losses from before a request was answered must not count later."""
    known = records(loss("x", "a", 1), loss("x", "b", 2))
    known.report()
    known.retract("x", NOW)
    assert known.depth("x") == 0
    known.add(loss("x", "c", 1, at=NOW + ANSWER_VALIDITY))
    assert known.rejected == frozenset()
    assert known.depth("x") == 1


def test_an_answer_disproves_crashes_that_become_known_later() -> None:
    """A content that callers send all the time must not be accused by each crash."""
    known = records(loss("y", "a", 1))
    known.retract("x", NOW)
    report = CrashReport(
        losses=tuple(loss("x", server, depth + 1) for depth, server in enumerate("abc"))
    )
    known.merge(report, NOW)
    assert known.rejected == frozenset()
    other = CrashRecords()
    other.merge(report, NOW)
    assert other.rejected == {"x"}
    other.merge(known.report(), NOW)
    assert other.rejected == frozenset()


def test_losses_that_nobody_knows_are_not_retracted() -> None:
    """A request that a retry served must not cause a report."""
    known = records(loss("x", "a", 1))
    known.retract("x", NOW)
    assert known.report() == CrashReport()


def test_routers_agree_in_any_order_of_reports() -> None:
    """Reports that come late, twice or in another order must not change a decision."""
    first = CrashReport(losses=(loss("x", "a", 1), loss("x", "b", 2)))
    answered = CrashReport(retracted=first.losses)
    second = CrashReport(losses=(loss("x", "c", 3),))
    third = CrashReport(
        losses=tuple(loss("y", server, depth + 1) for depth, server in enumerate("def"))
    )
    reports = [first, answered, second, third, first]
    for order in itertools.permutations(reports):
        known = CrashRecords()
        for report in order:
            known.merge(report, NOW)
        assert known.rejected == {"y"}
        assert known.depth("x") == 3


def test_a_rejection_ends_and_one_more_crash_renews_it() -> None:
    """A wrong rejection must end; a right one must not cost three servers again."""
    known = records(loss("x", "a", 1), loss("x", "b", 2), loss("x", "c", 3))
    known.expire(NOW + REJECTION_TIME - 1)
    assert known.rejected == {"x"}
    known.expire(NOW + REJECTION_TIME)
    assert known.rejected == frozenset()
    later = NOW + REJECTION_TIME + 1
    known.add(loss("x", "d", known.depth("x") + 1, at=later))
    assert known.rejected == {"x"}
    known.expire(later + LOSS_EXPIRY)
    assert (known.losses, known.by_request) == ({}, {})


@pytest.mark.parametrize(
    ("at", "now", "kept"),
    [
        (NOW, NOW + LOSS_EXPIRY - 1, True),
        (NOW, NOW + LOSS_EXPIRY, False),
        (NOW + 1e9, NOW, True),
    ],
)
def test_reports_of_routers_that_are_gone_do_not_last(
    at: float, now: float, kept: bool
) -> None:
    """A row that nobody updates, or of a clock that is ahead, must expire."""
    known = CrashRecords()
    known.merge(CrashReport(losses=(loss("x", "a", 1, at=at),)), now)
    assert bool(known.losses) is kept
    known.expire(now + LOSS_EXPIRY)
    assert known.losses == {}


def test_records_and_reports_are_bounded() -> None:
    """A caller with a million different bodies must not fill memory or a row."""
    known = CrashRecords()
    for number in range(MAX_LOSSES + 50):
        known.losses[loss(f"r{number}", "a", 1)] = True
    known.add(loss("last", "b", 1))
    assert len(known.losses) == MAX_LOSSES
    assert known.depth("last") == 1
    assert len(known.report().losses) == MAX_REPORTED


def test_a_report_has_the_deepest_losses() -> None:
    """The losses that reject a request must not be crowded out of a report."""
    known = records(
        *(loss("x", server, depth + 1) for depth, server in enumerate("abc")),
        *(loss(f"r{number}", "d", 1) for number in range(MAX_REPORTED)),
    )
    other = CrashRecords()
    other.merge(known.report(), NOW)
    assert other.depth("x") == 3


def test_an_earlier_process_is_continued() -> None:
    """A restarted router must go on reporting what its predecessor saw."""
    known = CrashRecords()
    report = CrashReport(losses=(loss("x", "a", 1),))
    known.merge(report, NOW, own=True)
    assert known.report() == report
