"""The interface that other packages use to communicate with the other routers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol, TypeVar

from attrs import frozen

from ebonyhold.routers._registry import PeerMessage, peer_message
from ebonyhold.types import RouterId, Seconds, Tokens, WorkspaceName

Reply = TypeVar("Reply", bound=PeerMessage)


@peer_message("transfer_request")
@frozen
class TransferRequest(PeerMessage):
    """Requests tokens of a workspace that the receiver can spare.

    Attributes:
        workspace: The workspace.
        wanted: The number of tokens that the sender lacks.
        have: The ids of the latest transfers that the sender has received from the
            receiver.  The receiver regards its other recent transfers to the sender
            as lost, and may send them again.
    """

    workspace: WorkspaceName
    wanted: Tokens
    have: tuple[str, ...] = ()


@peer_message("transfer_given")
@frozen
class TransferGiven(PeerMessage):
    """Transfers tokens; sent only after the giver's journal has stored the transfer.

    Attributes:
        workspace: The workspace.
        transfer: A globally unique id, so that a duplicate is not credited again;
            empty if no tokens are given.
        amount: The number of tokens, or 0 if the giver has none to spare.
    """

    workspace: WorkspaceName
    transfer: str
    amount: Tokens


@peer_message("version_notice")
@frozen
class VersionNotice(PeerMessage):
    """Announces the sender's newest configuration version.

    A receiver with an older version fetches the newest one.

    Attributes:
        version: The version.
        digest: The digest of the content of this version.
    """

    version: int
    digest: str


@peer_message("configuration_request")
@frozen
class ConfigurationRequest(PeerMessage):
    """Requests the receiver's configuration; the answer is a `ConfigurationReply`."""


@peer_message("configuration_reply")
@frozen
class ConfigurationReply(PeerMessage):
    """The sender's configuration version.

    Attributes:
        version: The version.
        digest: The digest of the content of this version.
        confirmed_age: Seconds since the table last confirmed to the sender that this
            version is current; negative if never.
    """

    version: int
    digest: str
    confirmed_age: Seconds


Handler = Callable[[RouterId, PeerMessage], Awaitable[PeerMessage | None]]
"""Handles a message from a router and returns its answer, or None without an answer."""


class PeerLink(Protocol):
    """Messages to and from the other routers, authenticated and encrypted."""

    def alive(self) -> tuple[RouterId, ...]:
        """Return the other routers that are alive in this router's membership view.

        The view may be wrong, so no decision that must be safe may depend on it.
        """
        ...

    def handle(self, kind: type[PeerMessage], handler: Handler) -> None:
        """Register the handler of a kind of message."""
        ...

    async def send(self, to: RouterId, message: PeerMessage) -> None:
        """Send a notice; its delivery is not awaited, and it may be lost."""
        ...

    async def ask(
        self, to: RouterId, message: PeerMessage, reply: type[Reply], timeout: Seconds
    ) -> Reply:
        """Send a request and return its answer.

        Raises:
            PeerError: There was no answer in time, the answer is of another kind, or
                too many requests are pending.
        """
        ...
