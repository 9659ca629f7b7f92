"""Judges a run by the records of everybody but the routers.

Hand `check` the `Evidence` of a run; each `Broken` names the promise, the
request and a trace.
"""

from ebonyhold.experiments import _check_money
from ebonyhold.experiments._checker import JUDGES, Broken, Promise, check, judge
from ebonyhold.experiments._evidence import (
    AcceptedVersion,
    CallerOutcome,
    CallerRecord,
    Evidence,
    StopRecord,
    VersionSighting,
    fetch_engines,
    fetch_rows,
    fetch_services,
)

REGISTERING = (_check_money,)
"""Modules whose import fills the registry of judges."""

__all__ = [
    "JUDGES",
    "AcceptedVersion",
    "Broken",
    "CallerOutcome",
    "CallerRecord",
    "Evidence",
    "Promise",
    "StopRecord",
    "VersionSighting",
    "check",
    "fetch_engines",
    "fetch_rows",
    "fetch_services",
    "judge",
]
