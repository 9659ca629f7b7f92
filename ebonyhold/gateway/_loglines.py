"""Parses log lines of routers."""

from __future__ import annotations

import json
from typing import Any

from attrs import frozen

OMITTED_FIELDS = frozenset({"time", "level", "name", "message", "router", "request"})
"""Fields that are left out of `LogLine.fields`."""


@frozen
class LogLine:
    """One line of a router's log.

    Attributes:
        time: When it was written, by the VM's clock.
        router: The router that wrote it.
        message: The message without its fields.
        fields: The other fields of the line.
    """

    time: str
    router: str
    message: str
    fields: dict[str, Any]

    @property
    def text(self) -> str:
        """The line as text, for output."""
        details = " ".join(f"{key}={value}" for key, value in self.fields.items())
        return f"{self.time} {self.router} {self.message}: {details}"


def read_line(text: str) -> tuple[LogLine, str] | None:
    """Return a router's log line and the request identifier in it.

    The identifier is empty if the line has none. Text before the JSON object, such as
    a timestamp that another program added, is ignored.

    Returns:
        None if the text contains no log line of a router.
    """
    start = text.find("{")
    if start < 0:
        return None
    try:
        raw = json.loads(text[start:])
        known = LogLine(
            str(raw["time"]),
            str(raw["router"]),
            str(raw["message"]),
            {key: value for key, value in raw.items() if key not in OMITTED_FIELDS},
        )
    except (ValueError, KeyError, TypeError):
        return None
    return known, str(raw.get("request", ""))
