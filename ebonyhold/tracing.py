"""OpenTelemetry traces: a span for each hop, W3C context carried through."""

from __future__ import annotations

import logging
from collections.abc import Iterator, Mapping, Sequence
from contextlib import contextmanager

from opentelemetry import trace
from opentelemetry.context import Context
from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    SimpleSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace import Span, SpanKind
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from ebonyhold.exceptions import SettingsError
from ebonyhold.settings import TracingSettings

logger = logging.getLogger(__name__)

_propagator = TraceContextTextMapPropagator()

NANOSECONDS = 1_000_000_000


class LogSpanExporter(SpanExporter):
    """Writes each ended span as one log line."""

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Log the spans; it never fails."""
        for span in spans:
            context = span.get_span_context()
            assert context is not None
            started, ended = span.start_time or 0, span.end_time or 0
            logger.info(
                "span",
                extra={
                    "span_name": span.name,
                    "span_trace": f"{context.trace_id:032x}",
                    "span_id": f"{context.span_id:016x}",
                    "span_parent": f"{span.parent.span_id:016x}" if span.parent else "",
                    "span_seconds": (ended - started) / NANOSECONDS,
                    "span_attributes": dict(span.attributes or {}),
                },
            )
        return SpanExportResult.SUCCESS


def configure_tracing(settings: TracingSettings, router: str) -> TracerProvider | None:
    """Install the exporter that the settings name.

    Returns:
        The provider, to be shut down at the end, or None without an exporter.

    Raises:
        SettingsError: There is no exporter of that name.
    """
    if settings.exporter == "none":
        return None
    provider = TracerProvider(
        resource=Resource({"service.name": "ebonyhold", "service.instance.id": router}),
        sampler=ParentBased(TraceIdRatioBased(settings.ratio)),
    )
    if settings.exporter == "log":
        provider.add_span_processor(SimpleSpanProcessor(LogSpanExporter()))
    elif settings.exporter == "otlp":
        exporter = OTLPSpanExporter(endpoint=settings.endpoint or None)
        provider.add_span_processor(BatchSpanProcessor(exporter))
    else:
        raise SettingsError(
            f"tracing.exporter: {settings.exporter!r} is none of none, log, otlp"
        )
    trace.set_tracer_provider(provider)
    return provider


def context_from(headers: Mapping[str, str]) -> Context:
    """Read the W3C trace context that a request carries."""
    return _propagator.extract(headers)


def context_headers() -> dict[str, str]:
    """Return the headers that carry the current span to the next hop."""
    headers: dict[str, str] = {}
    _propagator.inject(headers)
    return headers


@contextmanager
def inner_hop(name: str) -> Iterator[None]:
    """Record a span for a hop, but only inside of a trace.

    Background polls call the same services many times a second; a trace of its
    own for each would bury those of requests.
    """
    if not trace.get_current_span().get_span_context().is_valid:
        yield
        return
    with hop(name):
        yield


@contextmanager
def hop(
    name: str, parent: Context | None = None, kind: SpanKind = SpanKind.CLIENT
) -> Iterator[Span]:
    """Record a span for one hop.

    Args:
        name: What is called, such as ``table.commit``.
        parent: The context it belongs to; the current one by default.
        kind: The side of the hop that this process is on.
    """
    tracer = trace.get_tracer("ebonyhold")
    with tracer.start_as_current_span(name, context=parent, kind=kind) as span:
        yield span
