"""Budgets at fleets of several sizes: drawn by every router, or by a few holders.

Run ``python -m ebonyhold.experiments.budget_holders``.  Routers with real grants
share the budgets of some workspaces over a store in memory, on a virtual clock;
requests, their sizes and the routers that they come to are drawn from the seed.  An
all-knowing router would refuse a request only if the unspent tokens of its budget do
not cover it.
"""

from __future__ import annotations

import random
import sys
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from itertools import product
from typing import Any

import anyio
import trio.testing
from attrs import define, field, frozen

from ebonyhold.coordination import Put, Transaction
from ebonyhold.exceptions import BudgetError, PlatformError
from ebonyhold.experiments._capacity_size import table
from ebonyhold.gateway import Renewals
from ebonyhold.prepaid import (
    Committed,
    GrantManager,
    HolderTable,
    HoldOutcome,
    Offer,
    RemoteHolds,
    RequestHold,
    WantedHold,
)
from ebonyhold.standins import MemoryRows, RowHistory
from ebonyhold.types import HoldId, Seconds, Tokens, WorkspaceName

SIZES = (9, 84, 195, 330)
DOMAINS = 6
SEED = 1
LEAD: Seconds = 12.0
"""From the start of the routers to the first request."""

PLAYED: Seconds = 30.0
REQUESTS_PER_S = 60.0
WORKSPACES = 12
PREPAID: tuple[Tokens, ...] = (40_000, 90_000, 300_000, 1_200_000)
"""Budgets, by turns; the smaller ones are spent before the end."""

MOST_PROMPT: Tokens = 9_000
MOST_ANSWER: Tokens = 400
LASTS: Seconds = 0.6
"""How long a request holds its tokens, on average."""

TRANSACTION: Seconds = 0.012
MESSAGE: Seconds = 0.002
MOST_OFFERS = 8
WORKERS = 4


@define
class Counts:
    """What one play counted.

    Attributes:
        requests: All requests.
        refused: Those that were refused.
        needless: Those of them that the unspent tokens of their budget covered.
        messages: Questions between routers.
        writes: Transactions, renewals of limits left out.
        most_held: Tokens that one router held at most, when requests had ended.
    """

    requests: int = 0
    refused: int = 0
    needless: int = 0
    messages: int = 0
    writes: int = 0
    most_held: Tokens = 0


@define(eq=False)
class SlowRows(MemoryRows):
    """The store, with the time that a transaction takes, counting budgets' writes."""

    counts: Counts = field(factory=Counts)

    async def commit(self, transaction: Transaction) -> Committed:
        """Commit a transaction."""
        if any(isinstance(w, Put) and "/budget" in w.key for w in transaction.writes):
            self.counts.writes += 1
        await anyio.sleep(TRANSACTION)
        return await super().commit(transaction)


@define(eq=False)
class ModelPeers:
    """The other routers of a model, as one of them asks them."""

    fleet: ModelFleet
    router: str

    def others(self, workspace: WorkspaceName) -> list[str]:
        """Return which others may have tokens of a workspace, some of many."""
        names = (
            self.fleet.routers[self.router]
            .grant_manager.holder_table.holders(workspace)
            .names
        )
        able = [name for name in names if name != self.router]
        return self.fleet.random.sample(able, min(len(able), MOST_OFFERS))

    async def offers(self, workspace: WorkspaceName) -> list[Offer]:
        """Ask others what they have."""
        asked = self.others(workspace)
        self.fleet.counts.messages += len(asked)
        await anyio.sleep(MESSAGE)
        grants = (
            (p, self.fleet.routers[p].grant_manager.grant(workspace)) for p in asked
        )
        return [Offer(p, a.offer, a.own_offer) for p, a in grants if a is not None]

    async def transfer(
        self, peer: str, workspace: WorkspaceName, amount: Tokens
    ) -> Tokens:
        """Have one of them pass tokens on."""
        self.fleet.counts.messages += 1
        await anyio.sleep(MESSAGE)
        grant = self.fleet.routers[peer].grant_manager.grant(workspace)
        return await grant.give(amount) if grant is not None else 0

    async def hold(self, peer: str, wanted: WantedHold) -> HoldOutcome:
        """Have a holder set tokens aside."""
        self.fleet.counts.messages += 1
        await anyio.sleep(MESSAGE)
        return await self.fleet.routers[peer].lent.hold(wanted)

    def settle(self, peer: str, hold: HoldId, charge: Tokens) -> None:
        """Tell a holder what a hold cost."""
        self.fleet.counts.messages += 1
        self.fleet.routers[peer].lent.settle(hold, charge)


@define(eq=False)
class ModelRouter:
    """One router of a model."""

    grant_manager: GrantManager
    renewals: Renewals
    lent: RemoteHolds


