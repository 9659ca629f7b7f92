"""The types of the forwarding path: rules, backend servers, requests, answers."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import TypeAlias

from attrs import field, frozen

from ebonyhold.types import BackendName, Seconds, Tokens, WorkspaceName

ServiceName: TypeAlias = str
"""The name of a service: a set of backend servers that answer the same requests."""

Headers: TypeAlias = list[tuple[bytes, bytes]]
"""Header fields in order, with names in lower case, as h11 returns them."""

SoftwareVersion: TypeAlias = str
"""The version of a backend server's software."""

PromptPart: TypeAlias = tuple[str, Tokens]
"""One part of a prompt that requests may share: its identifier and length."""


class RouteKind(Enum):
    """Which requests of a route may be sent again after they may have run.

    Attributes:
        SAFE: All requests.
        UNSAFE: None.
        STREAM: All if the route is resumable, else none; the answers are streams of
            events.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@frozen
class ServiceShare:
    """One of the services that a route chooses from, with its weight."""

    service: ServiceName
    weight: float


@frozen
class Route:
    """A route: which requests it matches, and how they are forwarded.

    Attributes:
        name: Its name, for logs and metrics.
        host: The host that it matches, in lower case, without a port.
        prefix: The path prefix that it matches; it ends with a slash.
        shares: The services with their weights; one entry if it is not split.
        kind: Which of its requests may be repeated.
        timeout: Maximum duration of a request, in seconds.
        target: Target latency, in seconds.
        max_attempts: How many backend servers one request may be sent to.
        priority: The priority of its requests; 0 is the most urgent.
        anonymous: Whether requests need no key.
        resumable: Whether a broken stream may be resumed at another server.
        max_gap: The longest pause between two events of a stream for which it is still
            on time, in seconds; None if not stated.
    """

    name: str
    host: str
    prefix: str
    shares: tuple[ServiceShare, ...]
    kind: RouteKind
    timeout: Seconds
    target: Seconds
    max_attempts: int = 1
    priority: int = 5
    anonymous: bool = False
    resumable: bool = False
    max_gap: Seconds | None = None

    @property
    def idempotent(self) -> bool:
        """Whether a request that may have run may be sent again."""
        return self.kind is RouteKind.SAFE or (
            self.kind is RouteKind.STREAM and self.resumable
        )


@frozen
class Service:
    """The settings of a service.

    Attributes:
        name: Its name.
        connections: Connections that each of its servers accepts from all routers.
        event_tokens: Maximum number of tokens in one event of its streams.
        cold_time: For how many seconds after its start a server is cold.
        cold_rate: Requests per second that a cold server tolerates from all routers
            together; 0 for no limit.
        slots: Requests that each of its servers runs at once; 0 if not stated.
        memory: Tokens that the memory of each of its servers holds; 0 if not stated.
    """

    name: ServiceName
    connections: int
    event_tokens: Tokens = 1
    cold_time: Seconds = 0.0
    cold_rate: float = 0.0
    slots: int = 0
    memory: Tokens = 0


@frozen
class Workspace:
    """A workspace, which is charged for requests.

    Attributes:
        name: Its name.
        keys: The keys that its callers present.
        priority: The priority of its requests; it overrides the route's unless None.
        prepaid: The tokens that it may consume in total; None for no limit.
    """

    name: WorkspaceName
    keys: tuple[str, ...]
    priority: int | None = None
    prepaid: Tokens | None = None


@frozen
class CallerLimits:
    """The limits for a caller's requests.

    Attributes:
        head_bytes: Maximum size of a request head.
        body_bytes: Maximum size of a request body.
        head_timeout: Maximum time from the first byte of a head to its end, in seconds.
        idle_timeout: Maximum time to wait for the start of a request or for more of its
            body, in seconds.
    """

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_timeout: Seconds = 3.0
    idle_timeout: Seconds = 15.0


@frozen
class Ruleset:
    """One version of the operator's configuration, indexed for look-ups.

    Attributes:
        version: Its version number; later versions are larger.
        routes: The routes, by host and then by prefix.
        services: The services by name.
        workspaces: The workspaces by name.
        owners: The workspace of each key.
        limits: The limits for callers' requests.
    """

    version: int
    routes: Mapping[str, Mapping[str, Route]]
    services: Mapping[ServiceName, Service]
    workspaces: Mapping[WorkspaceName, Workspace]
    owners: Mapping[str, Workspace]
    limits: CallerLimits = field(factory=CallerLimits)


class BackendState(Enum):
    """Whether a backend server accepts new requests, as it reports itself."""

    READY = "ready"
    DRAINING = "draining"


@frozen
class Backend:
    """A backend server's entry in the server list.

    Attributes:
        name: The name of the server.
        service: The service that it belongs to.
        address: Its host and port.
        domain: Its failure domain.
        slots: How many requests it runs at once.
        state: Whether it accepts new requests.
        started_at: When it started, in milliseconds since the epoch; 0 if unknown.
        cold_for: For how many seconds after the entry was written the server is still
            cold: slow, and endangered by too many requests.
        version: The version of its software. What two versions write into one stream
            does not fit together. Entries that state none have the same, empty one.
        sequence: The number of the report that it was written with. It rises with each
            report of a run.
    """

    name: BackendName
    service: ServiceName
    address: tuple[str, int]
    domain: str
    slots: int
    state: BackendState
    started_at: int = 0
    cold_for: Seconds = 0.0
    version: SoftwareVersion = ""
    sequence: int = 0

    @property
    def incarnation(self) -> tuple[int, SoftwareVersion]:
        """What tells the runs of one name apart; a start may be unknown."""
        return self.started_at, self.version

    @property
    def report(self) -> tuple[int, int]:
        """The place of the entry in the order of the server's reports."""
        return self.started_at, self.sequence

    def is_older_than(self, other: Backend) -> bool:
        """Return whether the server has reported this entry before another one.

        Runs without a known start cannot be ordered.
        """
        known = self.started_at and other.started_at
        return bool(known) and self.report < other.report


