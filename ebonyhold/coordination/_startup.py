"""How long a router that starts waits before it turns to the platform.

After a power cut all routers start within a second, and each reads the whole
configuration.  Together that is many times what the platform serves in a second;
refused calls that are repeated in step keep it so.  A router that finds the fleet
running starts at once; one that finds nobody waits its random part of the time
that the whole fleet needs.
"""

from __future__ import annotations

from attrs import field, frozen

from ebonyhold.coordination._retry import Backoff
from ebonyhold.types import Seconds


@frozen
class StartupPolicy:
    """How starts are spread.

    Attributes:
        rate: Starts a second that the platform carries beside its other work.
        quorum: The part of the listed routers that must be alive for this start
            to be one among few.
        assumed: How many routers start when no list could be read.
        most: The longest wait, in seconds.
        backoff: The waits after refused calls.  They are not widened to the
            fleet's size: once the first calls are spread, that only delays.
    """

    rate: float = 30.0
    quorum: float = 0.5
    assumed: int = 9
    most: Seconds = 20.0
    backoff: Backoff = field(factory=lambda: Backoff(first=0.25, most=10.0))

    def spread(self, listed: int | None) -> Seconds:
        """Return the time over which a fleet of that size starts."""
        size = self.assumed if listed is None else listed
        return min(self.most, size / self.rate)

    def first_wait(self, listed: int | None, alive: int, chance: float) -> Seconds:
        """Return the wait before the first call.

        Args:
            listed: Routers in the platform's list, or None when it is away.
            alive: Routers that have answered this one.
            chance: A random number from 0 to 1, drawn by the caller.

        >>> StartupPolicy().first_wait(listed=330, alive=300, chance=0.5)
        0.0
        >>> StartupPolicy().first_wait(listed=330, alive=2, chance=0.5)
        5.5
        """
        size = self.assumed if listed is None else listed
        if alive >= self.quorum * size:
            return 0.0
        return self.spread(listed) * chance
