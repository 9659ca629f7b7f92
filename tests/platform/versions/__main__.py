"""Run several seeds; the files of seeds with violations go to ``out``."""

from __future__ import annotations

import shutil
import sys
import tempfile
from pathlib import Path

import anyio

from tests.platform.kit import ROOT
from tests.platform.versions import run_seed

SECONDS = 12.0
"""Seconds for which faults are injected with each seed."""


def main() -> int:
    """Run the seeds one after another; return 1 if any had violations."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    found = 0
    for seed in range(first, first + count):
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            if anyio.run(run_seed, seed, SECONDS, folder):
                found += 1
                kept = ROOT / "out" / f"versions-{seed}"
                shutil.copytree(folder, kept, dirs_exist_ok=True)
    print(f"{count} seeds, {found} with something broken")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
