"""JSON-line logs whose lines name the current request, workspace and span."""

from __future__ import annotations

import logging
import sys
from contextvars import ContextVar
from typing import TextIO

from opentelemetry import trace
from pythonjsonlogger.json import JsonFormatter

current_request: ContextVar[str] = ContextVar("current_request", default="")
"""The request identifier in log lines of the current task."""

current_workspace: ContextVar[str] = ContextVar("current_workspace", default="")
"""The workspace in log lines of the current task."""

FIELDS = ("timestamp", "level", "name", "message")


class ContextFilter(logging.Filter):
    """Adds the router and the current request, workspace and span to each record."""

    def __init__(self, router: str) -> None:
        super().__init__()
        self.router = router

    def filter(self, record: logging.LogRecord) -> bool:
        """Add the fields, empty where there is no value; keep every record."""
        record.router = self.router
        record.request = current_request.get()
        record.workspace = current_workspace.get()
        span = trace.get_current_span().get_span_context()
        record.trace = f"{span.trace_id:032x}" if span.is_valid else ""
        record.span = f"{span.span_id:016x}" if span.is_valid else ""
        return True


def configure_logs(
    level: str, router: str, stream: TextIO | None = None
) -> logging.Handler:
    """Send all logs to a stream as JSON lines.

    Args:
        level: The minimum severity that is written.
        router: The router's incarnation, a field of each line.
        stream: The stream to write to; standard error by default.

    Returns:
        The new handler, which replaces all handlers of the root logger.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.addFilter(ContextFilter(router))
    handler.setFormatter(
        JsonFormatter(
            "%(levelname)s %(name)s %(message)s",
            timestamp="time",
            rename_fields={"levelname": "level"},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # These log a line for each HTTP request, which makes other lines hard to find.
    for noisy in ("httpx", "httpcore", "hypercorn.access"):
        logging.getLogger(noisy).setLevel(logging.WARNING)
    return handler
