"""Compares the policies that choose an engine.

Run ``python -m ebonyhold.experiments.choice``.

The product's own choice, admission and bookkeeping decide, in several routers
at once, on late reports.  Only the engines and the callers are fakes, on a
virtual clock, so a run is the same each time for a seed.
"""

from ebonyhold.experiments.choice._figures import Figures
from ebonyhold.experiments.choice._run import Deployment, Load, deployments, run_once
from ebonyhold.experiments.choice._scenarios import scenarios

__all__ = ["Deployment", "Figures", "Load", "deployments", "run_once", "scenarios"]
