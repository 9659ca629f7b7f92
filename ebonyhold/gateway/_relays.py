"""The other gateways by which servers are reached that this one does not reach.

A gateway asks a few others, the same ones each time, which servers they reach. Those
that reach some are its relays.
"""

from __future__ import annotations

import hashlib
import logging
from collections.abc import Callable, Collection, Mapping

import anyio
from attrs import define, field, frozen

from ebonyhold.exceptions import BackendLostError
from ebonyhold.forwarding import (
    BufferAccount,
    ChannelPool,
    NoPathError,
    Path,
    RelayAddress,
    TaskStarter,
)
from ebonyhold.gateway._presence import PresenceRow
from ebonyhold.gateway._transfers import CONNECT_TIMEOUT, GatewayPeers
from ebonyhold.types import BackendName, Seconds

log = logging.getLogger(__name__)

REACH_TARGET = b"/reach"

ASKED_AT_ONCE = 3
"""Number of gateways that are asked at once; they need not all reach servers."""

REACH_TIMEOUT: Seconds = 0.4
"""Timeout of a question, for which the other gateway may have to connect to servers."""

MAX_SERVERS_ASKED = 8
"""Maximum number of servers that a question may name."""

AVOIDANCE: Seconds = 1.0
"""Time for which a relay that took no request is not used, and one to which a
connection failed is used only after the others."""


@frozen
class ReachQuestion:
    """Asks which of some servers a gateway reaches."""

    servers: tuple[BackendName, ...] = ()


@frozen
class ReachAnswer:
    """The servers that a gateway reaches.

    Attributes:
        reached: Those that it is connected to, or that accepted a connection.
        refused: Those that refused one.
        stopping: Whether the gateway stops and takes no more requests of others.
    """

    reached: tuple[BackendName, ...] = ()
    refused: tuple[BackendName, ...] = ()
    stopping: bool = False


