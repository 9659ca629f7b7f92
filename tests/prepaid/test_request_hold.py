"""Request holds, and the holds that holders keep for other routers."""

from __future__ import annotations

from collections.abc import Sequence

import anyio
import pytest
from attrs import define, field

from ebonyhold.exceptions import BudgetExhaustedError, BudgetUnreachableError
from ebonyhold.prepaid import (
    HoldOutcome,
    RemoteHolds,
    RequestHold,
    WantedHold,
    WorkspaceGrant,
)
from ebonyhold.prepaid._row_cache import MAX_REFUSAL_AGE
from ebonyhold.standins import RowHistory
from tests.prepaid.kit import WORKSPACE, Router, budget, router
from tests.virtual import anyio_backend

pytestmark = pytest.mark.anyio
__all__ = ["anyio_backend"]

HELD = HoldOutcome.HELD
EXHAUSTED = HoldOutcome.EXHAUSTED
UNREACHABLE = HoldOutcome.UNREACHABLE
UNAVAILABLE = HoldOutcome.UNAVAILABLE


@define(eq=False)
class Answers:
    """Fake holders with fixed answers.

    Attributes:
        outcomes: The answer of each holder.
        asked: The holders that were asked, in order.
        settled: The settlements, each with its holder, hold and charge.
    """

    outcomes: dict[str, HoldOutcome]
    asked: list[str] = field(factory=list)
    settled: list[tuple[str, str, int]] = field(factory=list)

    async def hold(self, peer: str, wanted: WantedHold) -> HoldOutcome:
        """Record a request for a hold and return the fixed answer."""
        self.asked.append(peer)
        return self.outcomes[peer]

    def settle(self, peer: str, hold: str, charge: int) -> None:
        """Record a settlement."""
        self.settled.append((peer, hold, charge))


async def started() -> Router:
    """Return a router whose first renewal is confirmed."""
    one = router(RowHistory())
    await one.renewals.step()
    return one


@pytest.mark.parametrize(
    ("outcomes", "asked", "holder"),
    [
        ([HELD, HELD], ["h0"], "h0"),
        ([UNAVAILABLE, HELD], ["h0", "h1"], "h1"),
        ([UNAVAILABLE] * 3, ["h0", "h1", "h2"], None),
        ([UNAVAILABLE] * 5, ["h0", "h1", "h2"], None),
        ([], [], None),
    ],
)
async def test_holders_are_tried_in_turn_and_the_own_grant_last(
    outcomes: Sequence[HoldOutcome], asked: list[str], holder: str | None
) -> None:
    """Guards against refusals while the holders of a workspace restart."""
    names = [f"h{n}" for n in range(len(outcomes))]
    answers = Answers(dict(zip(names, outcomes, strict=True)))
    one = await started()
    hold = RequestHold(WORKSPACE, lambda: one.grant, names, answers, "vm-1.a/1")
    await hold.hold(900, "r")
    assert answers.asked == asked
    assert one.grant.state.ledger.held == (0 if holder else 900)
    hold.settle(900, 300)
    assert one.grant.state.charged == (0 if holder else 300)
    assert answers.settled == ([(holder, "vm-1.a/1", 300)] if holder else [])


@pytest.mark.parametrize(
    ("outcome", "error"),
    [(EXHAUSTED, BudgetExhaustedError), (UNREACHABLE, BudgetUnreachableError)],
)
async def test_refusal_of_a_holder_is_final(
    outcome: HoldOutcome, error: type[Exception]
) -> None:
    """Guards against trying further routers after a holder has refused the hold.

    Each of these routers would draw tokens for a request that is refused anyway.
    """
    one = await started()
    answers = Answers({"h0": outcome, "h1": HELD})
    hold = RequestHold(WORKSPACE, lambda: one.grant, ["h0", "h1"], answers, "1")
    with pytest.raises(error):
        await hold.hold(900, "r")
    assert answers.asked == ["h0"]


