"""The platform's header fields, decoded to and encoded from our own types."""

from __future__ import annotations

from attrs import frozen

from ebonyhold.exceptions import MalformedRequestError
from ebonyhold.forwarding import (
    AnswerFacts,
    CallerRequest,
    Dispatch,
    Headers,
    PromptPart,
)

REQUEST_ID = b"x-ebonyhold-request-id"
# It does not name a moment: it is how long the caller will wait, from now.
PATIENCE = b"x-ebonyhold-deadline-milliseconds"
KEY = b"x-ebonyhold-key"
WORKSPACE = b"x-ebonyhold-tenant"
# Two numbers: the length of the prompt, and the most tokens of the answer.
TOKENS = b"x-ebonyhold-token-counts"
# All parts of the prompt in order, not only the part that is shared.
PROMPT_PARTS = b"x-ebonyhold-prompt-prefix"
EXPECTED_BACKEND = b"x-ebonyhold-expect-instance"
PRIORITY = b"x-ebonyhold-request-priority"
PROOF = b"x-ebonyhold-response-stamp"
NOT_RUN = b"x-ebonyhold-not-executed"
RESUME_AFTER = b"last-event-id"

MISDIRECTED = 421
"""The status of a server that is not the one the dispatch named."""

LEAST_URGENT = 9
"""The last rank that engines know."""

MOST_DIGITS = 18
"""Digits of a number; any such number fits into 64 bits, and into a float."""

OURS_TO_SET = frozenset(
    {
        KEY,
        WORKSPACE,
        PATIENCE,
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
"""Fields that a caller must not be able to pass on to a backend server."""


def find(headers: Headers, name: bytes) -> bytes:
    """Return the first value of a field; empty if it is absent."""
    for field, value in headers:
        if field == name:
            return value
    return b""


def whole_number(name: bytes, value: bytes) -> int:
    """Read a number that is not negative.

    Raises:
        MalformedRequestError: It is none.
    """
    digits = value.strip()
    # Python refuses to convert some numbers of more digits than this, with an error
    # that nobody expects of what a caller wrote.
    if not digits.isdigit() or len(digits) > MOST_DIGITS:
        raise MalformedRequestError(f"{name.decode()}: {value[:40]!r} is no number")
    return int(digits)


def read_tokens(value: bytes) -> tuple[int, int]:
    """Read the length of the prompt and the most tokens of the answer.

    >>> read_tokens(b"1460,80")
    (1460, 80)
    """
    prompt, _, most = value.partition(b",")
    return whole_number(TOKENS, prompt), whole_number(TOKENS, most)


def read_parts(value: bytes) -> tuple[PromptPart, ...]:
    """Read the parts of a prompt.

    >>> read_parts(b"5c1e07a2:800,91bd3f06:410")
    (('5c1e07a2', 800), ('91bd3f06', 410))
    """
    parts: list[PromptPart] = []
    for item in value.split(b","):
        name, _, length = item.strip().partition(b":")
        parts.append((name.decode("latin-1"), whole_number(PROMPT_PARTS, length)))
    return tuple(parts)


@frozen
class PlatformDialect:
    """The platform's header fields."""

    def read_request(self, headers: Headers) -> CallerRequest:
        """Decode the headers of a caller's request.

        Raises:
            MalformedRequestError: A field cannot be read.
        """
        patience = find(headers, PATIENCE)
        tokens = find(headers, TOKENS)
        parts = find(headers, PROMPT_PARTS)
        resume = find(headers, RESUME_AFTER)
        prompt, most = read_tokens(tokens) if tokens else (0, 0)
        return CallerRequest(
            request_id=find(headers, REQUEST_ID).decode("latin-1"),
            key=find(headers, KEY).decode("latin-1").strip(),
            patience=whole_number(PATIENCE, patience) / 1000 if patience else None,
            prompt_tokens=prompt,
            most_output=most,
            prompt_parts=read_parts(parts) if parts else (),
            resume_after=whole_number(RESUME_AFTER, resume) if resume else None,
        )

    def dispatch_headers(self, headers: Headers, dispatch: Dispatch) -> Headers:
        """Return the caller's end-to-end fields with this dispatch's own ones."""
        resumes = dispatch.resume_after is not None
        kept = [
            (name, value)
            for name, value in headers
            if name not in OURS_TO_SET and not (resumes and name == RESUME_AFTER)
        ]
        left = max(1, int(dispatch.time_left * 1000))
        kept.append((PATIENCE, b"%d" % left))
        kept.append((EXPECTED_BACKEND, dispatch.backend.encode("latin-1")))
        kept.append((PRIORITY, b"%d" % min(LEAST_URGENT, max(0, dispatch.priority))))
        if dispatch.workspace:
            kept.append((WORKSPACE, dispatch.workspace.encode("latin-1")))
        if dispatch.resume_after is not None:
            kept.append((RESUME_AFTER, b"%d" % dispatch.resume_after))
        return kept

    def read_answer(self, status: int, headers: Headers) -> AnswerFacts:
        """Decode the headers of a backend server's answer."""
        return AnswerFacts(
            request_id=find(headers, REQUEST_ID).decode("latin-1"),
            proof=find(headers, PROOF),
            not_run=status == MISDIRECTED or bool(find(headers, NOT_RUN)),
            moved=status == MISDIRECTED,
        )

    def refusal_headers(self, request_id: str) -> Headers:
        """Return the fields that name the request in an answer of our own."""
        return [(REQUEST_ID, request_id.encode("latin-1"))] if request_id else []
