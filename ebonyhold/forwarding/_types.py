"""The types of the forwarding path: rules, backend servers, requests, outcomes."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import TypeAlias

from attrs import field, frozen

from ebonyhold.types import BackendName, Seconds, Tokens, WorkspaceName

ServiceName: TypeAlias = str
"""The name of a service: backend servers that answer the same requests."""

Headers: TypeAlias = list[tuple[bytes, bytes]]
"""Header fields in order; names in lower case, as h11 gives them."""

PromptPart: TypeAlias = tuple[str, Tokens]
"""One part of a prompt that requests may share: its identifier and length."""


class RouteKind(Enum):
    """What may be repeated of a route's requests."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@frozen
class ServiceShare:
    """A service among those a route is split over, with its weight."""

    service: ServiceName
    weight: float


@frozen
class Route:
    """Where requests go whose host and path match.

    Attributes:
        name: Its name, for logs.
        host: The host it answers for, in lower case, without a port.
        prefix: What the path begins with; it ends with a slash.
        shares: The services, weighted; one entry where it is not split.
        kind: What may be repeated.
        timeout: The longest a request may take.
        target: When an answer is still prompt.
        most_attempts: How many backend servers one request may be sent to.
        priority: Its rank; 0 is the most urgent.
        anonymous: Whether requests need no key.
        resumable: Whether a broken stream may go on at another server.
    """

    name: str
    host: str
    prefix: str
    shares: tuple[ServiceShare, ...]
    kind: RouteKind
    timeout: Seconds
    target: Seconds
    most_attempts: int = 1
    priority: int = 5
    anonymous: bool = False
    resumable: bool = False

    @property
    def idempotent(self) -> bool:
        """Whether a request may run again after it may have run."""
        return self.kind is RouteKind.SAFE or (
            self.kind is RouteKind.STREAM and self.resumable
        )


@frozen
class Service:
    """What is known of a service beside its servers.

    Attributes:
        name: Its name.
        connections: Connections that each of its servers takes from everybody.
        event_tokens: The most tokens in one event of its streams.
    """

    name: ServiceName
    connections: int
    event_tokens: Tokens = 1


@frozen
class Workspace:
    """Who pays for requests.

    Attributes:
        name: Its name.
        keys: The keys its callers present.
        priority: Its rank, which goes before the route's; None if it has none.
        prepaid: The tokens it may consume in all; None without a bound.
    """

    name: WorkspaceName
    keys: tuple[str, ...]
    priority: int | None = None
    prepaid: Tokens | None = None


@frozen
class CallerLimits:
    """What a caller may send, and how long it may take.

    Attributes:
        head_bytes: The largest request head.
        body_bytes: The largest request body.
        head_timeout: From the first byte of a head to its end.
        idle_timeout: How long a connection may stay without a request.
    """

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_timeout: Seconds = 3.0
    idle_timeout: Seconds = 15.0


@frozen
class Ruleset:
    """One version of the operator's configuration, ready for look-ups.

    Attributes:
        version: Which version it is; later ones are larger.
        routes: The routes by host and then by prefix.
        services: The services by name.
        workspaces: The workspaces by name.
        owners: The workspace that holds each key.
        limits: What callers are held to.
    """

    version: int
    routes: Mapping[str, Mapping[str, Route]]
    services: Mapping[ServiceName, Service]
    workspaces: Mapping[WorkspaceName, Workspace]
    owners: Mapping[str, Workspace]
    limits: CallerLimits = field(factory=CallerLimits)


class BackendState(Enum):
    """Whether a backend server takes new work, by its own word."""

    READY = "ready"
    DRAINING = "draining"


@frozen
class Backend:
    """A backend server's entry in the list of servers.

    Attributes:
        name: Which life of which server it is.
        service: What it serves.
        address: Its host and port.
        domain: Its failure domain.
        slots: Requests it runs at once.
        state: Whether it takes new work.
        started_at: When it started, in milliseconds since the epoch; 0 if unknown.
        cold_for: How much longer it stays slow after its start, as of the entry.
    """

    name: BackendName
    service: ServiceName
    address: tuple[str, int]
    domain: str
    slots: int
    state: BackendState
    started_at: int = 0
    cold_for: Seconds = 0.0


@frozen
class CallerRequest:
    """What the headers of a caller's request say, decoded.

    Attributes:
        request_id: Names the caller's attempt; it goes unchanged to the server.
        key: The key presented; empty if none.
        patience: How long the caller will wait; None if it does not say.
        prompt_tokens: The length of its prompt; 0 where it is no generation.
        most_output: The most tokens it may generate.
        prompt_parts: The parts of its prompt, in order.
        resume_after: The last event the caller has; None for a new stream.
    """

    request_id: str
    key: str = ""
    patience: Seconds | None = None
    prompt_tokens: Tokens = 0
    most_output: Tokens = 0
    prompt_parts: tuple[PromptPart, ...] = ()
    resume_after: int | None = None

    @property
    def most(self) -> Tokens:
        """The most tokens it can cost."""
        return self.prompt_tokens + self.most_output


@frozen
class Dispatch:
    """What the headers of one sending to a backend server say.

    Attributes:
        backend: The server that is meant; another at its address declines.
        workspace: Who pays; empty for anonymous requests.
        priority: Its rank; 0 is the most urgent.
        time_left: How long the server may work.
        resume_after: The last event that was delivered; None for a new stream.
    """

    backend: BackendName
    workspace: WorkspaceName
    priority: int
    time_left: Seconds
    resume_after: int | None = None


@frozen
class AnswerFacts:
    """What the headers of a backend server's answer say, decoded.

    Attributes:
        request_id: The request that it answers; empty if it does not say.
        proof: The server's mark of authenticity; empty if there is none.
        not_run: Whether the server states that it did not run the request.
        moved: Whether another server now has the address.
    """

    request_id: str
    proof: bytes
    not_run: bool
    moved: bool
