"""A successor reclaims the unused tokens of a killed router exactly once."""

from __future__ import annotations

import pytest

from ebonyhold.exceptions import (
    UnknownOutcomeError,
)
from ebonyhold.prepaid import budget_row_key
from ebonyhold.standins import RowHistory
from tests.prepaid.kit import (
    WORKSPACE,
    Fault,
    delay_effect,
    grants,
    lose_answer,
    lose_request,
    successor_of_killed,
)
from tests.virtual import anyio_backend

pytestmark = pytest.mark.anyio
__all__ = ["anyio_backend"]


async def test_reclaim_does_not_write_the_budget_row() -> None:
    """Guards against conflicts of all routers at one budget row after a power cut.

    All VMs lose power at once, and all successors reclaim grants of the same budget.
    If 84 routers write its row, each conflict costs the store as much as a write, and
    some tokens are available again only after 5 s.
    """
    history = RowHistory()
    two = await successor_of_killed(history)
    [before] = two.renewals.unreclaimed
    version = history.rows[budget_row_key(WORKSPACE)].version
    await two.grant.reclaim(before)
    assert history.rows[budget_row_key(WORKSPACE)].version == version
    predecessor, successor = grants(history)["vm-1.a"], grants(history)["vm-1.b"]
    assert (
        predecessor.returned == successor.drawn == two.grant.state.ledger.available > 0
    )
    assert predecessor.drawn - predecessor.returned >= 1000


@pytest.mark.parametrize("lose", [lose_answer, lose_request, delay_effect])
async def test_reclaim_in_doubt_counts_once(lose: Fault) -> None:
    """Guards against a reclaim of unknown outcome that counts twice or not at all.

    The reclaim took effect, did not, or does so late.
    """
    history = RowHistory()
    two = await successor_of_killed(history)
    [before] = two.renewals.unreclaimed
    lose(two)
    with pytest.raises(UnknownOutcomeError):
        await two.grant.reclaim(before)
    await two.grant.reclaim(before)
    await two.store.faults.flush()
    predecessor, successor = grants(history)["vm-1.a"], grants(history)["vm-1.b"]
    assert (
        predecessor.returned == successor.drawn == two.grant.state.ledger.available > 0
    )


async def test_reclaim_logs_what_its_limit_was_for(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against stranded tokens of which nobody can tell what they were for."""
    caplog.set_level("INFO")
    two = await successor_of_killed(RowHistory())
    [before] = two.renewals.unreclaimed
    await two.grant.reclaim(before)
    [line] = [r for r in caplog.records if r.message == "grant reclaimed"]
    fields = vars(line)
    assert fields["used"] == fields["held"] == 1000
    assert fields["used"] <= fields["ceiling"] <= fields["limit"]