@define(eq=False)
class HolderRouter:
    """A router with its remote holds."""

    router: Router
    stopping: bool = False
    remote: RemoteHolds = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.remote = RemoteHolds(self.find, lambda: self.stopping)

    def find(self, workspace: str) -> WorkspaceGrant | None:
        """Return the grant of the only workspace."""
        return self.router.grant if workspace == WORKSPACE else None

    @property
    def balances(self) -> tuple[int, int]:
        """Tokens held and tokens charged."""
        grant = self.router.grant.state
        return grant.ledger.held, grant.charged


async def holder_router() -> HolderRouter:
    """Return a router that can hold tokens for other routers."""
    return HolderRouter(await started())


def wanted(hold: str = "vm-2.a/1", amount: int = 900) -> WantedHold:
    """Return another router's request for a hold."""
    return WantedHold(hold, WORKSPACE, amount, "r")


@pytest.mark.parametrize(
    ("charge", "charged"), [(300, 300), (0, 0), (900, 900), (5_000, 900), (-7, 0)]
)
async def test_settlement_charges_the_cost_once(charge: int, charged: int) -> None:
    one = await holder_router()
    assert await one.remote.hold(wanted()) is HELD
    assert one.balances == (900, 0)
    one.remote.settle("vm-2.a/1", charge)
    assert one.balances == (0, charged)
    one.remote.settle("vm-2.a/1", 0)
    assert one.balances == (0, charged)


async def test_hold_settled_before_it_arrives_holds_nothing() -> None:
    """Guards against a hold whose settlement arrives before the request for it.

    Nothing would settle the hold any more, and its tokens would be charged after 60 s.
    """
    one = await holder_router()
    one.remote.settle("vm-2.a/1", 0)
    assert await one.remote.hold(wanted()) is UNAVAILABLE
    assert one.balances == (0, 0)


async def test_expired_hold_is_charged_in_full() -> None:
    """No settlement arrives; the request may have run, and its cost is unknown."""
    one = await holder_router()
    assert await one.remote.hold(wanted()) is HELD
    one.remote.expire(anyio.current_time() + 50.0)
    assert one.balances == (900, 0)
    one.remote.expire(anyio.current_time() + 60.0)
    assert one.balances == (0, 900)
    one.remote.settle("vm-2.a/1", 0)
    assert one.balances == (0, 900)


async def test_stopping_holder_is_unavailable() -> None:
    """Guards against tokens held during a stop, which would not be returned."""
    one = await holder_router()
    one.stopping = True
    assert await one.remote.hold(wanted()) is UNAVAILABLE
    assert one.balances == (0, 0)


@pytest.mark.parametrize(
    ("held", "charge", "down", "outcome"),
    [
        (0, 0, True, UNAVAILABLE),
        (99_500, 0, False, UNREACHABLE),
        (99_500, 99_500, False, EXHAUSTED),
        (99_500, 99_500, True, UNAVAILABLE),
    ],
    ids=["store away", "held by others", "spent", "spent, store away"],
)
async def test_holder_reports_the_reason_of_a_refusal(
    held: int, charge: int, down: bool, outcome: HoldOutcome
) -> None:
    """Guards against a final refusal by a holder that does not know the budget."""
    one = await holder_router()
    if held:
        assert await one.remote.hold(wanted("first", held)) is HELD
    if charge:
        one.remote.settle("first", charge)
        await one.router.grant.close()
        one.router.grant.closing = False
    one.router.store.faults.down = down
    if down:
        await anyio.sleep(MAX_REFUSAL_AGE + 0.1)
    assert await one.remote.hold(wanted()) is outcome


async def test_former_holder_returns_its_grant() -> None:
    """Guards against tokens that stay unused at a router that is no holder any more."""
    history = RowHistory()
    one = router(history)
    await one.renewals.step()
    await one.grant.hold(900, "r")
    one.grant.settle(900, 400)
    one.grant.is_holder = lambda: False
    await one.grant.tick()
    assert budget(history).budget.outstanding == 0
    assert one.grant.state.ledger.available == 0


async def test_router_that_is_no_holder_draws_only_the_amount() -> None:
    """A router that is no holder draws if no holder answers, but no extra tokens."""
    history = RowHistory()
    one = router(history)
    one.grant.is_holder = lambda: False
    await one.renewals.step()
    await one.grant.hold(900, "r")
    assert budget(history).budget.outstanding == 900
