"""Run several seeds; the files of seeds with violations go to ``out``."""

from __future__ import annotations

import sys

from tests.platform.observed import run_seed
from tests.platform.seeds import run_seeds

if __name__ == "__main__":
    sys.exit(run_seeds("observed", run_seed))
