"""Fault soak with seeds: real gateways under injected faults and constant requests.

Run ``python -m tests.platform.soak FIRST_SEED SEEDS [SECONDS]``.  Each seed starts a
stand-in of the platform and three gateways, each with its own proxy to the store.  The
proxies delay, reset and hold back traffic; gateways are killed, paused and stopped, one
after another and several at once.  Callers send requests all the time, and the records
of callers, engines and processes are checked afterwards.
"""

from tests.platform.soak._run import run_seed

__all__ = ["run_seed"]
