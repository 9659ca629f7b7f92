"""Planned stops of real gateways, judged by callers and engines alone.

Run ``python -m tests.platform.stops FIRST_SEED SEEDS [CASE]`` to play cases of the
table by hand.  Each case starts a platform and the VMs of one domain, sends callers
to them as the platform does, stops the VMs and looks at what became of each request,
of the processes and of the money.
"""

from tests.platform.stops._cases import CASES, LONG_CASES, Case, Overlap, Trouble
from tests.platform.stops._findings import Broken, Promise
from tests.platform.stops._run import play_case, play_cases

__all__ = [
    "CASES",
    "LONG_CASES",
    "Broken",
    "Case",
    "Overlap",
    "Promise",
    "Trouble",
    "play_case",
    "play_cases",
]
