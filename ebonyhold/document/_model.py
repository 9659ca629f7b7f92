"""The fleet document: what operators declare, as typed values."""

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
    text_form,
)
from ebonyhold.types import BackendName, Seconds, Tokens, WorkspaceName

MOST_BODY = 1 << 30
"""The largest bound on a body that a document may set, in bytes."""

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
        metadata=text_form(SHA256_PATTERN, "64 hexadecimal digits in lower case")
    )


@frozen
class Workspace:
    """A customer of the fleet with a prepaid budget.

    Attributes:
        name: Unique in the document.
        keys: The API keys its callers carry.
        prepaid: The first top-up, in tokens, made once when the workspace is new.
        concurrency: Requests that one router runs at once for it.
        queue: Requests that one router lets wait for it.
        weight: Its share when several workspaces want the same engines.
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
        name: Unique in the document.
        kind: Model engine or plain service.
        address: ``ip:port``.
        domain: Its failure domain.
        models: For an engine, the models it may be ordered to load.
        service: For a plain service, which one it serves.
        slots: Requests it runs at once before it queues them.
        checks_fencing: Whether it refuses orders with an old fencing number.
        tls: Whether it is reached over TLS.
    """

    name: BackendName = field(metadata=NAME)
    kind: BackendKind
    address: str = field(metadata=text_form(ADDRESS_PATTERN, "ip:port"))
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
        model: The name callers use.
        default_tokens: The answer's bound when the caller names none.
        most_tokens: The largest bound a caller may name.
        priority: Larger is served first when engines are full.
    """

    model: str = field(metadata=MODEL_NAME)
    default_tokens: Tokens = field(default=512, metadata=bounded(1, 10_000_000))
    most_tokens: Tokens = field(default=4096, metadata=bounded(1, 10_000_000))
    priority: int = field(default=0, metadata=bounded(-1000, 1000))


@frozen
class ServiceRule:
    """Which calls of a plain service may be repeated; the first match counts.

    Attributes:
        method: An HTTP method, or ``*``.
        path: The start of the path behind ``/services/{service}``.
        repeatable: Whether such a call may run twice without harm.
        price: Tokens billed for a call that ran.
    """

    method: str = field(
        metadata=text_form(r"^([A-Z]{1,20}|\*)$", "an HTTP method in capitals, or *")
    )
    path: str = field(
        metadata=text_form(r"^/[^?#\s]*$", "a path that starts with a slash")
    )
    repeatable: bool
    price: Tokens = field(default=0, metadata=TOKENS)


@frozen
class ServiceRoute:
    """A plain service that callers may call.

    Attributes:
        service: The name in the path.
        rules: What may be repeated; a call that none matches may not.
        honours_idempotency_key: Whether the service itself runs a key once.
        timeout: The longest wait for its answer, in seconds.
        most_body: The largest body either way, in bytes.
    """

    service: str = field(metadata=NAME)
    rules: tuple[ServiceRule, ...] = ()
    honours_idempotency_key: bool = False
    timeout: Seconds = field(default=10.0, metadata=duration(0.01, 3600))
    most_body: int = field(default=1_048_576, metadata=bounded(1, MOST_BODY))


@frozen
class Stop:
    """A planned stop of a backend server or of a failure domain.

    Attributes:
        name: Unique in the document.
        starts: When no new work may reach it any more, with a time zone.
        ends: When it may get work again.
        backend: The backend server, or empty.
        domain: The failure domain, or empty.
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
        grants: The registered policy that sizes grants.
        choice: The registered policy that chooses a backend server.
        grant_horizon: How much expected demand a grant covers, in seconds.
        reserve_share: The largest part of an even share of what remains that a
            grant keeps ahead of need.
        unknown_outcome: What recovery does when nobody can tell what ran.
        stale_configuration: What a router does that cannot confirm its version.
        stale_after: After how long without confirmation that applies, in seconds.
        retry_ratio: Retries allowed for each request, on average.
        keep_bills: How long bills and claims stay, in seconds.
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
        most_body: The largest request body, in bytes.
        table_writes: Rows a second this router may write to the table; it takes
            less by itself while the table refuses calls as too many.
        table_reads: Rows a second this router may read from the table.
        drain: The longest a router waits for its streams when it stops, seconds.
        stream_buffer: Bytes held for one slow caller before its stream is ended.
    """

    most_body: int = field(default=1_048_576, metadata=bounded(1, MOST_BODY))
    table_writes: float = field(default=100.0, metadata=bounded(0.1, 100_000))
    table_reads: float = field(default=400.0, metadata=bounded(0.1, 100_000))
    drain: Seconds = field(default=30.0, metadata=duration(0, 86_400))
    stream_buffer: int = field(default=262_144, metadata=bounded(1024, MOST_BODY))


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
