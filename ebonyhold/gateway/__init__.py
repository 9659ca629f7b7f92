"""A gateway: the daemon that forwards opaque requests on the users' platform."""

from ebonyhold.gateway._explain import explain
from ebonyhold.gateway._gateway import Gateway
from ebonyhold.gateway._holds import GatewayHolders, PeerDesk
from ebonyhold.gateway._knowledge import Knowledge
from ebonyhold.gateway._listening import ListenError, listen
from ebonyhold.gateway._losses import find_losses
from ebonyhold.gateway._losses import report as report_losses
from ebonyhold.gateway._output import (
    STANDARD_OUTPUT,
    BoundedOutput,
    RateLimit,
    configure_output,
)
from ebonyhold.gateway._presence import Presence
from ebonyhold.gateway._renewals import Renewals
from ebonyhold.gateway._signals import hold_signals
from ebonyhold.gateway._stop import GatewayStop, StopTimes
from ebonyhold.gateway._supervision import (
    EXIT_FAULT,
    EXIT_PORT,
    EXIT_SOUND,
    RULES,
    Act,
    GuardedTasks,
    Policy,
    Rule,
    Supervisor,
)
from ebonyhold.gateway._transfers import GatewayPeers, TransferDesk
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
    "EXIT_FAULT",
    "EXIT_PORT",
    "EXIT_SOUND",
    "RULES",
    "STANDARD_OUTPUT",
    "Act",
    "BoundedOutput",
    "Changes",
    "Gateway",
    "GatewayHolders",
    "GatewayPeers",
    "GatewaySettings",
    "GatewayStop",
    "GatewayStore",
    "GuardedTasks",
    "Knowledge",
    "ListenError",
    "PeerDesk",
    "Peers",
    "Policy",
    "Presence",
    "RateLimit",
    "RawRow",
    "Renewals",
    "Rule",
    "Snapshot",
    "StopTimes",
    "Supervisor",
    "TransferDesk",
    "Watcher",
    "configure_output",
    "explain",
    "find_losses",
    "hold_signals",
    "listen",
    "report_losses",
]
