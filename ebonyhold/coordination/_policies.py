"""Registered grant policies: how much to draw, return, and transfer to peers.

A policy only chooses amounts.  `plan_settlement` enforces the budget's limit whatever
the policy returns, so a bad policy can cause refused requests or extra writes to the
table, but no overspending.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol, TypeVar

from attrs import frozen

from ebonyhold.coordination._rows import BudgetRow
from ebonyhold.types import Seconds, Tokens


@frozen
class GrantView:
    """The input of a grant policy.

    Attributes:
        need: Tokens that waiting requests need in addition to the available ones.
        available: Tokens of this router's grant that are not held.
        rate: Expected demand, in tokens per second.
        typical: Expected size of a hold, in tokens.
        drawn: Tokens drawn from the budget so far, minus the returned ones.
        idle: Seconds since the last request of this workspace.
        routers: Number of routers assumed alive, including this one.
        budget: The budget as last read, or None if it could not be read.
        horizon: How much expected demand a grant covers, in seconds.
        reserve_share: The maximum share of an even split of the remaining tokens that a
            grant holds while no request waits for tokens.
    """

    need: Tokens = 0
    available: Tokens = 0
    rate: float = 0.0
    typical: Tokens = 0
    drawn: Tokens = 0
    idle: Seconds = 0.0
    routers: int = 1
    budget: BudgetRow | None = None
    horizon: Seconds = 3600.0
    reserve_share: float = 0.95


@frozen
class GrantSize:
    """The change that a policy requests: a draw, a return, or none if both are 0."""

    draw: Tokens = 0
    give_back: Tokens = 0


class GrantPolicy(Protocol):
    """Sizes the grants of one router, and the transfers that it gives to peers.

    Attributes:
        asks_peers: Whether routers that lack tokens request them from peers.
        wait_timeout: How long a request waits for tokens that other routers may return,
            while the table can be read, in seconds.
    """

    asks_peers: bool
    wait_timeout: Seconds

    def size(self, view: GrantView) -> GrantSize:
        """Return how much to draw from the budget or to return to it."""
        ...

    def give(self, view: GrantView, wanted: Tokens) -> Tokens:
        """Return how many available tokens to give to a peer that requests `wanted`."""
        ...


P = TypeVar("P")

grant_policies: dict[str, GrantPolicy] = {}
"""The registered policies by name."""


def grant_policy(name: str) -> Callable[[type[P]], type[P]]:
    """Return a decorator that registers an instance of a `GrantPolicy` class."""

    def register(policy: type[P]) -> type[P]:
        grant_policies[name] = policy()  # type: ignore[assignment]
        return policy

    return register


def find_grant_policy(name: str) -> GrantPolicy:
    """Return a registered policy.

    Raises:
        KeyError: No policy has that name.
    """
    return grant_policies[name]


class NoTransferMixin:
    """Base for policies without transfers between routers."""

    asks_peers = False
    wait_timeout: Seconds = 0.0

    def give(self, view: GrantView, wanted: Tokens) -> Tokens:
        """Return 0, because this policy makes no transfers."""
        del view, wanted
        return 0


@grant_policy("table_call")
class TableCall(NoTransferMixin):
    """Draws the tokens of each request from the table, and returns unused ones."""

    def size(self, view: GrantView) -> GrantSize:
        """Return a draw of the needed tokens, or a return of all available ones."""
        if view.need:
            return GrantSize(draw=view.need)
        return GrantSize(give_back=view.available)


@grant_policy("static_split")
class StaticSplit(NoTransferMixin):
    """Draws an equal share of the prepaid tokens at the first request, and keeps it."""

    def size(self, view: GrantView) -> GrantSize:
        """Return a draw of the part of the equal share that was not drawn yet."""
        if not view.need or view.budget is None:
            return GrantSize()
        share = view.budget.prepaid // max(view.routers, 1)
        return GrantSize(draw=max(share - view.drawn, 0))


FIXED_GRANT = 20_000
"""Size of one draw of the fixed policy, in tokens."""


@grant_policy("fixed_grant")
class FixedGrant(NoTransferMixin):
    """Draws multiples of a fixed amount."""

    def size(self, view: GrantView) -> GrantSize:
        """Return a draw of the smallest multiple that covers the need."""
        if not view.need:
            return GrantSize()
        count = -(-view.need // FIXED_GRANT)
        return GrantSize(draw=count * FIXED_GRANT)


@grant_policy("adaptive")
class Adaptive(NoTransferMixin):
    """Sizes a grant to cover the expected demand, less as the budget runs out.

    While the budget is ample, idle tokens in grants cost nothing, and they serve
    callers during an outage of the table.  When the budget is nearly used up, idle
    tokens at one router cause refusals at others, so a router holds only what its
    waiting requests need.
    """

    wait_timeout: Seconds = 2.0

    refill_below = 0.8
    """A grant is refilled when it falls below this share of the wanted grant."""

    return_above = 1.5
    """Tokens above the wanted grant times this are returned."""

    scarce_below: Seconds = 120.0
    """If the budget lasts no longer than this, only waiting requests get tokens.

    The budget is taken to last until the expected demand of this router has used up an
    even split of the remaining tokens.
    """

    ample_above: Seconds = 450.0
    """If the budget lasts at least this long, a grant may take `reserve_share`.

    Between the two times, the share grows linearly from 0.
    """

    def size(self, view: GrantView) -> GrantSize:
        """Return the change that restores the wanted level of available tokens.

        If requests wait, their need is drawn in addition.  Otherwise nothing changes
        while the level is between `refill_below` and `return_above` times the wanted
        one.
        """
        wanted = self.wanted(view)
        if view.need:
            return GrantSize(draw=view.need + wanted)
        if view.available < self.refill_below * wanted:
            return GrantSize(draw=wanted - view.available)
        if view.available > self.return_above * wanted:
            return GrantSize(give_back=view.available - wanted)
        return GrantSize()

    def wanted(self, view: GrantView) -> Tokens:
        """Return the tokens that should be available after the draw or return."""
        demand = view.rate * view.horizon
        if view.budget is None:
            return int(demand)
        # This router's available tokens count as remaining.  Otherwise the result would
        # depend on how the same tokens are divided between budget and grant.
        left = max(view.budget.remaining, 0) + view.available
        even = left / max(view.routers, 1)
        lasts = even / view.rate if view.rate else self.ample_above
        fraction = (lasts - self.scarce_below) / (self.ample_above - self.scarce_below)
        share = view.reserve_share * min(max(fraction, 0.0), 1.0)
        return int(min(demand, share * even))


@grant_policy("adaptive_transfer")
class AdaptiveTransfer(Adaptive):
    """Adaptive grants, with transfers between routers."""

    asks_peers = True

    give_share = 0.5
    """A peer gets more than it lacks only up to this share of the available tokens."""

    give_multiple = 4
    """A peer gets this many times what it lacks, within `give_share`.

    Otherwise each later hold of the peer would cost another round trip.
    """

    def give(self, view: GrantView, wanted: Tokens) -> Tokens:
        """Return how many tokens to give: at least `wanted`, or all available if fewer.

        `give_multiple` times `wanted` is given if that is at most the share
        `give_share` of the available tokens; otherwise that share is given, if it is
        more than `wanted`.

        The result is 0 while this router's own requests wait for tokens.
        """
        if view.need:
            return 0
        extra = min(self.give_multiple * wanted, int(view.available * self.give_share))
        return max(extra, min(wanted, view.available))
