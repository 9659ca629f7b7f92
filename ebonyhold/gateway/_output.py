"""Writes log lines as JSON to a descriptor, limited in rate and without blocking."""

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

MAX_BUFFERED_BYTES = 262_144
"""Lines are dropped while more bytes than this are buffered."""

MAX_LINES_PER_SECOND = 100
"""Maximum number of lines of one kind per second; further ones are dropped.

A router usually handles about 15 requests per second.
"""

STANDARD_OUTPUT = 1


@define(eq=False)
class BoundedOutput:
    """A stream that writes to a non-blocking descriptor and never waits for it.

    With blocking writes, a log reader that stops reading would block the process, and
    with it all requests, as soon as the pipe is full.

    Attributes:
        descriptor: Where to write; it is made non-blocking.
        buffer: Bytes that have not been written yet.
        dropped: Number of dropped lines, plus one for each failed write, which discards
            the buffer.
    """

    descriptor: int
    buffer: bytearray = field(factory=bytearray)
    dropped: int = 0

    def __attrs_post_init__(self) -> None:
        os.set_blocking(self.descriptor, False)

    def write(self, text: str) -> None:
        """Buffer a line; drop it if the buffer is full and cannot be written."""
        if len(self.buffer) > MAX_BUFFERED_BYTES:
            self.push()
        if len(self.buffer) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self.buffer += text.encode("utf-8", "replace")

    def flush(self) -> None:
        """Write as much of the buffer as possible without waiting."""
        self.push()

    def push(self) -> None:
        """Write until the buffer is empty or the descriptor would block.

        The buffer is discarded if writing fails for another reason.
        """
        try:
            while self.buffer:
                written = os.write(self.descriptor, self.buffer)
                del self.buffer[:written]
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed its end, for example.
            self.dropped += 1
            self.buffer.clear()


@define(eq=False)
class RateLimit(logging.Filter):
    """Limits the lines of each kind per second, and counts the suppressed ones.

    The kind of a line is its message without fields. After some lines of a kind were
    suppressed, the next one that passes has their number in the field `left_out`.

    Attributes:
        max_lines: Maximum number of lines of one kind per second.
        clock: Returns the time in seconds.
        second: The clock's current second, as a whole number.
        passed: Number of lines that passed during `second`, by kind.
        suppressed: Number of lines suppressed since the last that passed, by kind.
    """

    max_lines: int = MAX_LINES_PER_SECOND
    clock: Callable[[], float] = time.monotonic
    second: int = 0
    passed: dict[str, int] = field(factory=dict)
    suppressed: dict[str, int] = field(factory=dict)

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a line passes; set its `left_out` if lines were suppressed."""
        now = int(self.clock())
        if now != self.second:
            self.second = now
            self.passed.clear()
        kind = record.msg if isinstance(record.msg, str) else ""
        count = self.passed.get(kind, 0)
        if count >= self.max_lines:
            self.suppressed[kind] = self.suppressed.get(kind, 0) + 1
            return False
        self.passed[kind] = count + 1
        omitted = self.suppressed.pop(kind, 0)
        if omitted:
            record.left_out = omitted
        return True


def log_uncaught(
    kind: type[BaseException], error: BaseException, trace: TracebackType | None
) -> None:
    """Log an uncaught exception as one JSON line.

    A plain traceback would be about thirty lines that log readers cannot parse.
    """
    log.critical("process failed", exc_info=(kind, error, trace))


def configure_output(level: str, router: str, descriptor: int) -> logging.Handler:
    """Send all logs and uncaught exceptions to a descriptor as JSON lines.

    Args:
        level: The minimum severity that is written.
        router: The router's name, which each line contains.
        descriptor: Where to write; it is made non-blocking.

    Returns:
        The installed handler, which replaces all others of the root logger.
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
