"""Fault soak of what gateways tell each other of requests and servers.

Run ``python -m tests.platform.observed FIRST_SEED SEEDS``.  As in the other soak, real
gateways serve callers while they are killed, paused, stopped and cut off from the
store; between the faults there are calm periods.  Some callers repeat requests that
crash the engines that run them, and engines name a limit, state that they leave and
restart, or turn requests away and ask for rest.
"""

from tests.platform.observed._checks import check
from tests.platform.observed._run import run_seed

__all__ = ["check", "run_seed"]
