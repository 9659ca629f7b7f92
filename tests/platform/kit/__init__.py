"""Real gateways, what surrounds them, and callers that note what they see."""

from tests.platform.kit._callers import (
    Fault,
    Length,
    NextTry,
    Style,
    Try,
    converse,
)
from tests.platform.kit._logs import log_faults
from tests.platform.kit._processes import Life, begin, find_life
from tests.platform.kit._rules import (
    DOOR_MARGIN,
    LATE_AFTER,
    LOSS_SLACK,
    Seen,
    at_the_end,
    read_runs,
    was_crossing,
    was_endless,
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
    "DOOR_MARGIN",
    "EVENT_TOKENS",
    "GRACE",
    "HOST",
    "LATE_AFTER",
    "LOSS_SLACK",
    "ROOT",
    "WORKSPACES",
    "Fault",
    "Gateway",
    "Length",
    "Life",
    "NextTry",
    "Proxy",
    "Seen",
    "Style",
    "Try",
    "address_of",
    "at_the_end",
    "begin",
    "configuration",
    "converse",
    "find_life",
    "free_ports",
    "log_faults",
    "read_runs",
    "settings",
    "was_crossing",
    "was_endless",
]
