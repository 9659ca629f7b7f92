"""Runs a whole gateway on a virtual clock and lets tasks switch at every wait.

The scheduler runs ready tasks in a random order, and each call of a connection or of
the store yields to other tasks a random number of times. So other tasks can change
during a wait what a task read before it. One seed determines every random decision.
"""

from __future__ import annotations

import random
import signal
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import contextmanager
from functools import partial
from typing import Any, TypeAlias

import anyio
import pytest
import trio
import trio.testing
from anyio.abc import TaskGroup
from attrs import define, field

from ebonyhold.coordination import Delete, Put, Row, Transaction, from_json
from ebonyhold.exceptions import BackendLostError
from ebonyhold.forwarding import CallerListener, TaskStarter, _channel, _pool
from ebonyhold.gateway import (
    Changes,
    Gateway,
    GatewaySettings,
    PlatformAdapter,
    Snapshot,
    _gateway,
    _signals,
)
from ebonyhold.platform import PlatformDialect, read_backend, read_configuration
from ebonyhold.prepaid import Committed, PrepaidRow, budget_row_key
from ebonyhold.standins import MemoryRows, RowHistory
from tests.forwarding.kit import GONE, answer, chunk, event, request, stream_head, value

DURATION = 6.0
"""Seconds of the virtual clock for which callers send requests."""

SWEEP_INTERVAL = 0.05
"""Seconds between two sweeps, shorter than usual so that more of them coincide with
requests."""

GRACE = 6.0
"""Seconds from the stop signal to the kill."""

Signals: TypeAlias = AsyncIterator[signal.Signals]
MAX_STOP_TIME = 2 * GRACE
"""Seconds after which the simulation ends even if the gateway has not stopped."""

CALLERS = 8
BURST_SHARE = 0.4
"""The share of requests that are sent at the time of a sweep."""

SERVERS = ("i-1", "i-2", "i-3")
PREPAID = {"acme": 400_000, "blue": 30_000}
COST = "X-Ebonyhold-Token-Counts: 100,40\r\n"
PATHS = ("safe", "unsafe", "stream")
MAX_SWITCHES = 3

ENTRY: dict[str, Any] = {
    "service": "svc",
    "zone": "a",
    "slots": 8,
    "state": "ready",
    "sequence": 1,
    "born": 1,
}
KINDS = {"safe": "safe", "unsafe": "unsafe", "stream": "streaming"}
CONFIGURATION: dict[str, Any] = {
    "version": 1,
    "routes": [
        {
            "name": name,
            "host": "h.example",
            "prefix": f"/{name}/",
            "kind": kind,
            "service": "svc",
            "timeout-ms": 2000,
            "max-attempts": 2,
        }
        for name, kind in KINDS.items()
    ],
    "services": [{"name": "svc", "engine": {"stride": 5}}],
    "tenants": [
        {"name": name, "api-keys": [f"key-{name}"], "prepaid": prepaid}
        for name, prepaid in PREPAID.items()
    ],
}


