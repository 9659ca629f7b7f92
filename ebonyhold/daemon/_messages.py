"""What daemons ask each other for the operators' sake."""

from __future__ import annotations

from attrs import field, frozen

from ebonyhold.routers import PeerMessage, peer_message
from ebonyhold.types import BackendName, RouterId, Seconds, Tokens, WorkspaceName


@frozen
class HeldGrant:
    """What a router holds of one budget, in tokens."""

    workspace: WorkspaceName
    available: Tokens
    held: Tokens


@frozen
class BackendUse:
    """How many requests a router has at one backend server."""

    backend: BackendName
    in_flight: int


@peer_message("status_request")
@frozen
class StatusRequest(PeerMessage):
    """How are you?"""


@peer_message("status_reply")
@frozen
class StatusReply(PeerMessage):
    """How one router describes itself.

    Attributes:
        router: Its incarnation.
        domain: Its failure domain.
        version: The configuration version in force there.
        stopping: Whether it is on its way out.
        in_flight: Requests that it answers now.
        confirmed_age: Seconds since the table confirmed its version; < 0 for never.
        grants: What it holds of the budgets.
        uses: What it has at the backend servers.
    """

    router: RouterId
    domain: str
    version: int
    stopping: bool
    in_flight: int
    confirmed_age: Seconds
    grants: tuple[HeldGrant, ...] = field(factory=tuple)
    uses: tuple[BackendUse, ...] = field(factory=tuple)
