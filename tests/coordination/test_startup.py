"""How starts are spread."""

from __future__ import annotations

import pytest

from ebonyhold.coordination import StartupPolicy
from ebonyhold.experiments.startup import CEILING, READS, admission, fixed_pause

POLICY = StartupPolicy()


@pytest.mark.parametrize(
    ("listed", "alive", "chance", "wait"),
    [
        (9, 8, 1.0, 0.0),
        (9, 5, 1.0, 0.0),
        (9, 4, 1.0, 0.3),
        (330, 0, 1.0, 11.0),
        (330, 0, 0.1, 1.1),
        (3000, 0, 1.0, 20.0),
        (None, 0, 1.0, 0.3),
        (None, 9, 1.0, 0.0),
    ],
)
def test_first_wait(listed: int | None, alive: int, chance: float, wait: float) -> None:
    assert POLICY.first_wait(listed, alive, chance) == pytest.approx(wait)


def test_a_restart_storm_does_not_stampede_the_platform() -> None:
    """The power comes back, and 330 routers start within the same second.

    All at once they call for ten seconds' worth of reads, and their repeats
    keep the platform refusing.  Spread, hardly a call is refused, and all have
    started in little more than the time that the reads take at the ceiling.
    """
    storm = admission(330, seed=1)
    assert storm.peak < 1.3 * CEILING
    assert storm.refused < 0.1
    assert storm.all < 2 * 330 * READS / CEILING
    crowd = fixed_pause(330, seed=1)
    assert crowd.refused > 0.3
