"""Random sequences with holds at other routers never overspend.

Holds are requested from any router, whether it is a holder or not.  Answers and
settlements are lost, delayed or repeated, and routers at both ends are killed.
"""

from __future__ import annotations

from collections.abc import Callable

import anyio
import pytest
from attrs import define, field, frozen

from ebonyhold.prepaid import HoldOutcome, RemoteHolds, WantedHold
from tests.prepaid.kit import WORKSPACE, Router
from tests.prepaid.test_histories import RandomHistory
from tests.virtual import anyio_backend

pytestmark = pytest.mark.anyio
__all__ = ["anyio_backend"]

LOST = 0.15
"""Fraction of answers and of settlements that are lost."""


@frozen
class RemoteRequest:
    """A request at one router whose tokens another router holds.

    Attributes:
        sender: The incarnation of the router that runs the request.
        holder: The incarnation of the router that holds its tokens.
        hold: Identifier of the hold.
        amount: Number of tokens held.
    """

    sender: Router
    holder: Router
    hold: str
    amount: int


@define(eq=False)
class RandomHolderHistory(RandomHistory):
    """A random sequence in which routers hold tokens for each other's requests.

    Attributes:
        make_holds: Creates the remote holds of a new incarnation of a router.
        remote: The remote holds of each incarnation.
        running: Requests whose tokens a router holds as remote holds.
        settled: Settlements, as holder, hold and charge, that may arrive once more.
        holds: Number of holds requested so far.
    """

    make_holds: Callable[[Router], RemoteHolds] = lambda router: holds_of(router)
    remote: dict[str, RemoteHolds] = field(factory=dict)
    running: list[RemoteRequest] = field(factory=list)
    settled: list[tuple[Router, str, int]] = field(factory=list)
    holds: int = 0

    async def start(self, vm: str) -> None:
        """Start an incarnation; requests of the previous one cost their whole hold."""
        before = self.routers.get(vm)
        for run in [r for r in self.running if before in (r.sender, r.holder)]:
            self.running.remove(run)
            self.record_charge(run.holder, run.amount)
        await super().start(vm)
        router = self.routers[vm]
        self.remote[router.router] = self.make_holds(router)

    def check(self) -> None:
        """Check the balances, with remote holds counted as used at their holders."""
        amounts = [(run.holder, run.amount) for run in self.running]
        self.held += amounts
        try:
            super().check()
        finally:
            del self.held[len(self.held) - len(amounts) :]

    async def start_request(self) -> None:
        """Start a request with a local or a remote hold.

        Some remote holds are given up: they are settled with a charge of 0 after the
        request for the hold has arrived, and sometimes also before.
        """
        if self.random.random() < 0.4:
            await super().start_request()
            return
        sender, holder = self.pick(), self.pick()
        self.holds += 1
        amount = self.random.choice([200, 900, 2500])
        wanted = WantedHold(f"{sender.router}/{self.holds}", WORKSPACE, amount)
        remote = self.remote[holder.router]
        given_up = self.random.random() < LOST
        if given_up and self.random.random() < 0.5:
            remote.settle(wanted.hold, 0)
        outcome = await remote.hold(wanted)
        if given_up:
            remote.settle(wanted.hold, 0)
        elif outcome is HoldOutcome.HELD:
            self.running.append(RemoteRequest(sender, holder, wanted.hold, amount))

    async def end_request(self) -> None:
        """End a request; its settlement may be late, repeated or lost."""
        if not self.running or self.random.random() < 0.4:
            await super().end_request()
            return
        run = self.running.pop(self.random.randrange(len(self.running)))
        charge = self.random.choice([0, run.amount // 2, run.amount])
        self.record_charge(run.holder, charge)
        if self.random.random() > LOST:
            self.remote[run.holder.router].settle(run.hold, charge)
        self.settled.append((run.holder, run.hold, charge))

    async def maintain(self) -> None:
        """Maintain grants, sometimes repeat a settlement, and let old holds expire."""
        await super().maintain()
        if self.settled and self.random.random() < 0.5:
            holder, hold, charge = self.random.choice(self.settled)
            self.remote[holder.router].settle(hold, charge)
        for router in self.routers.values():
            ahead = self.random.choice([0.0, 100.0]) if self.is_quiet(router) else 0.0
            self.remote[router.router].expire(anyio.current_time() + ahead)

    def is_quiet(self, router: Router) -> bool:
        """Return whether a router holds no tokens for running remote requests."""
        return all(run.holder is not router for run in self.running)


def holds_of(router: Router) -> RemoteHolds:
    """Return a new, empty object for the remote holds of an incarnation."""
    return RemoteHolds(lambda workspace: router.grant, lambda: False)


@pytest.mark.parametrize("seed", range(40))
async def test_random_remote_holds_do_not_overspend(seed: int) -> None:
    await RandomHolderHistory(seed).run()


class FreeExpiryHolds(RemoteHolds):
    """Remote holds that are not charged if they expire."""

    __slots__ = ()

    def expire(self, now: float) -> None:
        """Settle expired holds with a charge of 0."""
        for hold, remote in list(self.open.items()):
            if now >= remote.expires_at:
                self.settle(hold, 0)


class RepeatableHolds(RemoteHolds):
    """Remote holds that are charged again by each repeated settlement."""

    __slots__ = ()

    def settle(self, hold: str, charge: int) -> None:
        """Settle a hold, but keep it open."""
        remote = self.open.get(hold)
        super().settle(hold, charge)
        if remote is not None:
            self.open[hold] = remote


@pytest.mark.parametrize("weak", [FreeExpiryHolds, RepeatableHolds])
async def test_missing_holder_safeguard_is_detected(weak: type[RemoteHolds]) -> None:
    def make_holds(router: Router) -> RemoteHolds:
        return weak(lambda workspace: router.grant, lambda: False)

    for seed in range(60):
        try:
            await RandomHolderHistory(seed, make_holds=make_holds).run()
        except AssertionError:
            return
    pytest.fail("no history shows the missing guard")
