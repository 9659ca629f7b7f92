"""OpenTelemetry spans for calls between services, with W3C trace context."""

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
    """Logs each ended span as one line."""

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Log the spans, and always report success."""
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
    """Install a tracer provider with the exporter that the settings name.

    Returns:
        The provider, which the caller shuts down at the end; None for ``none``.

    Raises:
        SettingsError: The exporter's name is unknown.
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
    """Return the W3C trace context from a request's headers."""
    return _propagator.extract(headers)


def context_headers() -> dict[str, str]:
    """Return headers with the current trace context; empty outside of a trace."""
    headers: dict[str, str] = {}
    _propagator.inject(headers)
    return headers


@contextmanager
def hop_in_trace(name: str) -> Iterator[None]:
    """Record a span for a call to another service if a trace is open.

    Background polls make such calls many times a second, outside of traces. A new
    trace for each of them would make the traces of requests hard to find.
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
    """Record a span for a call between services; start a trace if none is open.

    Args:
        name: The call's name, such as ``table.commit``.
        parent: The context of the parent span; the current one by default.
        kind: Whether this process makes the call or serves it.
    """
    tracer = trace.get_tracer("ebonyhold")
    with tracer.start_as_current_span(name, context=parent, kind=kind) as span:
        yield span
