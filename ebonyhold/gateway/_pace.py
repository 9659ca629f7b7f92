"""How often a router calls the store unasked, by the size of its fleet.

The store's ceilings are those of the whole fleet.  This answers the load that a fleet
makes by being there: its calls grow with the number of routers, and what each of them
reads of all others with the square of it.
"""

from __future__ import annotations

from ebonyhold.types import Seconds

UNHURRIED = 60
"""The routers up to which each keeps to its usual pauses."""


def stretch(pause: Seconds, routers: int, most: Seconds = float("inf")) -> Seconds:
    """Return a pause in a fleet of so many routers.

    Args:
        pause: The usual one.
        routers: How many there are.
        most: The longest that what waits for the call can bear.

    >>> [stretch(4.0, routers) for routers in (9, 60, 84, 195)]
    [4.0, 4.0, 5.6, 13.0]
    >>> stretch(0.35, 330, most=1.2)
    1.2
    """
    return min(most, pause * max(1.0, routers / UNHURRIED))
