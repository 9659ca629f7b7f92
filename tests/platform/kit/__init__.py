"""Test kit: gateway processes, proxies to the store, callers that record answers."""

from tests.platform.kit._callers import (
    Fault,
    Length,
    NextRequest,
    RequestRecord,
    Style,
    use_connection,
)
from tests.platform.kit._links import Link, LinkGrid, LinkMode, link_port
from tests.platform.kit._logs import log_errors
from tests.platform.kit._processes import ProcessRecord, find_process, start_process
from tests.platform.kit._rules import (
    CROSSING_WINDOW,
    LATE_AFTER,
    LISTENER_MARGIN,
    EngineRun,
    crossed_last_answer,
    listener_may_be_closed,
    outlasts_grace,
    read_runs,
)
from tests.platform.kit._world import (
    EVENT_TOKENS,
    GRACE,
    HOST,
    ROOT,
    WORKSPACES,
    Gateway,
    Proxy,
    address_of,
    configuration,
    free_ports,
    settings,
)

__all__ = [
    "CROSSING_WINDOW",
    "EVENT_TOKENS",
    "GRACE",
    "HOST",
    "LATE_AFTER",
    "LISTENER_MARGIN",
    "ROOT",
    "WORKSPACES",
    "EngineRun",
    "Fault",
    "Gateway",
    "Length",
    "Link",
    "LinkGrid",
    "LinkMode",
    "NextRequest",
    "ProcessRecord",
    "Proxy",
    "RequestRecord",
    "Style",
    "address_of",
    "configuration",
    "crossed_last_answer",
    "find_process",
    "free_ports",
    "link_port",
    "listener_may_be_closed",
    "log_errors",
    "outlasts_grace",
    "read_runs",
    "settings",
    "start_process",
    "use_connection",
]
