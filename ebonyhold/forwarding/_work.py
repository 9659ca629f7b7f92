"""Estimates a server's load, as the number of prompt tokens that it has yet to read.

Prompts differ in size by a factor of a hundred, and a server reads them one after the
other while it also generates tokens. So the time that a request waits depends on the
total length of the prompts before it, not on their number.
"""

from __future__ import annotations

import anyio
from attrs import define, field

from ebonyhold.coordination import MIN_UNANSWERED, ServerEvidence
from ebonyhold.forwarding._types import CallerRequest
from ebonyhold.types import Seconds, Tokens

RESIDENT_WORK = 0.25
"""Load that each token of a request in flight adds, in equivalent unread prompt tokens.

Each token occupies memory until the request ends. A server that runs out of memory
preempts requests and reads their prompts again.
"""

CACHED_FOR: Seconds = 10.0
"""How long a server is assumed to cache a shared prompt part that it was sent.

A server's memory holds the prompts of about the last minute, and the least recently
used are evicted first. A part sent this recently should therefore still be cached.
"""

MAX_KEYS = 1024
"""Maximum number of shared prompt parts whose last use is stored per server."""


def sharing_key(request: CallerRequest) -> str:
    """Return the identifier of the prompt part that ends the shared prefix.

    The last part belongs to a single request or session; the one before it ends the
    longest prefix that other requests have too. A single part counts as shared; without
    parts the result is empty.
    """
    parts = request.prompt_parts
    if not parts:
        return ""
    return parts[-2][0] if len(parts) > 1 else parts[-1][0]


def shared_tokens(request: CallerRequest) -> Tokens:
    """Return the number of tokens in all prompt parts but the last."""
    return sum(tokens for _, tokens in request.prompt_parts[:-1])


def prompt_size(request: CallerRequest) -> Tokens:
    """Return the larger of the stated prompt length and the sum of the parts."""
    parts = sum(tokens for _, tokens in request.prompt_parts)
    return max(request.prompt_tokens, parts)


@define(eq=False)
class ServerWork:
    """The load that this router's requests put on one server.

    Attributes:
        unread: Prompt tokens that the server may still have to read.
        resident: Maximum number of prompt and output tokens of all requests in flight.
        sent: When the server was last sent each shared prompt part.
    """

    unread: Tokens = 0
    resident: Tokens = 0
    sent: dict[str, Seconds] = field(factory=dict)

    @property
    def waiting(self) -> float:
        """The load ahead of a new prompt, in prompt tokens to be read."""
        return self.unread + self.resident * RESIDENT_WORK

    def has_cached(self, key: str, now: Seconds) -> bool:
        """Return whether a shared part was sent in the last CACHED_FOR seconds."""
        return now - self.sent.get(key, -CACHED_FOR) < CACHED_FOR

    def begin(self, request: CallerRequest, now: Seconds) -> RequestWork:
        """Add a request's load; call `end` on the returned object to remove it."""
        key = sharing_key(request)
        size = prompt_size(request)
        cached = shared_tokens(request) if key and self.has_cached(key, now) else 0
        work = RequestWork(self, max(0, size - cached), size + request.max_output)
        self.unread += work.unread
        self.resident += work.resident
        if key:
            self.record_sent(key, now)
        return work

    def record_sent(self, key: str, now: Seconds) -> None:
        """Store the time of a shared prompt part; above MAX_KEYS, drop the oldest."""
        self.sent.pop(key, None)
        self.sent[key] = now
        if len(self.sent) > MAX_KEYS:
            del self.sent[next(iter(self.sent))]


@define(eq=False)
class AnswerTimer:
    """Measures the time from the dispatch of a request to its first event.

    Attributes:
        evidence: Records the time.
        sent_at: When the request was dispatched.
        ahead: Tokens that the server had to read before the event.
    """

    evidence: ServerEvidence
    sent_at: Seconds
    ahead: Tokens

    def record(self, answered: bool) -> None:
        """Record that the answer has begun, or that it was given up before."""
        now = anyio.current_time()
        length = now - self.sent_at
        if answered or length >= MIN_UNANSWERED:
            self.evidence.record_answer(length, self.ahead, now)


@define(eq=False)
class RequestWork:
    """One request's share of a server's load.

    Attributes:
        server: The load of the server that the request was sent to.
        unread: Prompt tokens of the request that count as not read yet.
        resident: Maximum number of prompt and output tokens of the request.
        timer: Measures the time to the first event; None if it is not measured, or
            after the event.
    """

    server: ServerWork
    unread: Tokens
    resident: Tokens
    timer: AnswerTimer | None = None

    def record_begin(self) -> None:
        """Record that the answer has begun."""
        if self.timer is not None:
            self.timer.record(True)
            self.timer = None

    def mark_read(self) -> None:
        """Remove the prompt from the unread tokens, because the answer has begun."""
        self.record_begin()
        self.server.unread -= self.unread
        self.unread = 0

    def end(self) -> None:
        """Remove the rest of the request's load."""
        if self.timer is not None:
            self.timer.record(False)
            self.timer = None
        self.mark_read()
        self.server.resident -= self.resident
        self.resident = 0
