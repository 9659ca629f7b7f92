"""Sets up the flow control of a gateway from its settings."""

from __future__ import annotations

import math

from ebonyhold.forwarding import BackendTable, CallerConnection, FlowControl
from ebonyhold.gateway._metrics import GatewayMetrics
from ebonyhold.gateway._types import GatewaySettings


def flow_control(
    settings: GatewaySettings, backends: BackendTable, metrics: GatewayMetrics
) -> FlowControl[CallerConnection]:
    """Return the flow control; its bounds are enabled where the memory is known."""
    flow: FlowControl[CallerConnection] = FlowControl(
        shares_load=lambda service: backends.fleet_load.is_on(service),
        on_event=metrics.count_slow_caller,
        on_pause=metrics.count_pause,
    )
    flow.paced = settings.memory_pressure
    if settings.memory_bytes < math.inf:
        flow.limit_memory(settings.memory_bytes)
    return flow
