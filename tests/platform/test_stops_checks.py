"""The checks of planned stops find violations and accept what the rules allow."""

from __future__ import annotations

from typing import Any

import pytest
from attrs import evolve

from tests.platform.kit import EngineRun, Fault, ProcessRecord, RequestRecord, Style
from tests.platform.stops._cases import LONG, MIDDLE, PLAIN, SHORT, Case, Disturbance
from tests.platform.stops._checks import check, check_exit, check_request
from tests.platform.stops._findings import Evidence, Guarantee, Violation

CASE = Case("case")
STOPPED = ProcessRecord(
    0, 1.0, listening_at=2.0, sigterm_at=100.0, exited_at=107.0, code=0
)


def run(ended_at: float, sent: int = 2) -> EngineRun:
    """Return an engine's run of the request, which began at 100.5 s."""
    return EngineRun(100.5, ended_at, sent)


def texts(violations: list[Violation]) -> str:
    """Return the texts of the violations, joined."""
    return " ".join(item.text for item in violations)


def answered(**changes: Any) -> RequestRecord:
    """Return a request with a correct answer, except for the given fields."""
    usual: dict[str, Any] = {
        "style": Style.NEW,
        "length": PLAIN,
        "connected_at": 100.9,
        "sent_at": 101.0,
        "head_at": 101.1,
        "ended_at": 101.2,
        "status": 200,
        "close": True,
        "whole": True,
    }
    return RequestRecord(
        request_id="r", vm=0, workspace="acme", prompt=20, **{**usual, **changes}
    )


def lost(**changes: Any) -> RequestRecord:
    """Return a request without an answer, with the given fields changed."""
    usual = {"status": 0, "close": False, "whole": False, "head_at": 0.0}
    return answered(**{**usual, "fault": Fault.ENDED, **changes})


REFUSED: dict[str, Any] = {
    "fault": Fault.REFUSED,
    "connected_at": 0.0,
    "sent_at": 0.0,
}

ACCEPTED = [
    ("served", answered(), [run(101.1)]),
    ("refused truthfully", answered(status=503, retry_after="0.5"), []),
    ("no tokens", answered(status=429, retry_after="0.5"), []),
    ("too slow", answered(status=408, retry_after="0.1", sent_at=0.0), []),
    ("head before the signal", answered(head_at=99.0, close=False), [run(101.1)]),
    ("another answer is due", answered(close=False, followed=True), [run(101.1)]),
    ("door closed at the end", lost(**REFUSED, ended_at=106.7), []),
    ("door not open yet", lost(**REFUSED, ended_at=1.5), []),
    ("reset at the end", lost(fault=Fault.RESET, ended_at=106.7), []),
    ("not whole at the end", lost(sent_at=0.0, ended_at=106.7), []),
    ("crossed the last", lost(closing_at=101.1, ended_at=101.15), []),
    ("behind a cut", lost(behind_cut=True, ended_at=104.0), []),
    ("never asked", lost(fault=Fault.NONE, sent_at=0.0), []),
    ("endless", lost(sent_at=102.9, ended_at=106.8), [run(106.8)]),
    (
        "endless in part",
        answered(length=LONG, events=[1], whole=False, close=False, fault=Fault.ENDED),
        [run(106.8)],
    ),
]

