"""How much of a grant may be spent while the store cannot be reached.

A grant has two parts.  The first lies below its *ceiling*, which stands in the
router's row in the store, and may be spent at any time.  The rest is a reserve for
outages.  It is released evenly over the time since the router last renewed its
presence.  So when a router is killed, its successor on the same VM can prove what
was left: the ceiling, and the reserve that the time up to its own start released,
are the most that can have been spent.
"""

from __future__ import annotations

from attrs import frozen

from ebonyhold.types import Seconds, Tokens


@frozen
class ReleaseSchedule:
    """When the reserve is released.

    Attributes:
        after: The time without renewal before any of it is released.  Renewals
            come more often, so in touch with the store nothing is.
        over: The time after that in which all of it is released.
    """

    after: Seconds = 0.5
    over: Seconds = 6.5

    def part(self, elapsed: Seconds) -> float:
        """Return the part that is released.

        >>> ReleaseSchedule(after=1.0, over=8.0).part(5.0)
        0.5
        """
        return min(1.0, max(0.0, (elapsed - self.after) / self.over))

    def limit(self, granted: Tokens, ceiling: Tokens, elapsed: Seconds) -> Tokens:
        """Return the most that may have been used of a grant in all.

        Args:
            granted: All tokens of the grant, used or not.
            ceiling: The tokens that may be used at any time.
            elapsed: The time since the last renewal.
        """
        reserve = max(0, granted - ceiling)
        return ceiling + int(reserve * self.part(elapsed))
