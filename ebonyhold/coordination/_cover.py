"""A grant policy for budgets that are large against requests but soon used up."""

from __future__ import annotations

from ebonyhold.coordination._policies import (
    AloneMixin,
    GrantSize,
    GrantView,
    grant_policy,
)
from ebonyhold.types import Seconds, Tokens


@grant_policy("outage_cover")
class OutageCover(AloneMixin):
    """A grant covers the demand of one outage, and at most half an even share.

    A router that dies strands what it holds, and a router that is cut off from
    the table refuses what it does not hold.  Covering one outage bounds the
    first by the demand of those seconds; halving the even share as the budget
    empties moves what is left to where the requests are.
    """

    patience: Seconds = 0.25

    first_requests = 4
    """Requests of the first one's size that a first grant covers.

    Nothing is known of the demand then, and each of the next requests would
    have to wait for the table.
    """

    share = 0.5
    """The part of an even share that is kept ahead of need."""

    keep_below = 0.7
    """A new draw comes before this part of the wanted grant is used up.

    Higher means more calls to the table, lower less cover in an outage.
    """

    return_above = 2.0
    """What exceeds this many wanted grants goes back."""

    def size(self, view: GrantView) -> GrantSize:
        """Draw up to the wanted grant, or return what exceeds it."""
        wanted = self.wanted(view)
        left = max(view.budget.remaining, 0) if view.budget else 0
        if view.need:
            return GrantSize(draw=min(view.need + wanted, left))
        if view.available < self.keep_below * wanted:
            return GrantSize(draw=min(wanted - view.available, left))
        if view.available > self.return_above * max(wanted, view.typical):
            return GrantSize(give_back=view.available - wanted)
        return GrantSize()

    def wanted(self, view: GrantView) -> Tokens:
        """Return the tokens that should be available after this."""
        demand = max(view.rate * view.horizon, self.first_requests * view.typical)
        if view.budget is None:
            return int(demand)
        left = max(view.budget.remaining, 0) + view.available
        even = left / max(view.routers, 1)
        return int(min(demand, self.share * even))
