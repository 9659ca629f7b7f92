"""Engines that send nothing for a while, with real gateway processes."""

from __future__ import annotations

import random
from collections.abc import Sequence
from pathlib import Path

import anyio
import pytest

from tests.platform.silences import check, fleet

pytestmark = pytest.mark.anyio

ENGINES = 10

CALLERS = 75

KINDS = ("resumable",) * 5 + ("safe", "single", "unsafe")


@pytest.fixture
def anyio_backend() -> str:
    """Run on asyncio, as the gateways do."""
    return "asyncio"


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
    assert check(evidence) == []
