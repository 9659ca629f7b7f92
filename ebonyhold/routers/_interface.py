"""What the other parts ask of the link to the other routers."""

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
    """Please give me tokens of this workspace, if you have some to spare.

    Attributes:
        workspace: Whose tokens.
        wanted: How many are lacking.
        have: The last transfers from you that arrived: any other that you gave
            me lately was lost on its way, and may be sent again.
    """

    workspace: WorkspaceName
    wanted: Tokens
    have: tuple[str, ...] = ()


@peer_message("transfer_given")
@frozen
class TransferGiven(PeerMessage):
    """These tokens are yours: they left my journal before this was sent.

    Attributes:
        transfer: Unique for ever; receiving it twice counts once.
        amount: 0 when there is nothing to spare.
    """

    workspace: WorkspaceName
    transfer: str
    amount: Tokens


@peer_message("version_notice")
@frozen
class VersionNotice(PeerMessage):
    """The newest configuration version I have; fetch it if yours is older."""

    version: int
    digest: str


@peer_message("configuration_request")
@frozen
class ConfigurationRequest(PeerMessage):
    """Which configuration version have you, and when did you last confirm it?"""


@peer_message("configuration_reply")
@frozen
class ConfigurationReply(PeerMessage):
    """My version; the table confirmed it so many seconds ago, or never if < 0."""

    version: int
    digest: str
    confirmed_age: Seconds


Handler = Callable[[RouterId, PeerMessage], Awaitable[PeerMessage | None]]


class PeerLink(Protocol):
    """Messages to and from the other routers, authenticated and encrypted."""

    def alive(self) -> tuple[RouterId, ...]:
        """Return the routers believed alive, this one left out.

        Nothing that must be safe may rest on it.
        """
        ...

    def handle(self, kind: type[PeerMessage], handler: Handler) -> None:
        """Register who answers messages of this kind."""
        ...

    async def send(self, to: RouterId, message: PeerMessage) -> None:
        """Send without waiting for an answer; it may be lost."""
        ...

    async def ask(
        self, to: RouterId, message: PeerMessage, reply: type[Reply], timeout: Seconds
    ) -> Reply:
        """Send and wait for the answer.

        Raises:
            PeerError: There was none in time.
        """
        ...
