"""Endpoints for status, health and metrics."""

from __future__ import annotations

from ebonyhold._asgi import Request, Send, send_body, send_json, send_text
from ebonyhold.coordination import to_json
from ebonyhold.operators._context import OperatorsContext, endpoints
from ebonyhold.types import Json

METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
"""Content type of the Prometheus text format."""


@endpoints.add("GET", "/v1/status")
async def status(context: OperatorsContext, request: Request, send: Send) -> None:
    """Send the status of this router's configuration and of the fleet."""
    configuration = context.configuration
    fleet = await context.status.fleet()
    evidence = configuration.own_evidence()
    answer: Json = {
        "version": configuration.version,
        "confirmed_age": evidence.confirmed_age,
        "stale": configuration.stale,
        "regressed": configuration.regressed,
        "routers": [to_json(each) for each in fleet.routers],
        "backends": [to_json(each) for each in fleet.backends],
    }
    await send_json(send, 200, answer)


@endpoints.add("GET", "/metrics")
async def metrics(context: OperatorsContext, request: Request, send: Send) -> None:
    """Send the metrics in the Prometheus text format."""
    await send_body(send, 200, context.metrics(), METRICS_TYPE)


@endpoints.add("GET", "/healthz", open_to_all=True)
async def health(context: OperatorsContext, request: Request, send: Send) -> None:
    """Send status 200 while the process is running, ready or not."""
    await send_text(send, 200, "ok\n")


@endpoints.add("GET", "/readyz", open_to_all=True)
async def readiness(context: OperatorsContext, request: Request, send: Send) -> None:
    """Send status 200 if this router can take requests, else 503 and the reasons."""
    found = context.status.readiness()
    answer: Json = {"ready": found.ready, "reasons": list(found.reasons)}
    await send_json(send, 200 if found.ready else 503, answer)