@define(eq=False)
class Pipe:
    """One end of a connection in memory.

    Attributes:
        rng: Decides how often each call yields.
        inbound: Bytes that the other end sent and this end has not received.
        other: The other end.
        finished: Whether this end has sent its end of file.
        closed: Whether this end is closed.
        changed: Set when bytes arrive or an end closes, and then replaced.
    """

    rng: random.Random
    inbound: bytearray = field(factory=bytearray)
    other: Pipe = field(init=False)
    finished: bool = False
    closed: bool = False
    changed: anyio.Event = field(factory=anyio.Event)

    @classmethod
    def pair(cls, rng: random.Random) -> tuple[Pipe, Pipe]:
        """Return both ends of a new connection."""
        one, two = cls(rng), cls(rng)
        one.other, two.other = two, one
        return one, two

    async def yield_to_tasks(self) -> None:
        """Let other tasks run, a random number of times."""
        await yield_to_tasks(self.rng)

    def notify(self) -> None:
        """Wake the tasks that wait for a change of this end."""
        self.changed.set()
        self.changed = anyio.Event()

    def extra(self, attribute: object, default: object = None) -> object:
        """Return the default, since a pipe has no socket."""
        del attribute
        return default

    async def receive(self, max_bytes: int = 65_536) -> bytes:
        """Return the bytes that have arrived; wait if there are none."""
        await self.yield_to_tasks()
        while not self.inbound:
            if self.closed:
                raise anyio.ClosedResourceError
            if self.other.finished or self.other.closed:
                raise anyio.EndOfStream
            await self.changed.wait()
        data = bytes(self.inbound[:max_bytes])
        del self.inbound[:max_bytes]
        return data

    async def send(self, data: bytes) -> None:
        """Send bytes to the other end."""
        await self.yield_to_tasks()
        if self.closed:
            raise anyio.ClosedResourceError
        if self.other.closed:
            raise anyio.BrokenResourceError
        self.other.inbound += data
        self.other.notify()
        await self.yield_to_tasks()

    async def send_eof(self) -> None:
        """Send the end of file."""
        self.finished = True
        self.other.notify()
        await self.yield_to_tasks()

    async def aclose(self) -> None:
        """Close this end."""
        self.closed = True
        self.notify()
        self.other.notify()
        await self.yield_to_tasks()


async def yield_to_tasks(rng: random.Random) -> None:
    """Let other tasks run, a random number of times."""
    for _ in range(rng.randrange(MAX_SWITCHES)):
        await anyio.lowlevel.checkpoint()


@define
class YieldingRows(MemoryRows):
    """A store whose calls let other tasks run before and mostly after their effect."""

    rng: random.Random = field(kw_only=True)

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """Read rows."""
        await yield_to_tasks(self.rng)
        rows = await MemoryRows.scan(self, prefix, after, limit)
        await yield_to_tasks(self.rng)
        return rows

    async def commit(self, transaction: Transaction) -> Committed:
        """Commit a transaction."""
        await yield_to_tasks(self.rng)
        committed = await MemoryRows.commit(self, transaction)
        await yield_to_tasks(self.rng)
        return committed

    async def snapshot(self, table: str, part: str = "") -> Snapshot:
        """Read a table."""
        await yield_to_tasks(self.rng)
        return await MemoryRows.snapshot(self, table, part)

    async def changes(self, table: str, after: int, wait: float) -> Changes:
        """Wait for changes of a table."""
        await yield_to_tasks(self.rng)
        changes = await MemoryRows.changes(self, table, after, wait)
        await yield_to_tasks(self.rng)
        return changes


