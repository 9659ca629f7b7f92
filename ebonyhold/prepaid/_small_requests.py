"""Keeps the last tokens of one budget for small requests, at one router."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import anyio
from attrs import define, field

from ebonyhold.coordination import BudgetRow
from ebonyhold.prepaid._budget_end import SteadyRate, is_at_end
from ebonyhold.prepaid._grant_state import GrantState
from ebonyhold.prepaid._last_tokens import KEPT_FOR, SizeDemand, kept_for_small
from ebonyhold.prepaid._transfers import TransferPeers
from ebonyhold.types import Tokens, WorkspaceName

AMPLE_PART = 0.5
"""A grant that has this fraction of what is kept for small requests need not ask the
other routers what they have."""


class KeepingGrant(Protocol):
    """What is read of the grant whose tokens are kept."""

    workspace: WorkspaceName
    routers: Callable[[], int]
    reached: Callable[[], int] | None
    peers: TransferPeers | None
    state: GrantState
    asked: Tokens

    @property
    def configured(self) -> BudgetRow:
        """The cached budget, with the prepaid tokens that are configured here."""
        ...

    @property
    def own_offer(self) -> Tokens:
        """Number of tokens of this grant that other routers may request."""
        ...


@define(eq=False)
class SmallRequests:
    """Decides which requests must leave the last tokens of a budget to small ones.

    Attributes:
        grant: The grant at this router.
        sizes: The workspace's demand at this router by the size of requests.
        all_sizes: The same of all workspaces.
        steady: The workspace's demand at this router, without bursts.
    """

    grant: KeepingGrant
    sizes: SizeDemand
    all_sizes: SizeDemand
    steady: SteadyRate = field(factory=SteadyRate)

    def reached(self) -> int:
        """Return how many routers get as many requests as this one."""
        return (self.grant.reached or self.grant.routers)()

    def record(self, amount: Tokens) -> None:
        """Count a request, whether it is served or not."""
        now = anyio.current_time()
        self.sizes.record(amount, now)
        self.all_sizes.record(amount, now)
        self.steady.record(amount, now)

    def kept(self, amount: Tokens) -> float:
        """Return how many tokens of the budget are kept from a request.

        Nothing is kept of a budget that is forecast to last: `budget_ends`.
        """
        if not self.budget_ends():
            return 0.0
        rate = self.sizes.rate(anyio.current_time()) * self.reached()
        prepaid = self.grant.configured.prepaid
        return kept_for_small(amount, prepaid, rate, self.sizes, self.all_sizes)

    def budget_ends(self) -> bool:
        """Return whether the budget is forecast to be used up within `KEPT_FOR`.

        The prepaid tokens are those of the latest configuration, so a budget that the
        operator tops up is not at its end any more.
        """
        rate = self.steady.rate(anyio.current_time())
        fleet_rate = None if rate is None else rate * self.reached()
        prepaid = self.grant.configured.prepaid
        return is_at_end(self.unspent(), prepaid, fleet_rate, KEPT_FOR)

    def unspent(self) -> float:
        """Return how many tokens of the budget are expected to be unspent.

        Charges that other routers have not filed, and their holds, are taken to be as
        large as here.  What this router sees is unspent in any case.
        """
        budget, ledger = self.grant.configured, self.grant.state.ledger
        in_use = (ledger.unfiled + ledger.held) * self.reached()
        seen = max(0, budget.remaining) + ledger.available
        return max(budget.prepaid - budget.spent - in_use, seen)

    async def is_spare(self, amount: Tokens, kept: float) -> bool:
        """Return whether a request leaves what is kept for small ones."""
        return self.has_spare(amount, kept) or await self.fleet_has_spare(amount, kept)

    def has_spare(self, amount: Tokens, kept: float) -> bool:
        """Return whether a request leaves what is kept, by what is known here.

        Enough is left in the budget and in this grant, or this grant alone has
        `AMPLE_PART` of it.  A budget that was not read yet is taken to have enough.
        """
        if not kept or self.grant.state.cache.rows is None:
            return True
        left = self.grant.state.ledger.available - self.grant.asked - amount
        in_budget = max(0, self.grant.configured.remaining)
        return left + in_budget >= kept or left >= AMPLE_PART * kept

    async def fleet_has_spare(self, amount: Tokens, kept: float) -> bool:
        """Return whether a request leaves what is kept, with what others offer."""
        grant = self.grant
        if grant.peers is None:
            return False
        offers = await grant.peers.offers(grant.workspace)
        in_budget = max(0, grant.configured.remaining)
        elsewhere = sum(offer.without_budget(in_budget) for offer in offers)
        left = grant.own_offer + in_budget + elsewhere - grant.asked - amount
        return left >= kept
