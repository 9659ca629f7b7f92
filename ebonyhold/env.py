"""Processor time and memory of a process, read from Linux's /proc."""

from __future__ import annotations

import os
from pathlib import Path

from ebonyhold.types import Seconds

CLOCK_TICKS = os.sysconf("SC_CLK_TCK") if hasattr(os, "sysconf") else 100
"""Clock ticks per second, the unit of the times in /proc/PID/stat."""

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE") if hasattr(os, "sysconf") else 4096

UTIME_FIELD = 11
"""Index of the user time among the fields after the command name in /proc/PID/stat.

The system time is the next field.
"""


def processor_seconds(pid: int) -> Seconds:
    """Return the user and system processor time of a process.

    Raises:
        OSError: There is no such process, or this system has no /proc.
    """
    stat = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = stat.rpartition(")")[2].split()
    ticks = int(fields[UTIME_FIELD]) + int(fields[UTIME_FIELD + 1])
    return ticks / CLOCK_TICKS


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process without its shared pages, in bytes.

    Raises:
        OSError: There is no such process, or this system has no /proc.
    """
    fields = Path(f"/proc/{pid}/statm").read_text(encoding="ascii").split()
    return (int(fields[1]) - int(fields[2])) * PAGE_BYTES
