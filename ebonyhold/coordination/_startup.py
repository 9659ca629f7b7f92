"""How long a starting router waits before it calls the platform.

After a power failure all routers start within a second, and each reads the whole
configuration.  These are many times the reads that the platform serves per second, and
synchronized retries would keep it overloaded.  A router that finds enough others alive
starts immediately.  Otherwise it waits for a random share of the time that the platform
needs for the starts of the whole fleet.
"""

from __future__ import annotations

from attrs import field, frozen

from ebonyhold.coordination._retry import Backoff
from ebonyhold.types import Seconds


@frozen
class StartupPolicy:
    """How starts of routers are spread over time.

    Attributes:
        rate: Starts per second that the platform can serve besides its other work.
        quorum: If at least this share of the listed routers is alive, a router starts
            without a wait.
        assumed_size: The assumed number of routers if no list could be read.
        max_spread: The maximum wait before the first call, in seconds.
        backoff: The waits after refused calls.  They do not grow with the fleet's size,
            because the first calls are already spread.
    """

    rate: float = 30.0
    quorum: float = 0.5
    assumed_size: int = 9
    max_spread: Seconds = 20.0
    backoff: Backoff = field(factory=lambda: Backoff(first_wait=0.25, max_wait=10.0))

    def spread(self, listed: int | None) -> Seconds:
        """Return the time over which the starts of a fleet are spread, in seconds."""
        size = self.assumed_size if listed is None else listed
        return min(self.max_spread, size / self.rate)

    def first_wait(self, listed: int | None, alive: int, chance: float) -> Seconds:
        """Return the wait before the first call, in seconds.

        Args:
            listed: Number of routers in the platform's list, or None if it could not be
                read.
            alive: Number of routers that have answered this one.
            chance: A random number from 0 to 1, drawn by the caller.

        >>> StartupPolicy().first_wait(listed=330, alive=300, chance=0.5)
        0.0
        >>> StartupPolicy().first_wait(listed=330, alive=2, chance=0.5)
        5.5
        """
        size = self.assumed_size if listed is None else listed
        if alive >= self.quorum * size:
            return 0.0
        return self.spread(listed) * chance
