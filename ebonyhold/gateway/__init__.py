"""A gateway: the daemon that forwards opaque requests on the users' platform."""

from ebonyhold.gateway._explain import explain
from ebonyhold.gateway._gateway import Gateway
from ebonyhold.gateway._knowledge import Knowledge
from ebonyhold.gateway._output import (
    STANDARD_OUTPUT,
    BoundedOutput,
    RateLimit,
    configure_output,
)
from ebonyhold.gateway._presence import Presence
from ebonyhold.gateway._renewals import Renewals
from ebonyhold.gateway._stop import GatewayStop, StopTimes
from ebonyhold.gateway._types import (
    Changes,
    GatewaySettings,
    GatewayStore,
    Peers,
    RawRow,
    Snapshot,
)
from ebonyhold.gateway._watcher import Watcher

__all__ = [
    "STANDARD_OUTPUT",
    "BoundedOutput",
    "Changes",
    "Gateway",
    "GatewaySettings",
    "GatewayStop",
    "GatewayStore",
    "Knowledge",
    "Peers",
    "Presence",
    "RateLimit",
    "RawRow",
    "Renewals",
    "Snapshot",
    "StopTimes",
    "Watcher",
    "configure_output",
    "explain",
]