@define(eq=False)
class Simulation:
    """A gateway with its callers, servers and store, for one seed.

    Attributes:
        rng: The source of all random decisions.
        patch: Replaces sockets and signals by test doubles.
        listeners: The listeners, by the port at which they would listen.
        open: The servers' ends of the open connections to them.
        ends: The HTTP status of each ended request, or 0 without an answer.
        runs: How often servers received each request.
        stop_signal: Set to send the gateway a SIGTERM.
        status: The gateway's exit status; None before its end.
        ended: Set when the gateway has ended.
        overlapping: Heads of requests that were followed by more data on the same
            server connection before their answers.
    """

    rng: random.Random
    patch: pytest.MonkeyPatch
    history: RowHistory = field(factory=RowHistory)
    listeners: dict[int, CallerListener] = field(factory=dict)
    open: set[Pipe] = field(factory=set)
    ends: list[int] = field(factory=list)
    runs: dict[str, int] = field(factory=dict)
    overlapping: list[str] = field(factory=list)
    request_count: int = 0
    gateway: Gateway = field(init=False)
    store: YieldingRows = field(init=False)
    stop_signal: anyio.Event = field(factory=anyio.Event)
    status: int | None = None
    ended: anyio.Event = field(factory=anyio.Event)

    def __attrs_post_init__(self) -> None:
        self.store = YieldingRows(self.history, rng=self.rng)
        settings = GatewaySettings(
            "vm-1", "a", ("h", 1), ("h", 2), "h", ("h", 3), grace=GRACE
        )
        peers = PlatformAdapter(
            settings=settings,
            dialect=PlatformDialect(),
            store=self.store,
            rules_table="op",
            rules_key="config",
            servers_table="servers",
            read_rules=read_configuration,
            read_backend=read_backend,
        )
        self.gateway = Gateway(peers, anyio.current_time())

    @contextmanager
    def signals(self, *watched: signal.Signals) -> Iterator[Signals]:
        """Deliver one SIGTERM when `stop_signal` is set, instead of real signals."""
        del watched

        async def deliver() -> Signals:
            await self.stop_signal.wait()
            yield signal.SIGTERM
            await anyio.sleep_forever()

        yield deliver()

    async def listen(
        self, listener: CallerListener, address: tuple[str, int], tasks: TaskGroup
    ) -> None:
        """Register a listener by its port, instead of listening at an address."""
        del tasks
        with listener.accepting:
            self.listeners[address[1]] = listener
            await anyio.sleep_forever()
        del self.listeners[address[1]]

    async def connect(
        self,
        tasks: TaskGroup,
        address: tuple[str, int],
        starter: TaskStarter,
        timeout: float = _channel.CONNECT_TIMEOUT,
    ) -> _channel.Channel:
        """Connect to a simulated server in memory; 2 % of the attempts fail."""
        del timeout
        await yield_to_tasks(self.rng)
        if self.rng.random() < 0.02:
            raise BackendLostError("no connection")
        near, far = Pipe.pair(self.rng)
        tasks.start_soon(self.serve, far)
        channel = _channel.Channel(near, starter, address)  # type: ignore[arg-type]
        starter.start_soon(channel.inbox.fill)
        return channel

    async def serve(self, stream: Pipe) -> None:
        """Answer the requests on one connection, as a server does, until it ends."""
        self.open.add(stream)
        rest = b""
        try:
            while True:
                while b"\r\n\r\n" not in rest:
                    rest += await stream.receive()
                head, _, rest = rest.partition(b"\r\n\r\n")
                if rest:
                    self.overlapping.append(head.decode())
                await self.answer(stream, head.decode())
        except GONE:
            await stream.aclose()
        finally:
            self.open.discard(stream)

    async def answer(self, stream: Pipe, head: str) -> None:
        """Answer one request; for 2 % of them, close the connection instead."""
        name = value(head, "x-ebonyhold-request-id")
        self.runs[name] = self.runs.get(name, 0) + 1
        await anyio.sleep(self.rng.choice((0, 0.001, 0.02)))
        if self.rng.random() < 0.02:
            await stream.aclose()
        last = answer(head)
        if head.startswith("GET /stream/"):
            await stream.send(stream_head(head))
            for number in range(1, 4):
                await stream.send(chunk(event(number)))
            last = chunk(b"")
        # The gateway may send the next request only after the last byte of the answer.
        if stream.inbound:
            self.overlapping.append(head)
        await stream.send(last)

    async def send_requests(self, tasks: TaskGroup) -> None:
        """Send requests until the listener for callers closes, as one caller.

        A connection is used again until the gateway closes it.
        """
        stream: Pipe | None = None
        while 1 in self.listeners:
            if stream is None:
                stream, far = Pipe.pair(self.rng)
                tasks.start_soon(self.listeners[1].handle, far)  # type: ignore[arg-type]
            self.request_count += 1
            kept = await self.send_request(stream, f"r{self.request_count}")
            if not kept:
                await stream.aclose()
                stream = None
            await self.pause()

    async def pause(self) -> None:
        """Wait before a caller's next request.

        With the probability `BURST_SHARE` the wait ends at the next sweep, so that the
        request coincides with it.
        """
        now = anyio.current_time() - self.gateway.began_at
        if self.rng.random() < BURST_SHARE:
            await anyio.sleep(SWEEP_INTERVAL - now % SWEEP_INTERVAL)
        else:
            await anyio.sleep(self.rng.choice((0.0, 0.001, 0.01)))

    async def send_request(self, stream: Pipe, name: str) -> bool:
        """Send one request; return whether its connection can be used again."""
        path = self.rng.choice(PATHS)
        owner = self.rng.choice(list(PREPAID))
        text = request(f"/{path}/x", extra=COST, close=False)
        text = text.replace(b": r1\r\n", f": {name}\r\n".encode())
        received = b""
        try:
            await stream.send(text.replace(b": k1\r\n", f": key-{owner}\r\n".encode()))
            while not is_complete(received):
                received += await stream.receive()
        except GONE:
            self.ends.append(0)
            return False
        self.ends.append(int(received[9:12]))
        return b"connection: close" not in received.lower()

    async def end_connections(self) -> None:
        """Close all server connections from the servers' side, repeatedly."""
        while True:
            await anyio.sleep(self.rng.uniform(0.02, 0.2))
            for stream in list(self.open):
                stream.closed = True
                stream.notify()
                stream.other.notify()

    async def change_servers(self) -> None:
        """Deregister a server or register it in another state, repeatedly."""
        while True:
            await anyio.sleep(self.rng.uniform(0.05, 0.8))
            name = self.rng.choice(SERVERS[1:])
            if self.rng.random() < 0.3:
                self.write(Delete(f"servers//{name}"))
                continue
            state = self.rng.choice(("ready", "ready", "draining"))
            born = self.rng.choice((1, 2))
            self.list_server(name, state=state, born=born)

    async def disturb_store(self) -> None:
        """Let the store refuse, lose or delay some calls, repeatedly.

        With a probability of 10 % each time, it also drops its history of changes.
        """
        faults = self.store.faults
        while True:
            await anyio.sleep(self.rng.uniform(0.2, 1.0))
            switch = self.rng.choice(("throttled", "lose_answers", "lose_requests"))
            setattr(faults, switch, self.rng.randrange(1, 4))
            faults.answer_delay = self.rng.choice((0.0, 0.012, 0.05))
            if self.rng.random() < 0.1:
                self.history.compact()

    def write(self, change: Put | Delete) -> None:
        """Write a row directly, without the faults of the simulated store."""
        self.history.apply(Transaction((), (change,)))

    def list_server(self, name: str, **more: Any) -> None:
        """Register a server; `more` replaces fields of its entry."""
        port = 100 + SERVERS.index(name) * 10 + more.get("born", 1)
        row = {**ENTRY, "address": f"10.0.0.1:{port}", **more}
        self.write(Put(f"servers//{name}", row))

    async def run_gateway(self) -> None:
        """Run the gateway until it ends, and store its exit status."""
        self.status = await self.gateway.run()
        self.ended.set()

    async def run_scenario(self) -> list[str]:
        """Run the simulation, and return the violations."""
        self.write(Put("op//config", CONFIGURATION))
        for name in SERVERS:
            self.list_server(name)
        async with anyio.create_task_group() as tasks:
            self.patch.setattr(_pool, "open_channel", partial(self.connect, tasks))
            tasks.start_soon(self.run_gateway)
            await anyio.sleep(0.5)
            async with anyio.create_task_group() as callers:
                for _ in range(CALLERS):
                    callers.start_soon(self.send_requests, tasks)
                async with anyio.create_task_group() as disturbances:
                    disturbances.start_soon(self.end_connections)
                    disturbances.start_soon(self.change_servers)
                    disturbances.start_soon(self.disturb_store)
                    await anyio.sleep(DURATION)
                    disturbances.cancel_scope.cancel()
                self.store.faults.answer_delay = 0.0
                self.stop_signal.set()
                # The simulation must end even if the gateway does not stop.
                callers.cancel_scope.deadline = anyio.current_time() + MAX_STOP_TIME
            with anyio.move_on_after(MAX_STOP_TIME):
                await self.ended.wait()
            tasks.cancel_scope.cancel()
        return self.find_violations()

    def find_violations(self) -> list[str]:
        """Return a description of each requirement that was violated."""
        violations = []
        for metric in self.gateway.metrics.failures.collect():
            totals = (s for s in metric.samples if s.name.endswith("_total"))
            violations += [f"{s.labels} {s.value}" for s in totals]
        if self.status != 0:
            violations.append(f"it ended with status {self.status}")
        failed = [end for end in self.ends if end in (0, 500)]
        # A missing answer is no violation, since a caller's connection is closed when
        # the server's connection breaks during a stream.
        cut = sum(1 for end in failed if end == 0)
        violations += (
            [f"{len(failed) - cut} requests got 500"] if len(failed) > cut else []
        )
        violations += [f"two requests on one connection: {m}" for m in self.overlapping]
        if len(self.ends) != self.request_count:
            violations.append(
                f"{self.request_count - len(self.ends)} requests never ended"
            )
        for name, prepaid in PREPAID.items():
            violations += self.check_budget(name, prepaid)
        return violations

    def check_budget(self, name: str, prepaid: int) -> list[str]:
        """Return the violations of a budget after the gateway has ended.

        All tokens must be returned, and those spent must equal those charged and not
        exceed the prepaid ones.
        """
        row = self.history.rows.get(budget_row_key(name))
        if row is None:
            return []
        budget = from_json(row.value, PrepaidRow).budget
        grant = self.gateway.grant_manager.grants[name]
        charged = grant.state.charged
        violations = []
        if budget.outstanding:
            violations.append(f"{name}: {budget.outstanding} were not returned")
        if budget.spent != charged or charged > prepaid:
            figures = f"{charged} of {prepaid} charged, {budget.spent} filed"
            violations.append(f"{name}: {figures}")
        return violations


