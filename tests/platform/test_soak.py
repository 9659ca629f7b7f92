"""The fault soak: a short run for CI, and runs that must detect a removed guard."""

from __future__ import annotations

import re
from pathlib import Path

import anyio
import pytest

from tests.platform.soak import run_seed


def test_a_short_soak_breaks_no_promise(tmp_path: Path) -> None:
    """Kills, pauses, stops and faulty paths to the store must not cause a violation."""
    assert anyio.run(run_seed, 1, 6.0, tmp_path) == []


@pytest.mark.soak
@pytest.mark.parametrize(
    ("guard", "finding"),
    [
        ("proof", r"spent \d+ of \d+"),
        ("not-run", r"must not be repeated|was refused as not run"),
        ("identity", r"must not be repeated|was refused as not run"),
        ("sound-tasks", "task failed"),
        ("endings", "ended early"),
    ],
)
def test_a_missing_guard_is_found(tmp_path: Path, guard: str, finding: str) -> None:
    """The soak must find a violation if one guard of the gateway is removed.

    The random faults do not show it with every seed, so up to five seeds are run.
    """
    program = f"tests.platform.weak_gateway {guard}"
    for seed in range(1, 6):
        folder = tmp_path / str(seed)
        folder.mkdir()
        violations = anyio.run(run_seed, seed, 15.0, folder, program)
        if any(re.search(finding, line) for line in violations):
            return
    pytest.fail(f"no seed shows that {guard} is missing")
