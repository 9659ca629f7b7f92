"""Convert the platform's header fields to and from our types."""

from __future__ import annotations

import re
from collections.abc import Iterable

from attrs import frozen

from ebonyhold.exceptions import MalformedRequestError
from ebonyhold.forwarding import (
    AnswerFacts,
    CallerRequest,
    Dispatch,
    Headers,
    PromptPart,
)
from ebonyhold.types import Seconds

REQUEST_ID = b"x-ebonyhold-request-id"
# Milliseconds that the sender waits, counted from when it sends the request; despite
# the name not a point in time.
TIME_LIMIT = b"x-ebonyhold-deadline-milliseconds"
KEY = b"x-ebonyhold-key"
WORKSPACE = b"x-ebonyhold-tenant"
# Two numbers of tokens: the prompt's length and the answer's maximum length.
TOKENS = b"x-ebonyhold-token-counts"
# All parts of the prompt in order, not only the prefix shared with other prompts.
PROMPT_PARTS = b"x-ebonyhold-prompt-prefix"
EXPECTED_BACKEND = b"x-ebonyhold-expect-instance"
PRIORITY = b"x-ebonyhold-request-priority"
RESPONSE_STAMP = b"x-ebonyhold-response-stamp"
NOT_RUN = b"x-ebonyhold-not-executed"
RESUME_AFTER = b"last-event-id"
# The identifier of the attempt that brought the first event of a resumed stream.
RESUMES = b"resumes"
# Requests per second from all routers together, as a decimal number.
REQUEST_LIMIT = b"server-limit"
# "1" in all answers of a server that leaves.
LEAVING = b"server-leaving"
# Seconds for which a server that turns a request away wants no more requests from the
# router that it answers.
REST = b"retry-after"
# How many requests the server may turn away in a second before it falls over, in all
# answers of one that is brittle.
BRITTLE = b"server-brittle"
DECIMAL = re.compile(rb"\d{1,9}(\.\d{1,9})?")

MISDIRECTED = 421
"""Status with which a server refuses a request that names another server in
`EXPECTED_BACKEND`.
"""

TURNED_AWAY = frozenset({429, 503})
"""Statuses whose answers may state a `REST`."""

LOWEST_PRIORITY = 9
"""The lowest priority that engines accept; 0 is the highest."""

MAX_DIGITS = 18
"""Maximum number of digits: any such number fits into 64 bits and converts to a float
without overflow, though perhaps rounded.
"""

NOT_FORWARDED = frozenset(
    {
        KEY,
        WORKSPACE,
        TIME_LIMIT,
        EXPECTED_BACKEND,
        PRIORITY,
        b"x-ebonyhold-expect-version",
        b"x-ebonyhold-pin-milliseconds",
        b"x-ebonyhold-hold",
        b"x-ebonyhold-key-value-backup",
        b"kv-from",
        b"kv-fetch",
    }
)
"""Fields of a caller's request that are not forwarded; the gateway sets some of them to
values of its own.
"""


def first_value(headers: Headers, name: bytes) -> bytes:
    """Return the first value of a field, or empty bytes if the field is absent."""
    for field, value in headers:
        if field == name:
            return value
    return b""


def all_values(headers: Headers, name: bytes) -> list[bytes]:
    """Return the values of a field in order, without the white space around them."""
    return [value.strip() for field, value in headers if field == name]


def read_number(name: bytes, value: bytes) -> int:
    """Decode a non-negative number of at most `MAX_DIGITS` digits.

    Raises:
        MalformedRequestError: The value is not such a number.
    """
    digits = value.strip()
    # Digits are counted first, since int() raises ValueError for too many of them.
    if not digits.isdigit() or len(digits) > MAX_DIGITS:
        raise MalformedRequestError(f"{name.decode()}: {value[:40]!r} is not a number")
    return int(digits)


def read_limit(value: bytes) -> float | None:
    """Decode a limit on requests per second.

    An absent or malformed value states no limit: servers write it, and a request must
    not fail for it.

    >>> read_limit(b"2.3"), read_limit(b"0"), read_limit(b"-1"), read_limit(b"")
    (2.3, 0.0, None, None)
    """
    text = value.strip()
    return float(text) if DECIMAL.fullmatch(text) else None


def read_rest(values: Iterable[bytes]) -> Seconds:
    """Decode for how long a server asks for rest: the longest time of all fields.

    Malformed values state none, since a request must not fail for them. A date states
    none either: the platform's servers write seconds.

    >>> read_rest([b"3"]), read_rest([b"0.5", b"abc", b"1.5"]), read_rest([b"-1"])
    (3.0, 1.5, 0.0)
    """
    return max(
        (float(value) for value in values if DECIMAL.fullmatch(value)), default=0.0
    )


