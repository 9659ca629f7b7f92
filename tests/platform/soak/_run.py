"""Run the soak with one seed: inject faults while callers send requests."""

from __future__ import annotations

import json
import random
import signal
import subprocess
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import anyio
import httpx
from anyio.abc import TaskGroup
from attrs import define, field

from tests.platform.faulty_answers import FaultyAnswer
from tests.platform.kit import (
    GRACE,
    HOST,
    ROOT,
    WORKSPACES,
    Gateway,
    Length,
    LinkGrid,
    LinkMode,
    ProcessRecord,
    Proxy,
    RequestRecord,
    Style,
    address_of,
    configuration,
    free_ports,
    log_errors,
    read_runs,
    settings,
    start_process,
    use_connection,
)
from tests.platform.soak._checks import (
    RECOVERY_TIME,
    TIME_LIMIT,
    Evidence,
    InjectedFault,
    check,
)

GATEWAYS = 3
"""Number of gateways, each on a VM of its own."""

ENGINES = 3
"""Number of engines."""

CALLERS = 8
"""Number of callers that use a new connection for each request."""

KEPT_CALLERS = 4
"""Number of callers that use each connection until it is closed."""

CALLER_TIMEOUT = 6.0
"""Seconds after which a caller with a new connection gives up its request."""

SIGNALS_WITHIN = 3.0
"""Maximum seconds from a SIGTERM to a further signal."""

PROGRAM = "ebonyhold.gateway"

FIRST_ENGINE = 2
"""Offset of the first engine's port from the first port of a run."""


BOOKING = Length(0, 0.0)
"""Size of the answer to a booking: no events, only one body, sent without a pause.

No tokens are charged for it.
"""


