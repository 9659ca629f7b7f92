"""Find errors in a gateway's log."""

from __future__ import annotations

import json
from pathlib import Path

LEVELS = ("ERROR", "CRITICAL")
TRACEBACK = "Traceback"


def log_errors(path: Path) -> list[str]:
    """Return the lines of a log that report an error or begin a traceback."""
    lines = path.read_text(errors="replace").splitlines() if path.exists() else []
    return [f"{path.name} logged: {line[:400]}" for line in lines if is_error(line)]


def is_error(line: str) -> bool:
    """Return whether a line reports an error or begins a traceback."""
    if TRACEBACK in line:
        return True
    try:
        level = json.loads(line)["level"]
    except (ValueError, KeyError, TypeError):
        # Not a line of the program's JSON log, for example one of the interpreter.
        return any(name in line for name in LEVELS)
    return level in LEVELS
