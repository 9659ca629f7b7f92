"""Which routers may be recovered, by one router's view."""

from __future__ import annotations

import pytest

from ebonyhold.coordination import (
    Listed,
    MembershipOptions,
    MemberStatus,
    MemberUpdate,
    MemberView,
)
from ebonyhold.coordination._recoverable import RecoveryEligibility


def update(name: str, status: MemberStatus) -> MemberUpdate:
    return MemberUpdate(f"{name}.1", f"10.0.0.{name[1:]}:1", "d", status, 1, 1)


@pytest.mark.parametrize("left", [0, 1, 2, 5])
def test_removed_routers_do_not_delay_a_recovery(left: int) -> None:
    """Guards against a long delay of a recovery after a fleet was scaled down.

    Gone routers that are no longer in the platform's list must not be counted.  With
    them, a single failure would look like a partition, and the tokens of the failed
    router would be unavailable for minutes.
    """
    view = MemberView()
    names = [f"r{n}" for n in range(2, 9)]
    for name in names:
        view.merge(update(name, MemberStatus.ALIVE), 0.0)
    for n in range(left):
        view.merge(update(f"x{n + 20}", MemberStatus.GONE), 0.0)
    view.merge(update("r2", MemberStatus.GONE), 100.0)
    view.listed = {name: Listed(name, "10.0.0.1:1") for name in ["r1", *names]}
    eligibility = RecoveryEligibility(
        update("r1", MemberStatus.ALIVE), view, MembershipOptions()
    )
    assert (
        eligibility.recovery_delay(view.members["r2.1"])
        < MembershipOptions().partition_delay
    )
