"""Splits and checks the server-sent events of an engine, decoding few of them."""

from __future__ import annotations

import json
import re

from attrs import define

from ebonyhold.backends._messages import Usage
from ebonyhold.exceptions import BackendError
from ebonyhold.types import Tokens

MAX_EVENT_BYTES = 1_048_576
"""The maximum size of an incomplete event; a larger one fails the attempt."""

ID_FIELD = re.compile(rb'"id": ?"[^"]*"')
DONE = b"data: [DONE]"
EVENT_END = b"\n\n"


class BrokenStreamError(BackendError):
    """A stream failed, stalled, or contains an invalid event.

    Another attempt may resume the answer if `StreamCheck.resumable` is true.
    """

    code = "stream_broken"

    def __init__(self, message: str) -> None:
        super().__init__(message, ran=True)


@define
class EventSplitter:
    """Splits a byte stream into events.

    Attributes:
        remainder: The bytes of an event that has not arrived completely.
    """

    remainder: bytes = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events that these bytes complete, without their blank lines.

        CRLF line ends become LF.

        Raises:
            BrokenStreamError: The incomplete event is larger than `MAX_EVENT_BYTES`.
        """
        if self.remainder:
            data = self.remainder + data
        if b"\r" in data:
            data = data.replace(b"\r\n", b"\n")
        events = data.split(EVENT_END)
        self.remainder = events.pop()
        if len(self.remainder) > MAX_EVENT_BYTES:
            raise BrokenStreamError("an event exceeds the maximum size")
        return events


@define
class StreamCheck:
    """Checks one answer over all its attempts: no token is repeated or missing.

    Only events without a token index are decoded as JSON; an answer has about three.
    Of the others only the ``id:`` line is parsed, which contains the index.

    Attributes:
        usage_wanted: Whether the caller requested the usage event.
        expected: The index of the next token, which is the number of tokens passed on.
        finished: Whether the event with the finish reason was received.
        done: Whether ``[DONE]`` was received, so the answer is complete.
        usage: The usage that the current attempt reported; None before it does.
        indexed: Whether the engine numbers its tokens; otherwise no attempt can resume
            the answer.
        has_output: Whether any event except usage was passed on to the caller.
        first_answer_id: The ``"id"`` member of the answer's JSON in the first attempt.
        answer_id: The ``"id"`` member of the answer's JSON in this attempt.
        skipped: Number of repeated tokens that were dropped.
    """

    usage_wanted: bool = False
    expected: Tokens = 0
    finished: bool = False
    done: bool = False
    usage: Usage | None = None
    indexed: bool = True
    has_output: bool = False
    first_answer_id: bytes = b""
    answer_id: bytes = b""
    skipped: int = 0

    def begin(self) -> None:
        """Reset the attributes that apply to a single attempt, before each attempt."""
        self.answer_id = b""
        self.usage = None

    def accept(self, event: bytes) -> bytes:
        """Return the bytes of an event to pass on to the caller, possibly empty.

        Comments and empty events are not passed on.

        Raises:
            BrokenStreamError: A token is missing, the event is invalid, or it follows
                the end of the answer.
        """
        if self.done:
            raise BrokenStreamError("an event follows the end of the stream")
        if event.startswith(b"id: "):
            return self.accept_token(self.check_identity(event))
        if event == DONE:
            return self.accept_done(event)
        if event.startswith(b":") or not event.strip():
            return b""
        return self.accept_other(self.check_identity(event))

    def check_identity(self, event: bytes) -> bytes:
        """Check that an event belongs to this answer, and return it.

        All events of one attempt have the same ``"id"`` member, so a byte search
        detects an event of another answer without decoding.  A resumed attempt has
        another ``"id"``, which is replaced by that of the first attempt.  An event
        without ``"id"`` is accepted as it is.

        Raises:
            BrokenStreamError: The event has the ``"id"`` of another answer.
        """
        if not self.answer_id:
            self.answer_id = identifier(event)
            self.first_answer_id = self.first_answer_id or self.answer_id
        if self.answer_id not in event and identifier(event):
            raise BrokenStreamError("an event belongs to another answer")
        if self.answer_id and self.answer_id != self.first_answer_id:
            return event.replace(self.answer_id, self.first_answer_id, 1)
        return event

    def accept_token(self, event: bytes) -> bytes:
        """Check the index of a token, and return its event if it is the next one.

        A token with a smaller index than expected was delivered before; it is
        dropped, so that the caller does not get it twice.  A larger index means that
        a token was lost: this attempt fails and the answer is resumed, because the
        caller could not notice the gap.

        Raises:
            BrokenStreamError: The index is larger than expected or not a number, or
                the finish reason came before the token.
        """
        digits, _, _ = event[4:].partition(b"\n")
        if not digits.isdigit():
            raise BrokenStreamError("the index of a token is not a number")
        index = int(digits)
        if index < self.expected:
            self.skipped += 1
            return b""
        if index > self.expected or self.finished:
            raise BrokenStreamError(f"token {index} received, {self.expected} expected")
        self.expected = index + 1
        self.has_output = True
        return event + EVENT_END

    def accept_done(self, event: bytes) -> bytes:
        """Mark the answer as complete and return the ``[DONE]`` event.

        Raises:
            BrokenStreamError: No event with a finish reason came before it.
        """
        if not self.finished:
            raise BrokenStreamError("the stream ended without a finish reason")
        self.done = True
        return event + EVENT_END

    def accept_other(self, event: bytes) -> bytes:
        """Handle an event without a token index; return the bytes to pass on, if any.

        The event is the opening event, the one with the finish reason, the usage, or
        text from an engine that does not number its tokens.  Dropped are repeated
        opening events, repeated finish reasons, and usage that the caller did not
        request.

        Raises:
            BrokenStreamError: The event is not a JSON object, or its usage is invalid.
        """
        payload = event.removeprefix(b"data:").strip()
        try:
            value = json.loads(payload)
            choices = value.get("choices") or []
            usage = value.get("usage")
        except (ValueError, AttributeError) as error:
            raise BrokenStreamError("an event is not a JSON object") from error
        if usage is not None and not choices:
            self.usage = read_usage(usage)
            return event + EVENT_END if self.usage_wanted else b""
        if any(choice.get("finish_reason") for choice in choices):
            if self.finished:
                return b""
            self.finished = True
        elif self.has_output:
            if self.expected > 0:
                # The opening event of a resumed attempt; the caller has one already.
                return b""
            self.indexed = False
        self.has_output = True
        return event + EVENT_END

    @property
    def resumable(self) -> bool:
        """Whether another attempt can continue the answer from its next token."""
        return self.indexed and not self.done


def identifier(event: bytes) -> bytes:
    """Return the ``"id"`` member of an event's JSON as written, or empty bytes.

    >>> identifier(b'data: {"id":"chatcmpl-7","choices":[]}')
    b'"id":"chatcmpl-7"'
    """
    found = ID_FIELD.search(event)
    return found.group(0) if found else b""


def read_usage(value: object) -> Usage:
    """Parse a usage object; a missing number counts as 0.

    Raises:
        BrokenStreamError: The value is not an object, or a number in it is invalid.
    """
    if not isinstance(value, dict):
        raise BrokenStreamError("the usage is not an object")
    details = value.get("prompt_tokens_details") or {}
    numbers = (
        value.get("prompt_tokens", 0),
        value.get("completion_tokens", 0),
        details.get("cached_tokens", 0) if isinstance(details, dict) else 0,
    )
    if any(type(number) is not int or number < 0 for number in numbers):
        raise BrokenStreamError("a number in the usage is not a nonnegative integer")
    return Usage(*numbers)
