"""The token hold of one request, at this router or at a holder of its workspace."""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence
from contextlib import suppress
from enum import Enum
from typing import Protocol

from attrs import define, field, frozen
from attrs.validators import gt

from ebonyhold.exceptions import BudgetExhaustedError, BudgetUnreachableError
from ebonyhold.prepaid._workspace_grant import WorkspaceGrant
from ebonyhold.types import HoldId, RequestId, Tokens, WorkspaceName

log = logging.getLogger(__name__)

MAX_HOLDERS_ASKED = 3
"""Maximum number of holders tried for one request, one after the other.

Each holder that does not answer delays the request.  If three do not answer, this
router is probably cut off from all others.  It then holds tokens of its own grant.
"""


class HoldOutcome(Enum):
    """Result of a request to a holder for a hold."""

    HELD = "held"
    EXHAUSTED = "exhausted"
    UNREACHABLE = "unreachable"
    UNAVAILABLE = "unavailable"
    """No tokens are held; the next holder or this router's own grant may be tried."""


@frozen
class WantedHold:
    """A router's request to a holder to set tokens aside.

    Attributes:
        hold: Identifier of the hold.  The request's identifier is not used instead,
            because callers choose it and may choose the same one for two requests.
        workspace: The workspace that owns the tokens.
        amount: Number of tokens.
        request: Identifier of the request that needs them, for logs.
    """

    hold: HoldId
    workspace: WorkspaceName
    amount: Tokens = field(validator=gt(0))
    request: RequestId = ""


class HolderPeers(Protocol):
    """Calls to the other routers that are holders."""

    async def hold(self, peer: str, wanted: WantedHold) -> HoldOutcome:
        """Request a hold from a holder; return `UNAVAILABLE` if no answer arrives."""
        ...

    def settle(self, peer: str, hold: HoldId, charge: Tokens) -> None:
        """Queue a hold's settlement, and send it until the holder confirms it."""
        ...


@define(eq=False)
class RequestHold:
    """The token hold of one request.

    The hold is requested from a holder of the workspace; if none answers, this router
    holds tokens of its own grant.  A router that gets many requests of the workspace
    tries its own grant first.  Either way the tokens belong to exactly one grant.
    So if two routers compute different holders, the only cost is an extra call.

    Attributes:
        workspace: The workspace that owns the tokens.
        open_grant: Returns this router's own grant; None if the workspace has no
            budget any more.
        holders: The other routers to try, in this order; empty if this router is a
            holder.
        peers: Calls to the holders; None if other routers cannot be called.
        hold_id: Identifier of this hold, unique among all routers.
        holder: The other router that holds the tokens; None if there is none.
        own_grant: This router's grant if it holds the tokens, else None.
        own_first: Whether to try this router's own grant before the holders.
    """

    workspace: WorkspaceName
    open_grant: Callable[[], WorkspaceGrant | None]
    holders: Sequence[str]
    peers: HolderPeers | None
    hold_id: HoldId
    holder: str | None = None
    own_grant: WorkspaceGrant | None = None
    own_first: bool = False

    async def hold(self, amount: Tokens, request: RequestId) -> None:
        """Hold tokens for the request.

        Nothing is held if the workspace has no budget any more.

        Args:
            amount: Maximum cost of the request.
            request: Identifier of the request.

        Raises:
            BudgetExhaustedError: The budget cannot cover the request.
            BudgetUnreachableError: The budget may cover it, but the tokens could not
                be obtained in time.
        """
        if self.own_first and self.holders:
            with suppress(BudgetUnreachableError):
                await self.hold_own(amount, request)
                return
        wanted = WantedHold(self.hold_id, self.workspace, amount, request)
        if self.peers is not None and await self.hold_remotely(wanted, self.peers):
            return
        await self.hold_own(amount, request)

    async def hold_own(self, amount: Tokens, request: RequestId) -> None:
        """Hold tokens of this router's own grant; the errors are those of `hold`."""
        grant = self.open_grant()
        if grant is not None:
            await grant.hold(amount, request)
            self.own_grant = grant

    async def hold_remotely(self, wanted: WantedHold, peers: HolderPeers) -> bool:
        """Try the holders in turn; return whether one of them holds the tokens.

        Raises:
            BudgetExhaustedError: A holder answered that the budget cannot cover the
                request.
            BudgetUnreachableError: A holder could not obtain the tokens in time.
        """
        for peer in self.holders[:MAX_HOLDERS_ASKED]:
            outcome = await peers.hold(peer, wanted)
            if outcome is HoldOutcome.UNAVAILABLE:
                continue
            if outcome is HoldOutcome.HELD:
                self.holder = peer
                return True
            self.log_refusal(wanted, peer)
            text = f"{wanted.workspace}: {peer} refused to hold {wanted.amount} tokens"
            if outcome is HoldOutcome.EXHAUSTED:
                raise BudgetExhaustedError(text)
            raise BudgetUnreachableError(text)
        return False

    def log_refusal(self, wanted: WantedHold, peer: str) -> None:
        """Log which holder refused the hold; the holder logs the reason."""
        fields = {"workspace": wanted.workspace, "amount": wanted.amount}
        log.info(
            "hold refused", extra={"request": wanted.request, "holder": peer, **fields}
        )

    def settle(self, hold: Tokens, charge: Tokens) -> None:
        """End the hold and charge the cost of the request, at most the hold."""
        if self.holder is not None and self.peers is not None:
            self.peers.settle(self.holder, self.hold_id, charge)
        elif self.own_grant is not None:
            self.own_grant.settle(hold, charge)
