"""Server-sent events of an engine: split, checked, hardly decoded."""

from __future__ import annotations

import json
import re

from attrs import define

from ebonyhold.backends._messages import Usage
from ebonyhold.exceptions import BackendError
from ebonyhold.types import Tokens

MOST_EVENT = 1_048_576
"""The largest event, in bytes; a larger one is a fault, not an answer."""

IDENTIFIER = re.compile(rb'"id": ?"[^"]*"')
DONE = b"data: [DONE]"
END = b"\n\n"


class BrokenStreamError(BackendError):
    """A stream that cannot be trusted any further; it may be resumed elsewhere."""

    code = "stream_broken"

    def __init__(self, message: str) -> None:
        super().__init__(message, ran=True)


@define
class EventSplitter:
    """Cuts bytes into whole events, in whatever pieces they arrive."""

    rest: bytes = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events that have become whole, without their blank line.

        Raises:
            BrokenStreamError: An event grows beyond any reasonable size.
        """
        if self.rest:
            data = self.rest + data
        if b"\r" in data:
            data = data.replace(b"\r\n", b"\n")
        events = data.split(END)
        self.rest = events.pop()
        if len(self.rest) > MOST_EVENT:
            raise BrokenStreamError("an event is larger than any answer needs")
        return events


@define
class StreamCheck:
    """Follows one answer over all its attempts: no token twice, none left out.

    Only events without an index are decoded, three or so in an answer; of the
    others the ``id:`` line is read and nothing else.

    Attributes:
        usage_wanted: Whether the caller asked for the usage event.
        expected: The index of the next token.
        finished: Whether the event with the finish reason has gone by.
        done: Whether the answer is whole.
        usage: What the last attempt said it took.
        indexed: Whether the engine numbers its tokens, so that it can resume.
        opened: Whether anything was passed on.
        first_mark: The answer's identifier, as the first attempt wrote it.
        mark: The answer's identifier, as this attempt writes it.
        skipped: Tokens that came again and were dropped.
    """

    usage_wanted: bool = False
    expected: Tokens = 0
    finished: bool = False
    done: bool = False
    usage: Usage | None = None
    indexed: bool = True
    opened: bool = False
    first_mark: bytes = b""
    mark: bytes = b""
    skipped: int = 0

    def begin(self) -> None:
        """Start another attempt of the same answer."""
        self.mark = b""
        self.usage = None

    def take(self, event: bytes) -> bytes:
        """Return what of an event goes to the caller; empty for nothing.

        Raises:
            BrokenStreamError: A token is missing, or the event makes no sense.
        """
        if self.done:
            raise BrokenStreamError("there is more after the end of the stream")
        if event.startswith(b"id: "):
            return self.take_token(self.checked(event))
        if event == DONE:
            return self.take_done(event)
        if event.startswith(b":") or not event.strip():
            return b""
        return self.take_decoded(self.checked(event))

    def checked(self, event: bytes) -> bytes:
        """Check that an event belongs to this answer.

        Crossed answers show as events whose identifier differs from that of the
        events before them, within one connection.  All events of one attempt
        carry the same, so a search for it finds a stranger without decoding.  A
        resumed attempt has another; the caller goes on reading the first.
        """
        if not self.mark:
            self.mark = identifier(event)
            self.first_mark = self.first_mark or self.mark
        if self.mark not in event and identifier(event):
            raise BrokenStreamError("an event belongs to another answer")
        if self.mark and self.mark != self.first_mark:
            return event.replace(self.mark, self.first_mark, 1)
        return event

    def take_token(self, event: bytes) -> bytes:
        """Check the index of a token.

        A smaller index than expected is a token that was delivered before, by
        an engine that repeats itself; passing it on would double a word.  A
        larger one means that a token was lost on the way; the answer would read
        well and be wrong, so the stream ends here and is resumed.
        """
        digits, _, _ = event[4:].partition(b"\n")
        if not digits.isdigit():
            raise BrokenStreamError("a token's index is no number")
        index = int(digits)
        if index < self.expected:
            self.skipped += 1
            return b""
        if index > self.expected or self.finished:
            raise BrokenStreamError(f"token {index} came, {self.expected} was due")
        self.expected = index + 1
        self.opened = True
        return event + END

    def take_done(self, event: bytes) -> bytes:
        """Accept the end, if what must come before it came."""
        if not self.finished:
            raise BrokenStreamError("the stream ended without a finish reason")
        self.done = True
        return event + END

    def take_decoded(self, event: bytes) -> bytes:
        """Handle an event without an index."""
        payload = event.removeprefix(b"data:").strip()
        try:
            value = json.loads(payload)
            choices = value.get("choices") or []
            usage = value.get("usage")
        except (ValueError, AttributeError) as error:
            raise BrokenStreamError("an event is not the JSON it should be") from error
        if usage is not None and not choices:
            self.usage = read_usage(usage)
            return event + END if self.usage_wanted else b""
        if any(choice.get("finish_reason") for choice in choices):
            if self.finished:
                return b""
            self.finished = True
        elif self.opened:
            if self.expected > 0:
                # The opening event of a resumed attempt: the caller has one.
                return b""
            self.indexed = False
        self.opened = True
        return event + END

    @property
    def resumable(self) -> bool:
        """Whether another attempt could go on exactly where this one stopped."""
        return self.indexed and not self.done


def identifier(event: bytes) -> bytes:
    """Return the identifier of an event's answer as it is written, or nothing.

    >>> identifier(b'data: {"id":"chatcmpl-7","choices":[]}')
    b'"id":"chatcmpl-7"'
    """
    found = IDENTIFIER.search(event)
    return found.group(0) if found else b""


def read_usage(value: object) -> Usage:
    """Read a usage object, whatever an engine makes of it.

    Raises:
        BrokenStreamError: It has no such numbers.
    """
    if not isinstance(value, dict):
        raise BrokenStreamError("the usage is no object")
    details = value.get("prompt_tokens_details") or {}
    numbers = (
        value.get("prompt_tokens", 0),
        value.get("completion_tokens", 0),
        details.get("cached_tokens", 0) if isinstance(details, dict) else 0,
    )
    if any(type(number) is not int or number < 0 for number in numbers):
        raise BrokenStreamError("the usage is no set of numbers")
    return Usage(*numbers)
