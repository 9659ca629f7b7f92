"""Splits a stream into whole events, so that it can resume at the right event."""

from __future__ import annotations

import re

from attrs import define, field, frozen

EVENT_END = re.compile(rb"\r?\n\r?\n")

MAX_END = 4
"""Number of bytes of the longest EVENT_END."""

EVENT_ID = re.compile(rb"(?:^(?:\xef\xbb\xbf)?|\n)id: ?(\d{1,18})(?!\d)")
"""Matches the identifier of an event if it is a number of at most 18 digits.

Longer numbers do not fit into 64 bits and are ignored. Python also refuses to convert
numbers of several thousand digits. A byte order mark may precede the first event.
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

    Attributes:
        buffer: The bytes of the incomplete event.

    >>> splitter = EventSplitter()
    >>> [event.number for event in splitter.feed(b"id: 1" + bytes([10, 10]) + b"id")]
    [1]
    >>> splitter.rest
    b'id'
    """

    buffer: bytearray = field(factory=bytearray)

    @property
    def rest(self) -> bytes:
        """The bytes after the last complete event."""
        return bytes(self.buffer)

    @property
    def is_inside_event(self) -> bool:
        """Whether bytes of an incomplete event are there, other than line ends."""
        return bool(self.buffer.strip(b"\r\n"))

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes to `rest`; remove and return the events that are now complete."""
        # The bytes before are known to contain no end of an event.
        searched = max(0, len(self.buffer) - MAX_END + 1)
        self.buffer += data
        events: list[StreamEvent] = []
        begin = 0
        while found := EVENT_END.search(self.buffer, searched):
            raw = bytes(self.buffer[begin : found.end()])
            begin = searched = found.end()
            number = EVENT_ID.search(raw)
            events.append(StreamEvent(raw, int(number[1]) if number else None))
        del self.buffer[:begin]
        return events
