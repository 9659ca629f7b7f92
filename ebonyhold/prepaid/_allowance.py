"""How much a router lets itself use of a grant before it can say so again.

What it allows itself serves requests in an outage of the store, and is lost if the
router is killed: nobody can prove that it was not used.  So it allows itself much while
the budget is full, when a loss can be borne, and little when each token is needed.
"""

from __future__ import annotations

from attrs import frozen

from ebonyhold.prepaid._limits import SpendingLimit
from ebonyhold.types import Seconds, Tokens

SCARCE = 0.1
"""The part of a budget that is unspent at which the least is allowed."""

AMPLE = 0.6
"""The part of a budget that is unspent from which the most is allowed.

Budgets of the users last for 1.3 days of their demand.  At half of a day 0.6 is left,
and what kills cost until then is seldom missed at its end.
"""

LEAST_EASE = 0.1
"""The part of the usual allowance that is left when a budget is nearly spent.

Requests in touch then need a renewal each, 12 ms; without any room they would need a
second one when two come at once.
"""


@frozen
class Outlook:
    """What an allowance is decided on.

    Attributes:
        used: Tokens charged and held since the start of the router.
        asked: Tokens for which requests are waiting.
        rate: The expected demand, in tokens a second.
        typical: The size of a usual request.
        cover: The tokens that an outage should find.
        horizon: The length of that outage.
        level: The part of the budget that is unspent.
    """

    used: Tokens
    asked: Tokens
    rate: float
    typical: float
    cover: float
    horizon: Seconds
    level: float


@frozen
class RoomOptions:
    """How much room an allowance leaves at once.

    Attributes:
        time: The demand that it leaves room for.
        least: The least of it, in requests of the usual size.
        most: The most of it, in requests of the usual size.
    """

    time: Seconds = 5.0
    least: float = 1.0
    most: float = 2.0


def ease(level: float) -> float:
    """Return how freely tokens may be used, from `LEAST_EASE` to 1.

    >>> [round(ease(level), 2) for level in (1.0, 0.6, 0.35, 0.1, 0.0)]
    [1.0, 1.0, 0.5, 0.1, 0.1]
    """
    part = (level - SCARCE) / (AMPLE - SCARCE)
    return min(1.0, max(LEAST_EASE, part))


def allowance(outlook: Outlook, options: RoomOptions) -> SpendingLimit:
    """Return the limit that the next renewal should state."""
    free = ease(outlook.level)
    requests = outlook.rate * options.time / max(outlook.typical, 1.0)
    room = outlook.typical * min(max(requests, options.least), options.most) * free
    mean = outlook.rate * outlook.horizon
    later = (mean + free * max(0.0, outlook.cover - mean)) / outlook.horizon
    return SpendingLimit(
        # Others take from the room while a request waits for what it lacks.
        ceiling=outlook.used + outlook.asked + int(room),
        early_rate=later * free,
        later_rate=later,
    )
