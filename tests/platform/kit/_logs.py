"""Find errors in a gateway's log."""

from __future__ import annotations

import json
from pathlib import Path

LEVELS = ("ERROR", "CRITICAL")
TRACEBACK = "Traceback"


def log_errors(path: Path) -> list[str]:
    """Return a text for each line of a log that has an error or begins a traceback."""
    lines = path.read_text(errors="replace").splitlines() if path.exists() else []
    return [f"{path.name} logged: {line[:400]}" for line in lines if is_error(line)]


def is_error(line: str) -> bool:
    """Return whether a line reports an error or begins a traceback."""
    if TRACEBACK in line:
        return True
    try:
        level = json.loads(line)["level"]
    except (ValueError, KeyError, TypeError):
        # Not a line of the gateway's JSON log: for example, the interpreter wrote it.
        return any(name in line for name in LEVELS)
    return level in LEVELS