@define(eq=False)
class SoakRun:
    """A soak run with one seed.

    Attributes:
        seed: Determines the random choices.
        seconds: For how many seconds faults are injected.
        folder: Holds the settings files and logs.
        program: The gateway's module, with its arguments.
        base: The first of the ports that the run uses.
        gateways: The VMs.
        proxies: The proxies to the store, by the VM's number.
        requests: The records of all requests.
        processes: The records of all processes.
        faults: The injected faults so far.
        counts: Number of requests created so far, by the caller's number.
        cuts_links: Whether links between gateways and engines are cut.
        links: These links; None if gateways connect to the engines' own ports.
        tasks: Task group of the proxies, processes and callers.
    """

    seed: int
    seconds: float
    folder: Path
    program: str
    base: int = field(factory=lambda: free_ports(40))
    gateways: list[Gateway] = field(factory=list)
    proxies: list[Proxy] = field(factory=list)
    requests: list[RequestRecord] = field(factory=list)
    processes: list[ProcessRecord] = field(factory=list)
    faults: list[InjectedFault] = field(factory=list)
    counts: dict[int, int] = field(factory=dict)
    cuts_links: bool = True
    links: LinkGrid | None = None
    tasks: TaskGroup = field(init=False)

    def rng(self, name: str) -> random.Random:
        """Return a random number generator whose seed contains the name of a task."""
        return random.Random(f"{self.seed} {name}")

    async def run(self) -> list[str]:
        """Run the soak with a stand-in of the platform; return the violations."""
        if self.cuts_links:
            self.links = LinkGrid(GATEWAYS, ENGINES)
        grid = self.links.arguments if self.links is not None else []
        arguments = [str(self.base), "a" * ENGINES, *grid]
        platform = subprocess.Popen(
            [sys.executable, "-m", "tests.platform.standin", *arguments], cwd=ROOT
        )
        try:
            return await self.run_traffic()
        finally:
            for gateway in self.gateways:
                gateway.send(signal.SIGCONT)
                gateway.send(signal.SIGKILL)
                if gateway.process is not None:
                    gateway.process.wait()
            platform.kill()
            platform.wait()

    async def run_traffic(self) -> list[str]:
        """Start gateways and callers, inject faults, end them and check the records."""
        await self.write("op//config", configuration())
        async with anyio.create_task_group() as tasks:
            self.start_fleet(tasks, GATEWAYS)
            await anyio.sleep(2.5)
            for number in range(CALLERS):
                tasks.start_soon(self.call, number)
            for number in range(CALLERS, CALLERS + KEPT_CALLERS):
                tasks.start_soon(self.call_on_kept_connections, number)
            with anyio.move_on_after(self.seconds):
                async with anyio.create_task_group() as sources:
                    for number in range(2):
                        sources.start_soon(self.inject_faults, number)
                    sources.start_soon(self.run_planned_work)
                    sources.start_soon(self.disturb_engines)
                    sources.start_soon(self.disturb_answers)
            faults_ended_at = time.monotonic()
            await self.end_faults()
            await anyio.sleep(RECOVERY_TIME + 3.0)
            tasks.cancel_scope.cancel()
        runs = read_runs(await self.engine_records())
        violations = check(
            Evidence(self.requests, runs, self.processes, self.faults, faults_ended_at)
        )
        for gateway in self.gateways:
            violations += log_errors(gateway.log)
        return violations

    async def engine_records(self) -> dict[str, Any]:
        """Fetch the stand-in's records: the engines' runs and the store's rows."""
        async with httpx.AsyncClient(verify=False) as client:
            answer = await client.get(f"http://{HOST}:{self.base + 1}/")
        records: dict[str, Any] = answer.json()
        return records

    def start_fleet(self, tasks: TaskGroup, count: int) -> None:
        """Start the links, if there are any, and a number of gateways."""
        self.tasks = tasks
        if self.links is not None:
            tasks.start_soon(self.links.run, self.base + FIRST_ENGINE)
        for number in range(count):
            self.add_gateway(number)

    def add_gateway(self, number: int) -> None:
        """Start a VM and its proxy to the store."""
        store = self.base if self.links is None else self.links.store_port(number)
        proxy = Proxy(self.base + 20 + number, store)
        self.proxies.append(proxy)
        self.tasks.start_soon(proxy.run)
        port = self.base + 30
        address = address_of(number, self.base)
        text = settings(number, address, port, proxy.port)
        (self.folder / f"vm-{number}.toml").write_text(text)
        gateway = Gateway(number, address, port, self.folder, self.program)
        self.gateways.append(gateway)
        self.start(gateway)

    def start(self, gateway: Gateway) -> None:
        """Start a VM's process and record it."""
        self.processes.append(start_process(gateway, self.tasks))

    def current_process(self, gateway: Gateway) -> ProcessRecord:
        """Return the record of a VM's last process."""
        return next(
            process
            for process in reversed(self.processes)
            if process.vm == gateway.number
        )

    async def write(self, key: str, value: Any, delete: bool = False) -> None:
        """Write or delete a row as the operator does, as soon as the store is up.

        Raises:
            RuntimeError: The store did not start within 100 attempts.
            httpx.HTTPStatusError: The store refused the write.
        """
        await self.post_writes({"key": key, "value": value, "delete": delete})

    async def post_writes(self, body: dict[str, Any]) -> None:
        """Write rows as the operator or another program does; see `write`."""
        async with httpx.AsyncClient(verify=False) as client:
            for _ in range(100):
                try:
                    answer = await client.post(
                        f"http://{HOST}:{self.base}/operator",
                        content=json.dumps(body),
                    )
                except httpx.TransportError:
                    await anyio.sleep(0.05)
                    continue
                answer.raise_for_status()
                return
        raise RuntimeError("the platform did not start")

    async def inject_faults(self, number: int) -> None:
        """Inject random faults one after another until cancelled.

        Two such tasks run at the same time, so their faults may overlap.
        """
        rng = self.rng(f"hurt {number}")
        while True:
            await anyio.sleep(rng.uniform(0.1, 1.5))
            target = rng.randrange(GATEWAYS)
            kind = rng.choice(["path", "path", "all", "kill", "herd", "stop", "pause"])
            length = rng.uniform(0.3, 4.0)
            mode = rng.choice(["slow", "silent", "deaf", "reset"])
            chosen = list(range(GATEWAYS)) if kind in ("all", "herd") else [target]
            if kind in ("path", "all"):
                await self.disturb_paths(chosen, mode, length)
            elif kind == "pause":
                await self.pause(self.gateways[target], length)
            else:
                chosen_gateways = [self.gateways[vm] for vm in chosen]
                await self.restart(
                    chosen_gateways, kind == "stop", rng.uniform(0.2, 1.5)
                )

    async def disturb_paths(
        self, chosen: Sequence[int], mode: str, length: float
    ) -> None:
        """Set the mode of some proxies for some seconds, then set them to ``open``."""
        started_at = time.monotonic()
        for vm in chosen:
            self.proxies[vm].mode = mode
        try:
            await anyio.sleep(length)
        finally:
            for vm in chosen:
                self.proxies[vm].mode = "open"
                self.faults.append(InjectedFault(vm, started_at, time.monotonic()))

    async def disturb_engines(self) -> None:
        """Cut gateways off from all engines, and trouble engines, until cancelled.

        A cut concerns one, most or all gateways; an engine is silent for a second or
        so; all state that they are brittle, with few places; or an engine ends its
        answers with their connections.
        """
        rng = self.rng("links")
        while True:
            await anyio.sleep(rng.uniform(0.5, 2.5))
            kind = rng.choice(["cut", "cut", "silence", "brittle", "unframed"])
            length = rng.uniform(0.5, 4.0)
            if kind == "cut":
                chosen = rng.sample(range(GATEWAYS), rng.randint(1, GATEWAYS))
                modes = [LinkMode.SILENT, LinkMode.RESET, LinkMode.REFUSE]
                await self.cut(chosen, rng.choice(modes), length)
            elif kind == "silence":
                await self.silence(rng.randrange(ENGINES), rng.uniform(0.7, 1.5))
            elif kind == "unframed":
                await self.end_answers_by_close(rng.randrange(ENGINES), length)
            else:
                await self.make_brittle(str(rng.randint(1, 12)), length)

    async def disturb_answers(self) -> None:
        """Make the answers of one engine after another faulty until cancelled.

        Late rejections of other requests excuse nothing. A request that gets bytes
        without end in place of an answer may have no other answer.
        """
        rng = self.rng("answers")
        while True:
            await anyio.sleep(rng.uniform(0.5, 2.5))
            engine, length = rng.randrange(ENGINES), rng.uniform(0.3, 2.0)
            kind = rng.choice([FaultyAnswer.LATE, *FaultyAnswer])
            started_at = time.monotonic()
            await self.write(f"test-faulty//i-{engine}", kind.value)
            try:
                await anyio.sleep(length)
            finally:
                if kind is not FaultyAnswer.LATE:
                    now = time.monotonic()
                    for vm in range(GATEWAYS):
                        self.faults.append(InjectedFault(vm, started_at, now))
            await self.write(f"test-faulty//i-{engine}", None, delete=True)

    async def cut(self, chosen: list[int], mode: LinkMode, length: float) -> None:
        """Cut gateways off from all engines for some seconds."""
        assert self.links is not None
        started_at = time.monotonic()
        await self.links.cut(mode, chosen)
        try:
            await anyio.sleep(length)
        finally:
            for vm in chosen:
                self.faults.append(InjectedFault(vm, started_at, time.monotonic()))
        await self.links.cut(LinkMode.OPEN, chosen)

    async def silence(self, engine: int, length: float) -> None:
        """Make an engine silent to all gateways for some seconds."""
        assert self.links is not None
        started_at = time.monotonic()
        try:
            await self.links.pause_engine(engine, length)
        finally:
            for vm in range(GATEWAYS):
                self.faults.append(InjectedFault(vm, started_at, time.monotonic()))

    async def make_brittle(self, places: str, length: float) -> None:
        """Give all engines few places, and let them state that they are brittle."""
        for engine in range(ENGINES):
            await self.write(f"test-places//i-{engine}", places)
            await self.write(f"test-brittle//i-{engine}", "3")
        await anyio.sleep(length)
        await self.end_brittle()

    async def end_brittle(self) -> None:
        """Give all engines any number of places again."""
        for engine in range(ENGINES):
            await self.write(f"test-places//i-{engine}", None, delete=True)
            await self.write(f"test-brittle//i-{engine}", None, delete=True)

    async def end_answers_by_close(self, engine: int, length: float) -> None:
        """Make an engine end its answers with their connections for some seconds."""
        await self.write(f"test-framing//i-{engine}", "closed")
        await anyio.sleep(length)
        await self.write(f"test-framing//i-{engine}", None, delete=True)

    async def pause(self, gateway: Gateway, length: float) -> None:
        """Pause a process with SIGSTOP for some seconds."""
        started_at = time.monotonic()
        gateway.send(signal.SIGSTOP)
        try:
            await anyio.sleep(length)
        finally:
            gateway.send(signal.SIGCONT)
            now = time.monotonic()
            self.faults.append(
                InjectedFault(gateway.number, started_at, now, paused=True)
            )

    async def run_planned_work(self) -> None:
        """Stop and reload gateways as an operator does, until cancelled.

        Each time at random: overlapping stops, reloads, or a stop with a further
        signal.
        """
        rng = self.rng("plan")
        while True:
            await anyio.sleep(rng.uniform(0.1, 1.5))
            kind = rng.choice(["rolling", "rolling", "again", "reload"])
            order = rng.sample(self.gateways, GATEWAYS)
            if kind == "rolling":
                async with anyio.create_task_group() as stops:
                    for gateway in order:
                        down = rng.uniform(0.2, 1.5)
                        stops.start_soon(self.restart, [gateway], True, down)
                        await anyio.sleep(rng.uniform(0.0, 2.0))
            elif kind == "reload":
                for gateway in order[: rng.randint(1, GATEWAYS)]:
                    self.reload(gateway)
            else:
                number = rng.choice([signal.SIGTERM, signal.SIGHUP])
                after = rng.uniform(0.0, SIGNALS_WITHIN)
                process = self.current_process(order[0])
                self.tasks.start_soon(self.send_after, order[0], process, number, after)
                await self.restart(order[:1], True, rng.uniform(0.2, 1.5))

    def reload(self, gateway: Gateway) -> None:
        """Send SIGHUP to a process, unless it does not listen yet."""
        if self.current_process(gateway).listening_at:
            gateway.send(signal.SIGHUP)

    async def send_after(
        self,
        gateway: Gateway,
        process: ProcessRecord,
        number: signal.Signals,
        after: float,
    ) -> None:
        """Send a further signal to a process after some seconds.

        It is not sent to a process that has been replaced, that got no SIGTERM or that
        has never listened.
        """
        await anyio.sleep(after)
        if (
            process is self.current_process(gateway)
            and process.sigterm_at
            and process.listening_at
        ):
            gateway.send(number)

    async def restart(
        self, gateways: Sequence[Gateway], gently: bool, down: float
    ) -> None:
        """Stop or kill processes and start new ones.

        A process that still runs after the grace is killed.

        Args:
            gateways: The VMs to restart.
            gently: Whether to send SIGTERM; otherwise the processes are killed.
            down: Seconds from the last exit to the new starts.
        """
        processes = [self.current_process(gateway) for gateway in gateways]
        for gateway, process in zip(gateways, processes, strict=True):
            gateway.send(signal.SIGCONT)
            if gently:
                process.record_sigterm(gateway)
                gateway.send(signal.SIGTERM)
            else:
                self.kill(gateway)
        with anyio.move_on_after(GRACE):
            for process in processes:
                await process.ended.wait()
        await anyio.sleep(down)
        for gateway in gateways:
            self.replace(gateway)

    def kill(self, gateway: Gateway) -> None:
        """Kill a VM's process if it is running, and record that."""
        if gateway.process is not None and gateway.process.poll() is None:
            self.current_process(gateway).killed = True
            gateway.send(signal.SIGKILL)

    def replace(self, gateway: Gateway) -> None:
        """Start a VM's next process.

        If one is running, which another task may have started, it is killed first.
        """
        self.kill(gateway)
        if gateway.process is not None:
            gateway.process.wait()
        self.start(gateway)

    async def end_faults(self) -> None:
        """End all faults, and start all processes that have exited or are stopping."""
        if self.links is not None:
            await self.links.cut(LinkMode.OPEN, range(GATEWAYS))
        await self.end_brittle()
        for engine in range(ENGINES):
            await self.write(f"test-faulty//i-{engine}", None, delete=True)
        for proxy in self.proxies:
            proxy.mode = "open"
        for gateway in self.gateways:
            gateway.send(signal.SIGCONT)
            process = self.current_process(gateway)
            if gateway.process is not None and gateway.process.poll() is not None:
                self.start(gateway)
            elif process.sigterm_at:
                self.tasks.start_soon(self.restart_stopped, gateway, process)

    async def restart_stopped(self, gateway: Gateway, process: ProcessRecord) -> None:
        """Start a VM again when its stopping process exits or the grace ends."""
        with anyio.move_on_after(process.sigterm_at + GRACE - time.monotonic()):
            await process.ended.wait()
        self.replace(gateway)

    async def call(self, number: int) -> None:
        """Send one request after another, each on a new connection, until cancelled."""
        rng = self.rng(f"call {number}")
        while True:
            request = self.new_request(number, 0, Style.NEW, rng)
            gateway = rng.choice(self.gateways)
            request.vm = gateway.number
            if rng.random() < 0.3:
                request.prompt, request.length = 0, BOOKING
            with anyio.move_on_after(CALLER_TIMEOUT):
                await use_connection(
                    gateway, request, no_next_request, rng, lambda: True
                )
            request.ended_at = time.monotonic()
            await anyio.sleep(rng.uniform(0.0, 0.1))

    async def call_on_kept_connections(self, number: int) -> None:
        """Send requests on one kept connection after another until cancelled."""
        rng = self.rng(f"keep {number}")
        style = rng.choice([Style.KEPT, Style.PIPELINED, Style.CROSSING])
        while True:
            gateway = rng.choice(self.gateways)

            def next_request(vm: int = gateway.number) -> RequestRecord:
                request = self.new_request(number, vm, style, rng)
                if rng.random() < 0.3:
                    request.prompt, request.length = 0, BOOKING
                return request

            await use_connection(
                gateway, next_request(), next_request, rng, lambda: False
            )
            await anyio.sleep(rng.uniform(0.0, 0.1))

    def new_request(
        self, number: int, vm: int, style: Style, rng: random.Random
    ) -> RequestRecord:
        """Record and return a new request of a caller, of random workspace and size."""
        workspace = rng.choice(list(WORKSPACES))
        events = rng.choice([1, 4, 20])
        prompt = rng.choice([20, 100, 400])
        count = self.counts[number] = self.counts.get(number, 0) + 1
        request = RequestRecord(
            f"{self.seed}-{number}-{count}",
            vm,
            style,
            Length(events, 0.0),
            workspace,
            prompt,
            fault_free=False,
            time_limit=TIME_LIMIT,
        )
        self.requests.append(request)
        return request


def no_next_request() -> RequestRecord:
    """Raise an error, as the connection must carry only one request.

    Raises:
        AssertionError: Always.
    """
    raise AssertionError("a new connection carries only one request")


async def run_seed(
    seed: int, seconds: float, folder: Path, program: str = PROGRAM
) -> list[str]:
    """Run one seed; print a summary and the violations, and return the violations."""
    soak_run = SoakRun(seed, seconds, folder, program)
    violations = await soak_run.run()
    status_counts: dict[int, int] = {}
    for request in soak_run.requests:
        status_counts[request.status] = status_counts.get(request.status, 0) + 1
    print(
        f"seed {seed}: {dict(sorted(status_counts.items()))}, {len(violations)} broken",
        flush=True,
    )
    for line in violations:
        print(f"  {line}", flush=True)
    return violations
