"""Messages with which routers collect the fleet status for operators."""

from __future__ import annotations

from attrs import field, frozen

from ebonyhold.routers import PeerMessage, peer_message
from ebonyhold.types import BackendName, RouterId, Seconds, Tokens, WorkspaceName


@frozen
class HeldGrant:
    """The grant of one workspace at a router.

    Attributes:
        workspace: The workspace of the budget.
        available: Tokens that aren't held for requests.
        held: Tokens held for requests in flight.
    """

    workspace: WorkspaceName
    available: Tokens
    held: Tokens


@frozen
class BackendUse:
    """The number of requests that a router has in flight at one backend server."""

    backend: BackendName
    in_flight: int


@peer_message("status_request")
@frozen
class StatusRequest(PeerMessage):
    """Requests the status of the receiving router."""


@peer_message("status_reply")
@frozen
class StatusReply(PeerMessage):
    """The status that a router reports of itself.

    Attributes:
        router: The incarnation of the router.
        domain: The failure domain of the router.
        version: The configuration version in force at the router; 0 for none.
        stopping: Whether the stop of the router has begun.
        in_flight: Number of requests that the router is answering.
        confirmed_age: Seconds since `version` was last confirmed; negative for never.
        grants: The largest grants of the router, largest first.
        uses: Number of requests in flight at each backend server that has any.
    """

    router: RouterId
    domain: str
    version: int
    stopping: bool
    in_flight: int
    confirmed_age: Seconds
    grants: tuple[HeldGrant, ...] = field(factory=tuple)
    uses: tuple[BackendUse, ...] = field(factory=tuple)
