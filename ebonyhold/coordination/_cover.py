"""Grant policy that covers the demand during an outage of the table."""

from __future__ import annotations

import math

from ebonyhold.coordination._policies import (
    GrantSize,
    GrantView,
    NoTransferMixin,
    grant_policy,
)
from ebonyhold.types import Seconds, Tokens

DEVIATIONS = 1.5
"""A grant covers the mean demand plus this many standard deviations.

Requests are few and large: during an outage a router receives about two requests of one
workspace, and often four.
"""


BASE_SHARE_DIVISOR = 4.0
"""A grant covers at least an even share of the unspent budget divided by this.

This minimum serves the first requests of a workspace at a router that has received few
or none of its requests before.
"""


def outage_cover(view: GrantView) -> float:
    """Return the tokens that cover the demand during most outages.

    This is the expected demand with a margin of `DEVIATIONS`, plus one typical request,
    but at least the minimum share of the budget.
    """
    mean = view.rate * view.horizon
    deviation = math.sqrt(mean * view.typical)
    unspent = view.budget.prepaid - view.budget.spent if view.budget else 0
    base_share = max(0, unspent) / (BASE_SHARE_DIVISOR * max(1, view.routers))
    return max(mean + DEVIATIONS * deviation + view.typical, base_share)


@grant_policy("outage_cover")
class OutageCover(NoTransferMixin):
    """Sizes a grant to cover the demand of one outage, less as the budget runs out.

    A router that cannot reach the table can only serve from the tokens it holds, so
    each router holds the expected demand of its own callers during an outage.  When few
    tokens remain in the budget, idle tokens at one router cause refusals at another.
    All routers read the remaining tokens, and then reduce their grants in proportion.
    """

    wait_timeout: Seconds = 0.25

    ample_share = 0.4
    """The share of the unspent tokens that should stay in the budget.

    If less is left, all grants shrink in proportion.  The tokens left in the budget
    serve routers with empty grants while the table can be reached.
    """

    refill_below = 0.8
    """A grant is refilled when it falls below this share of the wanted grant.

    A higher value costs more calls to the table, a lower one covers less of an outage.
    """

    min_draw_requests = 2.0
    """A draw that no request waits for adds at least this many typical requests.

    Without it, a router that gets a request of a workspace every five seconds would
    draw for each one, and a large fleet would use up the table's rate limit.
    """

    always_draw_below = 0.3
    """Below this share of the wanted grant, a draw may be smaller than that minimum.

    A router whose wanted grant is a single request would otherwise never draw it.
    """

    return_above = 1.4
    """Tokens are returned when more than the following are available.

    This many times the wanted grant, plus one request of the typical size.
    """

    def size(self, view: GrantView) -> GrantSize:
        """Return the change that restores the wanted level of available tokens.

        If requests wait, their need is drawn in addition.  Otherwise nothing changes
        while the level is within the tolerances.
        """
        wanted = self.wanted(view)
        left = max(view.budget.remaining, 0) if view.budget else 0
        if view.need:
            return GrantSize(draw=min(view.need + wanted, left))
        if view.available < self.refill_level(wanted, view.typical):
            return GrantSize(draw=min(wanted - view.available, left))
        if view.available > self.return_level(wanted, left, view.typical):
            return GrantSize(give_back=view.available - wanted)
        return GrantSize()

    def refill_level(self, wanted: Tokens, typical: Tokens) -> float:
        """Return the level of available tokens below which more are drawn."""
        min_draw_level = wanted - self.min_draw_requests * typical
        return max(
            self.always_draw_below * wanted,
            min(self.refill_below * wanted, min_draw_level),
        )

    def return_level(self, wanted: Tokens, left: Tokens, typical: Tokens) -> float:
        """Return the level of available tokens above which some are returned.

        When the budget itself cannot serve a typical request, tokens kept at one router
        cause refusals at another.  With the usual level, 12 routers together can keep
        5% of a spent budget, because each holds too little to return any.
        """
        if left < typical:
            return wanted + typical / 2
        return self.return_above * wanted + typical

    def wanted(self, view: GrantView) -> Tokens:
        """Return the tokens that should be available after the draw or return."""
        cover = outage_cover(view)
        return int(min(cover, self.affordable_cover(cover, view)))

    def affordable_cover(self, cover: float, view: GrantView) -> float:
        """Return how much of the cover the remaining budget allows, in tokens.

        The calculation uses the tokens that would be left in the budget after the draw
        or return.  If it used the tokens left before the change, a router that holds
        most of a budget would alternately return all of its tokens and draw them again,
        and its grant would be empty in half of the outages.
        """
        if view.budget is None:
            return cover
        unspent = view.budget.prepaid - view.budget.spent
        if unspent <= 0:
            return 0.0
        free = max(view.budget.remaining, 0) + view.available
        return cover * free / (unspent * self.ample_share + cover)
