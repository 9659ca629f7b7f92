"""Routers in virtual time that share a budget and lose their power together."""

from __future__ import annotations

import random
from collections.abc import Sequence

import anyio
from anyio.abc import TaskGroup
from attrs import define, field, frozen

from ebonyhold.coordination import Row, Transaction
from ebonyhold.exceptions import BudgetError, UnavailableError, UnknownOutcomeError
from ebonyhold.prepaid import Committed, GrantManager
from ebonyhold.standins import MemoryRows, RowHistory
from ebonyhold.types import Seconds, Tokens
from tests.prepaid.kit import WORKSPACE, Peers, Router, grants

CALL_TIMEOUT: Seconds = 0.6
"""Time after which a call to the store that is not answered is given up."""

RESTART_TIME: Seconds = 0.75
"""Time from a power cut to the start of the next incarnations."""


@frozen
class RequestKind:
    """Requests of one size.

    Attributes:
        amount: Tokens that each request holds and uses; 0 for requests without a price.
        rate: Requests per second.
        lasts: Time from the hold to the end of a request.
    """

    amount: Tokens
    rate: float
    lasts: Seconds = 0.3


@frozen
class SentRequest:
    """A request that a caller sent at a time, and whether it was served."""

    kind: RequestKind
    at: Seconds
    served: bool


@define
class SilentRows(MemoryRows):
    """A client of a store that does not answer calls while it is silent.

    Attributes:
        silent: Whether calls that are made now are lost.
    """

    silent: bool = False

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """Read rows; without an answer in time the store is unavailable."""
        if self.silent:
            await anyio.sleep(CALL_TIMEOUT)
            raise UnavailableError("no answer to a read")
        return await super().scan(prefix, after, limit)

    async def commit(self, transaction: Transaction) -> Committed:
        """Commit a transaction; without an answer in time its outcome is unknown."""
        if self.silent:
            await anyio.sleep(CALL_TIMEOUT)
            raise UnknownOutcomeError("no answer to a write")
        return await super().commit(transaction)


@define(eq=False)
class Fleet:
    """Routers, their callers, and the store.

    Attributes:
        kinds: The requests that callers send, evenly spread over time, to any router.
        prepaid: The budget.
        size: Number of routers.
        history: What the store holds.
        routers: The current incarnation of each VM's router.
        stores: The clients of the store of these incarnations.
        running: The tasks of the current incarnations.
        sent: All requests that have ended.
        used: Tokens that the requests of each incarnation have held or were charged.
        power_cuts: Number of power cuts so far.
        began_at: The time from which the times of requests are counted.
    """

    kinds: Sequence[RequestKind]
    prepaid: Tokens
    size: int = 6
    history: RowHistory = field(factory=RowHistory)
    routers: dict[str, Router] = field(factory=dict)
    stores: dict[str, SilentRows] = field(factory=dict)
    running: dict[str, TaskGroup] = field(factory=dict)
    sent: list[SentRequest] = field(factory=list)
    used: dict[str, Tokens] = field(factory=dict)
    power_cuts: int = 0
    began_at: Seconds = field(factory=anyio.current_time)
    random: random.Random = field(factory=lambda: random.Random(1))

    @property
    def now(self) -> Seconds:
        """The time since `began_at`."""
        return anyio.current_time() - self.began_at

    def start(self, tasks: TaskGroup) -> None:
        """Start an incarnation on each VM."""
        for number in range(self.size):
            vm = f"vm-{number}"
            name = f"{vm}.{self.power_cuts}"
            router = Router(self.history, vm, name, [self.prepaid], self.size)
            store = self.stores[vm] = SilentRows(self.history)
            store.faults.delay = 0.004
            router.store = router.renewals.store = store
            router.grant.store = router.grant.state.store = store
            router.grant.state.cache.store = store
            router.grant.renew = router.renewals.renew_now
            router.grant.peers = Peers(vm, self.routers)
            self.routers[vm] = router
            tasks.start_soon(self.run_router, router)

    async def run_router(self, router: Router) -> None:
        """Run one incarnation until its VM loses power."""
        manager = GrantManager(
            router.router,
            router.store,
            lambda name: (1, self.prepaid),
            lambda: [WORKSPACE],
            lambda: self.size,
            router.renewals.limits,
            router.renewals.renew_now,
            router.renewals.is_store_reachable,
        )
        manager.grants[WORKSPACE] = router.grant
        async with anyio.create_task_group() as tasks:
            self.running[router.vm] = tasks
            tasks.start_soon(router.renewals.run)
            tasks.start_soon(manager.run)
            await router.renewals.started.wait()
            for before in router.renewals.unreclaimed:
                if await manager.reclaim(before):
                    router.renewals.reclaimed(before.router)

    def cut_power(self) -> None:
        """End all incarnations at once, with the requests that are in flight."""
        self.power_cuts += 1
        for tasks in self.running.values():
            tasks.cancel_scope.cancel()
        self.running.clear()
        self.routers.clear()

    def silence_store(self, silent: bool = True) -> None:
        """Let the store answer no call that is made from now on, or all again."""
        for store in self.stores.values():
            store.silent = silent

    async def call(self, kind: RequestKind) -> None:
        """Send the requests of one kind until cancelled."""
        while True:
            await anyio.sleep(1 / kind.rate)
            if not self.running:
                self.sent.append(SentRequest(kind, self.now, False))
                continue
            vm = self.random.choice(sorted(self.running))
            self.running[vm].start_soon(self.request, kind, self.routers[vm])

    async def request(self, kind: RequestKind, router: Router) -> None:
        """Run one request at a router."""
        at, served = self.now, False
        try:
            if kind.amount:
                await router.grant.hold(kind.amount, "r")
                self.used[router.router] = self.used.get(router.router, 0) + kind.amount
            await anyio.sleep(kind.lasts)
            if kind.amount:
                router.grant.settle(kind.amount, kind.amount)
            served = True
        except BudgetError:
            served = False
        finally:
            self.sent.append(SentRequest(kind, at, served))

    def share_served(self, after: Seconds, before: Seconds) -> float:
        """Return the share of the requests sent in some time that were served."""
        found = [each.served for each in self.sent if after <= each.at < before]
        return sum(found) / len(found)

    def stranded(self) -> Tokens:
        """Return the tokens that ended incarnations neither used nor gave back."""
        current = {router.router for router in self.routers.values()}
        return sum(
            row.drawn - row.returned - self.used.get(name, 0)
            for name, row in grants(self.history).items()
            if name not in current
        )
