"""Random sequences of requests, kills, outages and lost answers never overspend.

Each seed gives the same sequence every time.  Variants of the protocol without one of
its safeguards run too, to show that the checks detect the overspending.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import anyio
import pytest
from attrs import define, evolve, field

from ebonyhold.coordination import GrantRow
from ebonyhold.exceptions import BudgetError, PlatformError
from ebonyhold.prepaid import (
    GrantState,
    Limits,
    LimitTracker,
    Predecessor,
    Renewal,
    WorkspaceGrant,
)
from ebonyhold.standins import RowHistory
from tests.prepaid.kit import Peers, Router, grants
from tests.virtual import anyio_backend

pytestmark = pytest.mark.anyio
__all__ = ["anyio_backend"]

VMS = 3
PREPAID = 60_000
STEPS = 260


@define(eq=False)
class RandomHistory:
    """One random sequence of events in a small fleet.

    Attributes:
        seed: Seed of all random choices.
        weaken: Removes a safeguard from each new incarnation of a router.
        assume: Changes the limits of a predecessor before its successor reclaims.
        history: The store.
        routers: The current incarnation of each VM's router.
        prepaid: The configured budgets, the latest last.
        held: The routers of running requests, with the tokens held.
        charged: Actual cost of the ended requests of each incarnation.
        started: Number of incarnations started.
        incarnations: All incarnations.
    """

    seed: int
    weaken: Callable[[Router], None] = lambda router: None
    assume: Callable[[Predecessor], Predecessor] = lambda before: before
    random: random.Random = field(init=False)
    history: RowHistory = field(factory=RowHistory)
    routers: dict[str, Router] = field(factory=dict)
    prepaid: list[int] = field(factory=lambda: [PREPAID])
    held: list[tuple[Router, int]] = field(factory=list)
    late: list[Router] = field(factory=list)
    charged: dict[str, int] = field(factory=dict)
    started: int = 0
    incarnations: list[Router] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.random = random.Random(self.seed)

    async def run(self) -> None:
        """Run random steps, and check the balances after each."""
        for number in range(VMS):
            await self.start(f"vm-{number}")
        for _ in range(STEPS):
            step = self.random.choices(
                [
                    self.start_request,
                    self.end_request,
                    self.maintain,
                    self.toggle_store,
                    self.inject_fault,
                    self.kill,
                ],
                [10, 6, 9, 2, 2, 1.0],
            )[0]
            await step()
            await anyio.sleep(self.random.choice([0.01, 0.1, 0.4]))
            self.check()

    def check(self) -> None:
        """Check that no incarnation overspent its grant, nor all of them the budget."""
        used = dict(self.charged)
        for router, amount in self.held:
            used[router.router] = used.get(router.router, 0) + amount
        rows = grants(self.history)
        for incarnation, amount in used.items():
            if amount:
                row = rows.get(incarnation, GrantRow())
                granted = row.drawn - row.returned + self.received(incarnation)
                assert amount <= granted, f"{incarnation} overspent"
        assert sum(used.values()) <= PREPAID, "overspent"

    def received(self, incarnation: str) -> int:
        """Return the tokens that an incarnation received, less those it gave."""
        return sum(
            -r.grant.state.net_given
            for r in self.incarnations
            if r.router == incarnation
        )

    def record_charge(self, router: Router, amount: int) -> None:
        """Record the actual cost of a request."""
        self.charged[router.router] = self.charged.get(router.router, 0) + amount

    async def start(self, vm: str) -> None:
        """Start a new incarnation on a VM, which reclaims its predecessors' grants."""
        self.started += 1
        router = Router(self.history, vm, f"{vm}.{self.started}", self.prepaid, VMS)
        router.grant.peers = Peers(vm, self.routers)
        self.weaken(router)
        self.routers[vm] = router
        self.incarnations.append(router)
        await router.renewals.step()
        for before in router.renewals.unreclaimed:
            await router.grant.reclaim(self.assume(before))

    def pick(self) -> Router:
        """Return a random router."""
        return self.random.choice(list(self.routers.values()))

    async def start_request(self) -> None:
        """Start a request that holds tokens, unless it is refused."""
        router = self.pick()
        amount = self.random.choice([200, 900, 2500])
        try:
            await router.grant.hold(amount, "r")
        except BudgetError:
            return
        self.held.append((router, amount))

    async def end_request(self) -> None:
        """End a random request with a random cost."""
        if not self.held:
            return
        router, amount = self.held.pop(self.random.randrange(len(self.held)))
        charge = self.random.choice([0, amount // 2, amount])
        self.record_charge(router, charge)
        router.grant.state.settle(amount, charge)

    async def maintain(self) -> None:
        """Let every router maintain its grant, renew its limits, or both."""
        for router in self.routers.values():
            steps = [router.grant.tick, router.renew]
            for step in self.random.sample(steps, self.random.choice([1, 1, 2])):
                try:
                    await step()
                except PlatformError:
                    continue

    async def toggle_store(self) -> None:
        """Disconnect a router from the store, or reconnect it."""
        faults = self.pick().store.faults
        faults.down = not faults.down

    async def inject_fault(self) -> None:
        """Inject a fault at one router.

        Its next transfer or write loses the answer, its next write is lost or delayed,
        or all its delayed writes take effect.
        """
        one = self.pick()
        faults = one.store.faults
        if self.random.random() < 0.2:
            assert isinstance(one.grant.peers, Peers)
            one.grant.peers.lose = 1
            return
        if self.random.random() < 0.3:
            await faults.flush()
            return
        switch = self.random.choice(["lose_answers", "lose_requests", "late"])
        setattr(faults, switch, 1)

    async def kill(self) -> None:
        """Kill a router, charge its requests' whole holds, and start its successor.

        Delayed writes of the killed router take effect after the start.
        """
        router = self.pick()
        for holder, amount in [item for item in self.held if item[0] is router]:
            self.held.remove((holder, amount))
            self.record_charge(holder, amount)
        late = router.store.faults
        await anyio.sleep(self.random.choice([0.2, 1.0, 3.0]))
        await self.start(router.vm)
        await late.flush()


@pytest.mark.parametrize("seed", range(40))
async def test_random_histories_do_not_overspend(seed: int) -> None:
    await RandomHistory(seed).run()


def assume_nothing_used(before: Predecessor) -> Predecessor:
    """Return a predecessor whose limits show that it used no tokens."""
    return evolve(before, limits={})


def apply_unconfirmed_limits(router: Router) -> None:
    """Make a router apply new limits before the renewal is confirmed."""
    limits = router.renewals.limits
    limits.__class__ = UnconfirmedLimits


class UnconfirmedLimits(LimitTracker):
    """Limits that apply as soon as they are sent."""

    __slots__ = ()

    def propose(self, wanted: Limits, now: float) -> Renewal:
        """Treat the new renewal as confirmed."""
        renewal = super().propose(wanted, now)
        self.confirmed = renewal
        self.in_doubt = []
        return renewal


class Unlimited(LimitTracker):
    """Limits without an upper bound."""

    __slots__ = ()

    def limit(self, workspace: str, now: float) -> int:
        """Return a limit that no request reaches."""
        return 1 << 60


def ignore_limits(router: Router) -> None:
    """Make a router ignore its spending limits."""
    router.grant.limits = Unlimited()


class GrantIgnoringDoubt(WorkspaceGrant):
    """A grant that assumes a change in doubt had no effect."""

    __slots__ = ()

    async def reconcile(self) -> None:
        """Drop the change in doubt before reconciling."""
        grant = self.state
        if grant.in_doubt is not None:
            grant.ledger.available += grant.in_doubt.returned
            grant.in_doubt = None
            grant.cache.rows = None
        await super().reconcile()


class GrantIgnoringTransfers(GrantState):
    """A grant that does not count given tokens as used."""

    __slots__ = ()

    def give(self, amount: int) -> None:
        """Move tokens out of the ledger only."""
        self.ledger.give(amount)


def ignore_transfers(router: Router) -> None:
    """Make a router not count given tokens as used."""
    router.grant.state.__class__ = GrantIgnoringTransfers


def ignore_doubt(router: Router) -> None:
    """Make a router assume that changes in doubt had no effect."""
    router.grant.__class__ = GrantIgnoringDoubt


def unchanged(router: Router) -> None:
    """Remove no safeguard from a router."""


VARIANTS = [
    (unchanged, assume_nothing_used),
    (apply_unconfirmed_limits, lambda before: before),
    (ignore_limits, lambda before: before),
    (ignore_doubt, lambda before: before),
    (ignore_transfers, lambda before: before),
]


@pytest.mark.parametrize(("weaken", "assume"), VARIANTS)
async def test_missing_safeguard_is_detected(
    weaken: Callable[[Router], None],
    assume: Callable[[Predecessor], Predecessor],
) -> None:
    for seed in range(60):
        try:
            await RandomHistory(seed, weaken, assume).run()
        except AssertionError:
            return
    pytest.fail("no history shows the missing guard")
