"""Facts about the platform that a process runs on."""

from __future__ import annotations

import os
from pathlib import Path

from ebonyhold.types import Seconds

CLOCK_TICKS = os.sysconf("SC_CLK_TCK") if hasattr(os, "sysconf") else 100
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE") if hasattr(os, "sysconf") else 4096

UTIME_FIELD = 11
"""Index of the user time in /proc/PID/stat, counted behind the command's name."""


def processor_seconds(pid: int) -> Seconds:
    """Return the processor time that a process has used, user and system.

    Raises:
        OSError: There is no such process, or no /proc here.
    """
    stat = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = stat.rpartition(")")[2].split()
    ticks = int(fields[UTIME_FIELD]) + int(fields[UTIME_FIELD + 1])
    return ticks / CLOCK_TICKS


def resident_bytes(pid: int) -> int:
    """Return the memory that a process holds and shares with no other.

    Raises:
        OSError: There is no such process, or no /proc here.
    """
    fields = Path(f"/proc/{pid}/statm").read_text(encoding="ascii").split()
    return (int(fields[1]) - int(fields[2])) * PAGE_BYTES