@define(eq=False)
class GatewayRelays:
    """The gateways that reach servers, and connections to them.

    Attributes:
        name: This VM's name.
        domain: This VM's failure domain.
        peers: Sends messages to the other gateways.
        rows: Returns the presence rows of the others, by VM name.
        tasks: Starts the tasks that read from connections; None before the start.
        usable: The relays, by the last answers.
        avoided: Until when relays that took no request are not used.
        broken: Until when relays are used last, as a connection to them broke off or
            could not be opened.
        asked_from: Position of the first gateway that is asked next.
        turn: Number of connections taken so far, by which the relays take turns.
        pool: The connections to relays; None before the first.
        account: Bounds what is buffered of relayed answers.
    """

    name: str
    domain: str
    peers: GatewayPeers
    rows: Callable[[], Mapping[str, PresenceRow]]
    tasks: TaskStarter | None = None
    usable: list[RelayAddress] = field(factory=list)
    avoided: dict[str, Seconds] = field(factory=dict)
    broken: dict[str, Seconds] = field(factory=dict)
    asked_from: int = 0
    turn: int = 0
    pool: ChannelPool | None = None
    account: BufferAccount = field(factory=BufferAccount)

    def candidates(self) -> list[str]:
        """Return the gateways that pass requests on, in the order of this gateway.

        The order is by rendezvous hashing, with other failure domains first, since a
        cut often concerns a whole one.
        """

        def order(peer: str) -> tuple[bool, bytes]:
            own = rows[peer].domain == self.domain
            text = f"{self.name}\n{peer}".encode()
            return own, hashlib.blake2b(text, digest_size=8).digest()

        rows = {name: row for name, row in self.rows().items() if row.relay_key}
        return sorted(rows, key=order)

    async def ask(self, servers: Collection[BackendName]) -> list[ReachAnswer]:
        """Ask a few gateways which servers they reach; those that reach any are used.

        Those that stop are not used. If none is left, the next call asks others.

        Returns:
            The answers.
        """
        question = ReachQuestion(tuple(servers)[:MAX_SERVERS_ASKED])
        answers = await self.ask_some(question)
        rows = self.rows()
        self.usable = [
            relay_at(peer, rows[peer])
            for peer, answer in answers.items()
            if answer.reached and not answer.stopping and peer in rows
        ]
        if not self.usable:
            self.asked_from += ASKED_AT_ONCE
        relays = [relay.router for relay in self.usable]
        fields = {"servers": question.servers, "answered": len(answers)}
        log.info("relays asked for", extra={**fields, "relays": relays})
        return list(answers.values())

    async def ask_some(self, question: ReachQuestion) -> dict[str, ReachAnswer]:
        """Ask ASKED_AT_ONCE gateways, and return the answers by VM name."""
        now = anyio.current_time()
        able = [
            peer
            for peer in self.candidates()
            if self.peers.is_available(peer, now, REACH_TIMEOUT)
        ]
        start = self.asked_from % len(able) if able else 0
        asked = [*able[start:], *able[:start]][:ASKED_AT_ONCE]
        answers: dict[str, ReachAnswer] = {}
        async with anyio.create_task_group() as tasks:
            for peer in asked:
                tasks.start_soon(self.ask_one, peer, question, answers)
        return answers

    async def ask_one(
        self, peer: str, question: ReachQuestion, answers: dict[str, ReachAnswer]
    ) -> None:
        """Ask one gateway, and add its answer if there is one."""
        answer = await self.peers.post(
            peer, REACH_TARGET, question, ReachAnswer, REACH_TIMEOUT
        )
        if answer is not None:
            answers[peer] = answer

    async def has_ended(self, server: BackendName) -> bool:
        """Return whether a server refuses connections from a relay."""
        answers = await self.ask_some(ReachQuestion((server,)))
        reached = any(server in answer.reached for answer in answers.values())
        return not reached and any(server in a.refused for a in answers.values())

    async def is_reached(self, server: BackendName) -> bool:
        """Return whether a server accepts a connection from a relay."""
        answers = await self.ask_some(ReachQuestion((server,)))
        return any(server in answer.reached for answer in answers.values())

    async def open(self) -> Path:
        """Return a connection to a relay; the relays take turns.

        Raises:
            NoPathError: None is known, or none of them answers.
        """
        for relay in self.in_turn():
            try:
                channel = await self.connections().get(relay.router, relay.address)
            except BackendLostError:
                self.use_last(relay)
                continue
            return Path(channel, relay)
        raise NoPathError("no relay answers")

    def in_turn(self) -> list[RelayAddress]:
        """Return the relays that are not avoided, beginning with the next one.

        Those to which a connection has just failed are the last.
        """
        now = anyio.current_time()
        able = [r for r in self.usable if now >= self.avoided.get(r.router, now)]
        self.turn += 1
        start = self.turn % len(able) if able else 0
        turns = [*able[start:], *able[:start]]
        return sorted(turns, key=lambda r: now < self.broken.get(r.router, now))

    async def put(self, path: Path) -> None:
        """Take back a connection that can be reused."""
        if path.relay is not None:
            await self.connections().put(path.relay.router, path.channel)

    def connections(self) -> ChannelPool:
        """Return the pool of connections to relays.

        Raises:
            NoPathError: The gateway has not started yet.
        """
        if self.tasks is None:
            raise NoPathError("not started")
        if self.pool is None:
            self.pool = ChannelPool(self.tasks, connect_timeout=CONNECT_TIMEOUT)
            self.pool.account = self.account
        return self.pool

    def avoid(self, relay: RelayAddress) -> None:
        """Do not use a relay for AVOIDANCE."""
        self.avoided[relay.router] = anyio.current_time() + AVOIDANCE
        log.info("relay avoided", extra={"peer": relay.router})

    def use_last(self, relay: RelayAddress) -> None:
        """Use a relay only after the others for AVOIDANCE."""
        self.broken[relay.router] = anyio.current_time() + AVOIDANCE
        log.info("relay used last", extra={"peer": relay.router})

    def has_usable(self) -> bool:
        """Return whether a relay is known that is neither avoided nor used last."""
        now = anyio.current_time()
        return any(
            now >= self.avoided.get(relay.router, now)
            and now >= self.broken.get(relay.router, now)
            for relay in self.usable
        )

    def forget(self) -> None:
        """Forget the relays, since servers are reached from here again."""
        self.usable.clear()
        self.avoided.clear()
        self.broken.clear()
        self.asked_from = 0


def relay_at(peer: str, row: PresenceRow) -> RelayAddress:
    """Return a gateway as a relay."""
    host, _, port = row.address.rpartition(":")
    return RelayAddress(peer, (host, int(port)), row.relay_key)
