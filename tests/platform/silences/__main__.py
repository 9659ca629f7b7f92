"""Run several seeds; the files of seeds with violations go to ``out``."""

from __future__ import annotations

import sys

from tests.platform.seeds import run_seeds
from tests.platform.silences import run_seed

if __name__ == "__main__":
    sys.exit(run_seeds("silences", run_seed))
