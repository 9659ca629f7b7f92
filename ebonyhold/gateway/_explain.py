"""Collects the log lines that explain how one request was handled."""

from __future__ import annotations

from collections.abc import Iterable

from ebonyhold.gateway._loglines import LogLine, read_line

CONTEXT_MESSAGES = frozenset(
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
        "reach of servers changed",
        "budget round failed",
        "server changed",
        "server gone",
        "server lapsed",
        "starting",
        "stopping",
    }
)
"""Messages about a router's state, such as its configuration, grants or servers."""

MAX_CONTEXT_LINES = 12
"""Maximum number of lines about a router's state, besides the request's own lines."""


def is_context(line: LogLine, workspaces: set[str]) -> bool:
    """Return whether a line is about a router's state.

    A line that names a workspace counts only if this is one of `workspaces`.
    """
    if line.message not in CONTEXT_MESSAGES:
        return False
    workspace = line.fields.get("workspace")
    return workspace is None or workspace in workspaces


def explain(request: str, lines: Iterable[str]) -> list[str]:
    """Return the log lines that explain one request, in order of time.

    Args:
        request: The request's identifier.
        lines: The logs of all routers, as written.

    Returns:
        The request's own lines, with the last `MAX_CONTEXT_LINES` lines, in the order
        of `lines`, about the state of the routers that handled the request. Lines that
        are later than the request's last one are left out. Empty if no line names the
        request.
    """
    read = [found for found in map(read_line, lines) if found is not None]
    request_lines = [line for line, name in read if name == request]
    if not request_lines:
        return []
    routers = {line.router for line in request_lines}
    workspaces = {str(line.fields.get("workspace", "")) for line in request_lines}
    last_time = max(line.time for line in request_lines)
    context = [
        line
        for line, _ in read
        if line.router in routers
        and line.time <= last_time
        and is_context(line, workspaces)
    ]
    selected = sorted(
        [*context[-MAX_CONTEXT_LINES:], *request_lines], key=lambda line: line.time
    )
    return [line.text for line in selected]
