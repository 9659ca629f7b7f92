"""Splits a stream into whole events, so that it can resume at the right event."""

from __future__ import annotations

import re

from attrs import define, field, frozen

EVENT_END = re.compile(rb"\r?\n\r?\n")
EVENT_ID = re.compile(rb"(?:^|\n)id: ?(\d{1,18})(?!\d)")
"""Matches the identifier of an event if it is a number of at most 18 digits.

Longer numbers do not fit into 64 bits and are ignored. Python also refuses to convert
numbers of several thousand digits.
"""


@frozen
class StreamEvent:
    """One event of a stream with its bytes.

    Attributes:
        raw: The bytes, with the empty line at the end.
        number: The event's identifier; None if EVENT_ID matches none.
    """

    raw: bytes
    number: int | None


@define
class EventSplitter:
    """Splits bytes into events, and keeps an incomplete event until its end arrives.

    >>> splitter = EventSplitter()
    >>> [event.number for event in splitter.feed(b"id: 1" + bytes([10, 10]) + b"id")]
    [1]
    >>> splitter.rest
    b'id'
    """

    rest: bytes = field(default=b"")

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes to `rest`; remove and return the events that are now complete."""
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
