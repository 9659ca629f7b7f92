"""What a gateway's log must never hold."""

from __future__ import annotations

import json
from pathlib import Path

LEVELS = ("ERROR", "CRITICAL")
TRACEBACK = "Traceback"


def log_errors(path: Path) -> list[str]:
    """Return the lines of a log that tell of an error, or are a traceback's first."""
    lines = path.read_text(errors="replace").splitlines() if path.exists() else []
    return [f"{path.name} logged: {line[:400]}" for line in lines if is_error(line)]


def is_error(line: str) -> bool:
    """Tell whether a line tells of an error."""
    if TRACEBACK in line:
        return True
    try:
        level = json.loads(line)["level"]
    except (ValueError, KeyError, TypeError):
        # A line that the program did not write as a log line, as a warning of the
        # interpreter.
        return any(name in line for name in LEVELS)
    return level in LEVELS
