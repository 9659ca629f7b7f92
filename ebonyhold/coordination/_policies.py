"""Registered grant policies: how much to draw, return, and transfer to peers.

A policy only chooses amounts.  `plan_settlement` enforces the budget's limit whatever
the policy returns, so a bad policy can cause refusals or extra writes but no
overspending.
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
        need: Tokens that waiting requests lack beyond the available ones.
        available: Tokens of this router's grant that are not held.
        rate: Expected demand, in tokens per second.
        typical: Expected size of a hold, in tokens.
        drawn: Tokens drawn from the budget so far, minus the returned ones.
        idle: Seconds since the last request of this workspace.
        routers: Number of routers assumed alive, including this one.
        budget: The budget as last read, or None if it could not be read.
        horizon: How much expected demand a grant covers, in seconds.
        reserve_share: The largest share of an even split of the remaining tokens that a
            grant keeps ahead of need.
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
    """The change that a policy requests: at most one of the amounts is above zero."""

    draw: Tokens = 0
    give_back: Tokens = 0


class GrantPolicy(Protocol):
    """Sizes the grants of one router.

    Attributes:
        asks_peers: Whether routers that lack tokens request them from peers.
        patience: How long a request waits for tokens that other routers may return,
            while the table can be read, in seconds.
    """

    asks_peers: bool
    patience: Seconds

    def size(self, view: GrantView) -> GrantSize:
        """Return how much to draw from the budget or to return to it."""
        ...

    def give(self, view: GrantView, wanted: Tokens) -> Tokens:
        """Return how many of the available tokens to give to another router."""
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


class AloneMixin:
    """Base for policies without transfers between routers."""

    asks_peers = False
    patience: Seconds = 0.0

    def give(self, view: GrantView, wanted: Tokens) -> Tokens:
        """Give nothing."""
        del view, wanted
        return 0


@grant_policy("table_call")
class TableCall(AloneMixin):
    """Draws tokens for each request from the table and keeps none ahead of need."""

    def size(self, view: GrantView) -> GrantSize:
        """Draw the tokens that are needed, or return all available ones."""
        if view.need:
            return GrantSize(draw=view.need)
        return GrantSize(give_back=view.available)


@grant_policy("static_split")
class StaticSplit(AloneMixin):
    """Draws an equal share of the budget for each router once, and keeps it."""

    def size(self, view: GrantView) -> GrantSize:
        """Draw the rest of an equal share of all prepaid tokens."""
        if not view.need or view.budget is None:
            return GrantSize()
        share = view.budget.prepaid // max(view.routers, 1)
        return GrantSize(draw=max(share - view.drawn, 0))


FIXED_GRANT = 20_000
"""Tokens drawn at once by the fixed policy."""


@grant_policy("fixed_grant")
class FixedGrant(AloneMixin):
    """Draws multiples of a fixed amount."""

    def size(self, view: GrantView) -> GrantSize:
        """Draw the smallest multiple of the fixed amount that covers the need."""
        if not view.need:
            return GrantSize()
        count = -(-view.need // FIXED_GRANT)
        return GrantSize(draw=count * FIXED_GRANT)


@grant_policy("adaptive")
class Adaptive(AloneMixin):
    """Sizes a grant to cover the expected demand, less as the budget runs out.

    While the budget is ample, idle tokens in grants have no cost, and they serve
    callers during an outage of the table.  When the budget is nearly used up, each idle
    token here causes refusals elsewhere, so the grant shrinks to the need of the
    waiting requests.
    """

    patience: Seconds = 2.0

    refill_below = 0.8
    """A grant is refilled when it falls below this share of the wanted grant."""

    return_above = 1.5
    """Tokens above the wanted grant times this are returned."""

    scarce_below: Seconds = 120.0
    """If the budget lasts no longer than this, no tokens are kept ahead of need.

    The time is that in which the expected demand of this router uses up an even split
    of the remaining tokens.
    """

    ample_above: Seconds = 450.0
    """If the budget lasts at least this long, a grant may take its full share of it."""

    def size(self, view: GrantView) -> GrantSize:
        """Draw up to the wanted grant, or return what exceeds it."""
        wanted = self.wanted(view)
        if view.need:
            return GrantSize(draw=view.need + wanted)
        if view.available < self.refill_below * wanted:
            return GrantSize(draw=wanted - view.available)
        if view.available > self.return_above * wanted:
            return GrantSize(give_back=view.available - wanted)
        return GrantSize()

    def wanted(self, view: GrantView) -> Tokens:
        """Return the tokens that should be available after the change."""
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
    """The share of the available tokens that a peer may get beyond what it lacks."""

    give_multiple = 4
    """A peer gets this many times what it lacks, within `give_share`.

    A further request for each later hold would cost a round trip each.
    """

    def give(self, view: GrantView, wanted: Tokens) -> Tokens:
        """Give what the peer lacks, and more if enough is available."""
        if view.need:
            return 0
        extra = min(self.give_multiple * wanted, int(view.available * self.give_share))
        return max(extra, min(wanted, view.available))
