"""What backend servers say, as typed values."""

from __future__ import annotations

from enum import Enum

from attrs import field, frozen

from ebonyhold.types import AttemptId, Seconds, Tokens


@frozen
class LoadReport:
    """An engine's own report, which is as old as its lag.

    Attributes:
        boot: Identifies this life of the engine.
        sequence: Counts its reports.
        running: Requests it runs.
        queued: Requests that wait in it.
        free_blocks: Blocks of its cache that hold nothing.
        token_rate: Tokens a second it generates.
        models: Models it has loaded.
        adapters: Adapters it has loaded.
        leaving: Whether it wants no new work.
    """

    boot: str = ""
    sequence: int = 0
    running: int = 0
    queued: int = 0
    free_blocks: int = 0
    token_rate: float = 0.0
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    leaving: bool = False


class CacheAction(Enum):
    """What happened to a block of an engine's prefix cache."""

    STORED = "stored"
    REMOVED = "removed"


@frozen
class CacheEvent:
    """One change of an engine's prefix cache."""

    sequence: int
    action: CacheAction
    prefix: str


@frozen
class CacheEvents:
    """An answer to a question for cache events."""

    events: tuple[CacheEvent, ...] = ()


@frozen
class Usage:
    """Tokens that an engine says an answer took."""

    prompt_tokens: Tokens = 0
    completion_tokens: Tokens = 0
    cached_tokens: Tokens = 0


@frozen
class Timeouts:
    """How long to wait for a backend server, in seconds.

    Attributes:
        connect: For a connection.
        first: For the whole headers of an answer.
        stall: Between two pieces of a stream.
        close: For the answer to closing an attempt.
    """

    connect: Seconds = 0.5
    first: Seconds = 20.0
    stall: Seconds = 10.0
    close: Seconds = 1.5


@frozen
class EngineCall:
    """One attempt at one engine.

    Attributes:
        attempt: Its identifier, never used twice.
        body: The JSON body.
        stream: Whether the answer is streamed.
        priority: Larger is served first.
        resume: The tokens of the answer that the caller has already.
        traceparent: The W3C trace context, or empty.
        boot: The life of the engine that the intent names, or empty.  An engine
            that was restarted refuses the attempt: it has forgotten which ones
            were closed, so a router that was paused between its intent and its
            dispatch could run one that another router has settled as not run.
    """

    attempt: AttemptId
    body: bytes
    stream: bool
    priority: int = 0
    resume: Tokens = 0
    traceparent: str = ""
    boot: str = ""


@frozen
class ServiceCall:
    """One attempt at one plain service.

    Attributes:
        attempt: Its identifier, never used twice.
        method: The HTTP method.
        target: Path and query.
        headers: End-to-end headers.
        body: The body.
        timeout: The longest wait for the whole answer, in seconds.
        most_body: The largest answer, in bytes.
        key: The caller's idempotency key, or empty.
    """

    attempt: AttemptId
    method: str
    target: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    timeout: Seconds = 10.0
    most_body: int = 1_048_576
    key: str = ""


@frozen
class Answer:
    """A whole answer of a backend server."""

    status: int
    content_type: str
    body: bytes
    boot: str = ""
    headers: tuple[tuple[str, str], ...] = field(factory=tuple)
