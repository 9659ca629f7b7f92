"""Puts the log lines of one request into a story, with what the router believed."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any

from attrs import frozen

BELIEFS = frozenset(
    {
        "configuration in force",
        "configuration rejected",
        "store lost",
        "store regained",
        "history lost",
        "grant changed",
        "grant reclaimed",
        "grant not reclaimed",
        "predecessor found",
        "limits not renewed",
        "limits renewed again",
        "draw failed",
        "too many callers",
        "callers welcome again",
        "budget round failed",
        "server changed",
        "server gone",
        "server lapsed",
        "starting",
        "stopping",
    }
)
"""Lines about what a router believes, which may explain what it decided."""

HIDDEN = frozenset({"time", "level", "name", "message", "router", "request"})
"""Fields that a line of the story does not repeat."""

LATEST = 12
"""Lines about beliefs that are shown before a request's first line."""


@frozen
class LogLine:
    """One line of a router's log.

    Attributes:
        time: When it was written, by the VM's clock.
        router: Who wrote it.
        message: What kind of line it is.
        fields: What it says besides.
    """

    time: str
    router: str
    message: str
    fields: dict[str, Any]

    @property
    def text(self) -> str:
        """Return it for a reader."""
        said = " ".join(f"{key}={value}" for key, value in self.fields.items())
        return f"{self.time} {self.router} {self.message}: {said}"


def read_line(text: str) -> tuple[LogLine, str] | None:
    """Read a line and the request that it belongs to; None if it is no log line.

    What another program put before the JSON, such as its own time, is passed over.
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
            {key: value for key, value in raw.items() if key not in HIDDEN},
        )
    except (ValueError, KeyError, TypeError):
        return None
    return known, str(raw.get("request", ""))


def relevant(line: LogLine, workspaces: set[str]) -> bool:
    """Tell whether a belief may have to do with a request of these workspaces."""
    if line.message not in BELIEFS:
        return False
    workspace = line.fields.get("workspace")
    return workspace is None or workspace in workspaces


def explain(request: str, lines: Iterable[str]) -> list[str]:
    """Return the story of a request, in order.

    Args:
        request: The request's identifier.
        lines: The logs of all routers, as written.

    Returns:
        The last lines about beliefs of each router that met the request, then
        the lines of the request itself.
    """
    read = [found for found in map(read_line, lines) if found is not None]
    own = [line for line, name in read if name == request]
    if not own:
        return []
    routers = {line.router for line in own}
    workspaces = {str(line.fields.get("workspace", "")) for line in own}
    until = max(line.time for line in own)
    beliefs = [
        line
        for line, _ in read
        if line.router in routers and line.time <= until and relevant(line, workspaces)
    ]
    story = sorted([*beliefs[-LATEST:], *own], key=lambda line: line.time)
    return [line.text for line in story]
