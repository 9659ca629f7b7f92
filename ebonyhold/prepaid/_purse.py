"""One request's prepaid tokens, held at this router or at a holder of its workspace."""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence
from enum import Enum
from typing import Protocol

from attrs import define, field, frozen
from attrs.validators import gt

from ebonyhold.exceptions import BudgetExhaustedError, BudgetUnreachableError
from ebonyhold.prepaid._account import Account
from ebonyhold.types import HoldId, RequestId, Tokens, WorkspaceName

log = logging.getLogger(__name__)

MOST_ASKED = 3
"""Holders that are asked for one request, one after the other.

One that does not answer costs the request some of its time; three that do not are a
sign that this router is cut off from the others.
"""


class HoldOutcome(Enum):
    """What a holder did about a request for tokens."""

    HELD = "held"
    EXHAUSTED = "exhausted"
    UNREACHABLE = "unreachable"
    UNAVAILABLE = "unavailable"
    """It neither looked nor held; another router may."""


@frozen
class WantedHold:
    """Tokens that a router asks a holder to set aside.

    Attributes:
        hold: Which hold of the asking router; a caller chooses the identifier of its
            request, and two requests that bear the same must not end each other's hold.
        workspace: Whose tokens.
        amount: How many.
        request: The request that needs them, for logs.
    """

    hold: HoldId
    workspace: WorkspaceName
    amount: Tokens = field(validator=gt(0))
    request: RequestId = ""


class HolderPeers(Protocol):
    """The holders at other routers, as a request needs them."""

    async def hold(self, peer: str, wanted: WantedHold) -> HoldOutcome:
        """Have a holder set tokens aside; without an answer it is unavailable."""
        ...

    def settle(self, peer: str, hold: HoldId, charge: Tokens) -> None:
        """Have a holder told soon what a hold cost, again until it has heard it."""
        ...


@define(eq=False)
class RequestPurse:
    """Where the tokens of one request are held.

    A holder is asked; where none answers, the router's own account draws.  Tokens are
    in exactly one grant in any case, so a router that takes somebody else for a holder
    than its neighbours do costs a call and nothing else.

    Attributes:
        workspace: Whose tokens.
        open_account: Returns this router's own account; None if there is no bound any
            more.
        holders: The other routers to ask, in this order; none if this one holds.
        peers: How they are asked.
        hold_id: Tells this hold from all others, of other routers too.
        holder: The other router that holds the tokens, if one does.
        account: The account here that does.
    """

    workspace: WorkspaceName
    open_account: Callable[[], Account | None]
    holders: Sequence[str]
    peers: HolderPeers | None
    hold_id: HoldId
    holder: str | None = None
    account: Account | None = None

    async def hold(self, amount: Tokens, request: RequestId) -> None:
        """Set tokens aside for a request.

        Args:
            amount: The most that it can cost.
            request: Its identifier.

        Raises:
            BudgetExhaustedError: The budget surely cannot cover it.
            BudgetUnreachableError: Tokens may exist, but not at hand.
        """
        wanted = WantedHold(self.hold_id, self.workspace, amount, request)
        if self.peers is not None and await self.hold_elsewhere(wanted, self.peers):
            return
        account = self.open_account()
        if account is not None:
            await account.hold(amount, request)
            self.account = account

    async def hold_elsewhere(self, wanted: WantedHold, peers: HolderPeers) -> bool:
        """Ask the holders in turn; tell whether one of them holds the tokens.

        Raises:
            BudgetExhaustedError: A holder knows that the budget cannot cover it.
            BudgetUnreachableError: A holder found no tokens in reach.
        """
        for peer in self.holders[:MOST_ASKED]:
            outcome = await peers.hold(peer, wanted)
            if outcome is HoldOutcome.UNAVAILABLE:
                continue
            if outcome is HoldOutcome.HELD:
                self.holder = peer
                return True
            self.log_refusal(wanted, peer)
            text = f"{wanted.workspace}: {wanted.amount} refused by {peer}"
            if outcome is HoldOutcome.EXHAUSTED:
                raise BudgetExhaustedError(text)
            raise BudgetUnreachableError(text)
        return False

    def log_refusal(self, wanted: WantedHold, peer: str) -> None:
        """Write the line that leads to the holder whose log says why."""
        fields = {"workspace": wanted.workspace, "amount": wanted.amount}
        log.info(
            "hold refused", extra={"request": wanted.request, "holder": peer, **fields}
        )

    def settle(self, hold: Tokens, charge: Tokens) -> None:
        """End the hold with what the request cost."""
        if self.holder is not None and self.peers is not None:
            self.peers.settle(self.holder, self.hold_id, charge)
        elif self.account is not None:
            self.account.settle(hold, charge)
