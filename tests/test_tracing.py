"""Spans: the caller's trace context, the log exporter and calls outside of traces."""

from __future__ import annotations

import io
import json
import logging
from unittest.mock import patch

import pytest
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import SimpleSpanProcessor
from opentelemetry.sdk.trace.export.in_memory_span_exporter import InMemorySpanExporter

from ebonyhold.exceptions import SettingsError
from ebonyhold.logs import configure_logs, current_request
from ebonyhold.settings import TracingSettings
from ebonyhold.tracing import (
    LogSpanExporter,
    configure_tracing,
    context_from,
    context_headers,
    hop,
    hop_in_trace,
)

TRACE = "0af7651916cd43dd8448eb211c80319c"


def test_a_span_continues_the_callers_trace() -> None:
    out = io.StringIO()
    root = logging.getLogger()
    before, level = list(root.handlers), root.level
    configure_logs("INFO", "r.1", out)
    try:
        provider = TracerProvider()
        provider.add_span_processor(SimpleSpanProcessor(LogSpanExporter()))
        parent = context_from({"traceparent": f"00-{TRACE}-b7ad6b7169203331-01"})
        current_request.set("q1")
        with provider.get_tracer("t").start_as_current_span("hop", context=parent):
            logging.getLogger("x").info("inside")
    finally:
        root.handlers[:] = before
        root.setLevel(level)
    inside, span = [json.loads(line) for line in out.getvalue().splitlines()]
    assert inside["trace"] == TRACE
    assert inside["request"] == "q1"
    assert inside["router"] == "r.1"
    assert span["span_name"] == "hop"
    assert span["span_trace"] == TRACE
    assert span["span_parent"] == "b7ad6b7169203331"


def test_an_unknown_exporter_is_refused() -> None:
    with pytest.raises(SettingsError, match=r"tracing\.exporter"):
        configure_tracing(TracingSettings(exporter="pigeon"), "r.1")


@pytest.mark.parametrize("inside", [True, False])
def test_inner_hops_are_recorded_only_inside_a_trace(inside: bool) -> None:
    exporter = InMemorySpanExporter()
    provider = TracerProvider()
    provider.add_span_processor(SimpleSpanProcessor(exporter))
    tracer = provider.get_tracer("t")
    with patch("ebonyhold.tracing.trace.get_tracer", return_value=tracer):
        if inside:
            with hop("caller"), hop_in_trace("platform POST commit"):
                assert "traceparent" in context_headers()
        else:
            with hop_in_trace("platform POST commit"):
                assert context_headers() == {}
    names = [span.name for span in exporter.get_finished_spans()]
    assert names == (["platform POST commit", "caller"] if inside else [])