def read_tokens(value: bytes) -> tuple[int, int]:
    """Decode the prompt's length and the answer's maximum length, in tokens.

    Raises:
        MalformedRequestError: The value is not two numbers.

    >>> read_tokens(b"1460,80")
    (1460, 80)
    """
    prompt, _, max_output = value.partition(b",")
    return read_number(TOKENS, prompt), read_number(TOKENS, max_output)


def read_parts(value: bytes) -> tuple[PromptPart, ...]:
    """Decode the parts of a prompt: pairs of a name and a length in tokens.

    Raises:
        MalformedRequestError: A length is missing or not a number.

    >>> read_parts(b"5c1e07a2:800,91bd3f06:410")
    (('5c1e07a2', 800), ('91bd3f06', 410))
    """
    parts: list[PromptPart] = []
    for item in value.split(b","):
        name, _, length = item.strip().partition(b":")
        parts.append((name.decode("latin-1"), read_number(PROMPT_PARTS, length)))
    return tuple(parts)


@frozen
class PlatformDialect:
    """Decodes and encodes the platform's header fields."""

    def read_request(self, headers: Headers) -> CallerRequest:
        """Decode the headers of a caller's request.

        Absent numbers of tokens are 0.  An absent time limit is None, and so is an
        absent number of the event after which to resume.

        Raises:
            MalformedRequestError: A field is malformed.
        """
        time_limit = first_value(headers, TIME_LIMIT)
        tokens = first_value(headers, TOKENS)
        parts = first_value(headers, PROMPT_PARTS)
        resume = first_value(headers, RESUME_AFTER)
        prompt, max_output = read_tokens(tokens) if tokens else (0, 0)
        return CallerRequest(
            request_id=first_value(headers, REQUEST_ID).decode("latin-1"),
            key=first_value(headers, KEY).decode("latin-1").strip(),
            time_limit=read_number(TIME_LIMIT, time_limit) / 1000
            if time_limit
            else None,
            prompt_tokens=prompt,
            max_output=max_output,
            prompt_parts=read_parts(parts) if parts else (),
            resume_after=read_number(RESUME_AFTER, resume) if resume else None,
            resumes=first_value(headers, RESUMES).decode("latin-1").strip(),
        )

    def dispatch_headers(self, headers: Headers, dispatch: Dispatch) -> Headers:
        """Return the headers to send to a backend server.

        These are the caller's fields except `NOT_FORWARDED`, and then the gateway's
        own.  For a resumed stream, `RESUME_AFTER` is replaced too.
        """
        resumes = dispatch.resume_after is not None
        kept = [
            (name, value)
            for name, value in headers
            if name not in NOT_FORWARDED and not (resumes and name == RESUME_AFTER)
        ]
        left = max(1, int(dispatch.time_left * 1000))
        kept.append((TIME_LIMIT, b"%d" % left))
        kept.append((EXPECTED_BACKEND, dispatch.backend.encode("latin-1")))
        kept.append((PRIORITY, b"%d" % min(LOWEST_PRIORITY, max(0, dispatch.priority))))
        if dispatch.workspace:
            kept.append((WORKSPACE, dispatch.workspace.encode("latin-1")))
        if dispatch.resume_after is not None:
            kept.append((RESUME_AFTER, b"%d" % dispatch.resume_after))
        return kept

    def read_answer(self, status: int, headers: Headers) -> AnswerFacts:
        """Decode the headers of a backend server's answer.

        The status `MISDIRECTED` also means that the request did not run.
        """
        return AnswerFacts(
            request_id=first_value(headers, REQUEST_ID).decode("latin-1"),
            proof=first_value(headers, RESPONSE_STAMP),
            not_run=status == MISDIRECTED or bool(first_value(headers, NOT_RUN)),
            moved=status == MISDIRECTED,
            request_limit=read_limit(first_value(headers, REQUEST_LIMIT)),
            brittle=read_limit(first_value(headers, BRITTLE)) is not None,
            leaving=b"1" in all_values(headers, LEAVING),
            rest=(
                read_rest(all_values(headers, REST)) if status in TURNED_AWAY else 0.0
            ),
        )

    def refusal_headers(self, request_id: str) -> Headers:
        """Return the headers of a refusal: the request's id, or none if it is empty."""
        return [(REQUEST_ID, request_id.encode("latin-1"))] if request_id else []
