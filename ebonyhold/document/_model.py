"""Classes of the fleet document, in which operators declare the fleet."""

from __future__ import annotations

from datetime import datetime
from enum import Enum

from attrs import field, frozen

from ebonyhold.document._fields import (
    MODEL_NAME,
    NAME,
    SHA256_PATTERN,
    TOKENS,
    bounded,
    duration,
    text_pattern,
)
from ebonyhold.types import BackendName, Seconds, Tokens, WorkspaceName

MAX_BODY = 1 << 30
"""Largest value, in bytes, of ``most_body`` and ``stream_buffer``."""

ADDRESS_PATTERN = r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:.]+\]):\d{1,5}$"


class BackendKind(Enum):
    """What a backend server is."""

    ENGINE = "engine"
    SERVICE = "service"


class UnknownOutcome(Enum):
    """What recovery does with a request whose backend server cannot tell."""

    CHARGE_HOLD = "charge_hold"
    WAIT = "wait"


class StaleConfiguration(Enum):
    """What a router does that cannot learn whether its version is the latest."""

    SERVE = "serve"
    REFUSE = "refuse"


@frozen
class ApiKey:
    """One API key of a workspace; only its SHA-256 is kept."""

    id: str = field(metadata=NAME)
    sha256: str = field(
        metadata=text_pattern(SHA256_PATTERN, "64 hexadecimal digits in lower case")
    )


@frozen
class Workspace:
    """A customer of the fleet with a prepaid budget.

    Attributes:
        name: Unique among the workspaces of the document.
        keys: API keys that its callers send.
        prepaid: Initial top-up in tokens, made once when the workspace is new.
        concurrency: Maximum number of its requests that a router runs at once.
        queue: Maximum number of its requests that wait at a router.
        weight: Its weight in a router's fair queue. Among requests of the same
            priority, the router starts those of the waiting workspaces in
            proportion to their weights.
    """

    name: WorkspaceName = field(metadata=NAME)
    keys: tuple[ApiKey, ...]
    prepaid: Tokens = field(default=0, metadata=TOKENS)
    concurrency: int = field(default=64, metadata=bounded(1, 100_000))
    queue: int = field(default=128, metadata=bounded(0, 100_000))
    weight: int = field(default=1, metadata=bounded(1, 1000))


@frozen
class Backend:
    """One backend server.

    Attributes:
        name: Unique among the backend servers of the document.
        kind: Model engine or plain service.
        address: ``ip:port``, unique in the document; IPv6 in square brackets.
        domain: Its failure domain.
        models: Models that an engine may be ordered to load; empty for a service.
        service: Service that a plain service provides; empty for an engine.
        slots: Number of requests that the server runs at once; it queues further ones.
        checks_fencing: Whether it refuses orders with an outdated fencing number.
        tls: Whether routers connect to it over TLS.
    """

    name: BackendName = field(metadata=NAME)
    kind: BackendKind
    address: str = field(metadata=text_pattern(ADDRESS_PATTERN, "ip:port"))
    domain: str = field(metadata=NAME)
    models: tuple[str, ...] = ()
    service: str = ""
    slots: int = field(default=16, metadata=bounded(1, 100_000))
    checks_fencing: bool = False
    tls: bool = False


@frozen
class ModelRoute:
    """A model that callers may ask for.

    Attributes:
        model: Name of the model in requests.
        default_tokens: Maximum tokens of an answer if the request sets no maximum.
        most_tokens: Largest maximum that a request may set.
        priority: Requests with a larger value start first when engines are full.
    """

    model: str = field(metadata=MODEL_NAME)
    default_tokens: Tokens = field(default=512, metadata=bounded(1, 10_000_000))
    most_tokens: Tokens = field(default=4096, metadata=bounded(1, 10_000_000))
    priority: int = field(default=0, metadata=bounded(-1000, 1000))


@frozen
class ServiceRule:
    """Which calls of a plain service may be repeated; the first match counts.

    Attributes:
        method: HTTP method, or ``*`` for every method.
        path: Prefix of the request path after ``/services/{service}``.
        repeatable: Whether a call that matches may be retried although it may
            already have run.
        price: Tokens billed for a call that ran.
    """

    method: str = field(
        metadata=text_pattern(r"^([A-Z]{1,20}|\*)$", "an HTTP method in capitals, or *")
    )
    path: str = field(
        metadata=text_pattern(r"^/[^?#\s]*$", "a path that starts with a slash")
    )
    repeatable: bool
    price: Tokens = field(default=0, metadata=TOKENS)


