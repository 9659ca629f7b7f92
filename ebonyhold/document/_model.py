"""The fleet document: what operators declare, as typed values."""

from __future__ import annotations

from datetime import datetime
from enum import Enum

from attrs import field, frozen

from ebonyhold.types import BackendName, Seconds, Tokens, WorkspaceName


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

    id: str
    sha256: str


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

    name: WorkspaceName
    keys: tuple[ApiKey, ...]
    prepaid: Tokens = 0
    concurrency: int = 64
    queue: int = 128
    weight: int = 1


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

    name: BackendName
    kind: BackendKind
    address: str
    domain: str
    models: tuple[str, ...] = ()
    service: str = ""
    slots: int = 16
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

    model: str
    default_tokens: Tokens = 512
    most_tokens: Tokens = 4096
    priority: int = 0


@frozen
class ServiceRule:
    """Which calls of a plain service may be repeated; the first match counts.

    Attributes:
        method: An HTTP method, or ``*``.
        path: The start of the path behind ``/services/{service}``.
        repeatable: Whether such a call may run twice without harm.
        price: Tokens billed for a call that ran.
    """

    method: str
    path: str
    repeatable: bool
    price: Tokens = 0


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

    service: str
    rules: tuple[ServiceRule, ...] = ()
    honours_idempotency_key: bool = False
    timeout: Seconds = 10.0
    most_body: int = 1_048_576


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

    name: str
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
        reserve_share: The largest part of what remains that one draw may take.
        unknown_outcome: What recovery does when nobody can tell what ran.
        stale_configuration: What a router does that cannot confirm its version.
        stale_after: After how long without confirmation that applies, in seconds.
        retry_ratio: Retries allowed for each request, on average.
        keep_bills: How long bills and claims stay, in seconds.
    """

    grants: str = "adaptive"
    choice: str = "prefix_aware"
    grant_horizon: Seconds = 60.0
    reserve_share: float = 0.25
    unknown_outcome: UnknownOutcome = UnknownOutcome.CHARGE_HOLD
    stale_configuration: StaleConfiguration = StaleConfiguration.SERVE
    stale_after: Seconds = 3600.0
    retry_ratio: float = 0.1
    keep_bills: Seconds = 90 * 86_400.0


@frozen
class Limits:
    """Bounds of one router.

    Attributes:
        most_body: The largest request body, in bytes.
        table_writes: Rows a second this router may write to the table.
        table_reads: Rows a second this router may read from the table.
        drain: The longest a router waits for its streams when it stops, seconds.
        stream_buffer: Bytes held for one slow caller before its stream is ended.
    """

    most_body: int = 1_048_576
    table_writes: float = 40.0
    table_reads: float = 200.0
    drain: Seconds = 30.0
    stream_buffer: int = 262_144


@frozen
class Document:
    """The whole fleet, as one validated document."""

    fleet: str
    domains: tuple[str, ...]
    workspaces: tuple[Workspace, ...] = ()
    models: tuple[ModelRoute, ...] = ()
    services: tuple[ServiceRoute, ...] = ()
    backends: tuple[Backend, ...] = ()
    stops: tuple[Stop, ...] = ()
    policy: Policy = field(factory=Policy)
    limits: Limits = field(factory=Limits)
