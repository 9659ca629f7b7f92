"""One workspace's grant at one router: holds and transfers."""

from __future__ import annotations

import logging

import anyio
from attrs import define, field

from ebonyhold.exceptions import BudgetExhaustedError, BudgetUnreachableError
from ebonyhold.pauses import was_paused
from ebonyhold.prepaid._grant_rounds import GrantRounds
from ebonyhold.prepaid._row_cache import MAX_REFUSAL_AGE
from ebonyhold.prepaid._small_requests import SmallRequests
from ebonyhold.prepaid._transfers import TransferPeers, choose_givers
from ebonyhold.types import RequestId, Tokens

log = logging.getLogger(__name__)


@define(eq=False)
class WorkspaceGrant(GrantRounds):
    """Manages one workspace's grant at this router.

    Attributes:
        small: Keeps the last tokens of the budget for small requests.
    """

    small: SmallRequests = field(init=False)

    def __attrs_post_init__(self) -> None:
        super().__attrs_post_init__()
        self.small = SmallRequests(self, self.sizes, self.all_sizes)

    def try_hold(self, amount: Tokens) -> bool:
        """Hold tokens if they are available within the limit; return whether held.

        Only successful holds count as demand.  Refused requests are retried at other
        routers; if each router counted them, all would draw in advance on a budget that
        is nearly spent.
        """
        held = self.state.used + amount <= self.limit() and self.state.ledger.hold(
            amount
        )
        if held:
            self.demand.record(amount, anyio.current_time())
        return held

    async def hold(self, amount: Tokens, request: RequestId) -> None:
        """Hold tokens for a request, and draw them first if necessary.

        Args:
            amount: Maximum cost of the request.
            request: Identifier of the request, for logs.

        Raises:
            BudgetExhaustedError: The budget cannot cover the request.
            BudgetUnreachableError: The budget may cover it, but the tokens could not
                be obtained in time.
        """
        self.small.record(amount)
        kept = self.small.kept(amount)
        if await self.small.is_spare(amount, kept) and await self.obtain_hold(
            amount, kept
        ):
            return
        self.log_refusal(amount, request, kept)
        if self.is_exhausted(amount):
            raise BudgetExhaustedError(
                f"{self.workspace}: {amount} tokens exceed the unspent budget"
            )
        raise BudgetUnreachableError(
            f"{self.workspace}: {amount} tokens could not be obtained in time"
        )

    async def obtain_hold(self, amount: Tokens, kept: float) -> bool:
        """Hold tokens that are here, can be drawn, or are passed on by other routers.

        A draw reads the budget anew, and others may have drawn what it had left; so
        what is kept for small requests is looked at again.

        Returns:
            Whether they are held.
        """
        if self.try_hold(amount):
            return True
        if self.is_store_reachable:
            for _ in range(2):
                with anyio.move_on_after(self.options.draw_timeout) as scope:
                    held = await self.draw_hold(amount, kept)
                    if held is not None:
                        return held
                if not was_paused(scope):
                    break
                # The store may have answered in time.
            if self.try_hold(amount):
                return True
        return self.peers is not None and await self.hold_transferred(
            amount, self.peers
        )

    async def draw_hold(self, amount: Tokens, kept: float) -> bool | None:
        """Draw missing tokens and hold them.

        Returns:
            Whether they are held; None if they could not be drawn.
        """
        await self.obtain(amount)
        if not await self.small.is_spare(amount, kept):
            return False
        if self.try_hold(amount):
            return True
        await self.obtain(amount)
        return None

    @property
    def knows_budget(self) -> bool:
        """Whether the budget was read lately, and the store can be reached."""
        return self.is_store_reachable and self.state.cache.age() <= MAX_REFUSAL_AGE

    def is_exhausted(self, amount: Tokens) -> bool:
        """Return whether a request exceeds the budget even if all grants are returned.

        The result is False if the cached budget is unknown or too old to decide.
        """
        prepaid = self.configured.prepaid
        return self.state.cache.is_exhausted(amount, self.state.ledger, prepaid)

    async def hold_transferred(self, amount: Tokens, peers: TransferPeers) -> bool:
        """Request the missing tokens from other routers and try the hold again.

        Other routers may have idle tokens while this one cannot reach the store or the
        budget has none left to draw.

        Returns:
            Whether the tokens are held now.
        """
        offers = await peers.offers(self.workspace)
        for peer in choose_givers(offers, amount - self.usable):
            lacking = amount - self.usable
            if lacking <= 0:
                break
            self.state.receive(await peers.transfer(peer, self.workspace, lacking))
        return self.try_hold(amount)

    @property
    def usable(self) -> Tokens:
        """Number of available tokens that may be used within the current limit."""
        headroom = self.limit() - self.state.used
        return max(0, min(self.state.ledger.available, headroom))

    @property
    def offer(self) -> Tokens:
        """Number of tokens that other routers may request; 0 while shutting down.

        While the store is reachable this includes the remaining tokens of the budget,
        so a router without a connection to the store can draw tokens through this one.
        """
        if self.closing or not self.is_store_reachable:
            return self.own_offer
        return self.own_offer + max(0, self.budget.remaining)

    @property
    def own_offer(self) -> Tokens:
        """The part of `offer` that is in this grant."""
        if self.closing:
            return 0
        return self.state.ledger.available if self.is_store_reachable else self.usable

    async def give(self, amount: Tokens) -> Tokens:
        """Give up to `amount` tokens to another router; draw missing ones first.

        Returns:
            The number of tokens given, which may be less than `amount`; 0 if the
            process is shutting down.
        """
        if amount > self.usable and self.is_store_reachable:
            with anyio.move_on_after(self.options.draw_timeout):
                await self.obtain(amount)
        # The shutdown may have begun to return the grant during the draw.
        given = 0 if self.closing else min(amount, self.usable)
        self.state.give(given)
        return given

    def log_refusal(self, amount: Tokens, request: RequestId, kept: float) -> None:
        """Log a refused hold with the cached budget, the limit and the age of each.

        Args:
            amount: Maximum cost of the request.
            request: Identifier of the request.
            kept: What was kept for small requests.
        """
        budget = self.budget
        log.info(
            "tokens refused",
            extra={
                "request": request,
                "workspace": self.workspace,
                "amount": amount,
                "available": self.state.ledger.available,
                "room": self.limit() - self.state.used,
                "prepaid": budget.prepaid,
                "spent": budget.spent,
                "remaining": budget.remaining,
                "kept": int(kept),
                "budget_age": round(self.state.cache.age(), 2),
                "limit_age": round(self.limits.age(anyio.current_time()), 2),
                "store_reachable": self.is_store_reachable,
            },
        )

    async def obtain(self, amount: Tokens) -> None:
        """Draw missing tokens, and renew the limits if the request exceeds them.

        Both run at the same time.  A failed draw is only logged.
        """
        self.asked += amount
        try:
            async with anyio.create_task_group() as tasks:
                if self.need:
                    tasks.start_soon(self.draw)
                if self.state.used + amount > self.limit():
                    tasks.start_soon(self.renew)
        finally:
            self.asked -= amount
