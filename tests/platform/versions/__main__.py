"""Run several seeds; the files of seeds with violations go to ``out``."""

from __future__ import annotations

import sys
from pathlib import Path

from tests.platform.seeds import run_seeds
from tests.platform.versions import run_seed

SECONDS = 12.0
"""Seconds for which faults are injected with each seed."""


async def run(seed: int, folder: Path) -> list[str]:
    """Run one seed."""
    return await run_seed(seed, SECONDS, folder)


if __name__ == "__main__":
    sys.exit(run_seeds("versions", run))
