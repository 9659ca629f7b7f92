"""Holds at this router for requests at other routers."""

from __future__ import annotations

import logging
from collections.abc import Callable

import anyio
from attrs import define, field, frozen

from ebonyhold.exceptions import BudgetExhaustedError, BudgetUnreachableError
from ebonyhold.prepaid._request_hold import HoldOutcome, WantedHold
from ebonyhold.prepaid._workspace_grant import WorkspaceGrant
from ebonyhold.types import HoldId, Seconds, Tokens, WorkspaceName

log = logging.getLogger(__name__)

MAX_HOLD_AGE: Seconds = 60.0
"""Time after which a hold that was not settled is charged in full.

No request lasts that long, so the requesting router was killed or cannot reach this
one.
"""

EARLY_SETTLEMENT_TTL: Seconds = 10.0
"""How long a settlement of an unknown hold is remembered.

A router that stops waiting for a hold settles the hold with a charge of 0.  If its
request for the hold arrives only later, the hold is released at once.
"""


@frozen
class RemoteHold:
    """Tokens set aside for a request at another router.

    Attributes:
        grant: The grant whose tokens are held.
        amount: Number of tokens.
        expires_at: When the hold is charged in full if it was not settled.
    """

    grant: WorkspaceGrant
    amount: Tokens
    expires_at: Seconds


@define(eq=False)
class RemoteHolds:
    """Sets tokens aside for requests at other routers, and settles these holds.

    Held tokens count as used, within this router's limits, before the answer is sent,
    and a hold that is never settled is charged in full.  So after a lost message or a
    kill some unspent tokens may count as spent, but no token is spent twice.

    Attributes:
        find_grant: Returns this router's grant of a workspace; None if the workspace
            has no budget.
        closing: Returns whether this router is about to stop.  It then answers
            `UNAVAILABLE`, so that other routers are tried.
        open: The holds that are not settled.
        early_settlements: Arrival times of settlements of unknown holds.
    """

    find_grant: Callable[[WorkspaceName], WorkspaceGrant | None]
    closing: Callable[[], bool]
    open: dict[HoldId, RemoteHold] = field(factory=dict)
    early_settlements: dict[HoldId, Seconds] = field(factory=dict)

    async def hold(self, wanted: WantedHold) -> HoldOutcome:
        """Set tokens aside for a request at another router.

        Returns:
            `HELD`, or why not: `EXHAUSTED` or `UNREACHABLE` if the grant refused, and
            `UNAVAILABLE` if this router cannot reach the store, is about to stop, the
            workspace has no budget, or the hold's settlement has already arrived.
        """
        grant = None if self.closing() else self.find_grant(wanted.workspace)
        if grant is None:
            return HoldOutcome.UNAVAILABLE
        try:
            await grant.hold(wanted.amount, wanted.request)
        except BudgetExhaustedError:
            return HoldOutcome.EXHAUSTED
        except BudgetUnreachableError:
            # Others may know of tokens that the budget has left.
            if not grant.knows_budget:
                return HoldOutcome.UNAVAILABLE
            return HoldOutcome.UNREACHABLE
        if self.early_settlements.pop(wanted.hold, None) is not None:
            grant.settle(wanted.amount, 0)
            return HoldOutcome.UNAVAILABLE
        expires_at = anyio.current_time() + MAX_HOLD_AGE
        self.open[wanted.hold] = RemoteHold(grant, wanted.amount, expires_at)
        return HoldOutcome.HELD

    def settle(self, hold: HoldId, charge: Tokens) -> None:
        """End a hold and charge `charge`, limited to the range from 0 to the hold.

        The settlement of an unknown hold charges nothing.  Such a settlement was sent
        twice, or arrived after the hold expired or before the request for the hold.
        """
        remote = self.open.pop(hold, None)
        if remote is None:
            self.early_settlements[hold] = anyio.current_time()
            return
        remote.grant.settle(remote.amount, max(0, min(charge, remote.amount)))

    def expire(self, now: Seconds) -> None:
        """Charge expired holds in full, and forget old settlements of unknown holds."""
        for hold, remote in list(self.open.items()):
            if now >= remote.expires_at:
                log.warning(
                    "hold not settled", extra={"hold": hold, "charged": remote.amount}
                )
                self.settle(hold, remote.amount)
        self.early_settlements = {
            hold: at
            for hold, at in self.early_settlements.items()
            if now - at < EARLY_SETTLEMENT_TTL
        }
