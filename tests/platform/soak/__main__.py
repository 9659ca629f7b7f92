"""Run the soak for several seeds; files of seeds with violations go to ``out``."""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path

import anyio

from tests.platform.kit import ROOT
from tests.platform.soak import run_seed

DEFAULT_SECONDS = 15.0
"""Seconds for which faults are injected with each seed."""


def main() -> int:
    """Run the seeds one after another; return 1 if any had violations."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    seconds = float(sys.argv[3]) if len(sys.argv) > 3 else DEFAULT_SECONDS
    found = 0
    for seed in range(first, first + count):
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            violations = anyio.run(run_seed, seed, seconds, folder)
            if violations:
                found += 1
                kept = ROOT / "out" / f"soak-{seed}"
                kept.mkdir(parents=True, exist_ok=True)
                for path in folder.iterdir():
                    (kept / path.name).write_bytes(path.read_bytes())
    print(f"{count} seeds, {found} with something broken")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
