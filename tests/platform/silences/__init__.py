"""Fault soak of silent engines beside changes of the configuration.

Run ``python -m tests.platform.silences FIRST_SEED SEEDS``.  Five gateways and ten
engines serve some 50 callers.  Engines send nothing for a second or two, some end
meanwhile, and in some seeds gateways are reloaded, stopped or paused beside it.
"""

from tests.platform.silences._checks import (
    Evidence,
    Silence,
    SilenceEngineRun,
    SilenceRequest,
    check,
)
from tests.platform.silences._run import SilenceRun, fleet, run_seed

__all__ = [
    "Evidence",
    "Silence",
    "SilenceEngineRun",
    "SilenceRequest",
    "SilenceRun",
    "check",
    "fleet",
    "run_seed",
]
