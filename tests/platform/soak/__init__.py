"""A seeded fault soak: real gateways, hurt from outside, judged by callers and engines.

Run ``python -m tests.platform.soak FIRST_SEED SEEDS [SECONDS]``.  Each seed starts a
platform and three gateways, each behind a proxy of its own on its way to the store.
Paths are delayed, reset and silenced; gateways are killed, paused and told to stop, in
series and at once.  Callers keep asking all the while.
"""

from tests.platform.soak._run import run_seed

__all__ = ["run_seed"]
