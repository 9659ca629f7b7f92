"""The gateway process, which forwards callers' requests to backend servers."""

from ebonyhold.gateway._explain import explain
from ebonyhold.gateway._gateway import Gateway
from ebonyhold.gateway._holds import GatewayHolders, PeerHandler
from ebonyhold.gateway._listening import ListenError, listen
from ebonyhold.gateway._losses import find_losses
from ebonyhold.gateway._losses import report as report_losses
from ebonyhold.gateway._observations import (
    OBSERVATIONS_TARGET,
    Observations,
    ObservationsRow,
)
from ebonyhold.gateway._output import (
    STANDARD_OUTPUT,
    BoundedOutput,
    RateLimit,
    configure_output,
)
from ebonyhold.gateway._presence import Presence
from ebonyhold.gateway._renewals import Renewals
from ebonyhold.gateway._routing_state import RoutingState
from ebonyhold.gateway._signals import block_signals
from ebonyhold.gateway._stop import GatewayStop, StopTimes
from ebonyhold.gateway._supervision import (
    EXIT_FAULT,
    EXIT_OK,
    EXIT_PORT,
    TASK_RULES,
    Action,
    GuardedTasks,
    Policy,
    Supervisor,
    TaskRule,
)
from ebonyhold.gateway._transfers import GatewayPeers, TransferHandler
from ebonyhold.gateway._types import (
    Changes,
    GatewaySettings,
    GatewayStore,
    PlatformAdapter,
    RawRow,
    ServerReport,
    Snapshot,
)
from ebonyhold.gateway._watcher import Watcher

__all__ = [
    "EXIT_FAULT",
    "EXIT_OK",
    "EXIT_PORT",
    "OBSERVATIONS_TARGET",
    "STANDARD_OUTPUT",
    "TASK_RULES",
    "Action",
    "BoundedOutput",
    "Changes",
    "Gateway",
    "GatewayHolders",
    "GatewayPeers",
    "GatewaySettings",
    "GatewayStop",
    "GatewayStore",
    "GuardedTasks",
    "ListenError",
    "Observations",
    "ObservationsRow",
    "PeerHandler",
    "PlatformAdapter",
    "Policy",
    "Presence",
    "RateLimit",
    "RawRow",
    "Renewals",
    "RoutingState",
    "ServerReport",
    "Snapshot",
    "StopTimes",
    "Supervisor",
    "TaskRule",
    "TransferHandler",
    "Watcher",
    "block_signals",
    "configure_output",
    "explain",
    "find_losses",
    "listen",
    "report_losses",
]
