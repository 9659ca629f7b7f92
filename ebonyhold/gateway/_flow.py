"""Sets up the flow control of a gateway from its settings."""

from __future__ import annotations

from ebonyhold.forwarding import BackendTable, CallerConnection, FlowControl
from ebonyhold.gateway._metrics import GatewayMetrics
from ebonyhold.gateway._types import GatewaySettings


def flow_control(
    settings: GatewaySettings, backends: BackendTable, metrics: GatewayMetrics
) -> FlowControl[CallerConnection]:
    """Return the flow control; its bounds are enabled under memory pressure."""
    flow: FlowControl[CallerConnection] = FlowControl(
        shares_load=lambda service: backends.fleet_load.is_on(service),
        on_event=metrics.count_slow_caller,
        on_pause=metrics.count_pause,
    )
    if settings.memory_pressure:
        flow.limit_memory(settings.memory_bytes)
    return flow