@frozen
class CallerRequest:
    """The decoded headers of a caller's request.

    Attributes:
        request_id: Identifies the caller's attempt; it is sent unchanged to the server.
        key: The key presented; empty if none.
        time_limit: How long the caller waits for an answer, in seconds; None if not
            stated.
        prompt_tokens: The length of the prompt; 0 if the request generates no text.
        max_output: Maximum number of tokens to generate.
        prompt_parts: The parts of the prompt, in order.
        resume_after: The number of the last event that the caller has; None for a new
            stream.
        resumes: The identifier of the attempt that brought the first event of the
            stream that is taken up; empty if not stated.
    """

    request_id: str
    key: str = ""
    time_limit: Seconds | None = None
    prompt_tokens: Tokens = 0
    max_output: Tokens = 0
    prompt_parts: tuple[PromptPart, ...] = ()
    resume_after: int | None = None
    resumes: str = ""

    @property
    def max_charge(self) -> Tokens:
        """The maximum number of tokens that the request can cost."""
        return self.prompt_tokens + self.max_output


@frozen
class Dispatch:
    """The values that the headers of a request to a backend server carry.

    Attributes:
        backend: The intended server; another one at its address declines the request.
        workspace: The workspace to charge; empty for anonymous requests.
        priority: The priority; 0 is the most urgent.
        time_left: How long the server may work on the request, in seconds.
        resume_after: The number of the last event sent to the caller; None if the
            attempt does not resume a stream that this router has begun.
    """

    backend: BackendName
    workspace: WorkspaceName
    priority: int
    time_left: Seconds
    resume_after: int | None = None


@frozen
class AnswerFacts:
    """The decoded headers of a backend server's answer.

    Attributes:
        request_id: The request that it answers; empty if not stated.
        proof: The server's response stamp, which proves its origin; empty if none.
        not_run: Whether the server states that it did not run the request.
        moved: Whether another server now has the address.
        request_limit: Requests per second that the server takes from all routers
            together; None if it states no limit.
        leaving: Whether the server states that it leaves.
        brittle: Whether the server states that it falls if it must turn more than a few
            requests away.
        rest: For how many seconds the server, which turned the request away, wants no
            requests from this router; 0 if it states no time.
    """

    request_id: str
    proof: bytes
    not_run: bool
    moved: bool
    request_limit: float | None = None
    leaving: bool = False
    brittle: bool = False
    rest: Seconds = 0.0
