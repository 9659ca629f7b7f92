"""Random interleavings of requests and failures, generated from a seed."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from contextlib import suppress

import anyio
from attrs import define, field

from ebonyhold.coordination import (
    KeptAnswer,
    Outcome,
    RequestKind,
    RequestState,
    run_of,
)
from ebonyhold.document import Policy
from ebonyhold.exceptions import EbonyholdError, OutcomeUnknownError, PlatformError
from ebonyhold.experiments._memory_fleet import MemoryFleet, order
from ebonyhold.money import GrantManager, Order, Permit, Replay, refund, top_up
from ebonyhold.standins import Faults, MemoryObjects, MemoryTable
from tests.money.scenarios import check_bills, request

WORKSPACES = ("w1", "w2")
FAULTS = ("lose_answers", "lose_requests", "late", "duplicates", "throttled")

Action = Callable[[], Awaitable[None]]


@define
class Chaos:
    """One random history of a small fleet.

    Attributes:
        fleet: The fleet.
        random: The only source of randomness.
        tables: Each router's own view of the table, for partitions.
        bookings: How often the booking service ran each booking, by request.
        stores: Each router's own view of the object store.
        completed: Workspaces and names of the requests whose callers got the answer.
        stopped: Routers that were killed or stopped.
        started: Number of routers started.
        requests: Number of chats with a key of their own.
        topups: Number of calls for a top-up.
        refused: Number of requests refused.
    """

    fleet: MemoryFleet
    random: random.Random
    tables: dict[str, MemoryTable] = field(factory=dict)
    stores: dict[str, MemoryObjects] = field(factory=dict)
    bookings: dict[str, int] = field(factory=dict)
    completed: set[tuple[str, str]] = field(factory=set)
    stopped: list[str] = field(factory=list)
    started: int = 0
    requests: int = 0
    topups: int = 0
    refused: int = 0

    async def play(self, steps: int) -> None:
        """Start random actions, then end all faults, settle, and check the result."""
        for workspace in WORKSPACES:
            await self.fleet.top_up(workspace, 3000, "first")
        for _ in range(3):
            await self.start()
        actions = self.actions()
        async with anyio.create_task_group() as callers:
            for _ in range(steps):
                (action,) = self.random.choices(
                    list(actions), weights=list(actions.values())
                )
                callers.start_soon(self.run_action, action)
                await anyio.sleep(self.random.expovariate(2.0))
            self.clear_faults()
        await self.settle()
        await self.check()

    def actions(self) -> dict[Action, float]:
        """Return the possible actions and their relative frequencies."""
        return {
            self.chat: 30,
            self.keyed_chat: 10,
            self.booking: 12,
            self.kill: 2,
            self.start: 2,
            self.recover_some_router: 2,
            self.table_fault: 4,
            self.store_fault: 2,
            self.cut_table: 2,
            self.cut_store: 1,
            self.cut_link: 2,
            self.lose_reply: 1,
            self.flush: 2,
            self.heal: 3,
            self.add_tokens: 1,
            self.refund_some: 1,
            self.drain: 1,
            self.restart_engine: 0.5,
        }

    async def run_action(self, action: Action) -> None:
        """Run an action, which may end early because of an injected failure."""
        try:
            await action()
        except PlatformError:
            return

    def some_router(self) -> GrantManager | None:
        """Return a random running router; None if no router runs."""
        if not self.fleet.routers:
            return None
        name = self.random.choice(sorted(self.fleet.routers))
        return self.fleet.routers[name].grant_manager

    async def start(self) -> None:
        """Start a router with its own view of table and store, unless four run."""
        if len(self.fleet.routers) >= 4:
            return
        self.started += 1
        name = f"r{self.started}.1"
        rows = self.fleet.table
        table = MemoryTable(Faults(), rows.writes, rows.reads, rows.rows, rows.order)
        store = MemoryObjects(Faults(), objects=self.fleet.objects.objects)
        self.tables[name] = table
        self.stores[name] = store
        await self.fleet.start(name, table, store)

    async def chat(self) -> None:
        """Send a chat whose key is used once."""
        self.requests += 1
        await self.send(self.make_chat(f"u{self.requests}", keyed=False))

    async def keyed_chat(self) -> None:
        """Send a chat with one of a few keys, so that requests share keys."""
        await self.send(self.make_chat(f"k{self.random.randrange(12)}", keyed=True))

    def make_chat(self, name: str, *, keyed: bool) -> Order:
        """Create an order for a chat."""
        workspace = self.random.choice(WORKSPACES)
        hold = self.random.choice((40, 100, 200))
        boot = self.fleet.engine.boot
        return order(workspace, name, hold, keyed=keyed, boot=boot)

    async def booking(self) -> None:
        """Send a booking with one of a few keys."""
        name = f"b{self.random.randrange(15)}"
        boot = self.fleet.engine.boot
        wanted = order("w1", name, 5, RequestKind.BOOKING, keyed=True, boot=boot)
        await self.send(wanted)

    async def send(self, wanted: Order) -> None:
        """Send a request through a random router, and count it if it is refused."""
        manager = self.some_router()
        if manager is None:
            return
        try:
            permit = await manager.begin(wanted)
        except OutcomeUnknownError:
            return
        except EbonyholdError:
            self.refused += 1
            return
        if isinstance(permit, Replay):
            assert permit.answer.body == wanted.request
            return
        await self.run(manager, permit)

    async def run(self, manager: GrantManager, permit: Permit) -> None:
        """Dispatch an attempt, sometimes after a long pause, and settle the request.

        Nothing is settled if the router stops before the attempt ends.
        """
        long = self.random.random() < 0.1
        await anyio.sleep(self.random.uniform(5, 60) if long else 0.01)
        alive = manager.router in self.fleet.routers
        if not alive:
            return
        engine = self.fleet.engine
        wanted = permit.order
        if not engine.start(permit.attempt, 5, wanted.boot):
            await manager.finish(permit, _outcome(permit, RequestState.NOT_RUN, 0))
            return
        if wanted.kind is RequestKind.BOOKING:
            count = self.bookings.get(wanted.request, 0)
            self.bookings[wanted.request] = count + 1
        await anyio.sleep(self.random.uniform(0.01, 5))
        tokens = self.random.randrange(1, wanted.hold)
        forgotten = permit.attempt not in engine.attempts
        if not forgotten:
            engine.progress(permit.attempt, tokens, last=True)
        if manager.router not in self.fleet.routers:
            return
        if forgotten:
            # The backend server was restarted in the meantime, and the stream broke.
            state = RequestState.UNKNOWN
            await manager.finish(permit, _outcome(permit, state, wanted.hold))
            return
        cost = 5 if wanted.kind is RequestKind.BOOKING else 5 + tokens
        outcome = _outcome(permit, RequestState.COMPLETE, cost)
        await manager.finish(permit, outcome, durable_within=1)
        self.completed.add((wanted.workspace, wanted.request))

    async def kill(self) -> None:
        """Kill a random router, unless it is the last one."""
        if len(self.fleet.routers) < 2:
            return
        name = self.random.choice(sorted(self.fleet.routers))
        self.fleet.kill(name)
        self.stopped.append(name)

    async def recover_some_router(self) -> None:
        """Recover a random router, running or not, by one or two others at once."""
        names = sorted({*self.stopped, *self.fleet.routers})
        if not names:
            return
        name = self.random.choice(names)
        async with anyio.create_task_group() as survivors:
            for by in ("s.1", "s.2")[: self.random.randrange(1, 3)]:
                survivors.start_soon(self.recover, name, by)

    async def recover(self, name: str, by: str) -> None:
        """Recover a router by another one; give up on an error of the platform."""
        with suppress(PlatformError):
            await self.fleet.recover(name, by)

    async def table_fault(self) -> None:
        """Inject a fault into the next calls of a router to the table."""
        self.inject_fault(self.tables)

    async def store_fault(self) -> None:
        """Inject a fault into the next calls of a router to the object store."""
        self.inject_fault(self.stores)

    def inject_fault(
        self, views: dict[str, MemoryTable] | dict[str, MemoryObjects]
    ) -> None:
        """Switch on a random fault of one view for its next few calls."""
        name = self.random.choice(sorted(views))
        fault = self.random.choice(FAULTS)
        setattr(views[name].faults, fault, self.random.randrange(1, 4))

    async def cut_table(self) -> None:
        """Cut a router off from the table."""
        self.tables[self.random.choice(sorted(self.tables))].faults.down = True

    async def cut_store(self) -> None:
        """Cut a router off from the object store."""
        self.stores[self.random.choice(sorted(self.stores))].faults.down = True

    async def cut_link(self) -> None:
        """Drop the messages from one random router to another."""
        names = sorted(self.fleet.routers)
        if len(names) >= 2:
            one, other = self.random.sample(names, 2)
            self.fleet.network.cut.add((one, other))

    async def lose_reply(self) -> None:
        """Lose the next reply between routers."""
        self.fleet.network.lose_replies += 1

    def faults(self) -> list[Faults]:
        """Return the faults of every router's views of the table and the store."""
        tables = [table.faults for table in self.tables.values()]
        return tables + [store.faults for store in self.stores.values()]

    async def flush(self) -> None:
        """Deliver the delayed calls of all routers."""
        for faults in self.faults():
            await faults.flush()

    async def restart_engine(self) -> None:
        """Restart the backend server, which loses the state of all attempts."""
        self.fleet.engine.restart()

    async def heal(self) -> None:
        """End every partition and fault."""
        self.clear_faults()

    def clear_faults(self) -> None:
        """End every partition and switch off every fault."""
        self.fleet.network.heal()
        for faults in self.faults():
            faults.down = False
            for fault in FAULTS:
                setattr(faults, fault, 0)

    async def add_tokens(self) -> None:
        """Top up a random budget; each key is used for two calls."""
        self.topups += 1
        workspace = self.random.choice(WORKSPACES)
        key = f"t{self.topups // 2}"
        await top_up(self.fleet.table, workspace, key, 500)

    async def refund_some(self) -> None:
        """Refund 3 tokens of a random chat in `w1`, if it has a bill."""
        key = f"u{self.random.randrange(1, self.requests + 2)}"
        try:
            await refund(self.fleet.table, "w1", key, "f", 3)
        except ValueError:
            return

    async def drain(self) -> None:
        """Drain and kill an idle router, if at least two routers are idle."""
        idle = [
            name
            for name, router in sorted(self.fleet.routers.items())
            if not router.grant_manager.runs
        ]
        if len(idle) < 2:
            return
        manager = self.fleet.routers[idle[0]].grant_manager
        with anyio.move_on_after(20):
            with suppress(EbonyholdError):
                await manager.drain()
        if idle[0] in self.fleet.routers:
            self.fleet.kill(idle[0])
            self.stopped.append(idle[0])

    async def settle(self) -> None:
        """Deliver delayed calls, drain the running routers and recover all routers."""
        await anyio.sleep(60)
        await self.flush()
        for name in sorted(self.fleet.routers):
            manager = self.fleet.routers[name].grant_manager
            with anyio.move_on_after(60):
                with suppress(EbonyholdError):
                    await manager.drain()
            self.stopped.append(name)
        for name in self.tables:
            report = await self.fleet.recover(name)
            assert report.closed, report
        await self.flush()
        assert await self.fleet.recovery("s.1").sweep() == 0

    async def check(self) -> None:
        """Check what must hold after every history."""
        await check_bills(self.fleet)
        for workspace in WORKSPACES:
            assert self.fleet.budget(workspace).outstanding == 0
        assert all(count == 1 for count in self.bookings.values()), self.bookings
        for workspace, name in self.completed:
            row = request(self.fleet, workspace, name)
            assert row is not None, name
            assert row.state is not RequestState.RUNNING, name
            assert row.state is not RequestState.NOT_RUN, name
            assert row.charge > 0, name
        self.check_runs()

    def check_runs(self) -> None:
        """Check that no run started by the backend server has the state `NOT_RUN`."""
        for row_key in self.fleet.table.matching("request/", "", 100_000):
            _, workspace, name = row_key.key.split("/")
            row = request(self.fleet, workspace, name)
            assert row is not None
            if row.state is RequestState.NOT_RUN:
                ran = {run_of(attempt) for attempt in self.fleet.engine.ran}
                assert run_of(row.attempt) not in ran, name


def _outcome(permit: Permit, state: RequestState, charge: int) -> Outcome:
    wanted = permit.order
    booked = wanted.kind is RequestKind.BOOKING and state is RequestState.COMPLETE
    answer = KeptAnswer(201, "text/plain", wanted.request) if booked else None
    return Outcome(
        wanted.workspace, wanted.request, permit.attempt, state, charge, answer=answer
    )


async def play(fleet: MemoryFleet, seed: int, steps: int) -> Chaos:
    """Run one random history with its checks, and return it."""
    chaos = Chaos(fleet, random.Random(seed))
    await chaos.play(steps)
    return chaos


CHAOS_POLICY = Policy(grants="adaptive_transfer", grant_horizon=600)