VIOLATIONS = [
    ("ran behind a cut", lost(behind_cut=True), [run(101.1)], "ran and was not"),
    (
        "ran and was refused",
        answered(status=503, retry_after="1"),
        [run(101.1)],
        "and ran",
    ),
    ("no time to come back", answered(status=503), [], "without Retry-After"),
    ("no promise", answered(status=502), [run(101.1)], "got 502"),
    ("another's answer", answered(id_matches=False), [run(101.1)], "another request"),
    ("not told to close", answered(close=False), [run(101.1)], "not told"),
    ("ran twice", answered(), [run(101.1), run(101.2)], "ran 2 times"),
    ("too few events", answered(length=MIDDLE, events=[1]), [run(101.1)], "early"),
    ("closed door", lost(**REFUSED, ended_at=106.5), [], "closed door: refused"),
    ("no connection", lost(**REFUSED | {"fault": Fault.SILENT}), [], "not connected"),
    ("hung", lost(fault=Fault.HUNG), [], "closed door: hung"),
    ("reset", lost(fault=Fault.RESET), [], "closed door: reset"),
    ("ended at once", lost(ended_at=101.1), [], "closed door: ended"),
    ("read and left", lost(ended_at=101.5), [], "was read and not answered"),
    ("half a head", lost(sent_at=0.0), [], "closed door: ended"),
    ("read, then the end", lost(sent_at=106.0, ended_at=106.9), [], "was read"),
    ("ran to no end", lost(), [run(101.1)], "ran and was not answered"),
    ("cut too soon", lost(ended_at=106.0), [run(106.0)], "ran and was not answered"),
    ("sent late", lost(sent_at=103.1), [run(106.9)], "ran and was not answered"),
    (
        "sent with the one before",
        lost(style=Style.PIPELINED, closing_at=101.0, ended_at=104.0),
        [],
        "was read and not answered",
    ),
    (
        "read before the last answer began",
        lost(style=Style.CROSSING, closing_at=102.0, ended_at=102.1),
        [],
        "was read and not answered",
    ),
    (
        "cut with time left",
        answered(length=LONG, events=[1], whole=False, fault=Fault.ENDED),
        [run(103.0)],
        "was cut",
    ),
]


@pytest.mark.parametrize(
    ("record", "runs"), [row[1:] for row in ACCEPTED], ids=[row[0] for row in ACCEPTED]
)
def test_allowed_outcome(record: RequestRecord, runs: list[EngineRun]) -> None:
    """An outcome that the rules allow must not be reported as a violation."""
    assert check_request(record, STOPPED, runs) == []


@pytest.mark.parametrize(
    ("record", "runs", "fault"),
    [row[1:] for row in VIOLATIONS],
    ids=[row[0] for row in VIOLATIONS],
)
def test_violation(record: RequestRecord, runs: list[EngineRun], fault: str) -> None:
    """Each way in which a stop can lose or corrupt an answer must be reported."""
    assert fault in texts(check_request(record, STOPPED, runs))


@pytest.mark.parametrize(
    ("change", "fault"),
    [
        ({}, ""),
        ({"idle": True}, "nothing open"),
        ({"code": 1}, "code 1"),
        ({"code": -15}, "code -15"),
        ({"code": -15, "logged": False}, ""),
        ({"exited_at": 108.1, "code": -9}, "lived 8.10 s"),
        ({"sigterm_at": 0.0, "code": 1}, "unasked"),
    ],
)
def test_process_exit(change: dict[str, Any], fault: str) -> None:
    """A process must exit only after SIGTERM, in time and with code 0.

    Code -15 is allowed if SIGTERM came before the first log line.
    """
    found = texts(check_exit(evolve(STOPPED, **change), CASE))
    assert fault in found
    assert bool(fault) is bool(found)


@pytest.mark.parametrize(
    ("spent", "out", "held", "disturbance", "faults"),
    [
        (30, 0, 0, Disturbance.NONE, 0),
        (20, 0, 0, Disturbance.NONE, 1),
        (35, 0, 0, Disturbance.NONE, 1),
        (30, 10, 10, Disturbance.NONE, 2),
        (20, 10, 10, Disturbance.SILENT, 0),
        (35, 0, 0, Disturbance.SILENT, 1),
    ],
)
def test_budget_and_grant(
    spent: int, out: int, held: int, disturbance: Disturbance, faults: int
) -> None:
    """The spent tokens must match those served, and none may stay outstanding.

    If the store could not be reached, only more spent than served is a violation.
    """
    request = answered(length=SHORT, events=[1, 2])
    rows = {
        "prepaid/acme/budget": {"budget": {"spent": spent, "outstanding": out}},
        "prepaid/acme/grant/vm-0": {"drawn": 50, "returned": 50 - held},
        "limits/vm-0/row": {},
    }
    evidence = Evidence([request], [STOPPED], {"r": [run(101.1)]}, rows)
    assert len(check(Case("case", disturbance=disturbance), evidence)) == faults


def test_refusing_a_short_request() -> None:
    """A refusal of a short booking early in the stop must be reported."""
    request = answered(status=503, retry_after="1")
    found = check(CASE, Evidence([request], [STOPPED], {}, {}))
    assert [item.guarantee for item in found] == [Guarantee.SERVED]