@frozen
class ServiceRoute:
    """A plain service that callers may call.

    Attributes:
        service: Name of the service in the path of a request.
        rules: Tried in order; a call that matches none must not be repeated.
        honours_idempotency_key: Whether the service itself runs calls with the
            same idempotency key only once.
        timeout: Maximum time to wait for the service's answer, in seconds.
        most_body: Maximum size of a request body, and also of an answer body, in
            bytes.
    """

    service: str = field(metadata=NAME)
    rules: tuple[ServiceRule, ...] = ()
    honours_idempotency_key: bool = False
    timeout: Seconds = field(default=10.0, metadata=duration(0.01, 3600))
    most_body: int = field(default=1_048_576, metadata=bounded(1, MAX_BODY))


@frozen
class Stop:
    """A planned stop of a backend server or of a failure domain.

    Attributes:
        name: Unique among the stops of the document.
        starts: Time, with a time zone, by which routers stop sending new requests.
        ends: Time, with a time zone, from which routers send new requests again.
        backend: Name of the backend server; empty if `domain` is set.
        domain: Name of the failure domain; empty if `backend` is set.
    """

    name: str = field(metadata=NAME)
    starts: datetime
    ends: datetime
    backend: BackendName = ""
    domain: str = ""


@frozen
class Policy:
    """The knobs that the two deployments set differently.

    Attributes:
        grants: Name of the registered policy that sizes grants.
        choice: Name of the registered policy that chooses a backend server.
        grant_horizon: Time, in seconds, for which a grant covers expected demand.
        reserve_share: Maximum tokens that a grant has available while no request
            waits for tokens, as a fraction of an even share. An even share is the
            sum of the remaining budget and the grant's available tokens, divided
            by the number of routers.
        unknown_outcome: What recovery does with a request if the backend server
            cannot report whether the request ran.
        stale_configuration: What a router does while its version of the
            configuration is stale.
        stale_after: A version becomes stale this many seconds after it was last
            confirmed as the latest.
        retry_ratio: Maximum number of retries per request, on average.
        keep_bills: How long bills and claims are kept, in seconds.
    """

    grants: str = field(default="adaptive_transfer", metadata=NAME)
    choice: str = field(default="prefix_aware", metadata=NAME)
    grant_horizon: Seconds = field(default=3600.0, metadata=duration(0.1, 86_400))
    reserve_share: float = field(default=0.95, metadata=bounded(0.001, 1))
    unknown_outcome: UnknownOutcome = UnknownOutcome.CHARGE_HOLD
    stale_configuration: StaleConfiguration = StaleConfiguration.SERVE
    stale_after: Seconds = field(default=3600.0, metadata=duration(1, 365 * 86_400))
    retry_ratio: float = field(default=0.1, metadata=bounded(0, 10))
    keep_bills: Seconds = field(
        default=90 * 86_400.0, metadata=duration(3600, 3650 * 86_400)
    )


@frozen
class Limits:
    """Bounds of one router.

    Attributes:
        most_body: Maximum size of a request body for a model, in bytes.
        table_writes: Maximum rows per second that the router writes to the table;
            it uses a lower rate while the table rejects calls as too many.
        table_reads: Maximum rows per second that the router reads from the table;
            lowered in the same way.
        drain: Maximum time that a stopping router waits for the requests in
            flight to end, in seconds.
        stream_buffer: Maximum bytes of a stream buffered for a slow caller; beyond
            that the stream is ended with an error.
    """

    most_body: int = field(default=1_048_576, metadata=bounded(1, MAX_BODY))
    table_writes: float = field(default=100.0, metadata=bounded(0.1, 100_000))
    table_reads: float = field(default=400.0, metadata=bounded(0.1, 100_000))
    drain: Seconds = field(default=30.0, metadata=duration(0, 86_400))
    stream_buffer: int = field(default=262_144, metadata=bounded(1024, MAX_BODY))


@frozen
class Document:
    """The whole fleet, as one validated document."""

    fleet: str = field(metadata=NAME)
    domains: tuple[str, ...]
    workspaces: tuple[Workspace, ...] = ()
    models: tuple[ModelRoute, ...] = ()
    services: tuple[ServiceRoute, ...] = ()
    backends: tuple[Backend, ...] = ()
    stops: tuple[Stop, ...] = ()
    policy: Policy = field(factory=Policy)
    limits: Limits = field(factory=Limits)
