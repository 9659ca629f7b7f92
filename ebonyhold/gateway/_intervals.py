"""Scales the intervals of periodic store calls with the number of routers.

The store's limits apply to all routers together. At fixed intervals, the number of
calls would grow with the number of routers. Where each router reads the rows of all
others, the number of rows read would even grow with the square of that number.
"""

from __future__ import annotations

from ebonyhold.types import Seconds

UNSCALED_ROUTERS = 60
"""Number of routers up to which intervals are not scaled."""


def scale_interval(
    interval: Seconds, routers: int, max_interval: Seconds = float("inf")
) -> Seconds:
    """Return an interval, scaled to the number of routers.

    Args:
        interval: The usual interval.
        routers: The number of routers.
        max_interval: The longest interval that is acceptable for this call.

    >>> [scale_interval(4.0, routers) for routers in (9, 60, 84, 195)]
    [4.0, 4.0, 5.6, 13.0]
    >>> scale_interval(0.35, 330, max_interval=1.2)
    1.2
    """
    return min(max_interval, interval * max(1.0, routers / UNSCALED_ROUTERS))
