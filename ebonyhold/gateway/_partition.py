"""Tells whether servers are down or this gateway is cut off from them.

A suspicion (`Reachability`) is examined by connecting to a few servers of all services.
If none accepts, other gateways are asked for the same servers.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Callable, Collection
from itertools import zip_longest

import anyio
from attrs import define

from ebonyhold.exceptions import BackendLostError
from ebonyhold.forwarding import (
    Backend,
    BackendTable,
    ChannelPool,
    ConnectOutcome,
    Reach,
    Reachability,
    ServiceName,
    outcome_of,
)
from ebonyhold.gateway._relays import (
    MAX_SERVERS_ASKED,
    GatewayRelays,
    ReachAnswer,
    ReachQuestion,
)
from ebonyhold.types import BackendName, Seconds

log = logging.getLogger(__name__)

PROBED_SERVERS = 4
"""Number of servers that are connected to in one probe."""

PROBE_INTERVAL: Seconds = 0.25
"""Interval between two probes while no server is reached."""

RETURN_PROBES = 2
"""Number of probes in a row in which most servers must accept connections before a
partitioned gateway sends requests to servers itself again."""

ASK_INTERVAL: Seconds = 2.0
"""Interval between two questions while relays are known, since they may be cut too."""

Outcomes = dict[BackendName, ConnectOutcome]
"""The outcome of an attempt to connect, by server."""


@define(eq=False)
class ServerProber:
    """Connects to servers to tell which of them can be reached from here.

    Attributes:
        pool: The connections to servers.
        backends: The known servers.
        is_stopping: Returns whether this gateway takes no more requests of others.
    """

    pool: ChannelPool
    backends: BackendTable
    is_stopping: Callable[[], bool] = lambda: False

    def choose(self) -> list[BackendName]:
        """Return a few servers at random, of as many services as possible."""
        services: dict[ServiceName, list[BackendName]] = {}
        for entry in self.backends.entries.values():
            services.setdefault(entry.backend.service, []).append(entry.backend.name)
        for names in services.values():
            random.shuffle(names)
        rounds = zip_longest(*services.values())
        chosen = [name for names in rounds for name in names if name is not None]
        return chosen[:PROBED_SERVERS]

    async def probe(
        self, servers: Collection[BackendName], until_made: bool = False
    ) -> Outcomes:
        """Connect to some servers at once; those that are not listed are left out.

        Args:
            servers: The servers.
            until_made: Whether to return as soon as one connection is made.
        """
        found: Outcomes = {}

        async def connect(backend: Backend) -> None:
            outcome = found[backend.name] = await self.connect(backend)
            if until_made and outcome is ConnectOutcome.MADE:
                tasks.cancel_scope.cancel()

        entries = [self.backends.entries.get(server) for server in servers]
        async with anyio.create_task_group() as tasks:
            for entry in entries:
                if entry is not None:
                    tasks.start_soon(connect, entry.backend)
        return found

    async def connect(self, backend: Backend) -> ConnectOutcome:
        """Connect to a server; the connection is kept for requests."""
        try:
            channel = await self.pool.connect(backend.name, backend.address)
        except BackendLostError as error:
            return outcome_of(error)
        channel.keep_unused(anyio.current_time())
        await self.pool.put(backend.name, channel)
        return ConnectOutcome.MADE

    async def answer(self, question: ReachQuestion) -> ReachAnswer:
        """Return which of the servers in another gateway's question are reached."""
        found = await self.probe(question.servers[:MAX_SERVERS_ASKED])
        return ReachAnswer(
            tuple(n for n, how in found.items() if how is ConnectOutcome.MADE),
            tuple(n for n, how in found.items() if how is ConnectOutcome.REFUSED),
            self.is_stopping(),
        )


@define(eq=False)
class PartitionMonitor:
    """Examines suspicions, and looks for the end of a partition.

    Attributes:
        reach: The evidence and the verdict.
        prober: Connects to servers.
        relays: Asks other gateways.
        is_link_full: Returns whether this gateway's own link is full, so that nothing
            can be concluded from connects that time out.
        made_in_row: Number of probes in a row in which most servers accepted.
        asked_at: When other gateways were last asked.
    """

    reach: Reachability
    prober: ServerProber
    relays: GatewayRelays
    is_link_full: Callable[[], bool] = lambda: False
    made_in_row: int = 0
    asked_at: Seconds = 0.0

    async def run(self) -> None:
        """Wait for suspicions and examine them, until cancelled."""
        while True:
            if self.reach.is_connected:
                await self.reach.suspected.wait()
            await self.examine()
            if not self.reach.is_connected:
                await anyio.sleep(PROBE_INTERVAL)

    async def examine(self) -> None:
        """Connect to some servers, ask others if none accepts, and decide."""
        self.reach.forget_unlisted(self.prober.backends.entries)
        servers = self.prober.choose()
        # Requests may wait for the end of an unfounded suspicion.
        was_connected = self.reach.is_connected
        outcomes = await self.prober.probe(servers, until_made=was_connected)
        unclear = not outcomes or (was_connected and self.is_link_full())
        if unclear or self.is_reached(outcomes):
            self.decide(Reach.CONNECTED)
        elif self.is_question_due():
            await self.ask(servers, outcomes)

    def is_reached(self, outcomes: Outcomes) -> bool:
        """Return whether a probe shows that servers are reached from here.

        A partitioned gateway waits for RETURN_PROBES, since others serve meanwhile.
        """
        made = sum(how is ConnectOutcome.MADE for how in outcomes.values())
        if self.reach.state is not Reach.PARTITIONED:
            return made > 0
        most = 2 * made > len(outcomes)
        self.made_in_row = self.made_in_row + 1 if most else 0
        return self.made_in_row >= RETURN_PROBES

    def is_question_due(self) -> bool:
        """Return whether other gateways are to be asked now."""
        if self.reach.state is Reach.PARTITIONED and self.relays.has_usable():
            return anyio.current_time() - self.asked_at >= ASK_INTERVAL
        return True

    async def ask(self, servers: Collection[BackendName], outcomes: Outcomes) -> None:
        """Ask other gateways for servers that failed from here, and decide."""
        self.asked_at = anyio.current_time()
        answers = await self.relays.ask(servers)
        silent = ConnectOutcome.TIMED_OUT in outcomes.values()
        if any(answer.reached for answer in answers):
            self.decide(Reach.PARTITIONED, silent)
        elif answers or not self.relays.rows():
            self.decide(Reach.UNREACHABLE, silent)
        else:
            self.decide(Reach.ISOLATED, silent)

    def decide(self, state: Reach, silent: bool = False) -> None:
        """Set the verdict, and drop what the wrong one before has left behind."""
        was_connected = self.reach.is_connected
        self.reach.decide(state, silent, anyio.current_time())
        if state is Reach.CONNECTED:
            self.made_in_row = 0
            self.relays.forget()
        elif was_connected:
            self.prober.backends.forget_failures()
            if silent:
                self.prober.pool.drop_unused()
