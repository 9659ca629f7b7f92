"""Engines that send nothing for a while, with real gateway processes."""

from __future__ import annotations

import random
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import anyio
import pytest
from attrs import evolve

from tests.platform.kit import Length, Style
from tests.platform.silences import (
    Evidence,
    Silence,
    SilenceEngineRun,
    SilenceRequest,
    check,
    fleet,
)

ENGINES = 10

CALLERS = 75

KINDS = ("resumable",) * 5 + ("safe", "single", "unsafe")


@pytest.fixture
def anyio_backend() -> str:
    """Run on asyncio, as the gateways do."""
    return "asyncio"


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("silent", "lengths", "ended", "versions"),
    [
        (10, (1.4, 1.5), 0, 1),
        (6, (1.4,), 0, 1),
        (10, (2.2, 2.2), 0, 1),
        (10, (1.4, 1.5), 2, 1),
        (10, (1.4, 1.5), 0, 0),
        (1, (3.5,), 0, 1),
    ],
    ids=["all", "six in ten", "all for long", "two end", "no version", "dark"],
)
async def test_silence_ends_no_answer(
    tmp_path: Path, silent: int, lengths: Sequence[float], ended: int, versions: int
) -> None:
    """An answer must not be given up for a silence that its server would have ended."""
    rng = random.Random(1)
    async with fleet(tmp_path, 1, CALLERS, (3, ENGINES), KINDS) as run:
        run.patient_share = 1.0 if max(lengths) == 2.2 else 0.0
        await anyio.sleep(0.5)
        for seconds in lengths:
            for _ in range(versions):
                await run.configure(rng)
            await anyio.sleep(0.6)
            await run.silence(rng.sample(range(ENGINES), silent), seconds)
            await run.end_engines(rng.sample(range(ENGINES), ended))
            await anyio.sleep(seconds)
        evidence = await run.evidence()
    assert [*check(evidence), *run.log_errors()] == []


RUN = SilenceEngineRun(1.0, 3.0, 3, "i-0")
LATER = SilenceEngineRun(2.4, 3.6, 0, "i-1")
DARK = [Silence("i-0", 1.5, 8.0)]


def records(
    *runs: SilenceEngineRun,
    kind: str = "resumable",
    status: int = 200,
    count: int = 3,
    left: bool = False,
    **more: Any,
) -> Evidence:
    """Return the records of a request that ended after a number of its 4 events."""
    request = SilenceRequest("r", 0, Style.KEPT, Length(4, 0.1), "vast", 0)
    request.sent_at, request.ended_at, request.finished = 1.0, 3.7, True
    request.status, request.whole = status, count == 4 or status != 200
    request.events = list(range(1, count + 1)) if status == 200 else []
    request.kind, request.left = kind, left
    return Evidence([request], {"r": list(runs)}, **more)


@pytest.mark.parametrize(
    ("evidence", "findings"),
    [
        (records(RUN, count=4), 0),
        (records(RUN), 1),
        (records(RUN, status=502), 1),
        (records(status=503), 0),
        (records(RUN, status=503), 1),
        (records(RUN, left=True), 0),
        (records(RUN, left=True, silences=DARK), 1),
        (records(RUN, ends=[("i-0", 2.9)]), 0),
        (records(RUN, ends=[("i-1", 2.9)]), 1),
        (records(RUN, LATER, ends=[("i-1", 3.5)]), 2),
        (records(RUN, LATER, count=4), 1),
        (records(RUN, LATER, count=4, silences=[Silence("i-1", 2.3, 2.8)]), 0),
        (records(RUN, RUN, count=4, kind="single"), 2),
        (records(RUN, *[evolve(RUN, engine="i-1", ended_at=1.1)] * 51, count=4), 1),
    ],
    ids=[
        "whole",
        "cut",
        "502",
        "refused",
        "refused, and ran",
        "caller left",
        "not taken from a dark engine",
        "its engine ended",
        "another engine ended",
        "left for an engine that ended",
        "two runs at once",
        "the later engine was silent",
        "run twice",
        "too many retries",
    ],
)
def test_checks_find_what_they_should(evidence: Evidence, findings: int) -> None:
    """A check that finds nothing must not pass for one that has looked."""
    assert len(check(evidence)) == findings
