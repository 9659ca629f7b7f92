"""Runs several seeds of a soak from the command line."""

from __future__ import annotations

import shutil
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio

from tests.platform.kit import ROOT


def run_seeds(name: str, run: Callable[[int, Path], Awaitable[list[str]]]) -> int:
    """Run seeds one after another, by the first seed and the count in the arguments.

    The files of seeds with violations go to ``out``.

    Args:
        name: The name of the soak, for these files.
        run: Runs a seed, and returns the violations.

    Returns:
        1 if any seed had violations, else 0.
    """
    first, count = int(sys.argv[1]), int(sys.argv[2])
    found = 0
    for seed in range(first, first + count):
        with tempfile.TemporaryDirectory() as folder:
            if anyio.run(run, seed, Path(folder)):
                found += 1
                kept = ROOT / "out" / f"{name}-{seed}"
                shutil.copytree(folder, kept, dirs_exist_ok=True)
    print(f"{count} seeds, {found} with something broken")
    return 1 if found else 0
