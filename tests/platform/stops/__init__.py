"""Planned stops of real gateways, judged by callers and engines alone.

Run ``python -m tests.platform.stops FIRST_SEED SEEDS [CASE]`` to play cases of the
table by hand.  Each case starts a platform and the VMs of one domain, sends callers
to them as the platform does, stops the VMs and looks at what became of each request,
of the processes and of the money.
"""

from tests.platform.stops._cases import CASES, LONG_CASES, Case, Disturbance, Overlap
from tests.platform.stops._findings import Guarantee, Violation
from tests.platform.stops._run import run_case, run_cases

__all__ = [
    "CASES",
    "LONG_CASES",
    "Case",
    "Disturbance",
    "Guarantee",
    "Overlap",
    "Violation",
    "run_case",
    "run_cases",
]
