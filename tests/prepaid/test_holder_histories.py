"""Random histories of holders and those who ask them never overspend.

Any router is asked, whether its neighbours take it for a holder or not; answers and
settlements are lost, late or doubled, and both ends are killed.
"""

from __future__ import annotations

from collections.abc import Callable

import anyio
import pytest
from attrs import define, field, frozen

from ebonyhold.prepaid import HoldOutcome, LentHolds, WantedHold
from tests.prepaid.kit import WORKSPACE, Router
from tests.prepaid.test_histories import Play
from tests.virtual import anyio_backend

pytestmark = pytest.mark.anyio
__all__ = ["anyio_backend"]

LOST = 0.15
"""The part of answers and of settlements that are lost."""


@frozen
class Elsewhere:
    """A request at one router whose tokens another one holds.

    Attributes:
        asker: The life of the router that runs it.
        holder: The life of the router that holds its tokens.
    """

    asker: Router
    holder: Router
    hold: str
    amount: int


@define(eq=False)
class HolderPlay(Play):
    """A random history in which routers hold tokens for each other's requests.

    Attributes:
        lending: Makes the holds of each life of a router.
        lent: The holds of each life.
        elsewhere: Requests whose tokens another router holds.
        told: Settlements that may be heard once more.
    """

    lending: Callable[[Router], LentHolds] = lambda router: holds_of(router)
    lent: dict[str, LentHolds] = field(factory=dict)
    elsewhere: list[Elsewhere] = field(factory=list)
    told: list[tuple[Router, str, int]] = field(factory=list)
    holds: int = 0

    async def start(self, vm: str) -> None:
        """Start a life; what the one before ran or held is spent at its most."""
        before = self.routers.get(vm)
        for run in [r for r in self.elsewhere if before in (r.asker, r.holder)]:
            self.elsewhere.remove(run)
            self.cost(run.holder, run.amount)
        await super().start(vm)
        router = self.routers[vm]
        self.lent[router.router] = self.lending(router)

    def check(self) -> None:
        """Count what runs elsewhere as used at its holder."""
        running = [(run.holder, run.amount) for run in self.elsewhere]
        self.held += running
        try:
            super().check()
        finally:
            del self.held[len(self.held) - len(running) :]

    async def ask(self) -> None:
        """Have a request hold tokens here, or at another router."""
        if self.random.random() < 0.4:
            await super().ask()
            return
        asker, holder = self.pick(), self.pick()
        self.holds += 1
        amount = self.random.choice([200, 900, 2500])
        wanted = WantedHold(f"{asker.router}/{self.holds}", WORKSPACE, amount)
        lent = self.lent[holder.router]
        given_up = self.random.random() < LOST
        if given_up and self.random.random() < 0.5:
            lent.settle(wanted.hold, 0)
        outcome = await lent.hold(wanted)
        if given_up:
            lent.settle(wanted.hold, 0)
        elif outcome is HoldOutcome.HELD:
            self.elsewhere.append(Elsewhere(asker, holder, wanted.hold, amount))

    async def settle(self) -> None:
        """End a request; its holder may hear that late, twice or never."""
        if not self.elsewhere or self.random.random() < 0.4:
            await super().settle()
            return
        run = self.elsewhere.pop(self.random.randrange(len(self.elsewhere)))
        charge = self.random.choice([0, run.amount // 2, run.amount])
        self.cost(run.holder, charge)
        if self.random.random() > LOST:
            self.lent[run.holder.router].settle(run.hold, charge)
        self.told.append((run.holder, run.hold, charge))

    async def tend(self) -> None:
        """Look after grants; let old holds expire, and old settlements come again."""
        await super().tend()
        if self.told and self.random.random() < 0.5:
            holder, hold, charge = self.random.choice(self.told)
            self.lent[holder.router].settle(hold, charge)
        for router in self.routers.values():
            ahead = self.random.choice([0.0, 100.0]) if self.is_quiet(router) else 0.0
            self.lent[router.router].expire(anyio.current_time() + ahead)

    def is_quiet(self, router: Router) -> bool:
        """Tell whether no request runs whose tokens a router holds."""
        return all(run.holder is not router for run in self.elsewhere)


def holds_of(router: Router) -> LentHolds:
    """Return the holds of one life of a router."""
    return LentHolds(lambda workspace: router.account, lambda: False)


@pytest.mark.parametrize("seed", range(40))
async def test_no_history_of_holders_overspends(seed: int) -> None:
    await HolderPlay(seed).run()


class ForgivingHolds(LentHolds):
    """Holds that cost nothing if nobody settles them."""

    __slots__ = ()

    def expire(self, now: float) -> None:
        """Settle what is old with nothing."""
        for hold, lent in list(self.open.items()):
            if now >= lent.until:
                self.settle(hold, 0)


class TwiceSettledHolds(LentHolds):
    """Holds that are ended as often as somebody says so."""

    __slots__ = ()

    def settle(self, hold: str, charge: int) -> None:
        """Keep the hold open."""
        lent = self.open.get(hold)
        super().settle(hold, charge)
        if lent is not None:
            self.open[hold] = lent


@pytest.mark.parametrize("weak", [ForgivingHolds, TwiceSettledHolds])
async def test_a_weakened_holder_is_caught(weak: type[LentHolds]) -> None:
    def lending(router: Router) -> LentHolds:
        return weak(lambda workspace: router.account, lambda: False)

    for seed in range(60):
        try:
            await HolderPlay(seed, lending=lending).run()
        except AssertionError:
            return
    pytest.fail("no history shows the missing guard")
