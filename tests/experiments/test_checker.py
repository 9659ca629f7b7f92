"""The checker finds each planted breach, and nothing in a clean run."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from attrs import evolve

from ebonyhold.coordination import (
    BudgetRow,
    Intent,
    JournalSegment,
    RequestKind,
    RequestRow,
    RequestState,
    Row,
    TopUpRow,
    budget_key,
    request_key,
    segment_key,
    to_json,
    topup_key,
)
from ebonyhold.experiments.checker import (
    AcceptedVersion,
    CallerOutcome,
    CallerRecord,
    Evidence,
    Promise,
    StopRecord,
    VersionSighting,
    check,
)
from ebonyhold.standins import Answer, EngineRecord, ServiceRecord

RUN_A, RUN_B, RUN_C, RUN_D = "r1.7~1~1", "r1.7~2~1", "r2.3~1~1", "r2.3~2~1"
TRACES = {name: f"{number:032x}" for number, name in enumerate("abcde", start=1)}


def parent(name: str) -> str:
    return f"00-{TRACES[name]}-b7ad6b7169203331-01"


def engine(
    name: str, attempt: str, completion: int, *, state: str = "finished"
) -> EngineRecord:
    return EngineRecord(
        "e1",
        "boot",
        attempt,
        parent(name),
        "digest",
        4,
        completion,
        0,
        20,
        state,
        state == "finished",
        arrived_at=100.0,
        ended_at=101.0,
    )


def caller(name: str, outcome: CallerOutcome, text: str = "") -> CallerRecord:
    return CallerRecord("oak", name, TRACES[name], outcome, text, "x y z", 99.0, 102.0)


def bill(
    name: str, attempt: str, state: RequestState, charge: int, *, booking: bool = False
) -> Row:
    kind = RequestKind.BOOKING if booking else RequestKind.CHAT
    row = RequestRow(state, kind, "r1.7", attempt, "e1", "digest", charge)
    return Row(request_key("oak", name), 1, to_json(row))


def intent(name: str, attempt: str, hold: int) -> Row:
    entry = Intent(
        "oak", name, attempt, "e1", hold, RequestKind.CHAT, "digest", keyed=True
    )
    key = segment_key(attempt.split("~")[0], int(attempt.split("~")[1]))
    return Row(key, 1, to_json(JournalSegment((entry,))))


BOOKING = ServiceRecord(
    "s1", "POST", "/bookings", "c", RUN_C, "body", parent("c"), False, 100.0
)

CLEAN = Evidence(
    engines=(engine("a", RUN_A, 3), engine("b", RUN_B, 2, state="cancelled")),
    services=(BOOKING,),
    rows=(
        Row(budget_key("oak"), 1, to_json(BudgetRow(100, 20, 18))),
        Row(topup_key("oak", "t1"), 1, to_json(TopUpRow(100, "op", 1.0))),
        bill("a", RUN_A, RequestState.COMPLETE, 7),
        bill("b", RUN_B, RequestState.INTERRUPTED, 6),
        bill("c", RUN_C, RequestState.COMPLETE, 5, booking=True),
        bill("d", RUN_D, RequestState.NOT_RUN, 0),
        intent("a", RUN_A, 30),
        intent("b", RUN_B, 30),
    ),
    callers=(
        caller("a", CallerOutcome.WHOLE, "x y z"),
        caller("b", CallerOutcome.CUT, "x y "),
        caller("c", CallerOutcome.WHOLE, "x y z"),
        caller("d", CallerOutcome.NOT_RUN),
        caller("e", CallerOutcome.REFUSED),
    ),
    stops=(StopRecord("e2", 50.0), StopRecord("e1", 200.0, 300.0)),
    accepted=(AcceptedVersion(1, 0.0), AcceptedVersion(2, 50.0)),
    sightings=(
        VersionSighting("r1", 1, 10.0),
        VersionSighting("r1", 1, 60.0),
        VersionSighting("r1", 2, 64.0),
        VersionSighting("r2", 2, 66.0),
    ),
)


def test_clean_run() -> None:
    assert check(CLEAN) == []


def replaced(rows: tuple[Row, ...], *new: Row) -> tuple[Row, ...]:
    """Return rows with some of them replaced or added, by key."""
    by_key = {row.key: row for row in rows}
    by_key.update({row.key: row for row in new})
    return tuple(by_key.values())


def with_rows(*rows: Row) -> Evidence:
    return evolve(CLEAN, rows=replaced(CLEAN.rows, *rows))


def with_budget(prepaid: int, outstanding: int, spent: int) -> Evidence:
    row = Row(budget_key("oak"), 2, to_json(BudgetRow(prepaid, outstanding, spent)))
    return with_rows(row)


def with_caller(record: CallerRecord) -> Evidence:
    kept = tuple(one for one in CLEAN.callers if one.trace != record.trace)
    return evolve(CLEAN, callers=(*kept, record))


def with_engines(*records: EngineRecord) -> Evidence:
    return evolve(CLEAN, engines=(*CLEAN.engines, *records))


PLANTED: tuple[tuple[str, Promise, Callable[[], Evidence], str], ...] = (
    ("overspent", Promise.BUDGET, lambda: with_budget(100, 90, 18), ""),
    ("bill not in the budget", Promise.BUDGET, lambda: with_budget(100, 20, 11), ""),
    ("tokens from nowhere", Promise.BUDGET, lambda: with_budget(200, 20, 18), ""),
    (
        "charge above what ran",
        Promise.BILL,
        lambda: with_rows(
            bill("a", RUN_A, RequestState.COMPLETE, 8),
            Row(budget_key("oak"), 2, to_json(BudgetRow(100, 20, 19))),
        ),
        "a",
    ),
    (
        "a second bill for one run",
        Promise.BILL,
        lambda: with_rows(
            bill("a2", RUN_A, RequestState.COMPLETE, 7),
            Row(budget_key("oak"), 2, to_json(BudgetRow(100, 20, 25))),
        ),
        "a",
    ),
    (
        "never billed",
        Promise.BILL,
        lambda: with_engines(engine("e", "r3.1~1~1", 3)),
        "e",
    ),
    (
        "nobody's run",
        Promise.BILL,
        lambda: with_engines(evolve(engine("e", "r3.1~1~1", 3), traceparent="")),
        "",
    ),
    (
        "never ended",
        Promise.BILL,
        lambda: with_rows(bill("e", "r3.1~1~1", RequestState.RUNNING, 0)),
        "e",
    ),
    (
        "answered but billed as interrupted",
        Promise.BILL,
        lambda: with_caller(caller("b", CallerOutcome.WHOLE, "x y z")),
        "b",
    ),
    (
        "a booking billed that nobody ran",
        Promise.BILL,
        lambda: evolve(CLEAN, services=()),
        "c",
    ),
    (
        "on record as not run",
        Promise.BILL,
        lambda: with_engines(evolve(engine("e", RUN_D, 3), traceparent="")),
        "d",
    ),
    (
        "crossed answer",
        Promise.ANSWER,
        lambda: with_caller(caller("a", CallerOutcome.WHOLE, "p q r")),
        "a",
    ),
    (
        "half an answer marked whole",
        Promise.ANSWER,
        lambda: with_caller(caller("a", CallerOutcome.WHOLE, "x y")),
        "a",
    ),
    (
        "a doubled token in a cut answer",
        Promise.ANSWER,
        lambda: with_caller(caller("b", CallerOutcome.CUT, "x x ")),
        "b",
    ),
    (
        "refused as not run, and ran",
        Promise.NOT_RUN,
        lambda: with_caller(caller("b", CallerOutcome.NOT_RUN)),
        "b",
    ),
    (
        "booked, and refused as not run",
        Promise.NOT_RUN,
        lambda: with_caller(caller("c", CallerOutcome.NOT_RUN)),
        "c",
    ),
    (
        "booked twice by a retry",
        Promise.AT_MOST_ONCE,
        lambda: evolve(
            CLEAN, services=(BOOKING, evolve(BOOKING, attempt="r2.3~1~2", at=101.0))
        ),
        "c",
    ),
    (
        "new work on a leaving server",
        Promise.LEAVING,
        lambda: evolve(
            CLEAN, engines=(evolve(CLEAN.engines[0], backend="e2"), CLEAN.engines[1])
        ),
        "a",
    ),
    (
        "new booking on a leaving server",
        Promise.LEAVING,
        lambda: evolve(CLEAN, stops=(StopRecord("s1", 90.0),)),
        "c",
    ),
    (
        "cut by a planned stop",
        Promise.GRACEFUL,
        lambda: evolve(CLEAN, stops=(StopRecord("e1", 101.0, grace=60.0),)),
        "b",
    ),
    (
        "a version that goes back",
        Promise.CONFIGURATION,
        lambda: evolve(
            CLEAN, sightings=(*CLEAN.sightings, VersionSighting("r1", 1, 64.5))
        ),
        "",
    ),
    (
        "a version that comes late",
        Promise.CONFIGURATION,
        lambda: evolve(
            CLEAN, sightings=(*CLEAN.sightings, VersionSighting("r3", 1, 66.0))
        ),
        "",
    ),
)


@pytest.mark.parametrize(
    ("name", "promise", "make", "request_id"), PLANTED, ids=[row[0] for row in PLANTED]
)
def test_planted_breach(
    name: str, promise: Promise, make: Callable[[], Evidence], request_id: str
) -> None:
    found = check(make())
    assert {one.promise for one in found} == {promise}, [str(one) for one in found]
    if request_id:
        assert request_id in {one.request for one in found}
        named = next(one for one in found if one.request == request_id)
        assert named.trace == TRACES.get(request_id, "")
        assert request_id in str(named)


@pytest.mark.parametrize(
    ("charge", "overshoot", "kept"),
    [(30, 7, True), (37, 0, False), (30, 0, False), (29, 8, True)],
)
def test_overshoot_is_not_charged(charge: int, overshoot: int, kept: bool) -> None:
    """The engine ran 37 tokens, 30 were held; the operator pays the rest."""
    row = RequestRow(
        RequestState.COMPLETE, RequestKind.CHAT, "r1.7", RUN_A, "e1", "digest", charge
    )
    billed = Row(request_key("oak", "a"), 1, to_json(evolve(row, overshoot=overshoot)))
    budget = Row(budget_key("oak"), 2, to_json(BudgetRow(100, 20, 11 + charge)))
    engines = (engine("a", RUN_A, 33), CLEAN.engines[1])
    evidence = evolve(CLEAN, engines=engines, rows=replaced(CLEAN.rows, billed, budget))
    assert (check(evidence) == []) is kept


@pytest.mark.parametrize(
    ("received", "kept"), [(5, True), (4, False), (6, False), (3, True)]
)
def test_longer_answers(received: int, kept: bool) -> None:
    """Three tokens were due; the engine overshot and says that it gave five."""
    answer = Answer("digest")
    record = evolve(CLEAN.engines[0], completion_tokens=5)
    told = evolve(
        CLEAN.callers[0], received=answer.first(received), expected=answer.first(3)
    )
    evidence = evolve(
        CLEAN, engines=(record, CLEAN.engines[1]), callers=(told, *CLEAN.callers[1:])
    )
    broken = [one for one in check(evidence) if one.promise is Promise.ANSWER]
    assert (broken == []) is kept


@pytest.mark.parametrize(("charge", "kept"), [(6, True), (30, True), (12, False)])
def test_interrupted_charge(charge: int, kept: bool) -> None:
    """What ran, or the hold where the engine could not tell; nothing between."""
    billed = bill("b", RUN_B, RequestState.INTERRUPTED, charge)
    budget = Row(budget_key("oak"), 2, to_json(BudgetRow(100, 20, 12 + charge)))
    assert (check(with_rows(billed, budget)) == []) is kept
