"""What the stand-ins say they did, for a checker that trusts nobody else."""

from __future__ import annotations

from attrs import field, frozen

from ebonyhold.types import AttemptId, BackendName, Tokens


@frozen
class EngineRecord:
    """One attempt as an engine ran it.

    Attributes:
        backend: The engine's name.
        boot: Its boot identifier at the time.
        attempt: The identifier the router gave.
        traceparent: The trace context that came with it.
        digest: Identifies the prompt.
        prompt_tokens: Tokens of the prompt; 0 when it never left the queue.
        completion_tokens: Tokens of the whole answer so far, those included that
            came from an earlier attempt.
        resumed: Of those, how many came from an earlier attempt.
        max_tokens: The bound that the router gave.
        state: ``queued``, ``running``, ``finished``, ``cancelled``, ``never_ran``.
        sent: Whether the whole answer left the engine.
        arrived_at: When it came, in seconds since the epoch.
        ended_at: When it ended; 0 while it runs.
    """

    backend: BackendName
    boot: str
    attempt: AttemptId
    traceparent: str
    digest: str
    prompt_tokens: Tokens
    completion_tokens: Tokens
    resumed: Tokens
    max_tokens: Tokens
    state: str
    sent: bool
    arrived_at: float
    ended_at: float


@frozen
class OrderRecord:
    """One order as an engine took or refused it."""

    backend: BackendName
    order: str
    model: str
    fencing: int
    accepted: bool
    at: float


@frozen
class EngineRecords:
    """All that one engine recorded, over all its boots."""

    attempts: tuple[EngineRecord, ...] = field(factory=tuple)
    orders: tuple[OrderRecord, ...] = field(factory=tuple)


@frozen
class ServiceRecord:
    """One call as a plain service ran it.

    Attributes:
        key: The idempotency key that came with it, or empty.
        attempt: The identifier the router gave.
        body_digest: SHA-256 of the body, hexadecimal.
        traceparent: The trace context that came with it.
        replayed: Whether the service answered from an earlier run of the key.
        at: When it ran, in seconds since the epoch.
    """

    backend: BackendName
    method: str
    path: str
    key: str
    attempt: AttemptId
    body_digest: str
    traceparent: str
    replayed: bool
    at: float


@frozen
class ServiceRecords:
    """All that one plain service recorded."""

    calls: tuple[ServiceRecord, ...] = field(factory=tuple)
