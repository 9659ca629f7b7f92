"""JSON-line logs that carry the request, workspace and span being worked on."""

from __future__ import annotations

import logging
import sys
from contextvars import ContextVar
from typing import TextIO

from opentelemetry import trace
from pythonjsonlogger.json import JsonFormatter

current_request: ContextVar[str] = ContextVar("current_request", default="")
"""The request identifier that log lines of this task carry."""

current_workspace: ContextVar[str] = ContextVar("current_workspace", default="")
"""The workspace that log lines of this task carry."""

FIELDS = ("timestamp", "level", "name", "message")


class ContextFilter(logging.Filter):
    """Adds what the task works on to each record."""

    def __init__(self, router: str) -> None:
        super().__init__()
        self.router = router

    def filter(self, record: logging.LogRecord) -> bool:
        """Add the fields; no record is dropped."""
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
        level: The least severity that is written.
        router: The incarnation that each line names.
        stream: Where to write; the standard error by default.

    Returns:
        The handler, so that a test can remove it again.
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
    # One line for each call of these would drown what an operator looks for.
    for noisy in ("httpx", "httpcore", "hypercorn.access"):
        logging.getLogger(noisy).setLevel(logging.WARNING)
    return handler
