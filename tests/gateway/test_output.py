"""Log output is bounded and never blocks."""

from __future__ import annotations

import json
import logging
import os
import time

from ebonyhold.gateway import BoundedOutput, RateLimit, configure_output


def test_full_pipe_does_not_block() -> None:
    """The log reader has stopped reading, and the pipe is full.

    A blocking write would block the process and all its requests.
    """
    reader, writer = os.pipe()
    output = BoundedOutput(writer)
    started = time.monotonic()
    for _ in range(20_000):
        output.write("x" * 100 + "\n")
        output.flush()
    assert time.monotonic() - started < 5
    assert output.dropped > 0
    assert len(output.buffer) <= 262_144 + 101
    os.close(reader)
    output.write("x\n")
    output.flush()
    os.close(writer)


def test_rate_limit_counts_suppressed_lines() -> None:
    now = [0.0]
    limit = RateLimit(2, lambda: now[0])
    records = [logging.makeLogRecord({"msg": "same"}) for _ in range(6)]
    assert [limit.filter(record) for record in records[:5]] == [True] * 2 + [False] * 3
    assert limit.filter(logging.makeLogRecord({"msg": "other"}))
    now[0] = 1.0
    assert limit.filter(records[5])
    assert records[5].__dict__["left_out"] == 3


def test_lines_are_json_with_router() -> None:
    reader, writer = os.pipe()
    root = logging.getLogger()
    before = (root.handlers[:], root.level)
    try:
        configure_output("INFO", "vm-1", writer)
        logging.getLogger("x").info("grant changed", extra={"drawn": 5})
    finally:
        root.handlers[:], level = before
        root.setLevel(level)
    line = json.loads(os.read(reader, 65_536))
    assert (line["message"], line["router"], line["drawn"]) == (
        "grant changed",
        "vm-1",
        5,
    )
    os.close(reader)
    os.close(writer)
