"""Decides how many connections each listener of a gateway keeps.

The load handled here is crowds of callers that stay connected. Each connection takes
memory and a file descriptor, which requests, servers and other gateways need, too.
"""

from __future__ import annotations

import math

from attrs import frozen

from ebonyhold.forwarding import CallerLimits
from ebonyhold.gateway._types import GatewaySettings

CALLERS_SHARE = 0.6
"""Share of the sockets for callers."""

PEERS_SHARE = 0.2
"""Share of the sockets for other gateways; the rest is for servers and the store."""

MEMORY_SHARE = 0.25
"""Share of the memory for the connections of callers."""

CONNECTION_SIZE = 98_304
"""Bytes that a connection takes whose caller sends ahead and reads nothing."""

CHECKS = 32
"""Connections of readiness checks, and as many of metrics scrapes."""

CHECK_WAITING = 4_096
"""Bytes that are read of a readiness check or a scrape ahead of its turn."""


@frozen
class ConnectionLimits:
    """The number of connections that each listener keeps.

    Attributes:
        callers: Those of callers.
        peers: Those of other gateways.
        checks: Those of readiness checks, and as many of metrics scrapes.
    """

    callers: float = math.inf
    peers: float = math.inf
    checks: float = math.inf


def check_limits() -> CallerLimits:
    """Return the limits on readiness checks and scrapes, which have no body."""
    return CallerLimits(body_bytes=0)


def connection_limits(settings: GatewaySettings) -> ConnectionLimits:
    """Return the limits for a gateway; none where its resources are not known."""
    by_memory = MEMORY_SHARE * settings.memory_bytes / CONNECTION_SIZE
    known = min(settings.sockets, settings.memory_bytes) < math.inf
    return ConnectionLimits(
        callers=min(CALLERS_SHARE * settings.sockets, by_memory),
        peers=PEERS_SHARE * settings.sockets,
        checks=CHECKS if known else math.inf,
    )
