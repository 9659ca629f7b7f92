"""Log lines to standard output: as JSON, bounded in number, never blocking."""

from __future__ import annotations

import logging
import os
import sys
import time
from collections.abc import Callable
from types import TracebackType

from attrs import define, field
from pythonjsonlogger.json import JsonFormatter

log = logging.getLogger(__name__)

MOST_WAITING = 262_144
"""Bytes that wait for a reader that has fallen behind; beyond them lines drop."""

LINES_A_SECOND = 100
"""Lines of one kind that are written a second; the others are counted.

A router has some 15 requests a second on an ordinary day.
"""

STANDARD_OUTPUT = 1


@define(eq=False)
class BoundedOutput:
    """Writes to a descriptor that may be full, without ever waiting for it.

    A reader of logs that stops reading would else stop the process at its next
    line, and with it all requests.

    Attributes:
        descriptor: Where to write; it is made non-blocking.
        waiting: Bytes that were not taken yet.
        dropped: Lines that were not written.
    """

    descriptor: int
    waiting: bytearray = field(factory=bytearray)
    dropped: int = 0

    def __attrs_post_init__(self) -> None:
        os.set_blocking(self.descriptor, False)

    def write(self, text: str) -> None:
        """Write a line, or drop it when too much is waiting."""
        if len(self.waiting) > MOST_WAITING:
            self.push()
        if len(self.waiting) > MOST_WAITING:
            self.dropped += 1
            return
        self.waiting += text.encode("utf-8", "replace")

    def flush(self) -> None:
        """Hand over what can be handed over now."""
        self.push()

    def push(self) -> None:
        """Write what the descriptor takes."""
        try:
            while self.waiting:
                written = os.write(self.descriptor, self.waiting)
                del self.waiting[:written]
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone for good; there is nobody left to tell.
            self.dropped += 1
            self.waiting.clear()


@define(eq=False)
class RateLimit(logging.Filter):
    """Lets so many lines of each kind pass a second, and counts the others.

    A kind is the message without its fields.  The first line that passes after
    some were left out says how many.

    Attributes:
        most: Lines of one kind a second.
        clock: Tells the time.
        second: The second that `passed` counts.
        passed: Lines that passed in it, by kind.
        left_out: Lines that did not pass since the last that did, by kind.
    """

    most: int = LINES_A_SECOND
    clock: Callable[[], float] = time.monotonic
    second: int = 0
    passed: dict[str, int] = field(factory=dict)
    left_out: dict[str, int] = field(factory=dict)

    def filter(self, record: logging.LogRecord) -> bool:
        """Tell whether a line passes."""
        now = int(self.clock())
        if now != self.second:
            self.second = now
            self.passed.clear()
        kind = record.msg if isinstance(record.msg, str) else ""
        count = self.passed.get(kind, 0)
        if count >= self.most:
            self.left_out[kind] = self.left_out.get(kind, 0) + 1
            return False
        self.passed[kind] = count + 1
        missing = self.left_out.pop(kind, 0)
        if missing:
            record.left_out = missing
        return True


def log_uncaught(
    kind: type[BaseException], error: BaseException, trace: TracebackType | None
) -> None:
    """Log an error that ends the process, as a line like all others.

    A bare traceback would be some thirty lines that no reader of the log can parse.
    """
    log.critical("process failed", exc_info=(kind, error, trace))


def configure_output(level: str, router: str, descriptor: int) -> logging.Handler:
    """Send all logs to a descriptor as JSON lines.

    Args:
        level: The least severity that is written.
        router: The incarnation that each line names.
        descriptor: Where to write.
    """
    handler = logging.StreamHandler(BoundedOutput(descriptor))
    handler.addFilter(RateLimit())
    handler.setFormatter(
        JsonFormatter(
            "%(levelname)s %(name)s %(message)s",
            timestamp="time",
            rename_fields={"levelname": "level"},
            static_fields={"router": router},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    sys.excepthook = log_uncaught
    for noisy in ("httpx", "httpcore"):
        logging.getLogger(noisy).setLevel(logging.WARNING)
    return handler
