"""The fault soak of crashes and statements: a short run for CI, and its checks."""

from __future__ import annotations

from pathlib import Path

import anyio
import pytest
from attrs import evolve

from tests.platform.kit import Length, ProcessRecord, RequestRecord, Style
from tests.platform.observed import check, run_seed
from tests.platform.observed._checks import (
    NamedLimit,
    ObservedEvidence,
    ObservedRun,
)
from tests.platform.observed._statements import Arrival, Statement
from tests.platform.soak._checks import InjectedFault


def test_crashes_and_limits_under_faults(tmp_path: Path) -> None:
    """Routers that are restarted and cut off must still learn from each other."""
    assert anyio.run(run_seed, 1, tmp_path, 2) == []


@pytest.mark.soak
@pytest.mark.parametrize(
    ("guard", "finding"),
    [
        ("observations", "after its third crash"),
        ("shares", "allowed"),
        ("leaving", "leaves, and got"),
        ("rest", "rests, and got"),
    ],
)
def test_a_missing_guard_is_found(tmp_path: Path, guard: str, finding: str) -> None:
    """The soak must find a gateway that does not keep to what others tell it."""
    program = f"tests.platform.weak_gateway {guard}"
    for seed in range(1, 6):
        folder = tmp_path / str(seed)
        folder.mkdir()
        violations = anyio.run(run_seed, seed, folder, 3, program)
        if any(finding in line for line in violations):
            return
    pytest.fail(f"no seed shows that {guard} is missing")


CRASHING = [ObservedRun("x", "i-1", at) for at in (0.0, 1.0, 2.0, 6.0, 7.0, 8.0, 9.0)]
LIMITED = [ObservedRun("y", "i-0", 5.0 + number / 4) for number in range(16)]

TOLD = Arrival(0, "i-1", 1.0, answered_at=1.5)
AWAY = [Arrival(0, "i-1", at, turned_away=True) for at in (1.0, 1.7, 2.0, 3.9)]


def leaving(later: float, vm: int = 0, **more: object) -> ObservedEvidence:
    """Return the records of a request to a leaving engine after its first answer."""
    arrivals = [TOLD, Arrival(vm, "i-1", later)]
    return evidence(arrivals=arrivals, statements=[Statement("i-1", 0.5, 9.0)], **more)


def resting(seconds: float, **more: object) -> ObservedEvidence:
    """Return the records of several requests to an engine that asked for rest."""
    statements = [Statement("i-1", 0.5, 9.0, seconds)]
    return evidence(arrivals=AWAY, statements=statements, **more)


def evidence(**more: object) -> ObservedEvidence:
    """Return the records of a run in which nothing was wrong."""
    process = ProcessRecord(0, started_at=-9.0, listening_at=-8.0)
    calm = ObservedEvidence([], [], ["x"], [], [process], [])
    return evolve(calm, **more)  # type: ignore[arg-type]


def rejected() -> RequestRecord:
    """Return the record of a proper request that was rejected."""
    record = RequestRecord("r", 0, Style.NEW, Length(0, 0.0), "acme", 0)
    record.status = 400
    return record


@pytest.mark.parametrize(
    ("records", "violations"),
    [
        (evidence(), 0),
        (evidence(runs=CRASHING), 1),
        (evidence(runs=CRASHING[:6]), 0),
        (evidence(runs=CRASHING, faults=[InjectedFault(0, 5.5, 6.5)]), 0),
        (evidence(requests=[rejected()]), 1),
        (evidence(runs=LIMITED, limits=[NamedLimit("i-0", 1.0, 0.0, 20.0)]), 1),
        (evidence(runs=LIMITED, limits=[NamedLimit("i-0", 2.0, 0.0, 20.0)]), 0),
        (evidence(runs=LIMITED, limits=[NamedLimit("i-0", 1.0, 4.0, 20.0)]), 0),
        (leaving(3.6), 1),
        (leaving(3.4), 0),
        (leaving(3.6, vm=1), 0),
        (leaving(9.5), 0),
        (leaving(3.6, faults=[InjectedFault(0, 2.0, 3.0, paused=True)]), 0),
        (leaving(3.6, runs=[ObservedRun("x", "i-1", 2.0)]), 0),
        (resting(3.0), 1),
        (resting(1.0), 0),
        (resting(3.0, faults=[InjectedFault(0, 1.5, 1.8, paused=True)]), 0),
    ],
    ids=[
        "nothing",
        "four late runs",
        "three late runs",
        "late runs in a fault",
        "a proper request rejected",
        "a limit exceeded",
        "a limit kept",
        "a limit just named",
        "leaving, late",
        "leaving, in time",
        "leaving, another gateway was told",
        "leaving, restarted since",
        "leaving, gateway was paused",
        "leaving, engine crashed",
        "rest, three requests",
        "rest, over before",
        "rest, gateway was paused",
    ],
)
def test_checks_find_what_they_should(
    records: ObservedEvidence, violations: int
) -> None:
    """A check that finds nothing must not pass for one that has looked."""
    assert len(check(records)) == violations
