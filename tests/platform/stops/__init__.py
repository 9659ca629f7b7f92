"""Planned stops of real gateways, checked by the records of callers and engines.

Run ``python -m tests.platform.stops FIRST_SEED SEEDS [CASE ...]`` to run cases of the
table by hand.  Each case starts a stand-in of the platform and the VMs of one domain,
sends requests to them as the platform does and stops the VMs.  Then it checks the
requests, the exits of the processes, and the budgets and grants.
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
