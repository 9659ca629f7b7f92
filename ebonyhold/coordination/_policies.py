"""Registered policies that size grants: how much to draw, return and give away.

A policy only chooses amounts.  Whatever it answers, `plan_settlement` keeps the
budget's inequality, so a poor policy costs refusals or writes, never overspend.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol, TypeVar

from attrs import frozen

from ebonyhold.coordination._rows import BudgetRow
from ebonyhold.types import Seconds, Tokens


@frozen
class GrantView:
    """What a policy may look at.

    Attributes:
        need: Tokens that waiting requests lack, the available ones counted in.
        available: Tokens of the own grant that nobody holds.
        rate: Expected demand, in tokens a second.
        typical: An expected hold, in tokens.
        drawn: Tokens drawn from the budget so far, less what was returned.
        idle: Seconds since the last request of this workspace.
        routers: Routers believed alive, this one counted.
        budget: The budget as last read, or None when it could not be read.
        horizon: How much expected demand a grant covers, in seconds.
        reserve_share: The largest part of an even share of what remains that a
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
    """What a policy wants: at most one of the two is above zero."""

    draw: Tokens = 0
    give_back: Tokens = 0


class GrantPolicy(Protocol):
    """Sizes the grants of one router.

    Attributes:
        asks_peers: Whether routers that lack tokens ask each other.
        patience: How long a request waits for tokens that others may return,
            while the table can be read, in seconds.
    """

    asks_peers: bool
    patience: Seconds

    def size(self, view: GrantView) -> GrantSize:
        """Say how much to draw from the budget or to return to it."""
        ...

    def give(self, view: GrantView, wanted: Tokens) -> Tokens:
        """Say how much of the available tokens another router may have."""
        ...


P = TypeVar("P")

grant_policies: dict[str, GrantPolicy] = {}
"""The registered policies by name."""


def grant_policy(name: str) -> Callable[[type[P]], type[P]]:
    """Register a class of `GrantPolicy` under a name."""

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
    """For policies whose routers do not ask each other."""

    asks_peers = False
    patience: Seconds = 0.0

    def give(self, view: GrantView, wanted: Tokens) -> Tokens:
        """Give nothing."""
        del view, wanted
        return 0


@grant_policy("table_call")
class TableCall(AloneMixin):
    """Every request draws from the table what it holds, and nothing is kept."""

    def size(self, view: GrantView) -> GrantSize:
        """Draw what is needed; return all that is free."""
        if view.need:
            return GrantSize(draw=view.need)
        return GrantSize(give_back=view.available)


@grant_policy("static_split")
class StaticSplit(AloneMixin):
    """Every router takes an equal share of the budget, once, and keeps it."""

    def size(self, view: GrantView) -> GrantSize:
        """Draw what is missing from an equal share of all that was prepaid."""
        if not view.need or view.budget is None:
            return GrantSize()
        share = view.budget.prepaid // max(view.routers, 1)
        return GrantSize(draw=max(share - view.drawn, 0))


FIXED_GRANT = 20_000
"""Tokens of one grant of the fixed policy."""


@grant_policy("fixed_grant")
class FixedGrant(AloneMixin):
    """Every draw takes the same amount; surplus returns when idle."""

    def size(self, view: GrantView) -> GrantSize:
        """Draw whole grants."""
        if not view.need:
            return GrantSize()
        count = -(-view.need // FIXED_GRANT)
        return GrantSize(draw=count * FIXED_GRANT)


@grant_policy("adaptive")
class Adaptive(AloneMixin):
    """A grant covers the expected demand of a while, less as the budget empties.

    With plenty left, tokens lying in grants hurt nobody, and they are what
    serves callers through an outage of the table.  Near the end of a budget
    every token that lies idle here is a refusal elsewhere, so the grant
    shrinks to what the requests themselves need.
    """

    patience: Seconds = 2.0

    keep_below = 0.8
    """A new draw comes before this part of the wanted grant is used up."""

    return_above = 1.5
    """What exceeds this many wanted grants goes back."""

    scarce: Seconds = 120.0
    """A budget that would last no longer than this is kept in the table."""

    ample: Seconds = 450.0
    """A budget that would last this long is spread over the routers in full."""

    def size(self, view: GrantView) -> GrantSize:
        """Draw up to the wanted grant, or return what exceeds it."""
        wanted = self.wanted(view)
        if view.need:
            return GrantSize(draw=view.need + wanted)
        if view.available < self.keep_below * wanted:
            return GrantSize(draw=wanted - view.available)
        if view.available > self.return_above * wanted:
            return GrantSize(give_back=view.available - wanted)
        return GrantSize()

    def wanted(self, view: GrantView) -> Tokens:
        """Return the tokens that should be available after this."""
        demand = view.rate * view.horizon
        if view.budget is None:
            return int(demand)
        # The own free tokens count as remaining: otherwise two reads of one
        # state would disagree about what the share is a part of.
        left = max(view.budget.remaining, 0) + view.available
        even = left / max(view.routers, 1)
        lasts = even / view.rate if view.rate else self.ample
        spread = (lasts - self.scarce) / (self.ample - self.scarce)
        share = view.reserve_share * min(max(spread, 0.0), 1.0)
        return int(min(demand, share * even))


@grant_policy("adaptive_transfer")
class AdaptiveTransfer(Adaptive):
    """Adaptive grants; routers that lack tokens ask each other."""

    asks_peers = True

    give_share = 0.5
    """The part of the free tokens that a peer may take beyond what it lacks."""

    ahead = 4
    """A peer gets this many times what it lacks, while that is no more than its part.

    Asking again for every request would cost each of them a round trip.
    """

    def give(self, view: GrantView, wanted: Tokens) -> Tokens:
        """Give what is lacking, and some more if there is plenty."""
        if view.need:
            return 0
        ample = min(self.ahead * wanted, int(view.available * self.give_share))
        return max(ample, min(wanted, view.available))
