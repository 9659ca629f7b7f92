"""How much of a grant may be spent while the store cannot be reached.

A grant has two parts.  The first lies below its *ceiling*, which stands in the
router's row in the store, and may be spent at any time.  The rest is a reserve for
outages, released some time after the router last renewed its presence.  So when a
router is killed, its successor on the same VM can prove what was left: the ceiling,
and the reserve that the time up to its own start released, are the most that can
have been spent.
"""

from __future__ import annotations

from attrs import frozen

from ebonyhold.types import Seconds, Tokens


@frozen
class ReleaseSchedule:
    """When the reserve is released.

    Attributes:
        after: The time without renewal before any of it is released.  A VM that
            lost its power is back after 1.3 s, and the last renewal may be 0.4 s
            older; with the margin of the proof a successor proves the whole reserve
            of such a VM unspent.
        first: The part that is released then.  Requests are large against a
            reserve, so an even release would refuse most of them for long.
        over: The time after that in which the rest is released.
    """

    after: Seconds = 2.3
    first: float = 0.4
    over: Seconds = 4.0

    def part(self, elapsed: Seconds) -> float:
        """Return the part that is released.

        >>> schedule = ReleaseSchedule(after=2.0, first=0.5, over=4.0)
        >>> [schedule.part(elapsed) for elapsed in (1.9, 2.0, 4.0, 9.0)]
        [0.0, 0.5, 0.75, 1.0]
        """
        if elapsed < self.after:
            return 0.0
        later = (elapsed - self.after) / self.over
        return min(1.0, self.first + (1.0 - self.first) * later)

    def limit(self, granted: Tokens, ceiling: Tokens, elapsed: Seconds) -> Tokens:
        """Return the most that may have been used of a grant in all.

        Args:
            granted: All tokens of the grant, used or not.
            ceiling: The tokens that may be used at any time.
            elapsed: The time since the last renewal.
        """
        reserve = max(0, granted - ceiling)
        return ceiling + int(reserve * self.part(elapsed))