def is_complete(received: bytes) -> bool:
    """Return whether an answer has arrived completely."""
    head, found, body = received.partition(b"\r\n\r\n")
    if not found:
        return False
    if b"chunked" in head.lower():
        return body.endswith(b"0\r\n\r\n")
    return len(body) >= int(value(head.decode(), "content-length") or 0)


def no_weakening(patch: pytest.MonkeyPatch) -> None:
    """Change nothing: the gateway runs without an injected fault."""


def run_seed(
    seed: int, weaken: Callable[[pytest.MonkeyPatch], None] = no_weakening
) -> list[str]:
    """Run the simulation with one seed, and return the violations.

    Args:
        seed: Determines every random decision.
        weaken: Injects a fault into the code.
    """
    core = trio._core._run
    clock = trio.testing.MockClock(autojump_threshold=0)

    async def run_scenario(patch: pytest.MonkeyPatch) -> list[str]:
        simulation = Simulation(random.Random(seed), patch)
        patch.setattr(_gateway, "listen", simulation.listen)
        patch.setattr(anyio, "open_signal_receiver", simulation.signals)
        # The signal handlers of the test process itself must stay unchanged.
        patch.setattr(_signals, "ignore_signals", lambda: None)
        return await simulation.run_scenario()

    with pytest.MonkeyPatch.context() as patch:
        # With this setting, only trio's own generator, which is seeded here, decides
        # the order of ready tasks.
        patch.setattr(core, "_ALLOW_DETERMINISTIC_SCHEDULING", True)
        core._r.seed(seed)
        random.seed(seed)
        patch.setattr(_pool, "SWEEP_INTERVAL", SWEEP_INTERVAL)
        weaken(patch)
        return anyio.run(
            run_scenario, patch, backend="trio", backend_options={"clock": clock}
        )