@define(eq=False)
class ModelFleet:
    """Routers that share the budgets of some workspaces.

    Attributes:
        size: How many routers.
        holders: Whether a few of them hold for all, or each for itself.
        prepaid: What each workspace has prepaid.
        unspent: Tokens of each workspace that are neither spent nor in flight.
        life: Number of the routers' incarnations.
    """

    size: int
    holders: bool
    counts: Counts = field(factory=Counts)
    random: random.Random = field(factory=lambda: random.Random(SEED))
    history: RowHistory = field(factory=RowHistory)
    routers: dict[str, ModelRouter] = field(factory=dict)
    unspent: dict[WorkspaceName, Tokens] = field(factory=dict)
    prepaid: dict[WorkspaceName, Tokens] = field(factory=dict)
    life: int = 0

    def __attrs_post_init__(self) -> None:
        """Give each router a grant manager."""
        for number in range(WORKSPACES):
            self.prepaid[f"w{number}"] = PREPAID[number % len(PREPAID)]
        self.unspent.update(self.prepaid)
        domains = {f"vm-{n}": f"domain-{n % DOMAINS}" for n in range(self.size)}
        for name, domain in domains.items():
            self.routers[name] = self.router(name, HolderTable(name, domain), domains)

    def router(
        self, name: str, holders: HolderTable, domains: dict[str, str]
    ) -> ModelRouter:
        """Return one router."""
        store = SlowRows(self.history, counts=self.counts)
        renewals = Renewals(
            store, name, name, f"{name}.{self.life}", lambda: manager.wanted_limits()
        )
        peers = ModelPeers(self, name)
        if not self.holders:
            holders.choose = lambda workspace, fleet: list(fleet)
        holders.update(domains)
        manager = GrantManager(
            f"{name}.{self.life}",
            store,
            lambda workspace: (1, self.prepaid[workspace]),
            lambda: self.prepaid,
            lambda: self.size,
            renewals.limits,
            renewals.renew_now,
            renewals.is_store_reachable,
            peers,
            peers,
            holders,
        )
        return ModelRouter(manager, renewals, RemoteHolds(manager.grant, lambda: False))

    async def play(self) -> Counts:
        """Play requests; return what was counted."""
        async with anyio.create_task_group() as tasks:
            for router in self.routers.values():
                tasks.start_soon(router.renewals.run)
                tasks.start_soon(router.grant_manager.run)
            await anyio.sleep(LEAD)
            async with anyio.create_task_group() as requests:
                until = anyio.current_time() + PLAYED
                while anyio.current_time() < until:
                    requests.start_soon(self.request)
                    await anyio.sleep(self.random.expovariate(REQUESTS_PER_S))
            tasks.cancel_scope.cancel()
        self.counts.most_held = max(map(self.held_by, self.routers.values()))
        return self.counts

    def held_by(self, router: ModelRouter) -> Tokens:
        """Return the tokens that are free at one router."""
        grants = router.grant_manager.grants.values()
        return sum(grant.state.ledger.available for grant in grants)

    async def request(self) -> None:
        """Play one request."""
        workspace = self.random.choice(list(self.unspent))
        router = self.random.choice(list(self.routers.values()))
        prompt = self.random.randint(200, MOST_PROMPT)
        most = prompt + MOST_ANSWER
        self.counts.requests += 1
        covered = self.unspent[workspace] >= most
        hold = router.grant_manager.open_hold(workspace)
        assert isinstance(hold, RequestHold)
        try:
            await hold.hold(most, "r")
        except (BudgetError, PlatformError):
            self.counts.refused += 1
            self.counts.needless += covered and self.unspent[workspace] >= most
            return
        charge = prompt + self.random.randint(0, MOST_ANSWER)
        self.unspent[workspace] -= most
        await anyio.sleep(self.random.expovariate(1 / LASTS))
        self.unspent[workspace] += most - charge
        hold.settle(most, charge)


@frozen
class Play:
    """One play of the model."""

    size: int
    holders: bool


def run(play: Play) -> Counts:
    """Play once, on a clock that jumps."""
    options: dict[str, Any] = {
        "clock": trio.testing.MockClock(autojump_threshold=0),
    }

    async def main() -> Counts:
        return await ModelFleet(play.size, play.holders).play()

    return anyio.run(main, backend="trio", backend_options=options)


def rows(sizes: Iterable[int]) -> list[tuple[str, ...]]:
    """Return the rows of the table."""
    plays = [Play(size, holders) for size, holders in product(sizes, (False, True))]
    with ProcessPoolExecutor(WORKERS) as workers:
        results = list(workers.map(run, plays))
    return [
        (
            str(play.size),
            "holders" if play.holders else "every router",
            str(counts.requests),
            str(counts.refused),
            str(counts.needless),
            f"{counts.messages / counts.requests:.2f}",
            f"{counts.writes / counts.requests:.2f}",
            str(counts.most_held),
        )
        for play, counts in zip(plays, results, strict=True)
    ]


HEADERS = (
    "routers",
    "who draws",
    "requests",
    "refused",
    "of them needlessly",
    "messages a request",
    "writes of budgets a request",
    "tokens at one router, at most",
)


def main() -> None:
    """Print the table, for the fleet sizes named as arguments or the usual ones."""
    sizes = [int(size) for size in sys.argv[1:]] or SIZES
    print("\n".join(table(HEADERS, rows(sizes))))


if __name__ == "__main__":
    main()
