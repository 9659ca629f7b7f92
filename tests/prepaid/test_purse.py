"""Where one request's tokens are held, and what holders do for other routers."""

from __future__ import annotations

from collections.abc import Sequence

import anyio
import pytest
from attrs import define, field

from ebonyhold.exceptions import BudgetExhaustedError, BudgetUnreachableError
from ebonyhold.prepaid import (
    Account,
    HoldOutcome,
    LentHolds,
    RequestPurse,
    WantedHold,
)
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
    """Holders that answer as they are told.

    Attributes:
        outcomes: What each holder answers.
        asked: Who was asked, in turn.
        settled: What was told to whom.
    """

    outcomes: dict[str, HoldOutcome]
    asked: list[str] = field(factory=list)
    settled: list[tuple[str, str, int]] = field(factory=list)

    async def hold(self, peer: str, wanted: WantedHold) -> HoldOutcome:
        """Answer a question."""
        self.asked.append(peer)
        return self.outcomes[peer]

    def settle(self, peer: str, hold: str, charge: int) -> None:
        """Note a settlement."""
        self.settled.append((peer, hold, charge))


async def started() -> Router:
    """Return a router that may use tokens."""
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
async def test_holders_are_asked_in_turn_and_the_own_account_last(
    outcomes: Sequence[HoldOutcome], asked: list[str], holder: str | None
) -> None:
    """Callers would be refused while the holders of their workspace restart."""
    names = [f"h{n}" for n in range(len(outcomes))]
    answers = Answers(dict(zip(names, outcomes, strict=True)))
    one = await started()
    purse = RequestPurse(WORKSPACE, lambda: one.account, names, answers, "vm-1.a/1")
    await purse.hold(900, "r")
    assert answers.asked == asked
    assert one.account.grant.ledger.held == (0 if holder else 900)
    purse.settle(900, 300)
    assert one.account.grant.charged == (0 if holder else 300)
    assert answers.settled == ([(holder, "vm-1.a/1", 300)] if holder else [])


@pytest.mark.parametrize(
    ("outcome", "error"),
    [(EXHAUSTED, BudgetExhaustedError), (UNREACHABLE, BudgetUnreachableError)],
)
async def test_a_holder_that_refuses_decides(
    outcome: HoldOutcome, error: type[Exception]
) -> None:
    """Each refused request would else draw a piece of the budget at its own router."""
    one = await started()
    answers = Answers({"h0": outcome, "h1": HELD})
    purse = RequestPurse(WORKSPACE, lambda: one.account, ["h0", "h1"], answers, "1")
    with pytest.raises(error):
        await purse.hold(900, "r")
    assert answers.asked == ["h0"]


@define(eq=False)
class Lender:
    """A router that holds tokens for others."""

    router: Router
    stopping: bool = False
    lent: LentHolds = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.lent = LentHolds(self.find, lambda: self.stopping)

    def find(self, workspace: str) -> Account | None:
        """Return the account of the one workspace that there is."""
        return self.router.account if workspace == WORKSPACE else None

    @property
    def books(self) -> tuple[int, int]:
        """Return what is held and what was charged."""
        grant = self.router.account.grant
        return grant.ledger.held, grant.charged


async def lender() -> Lender:
    """Return a router that holds tokens for others."""
    return Lender(await started())


def wanted(hold: str = "vm-2.a/1", amount: int = 900) -> WantedHold:
    """Return what another router asks for."""
    return WantedHold(hold, WORKSPACE, amount, "r")


@pytest.mark.parametrize(
    ("charge", "charged"), [(300, 300), (0, 0), (900, 900), (5_000, 900), (-7, 0)]
)
async def test_a_hold_ends_with_what_it_cost(charge: int, charged: int) -> None:
    one = await lender()
    assert await one.lent.hold(wanted()) is HELD
    assert one.books == (900, 0)
    one.lent.settle("vm-2.a/1", charge)
    assert one.books == (0, charged)
    one.lent.settle("vm-2.a/1", 0)
    assert one.books == (0, charged)


async def test_a_hold_that_was_given_up_before_it_came_holds_nothing() -> None:
    """A question that was late held its tokens for a minute, for nobody."""
    one = await lender()
    one.lent.settle("vm-2.a/1", 0)
    assert await one.lent.hold(wanted()) is UNAVAILABLE
    assert one.books == (0, 0)


async def test_a_hold_of_a_killed_router_is_charged_in_full() -> None:
    """Its request may have run, and only its router knew what it cost."""
    one = await lender()
    assert await one.lent.hold(wanted()) is HELD
    one.lent.expire(anyio.current_time() + 50.0)
    assert one.books == (900, 0)
    one.lent.expire(anyio.current_time() + 60.0)
    assert one.books == (0, 900)
    one.lent.settle("vm-2.a/1", 0)
    assert one.books == (0, 900)


async def test_a_stopping_holder_sends_requests_elsewhere() -> None:
    """Tokens that it held meanwhile would stay out with its grant."""
    one = await lender()
    one.stopping = True
    assert await one.lent.hold(wanted()) is UNAVAILABLE
    assert one.books == (0, 0)


@pytest.mark.parametrize(("spent", "outcome"), [(0, UNREACHABLE), (99_500, EXHAUSTED)])
async def test_a_holder_says_why_it_refuses(spent: int, outcome: HoldOutcome) -> None:
    """A refusal for good that is not true keeps callers from coming back."""
    one = await lender()
    if spent:
        assert await one.lent.hold(wanted("first", spent)) is HELD
        one.lent.settle("first", spent)
        await one.router.account.close()
        one.router.account.closing = False
    else:
        one.router.store.faults.down = True
    assert await one.lent.hold(wanted()) is outcome


async def test_a_router_that_holds_no_more_returns_its_grant() -> None:
    """Tokens would stay with each router that once was a holder."""
    history = RowHistory()
    one = router(history)
    await one.renewals.step()
    await one.account.hold(900, "r")
    one.account.settle(900, 400)
    one.account.holding = lambda: False
    await one.account.tick()
    assert budget(history).budget.outstanding == 0
    assert one.account.grant.ledger.available == 0


async def test_a_router_that_is_no_holder_draws_what_a_request_needs() -> None:
    """It is asked when no holder answers, and must not keep more than that."""
    history = RowHistory()
    one = router(history)
    one.account.holding = lambda: False
    await one.renewals.step()
    await one.account.hold(900, "r")
    assert budget(history).budget.outstanding == 900
