"""Compares how well routers place requests with and without the shared load.

Run ``python -m ebonyhold.experiments.shared_load``.

The product's own choice decides, in all routers of the fleet, on figures that are as
old as the exchange of load makes them. Servers and callers are models on a virtual
clock, so a run is the same each time for a seed.
"""

from ebonyhold.experiments.shared_load._load import DEPLOYMENTS, Deployment
from ebonyhold.experiments.shared_load._run import Figures, run

__all__ = ["DEPLOYMENTS", "Deployment", "Figures", "run"]
