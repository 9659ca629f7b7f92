"""Requests to backend servers and their responses, as typed values."""

from __future__ import annotations

from enum import Enum

from attrs import field, frozen

from ebonyhold.types import AttemptId, Seconds, Tokens


@frozen
class LoadReport:
    """The load that an engine reports; it may be out of date when it arrives.

    Attributes:
        boot: The boot identifier, which changes with each start of the engine.
        sequence: The number of this report since the engine started.
        running: Number of requests that the engine runs.
        queued: Number of requests in the engine's queue.
        free_blocks: Number of free blocks in the engine's prefix cache.
        token_rate: Tokens that the engine generates per second.
        models: The models that are loaded.
        adapters: The adapters that are loaded.
        leaving: Whether the engine is shutting down and accepts no new requests.
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
    """The kind of a change of an engine's prefix cache."""

    STORED = "stored"
    REMOVED = "removed"


@frozen
class CacheEvent:
    """One change of an engine's prefix cache.

    Attributes:
        sequence: The number of the event; it grows with each event.
        action: Whether the prefix was stored or removed.
        prefix: The hash of the prefix.
    """

    sequence: int
    action: CacheAction
    prefix: str


@frozen
class CacheEvents:
    """The response of an engine to a request for its cache events."""

    events: tuple[CacheEvent, ...] = ()


@frozen
class Usage:
    """Numbers of tokens that an engine reports for an answer.

    Attributes:
        prompt_tokens: Tokens of the prompt, including the cached ones.
        completion_tokens: Tokens that were generated.
        cached_tokens: Tokens of the prompt that the engine read from its cache.
    """

    prompt_tokens: Tokens = 0
    completion_tokens: Tokens = 0
    cached_tokens: Tokens = 0


@frozen
class Timeouts:
    """The timeouts of calls to backend servers, in seconds.

    Attributes:
        connect: For opening a connection.
        headers: From the start of a request until all headers of its response arrive.
        stall: Between two outputs of a stream; also for each read or write of a socket.
        close: For a request that closes an attempt.
    """

    connect: Seconds = 0.5
    headers: Seconds = 20.0
    stall: Seconds = 10.0
    close: Seconds = 1.5


@frozen
class EngineCall:
    """One attempt at one engine.

    Attributes:
        attempt: The identifier of the attempt, never used twice.
        body: The JSON body.
        stream: Whether the answer is streamed.
        priority: The engine serves requests with a larger number first.
        resume: Number of tokens of the answer that the caller already has.
        traceparent: The W3C trace context, or empty.
        boot: The boot identifier of the engine when the intent was stored, or empty.
            An engine with another boot identifier refuses the attempt: a restart loses
            the list of closed attempts, so without this check a router that was paused
            between storing the intent and sending the attempt could start an attempt
            that another router has meanwhile settled as not run.
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
        attempt: The identifier of the attempt, never used twice.
        method: The HTTP method.
        target: The path and the query.
        headers: The caller's headers that are forwarded.
        body: The request body.
        timeout: The time limit for the complete answer, in seconds.
        max_body: The maximum size of the answer's body, in bytes.
        key: The caller's idempotency key, or empty.
    """

    attempt: AttemptId
    method: str
    target: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    timeout: Seconds = 10.0
    max_body: int = 1_048_576
    key: str = ""


@frozen
class Answer:
    """A complete answer of a backend server.

    Attributes:
        status: The HTTP status.
        content_type: The content type, or empty.
        body: The body.
        boot: The server's boot identifier, or empty.
        headers: The other headers of a service that are forwarded to the caller.
    """

    status: int
    content_type: str
    body: bytes
    boot: str = ""
    headers: tuple[tuple[str, str], ...] = field(factory=tuple)
