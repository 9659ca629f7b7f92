"""How starts of routers are spread over time."""

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


def test_simultaneous_starts_do_not_overload_the_platform() -> None:
    """After a power failure 330 routers start within the same second.

    If their starts are not spread, they request as many reads at once as the platform
    serves in ten seconds, and their retries keep it overloaded.  If the starts are
    spread, less than a tenth of the calls is refused, and all routers have started
    within twice the time that the reads need at the platform's rate limit.
    """
    spread = admission(330, seed=1)
    assert spread.peak < 1.3 * CEILING
    assert spread.refused < 0.1
    assert spread.all < 2 * 330 * READS / CEILING
    unspread = fixed_pause(330, seed=1)
    assert unspread.refused > 0.3
