"""Splitting a stream into whole events, so that it can go on at the exact one."""

from __future__ import annotations

import re

from attrs import define, field, frozen

EVENT_END = re.compile(rb"\r?\n\r?\n")
EVENT_ID = re.compile(rb"(?:^|\n)id: ?(\d{1,18})(?!\d)")
"""An event's number.

One beyond 64 bits is none: nobody could ask to go on after it, and Python refuses to
convert some thousands of digits.
"""


@frozen
class StreamEvent:
    """One event with the bytes it came in.

    Attributes:
        raw: Its bytes, with the empty line at its end.
        number: Its identifier; None if it has none.
    """

    raw: bytes
    number: int | None


@define
class EventSplitter:
    """Cuts bytes into events; what is not yet a whole event waits.

    >>> splitter = EventSplitter()
    >>> [event.number for event in splitter.feed(b"id: 1" + bytes([10, 10]) + b"id")]
    [1]
    >>> splitter.rest
    b'id'
    """

    rest: bytes = field(default=b"")

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that these bytes complete."""
        self.rest += data
        events: list[StreamEvent] = []
        while True:
            found = EVENT_END.search(self.rest)
            if found is None:
                return events
            raw = self.rest[: found.end()]
            self.rest = self.rest[found.end() :]
            number = EVENT_ID.search(raw)
            events.append(StreamEvent(raw, int(number[1]) if number else None))
