"""Routers in virtual time that share budgets and lose their power together."""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence

import anyio
from anyio.abc import TaskGroup
from attrs import define, field, frozen

from ebonyhold.coordination import GrantRow, Row, Transaction, from_json
from ebonyhold.exceptions import BudgetError, UnavailableError, UnknownOutcomeError
from ebonyhold.gateway import Renewals
from ebonyhold.prepaid import Committed, GrantManager, Offer
from ebonyhold.standins import MemoryRows, RowHistory
from ebonyhold.types import Seconds, Tokens, WorkspaceName

CALL_TIMEOUT: Seconds = 0.6
"""Time after which a call to the store that is not answered is given up."""

CALL_TIME: Seconds = 0.004
"""Time until the store answers a call, and until another router does."""

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
class Incarnation:
    """One incarnation of a VM's router, until its VM loses power.

    Attributes:
        name: Its identifier.
        store: Its client of the store.
        renewals: The renewals of its limits.
        manager: Its grants.
        tasks: Its tasks, with the requests that it runs.
    """

    name: str
    store: SilentRows
    renewals: Renewals
    manager: GrantManager
    tasks: TaskGroup | None = None


@define(eq=False)
class FleetPeers:
    """Access of one router to the others.

    Attributes:
        vm: The VM of the router that asks.
        running: The routers by VM.
    """

    vm: str
    running: Mapping[str, Incarnation]

    async def offers(self, workspace: WorkspaceName) -> Sequence[Offer]:
        """Return the offers of the other routers."""
        await anyio.sleep(CALL_TIME)
        grants = {
            vm: other.manager.grant(workspace)
            for vm, other in self.running.items()
            if vm != self.vm
        }
        return [
            Offer(vm, grant.offer, grant.own_offer)
            for vm, grant in grants.items()
            if grant
        ]

    async def transfer(
        self, peer: str, workspace: WorkspaceName, amount: Tokens
    ) -> Tokens:
        """Return the tokens that another router passes on."""
        other = self.running.get(peer)
        grant = other.manager.grant(workspace) if other else None
        given = await grant.give(amount) if grant else 0
        await anyio.sleep(CALL_TIME)
        return given


@define(eq=False)
class Fleet:
    """Routers, their callers, and the store.

    Attributes:
        kinds: The requests that callers send, evenly spread over time, each to any
            router and of any workspace.
        prepaid: The budget of each workspace.
        size: Number of routers.
        history: What the store holds.
        running: The current incarnations by VM.
        sent: All requests that have ended.
        used: Tokens that the requests of each grant have held or were charged, by the
            workspace and the incarnation.
        power_cuts: Number of power cuts so far.
        began_at: The time from which the times of requests are counted.
    """

    kinds: Sequence[RequestKind]
    prepaid: Mapping[WorkspaceName, Tokens]
    size: int = 9
    history: RowHistory = field(factory=RowHistory)
    running: dict[str, Incarnation] = field(factory=dict)
    sent: list[SentRequest] = field(factory=list)
    used: dict[tuple[WorkspaceName, str], Tokens] = field(factory=dict)
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
            self.running[vm] = one = self.incarnation(vm)
            tasks.start_soon(self.run_router, one)

    def incarnation(self, vm: str) -> Incarnation:
        """Return a new incarnation of a VM's router."""
        name = f"{vm}.{self.power_cuts}"
        store = SilentRows(self.history)
        store.faults.delay = CALL_TIME
        renewals = Renewals(store, vm, vm, name, lambda: manager.wanted_limits())
        manager = GrantManager(
            name,
            store,
            lambda workspace: (1, self.prepaid[workspace]),
            lambda: self.prepaid,
            lambda: self.size,
            renewals.limits,
            renewals.renew_now,
            renewals.is_store_reachable,
            FleetPeers(vm, self.running),
        )
        return Incarnation(name, store, renewals, manager)

    async def run_router(self, one: Incarnation) -> None:
        """Run one incarnation until its VM loses power."""
        async with anyio.create_task_group() as tasks:
            one.tasks = tasks
            tasks.start_soon(one.renewals.run)
            tasks.start_soon(one.manager.run)
            await one.renewals.started.wait()
            for before in one.renewals.unreclaimed:
                if await one.manager.reclaim(before):
                    one.renewals.reclaimed(before.router)

    def cut_power(self) -> None:
        """End all incarnations at once, with the requests that are in flight."""
        self.power_cuts += 1
        for one in self.running.values():
            if one.tasks is not None:
                one.tasks.cancel_scope.cancel()
        self.running.clear()

    def silence_store(self, silent: bool = True) -> None:
        """Let the store answer no call that is made from now on, or all again."""
        for one in self.running.values():
            one.store.silent = silent

    async def call(self, kind: RequestKind) -> None:
        """Send the requests of one kind until cancelled."""
        while True:
            await anyio.sleep(1 / kind.rate)
            started = [one for one in self.running.values() if one.tasks is not None]
            if not started:
                self.sent.append(SentRequest(kind, self.now, False))
                continue
            one = self.random.choice(started)
            workspace = self.random.choice(sorted(self.prepaid))
            assert one.tasks is not None
            one.tasks.start_soon(self.request, kind, one, workspace)

    async def request(
        self, kind: RequestKind, one: Incarnation, workspace: WorkspaceName
    ) -> None:
        """Run one request at a router."""
        at, served = self.now, False
        grant = one.manager.grant(workspace) if kind.amount else None
        try:
            if grant is not None:
                await grant.hold(kind.amount, "r")
                key = workspace, one.name
                self.used[key] = self.used.get(key, 0) + kind.amount
            await anyio.sleep(kind.lasts)
            if grant is not None:
                grant.settle(kind.amount, kind.amount)
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
        current = {one.name for one in self.running.values()}
        total = 0
        for key, row in self.history.rows.items():
            _, workspace, *rest = key.split("/")
            if rest[0] != "grant" or rest[1] in current:
                continue
            grant = from_json(row.value, GrantRow)
            used = self.used.get((workspace, rest[1]), 0)
            total += grant.drawn - grant.returned - used
        return total
