"""Spans carry the caller's trace on, and the log exporter names the hop."""

from __future__ import annotations

import io
import json
import logging

import pytest
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import SimpleSpanProcessor

from ebonyhold.exceptions import SettingsError
from ebonyhold.logs import configure_logs, current_request
from ebonyhold.settings import TracingSettings
from ebonyhold.tracing import LogSpanExporter, configure_tracing, context_from

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
