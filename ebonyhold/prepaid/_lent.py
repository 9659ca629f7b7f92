"""Tokens that are held here for requests at other routers."""

from __future__ import annotations

import logging
from collections.abc import Callable

import anyio
from attrs import define, field, frozen

from ebonyhold.exceptions import BudgetExhaustedError, BudgetUnreachableError
from ebonyhold.prepaid._account import Account
from ebonyhold.prepaid._purse import HoldOutcome, WantedHold
from ebonyhold.types import HoldId, Seconds, Tokens, WorkspaceName

log = logging.getLogger(__name__)

LONGEST_HOLD: Seconds = 60.0
"""How long a hold waits for its settlement before it is charged in full.

Longer than any request lasts: its router was killed, or is cut off from here.
"""

REMEMBERED: Seconds = 10.0
"""How long a settlement is remembered that came before its hold.

A router that gave a question up settles it with nothing, and the question may still be
on its way.
"""


@frozen
class LentHold:
    """Tokens that are set aside for a request at another router."""

    account: Account
    amount: Tokens
    until: Seconds


@define(eq=False)
class LentHolds:
    """Holds and settles for requests at other routers.

    What is held here counts as used within this router's limits before the answer
    leaves, and a hold that nobody settles is charged in full.  So a lost message or a
    killed router costs tokens, and never gives any twice.

    Attributes:
        account: Returns a workspace's account; None if it has no bound.
        closing: Whether this router is about to stop and sends requests elsewhere.
        open: The holds that are not settled.
        settled_early: When settlements came of which no hold is known.
    """

    account: Callable[[WorkspaceName], Account | None]
    closing: Callable[[], bool]
    open: dict[HoldId, LentHold] = field(factory=dict)
    settled_early: dict[HoldId, Seconds] = field(factory=dict)

    async def hold(self, wanted: WantedHold) -> HoldOutcome:
        """Set tokens aside for a request at another router."""
        account = None if self.closing() else self.account(wanted.workspace)
        if account is None:
            return HoldOutcome.UNAVAILABLE
        try:
            await account.hold(wanted.amount, wanted.request)
        except BudgetExhaustedError:
            return HoldOutcome.EXHAUSTED
        except BudgetUnreachableError:
            return HoldOutcome.UNREACHABLE
        if self.settled_early.pop(wanted.hold, None) is not None:
            account.settle(wanted.amount, 0)
            return HoldOutcome.UNAVAILABLE
        until = anyio.current_time() + LONGEST_HOLD
        self.open[wanted.hold] = LentHold(account, wanted.amount, until)
        return HoldOutcome.HELD

    def settle(self, hold: HoldId, charge: Tokens) -> None:
        """End a hold with what its request cost; a second time changes nothing."""
        lent = self.open.pop(hold, None)
        if lent is None:
            self.settled_early[hold] = anyio.current_time()
            return
        lent.account.settle(lent.amount, max(0, min(charge, lent.amount)))

    def expire(self, now: Seconds) -> None:
        """Charge holds in full that nobody settled, and forget early settlements."""
        for hold, lent in list(self.open.items()):
            if now >= lent.until:
                log.warning(
                    "hold not settled", extra={"hold": hold, "charged": lent.amount}
                )
                self.settle(hold, lent.amount)
        self.settled_early = {
            hold: at for hold, at in self.settled_early.items() if now - at < REMEMBERED
        }
