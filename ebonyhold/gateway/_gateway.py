"""One gateway process: its tasks, its start and its end."""

from __future__ import annotations

import logging
import signal
from collections.abc import Callable
from functools import partial

import anyio
from anyio.abc import TaskGroup
from attrs import define, field

from ebonyhold.forwarding import (
    CallerConnection,
    CallerLimits,
    CallerListener,
    ChannelPool,
    Departure,
    FleetRetries,
    Forwarder,
    RequestHead,
    Ruleset,
)
from ebonyhold.gateway._holds import GatewayHolders, PeerDesk
from ebonyhold.gateway._knowledge import Knowledge
from ebonyhold.gateway._listening import listen
from ebonyhold.gateway._meters import GatewayMeters
from ebonyhold.gateway._presence import Presence
from ebonyhold.gateway._pressure import Pressure
from ebonyhold.gateway._renewals import Renewals
from ebonyhold.gateway._signals import watched_signals
from ebonyhold.gateway._stop import GatewayStop
from ebonyhold.gateway._supervision import GuardedTasks, Supervisor
from ebonyhold.gateway._transfers import (
    PEER_LIMITS,
    GatewayPeers,
    TransferDesk,
)
from ebonyhold.gateway._types import Peers
from ebonyhold.gateway._watcher import Watcher
from ebonyhold.misc import new_incarnation
from ebonyhold.prepaid import HolderTable, LentHolds, Treasury
from ebonyhold.types import Seconds

log = logging.getLogger(__name__)

METRICS_PORT = 9464
"""The port that exporters of the exposition format commonly use."""

LAST_SETTLEMENTS: Seconds = 0.05
"""How long a process that ends tells holders what its last requests cost."""

EXPIRY_TICK: Seconds = 0.25
"""How often servers whose grace is over are looked for."""


@define(eq=False)
class Gateway:
    """Serves callers from what the store says.

    Attributes:
        peers: What it talks to.
        began_at: When the process began, by the monotonic clock.
        incarnation: This life of the process.
        departure: What requests are judged by once it has been told to stop.
        draining: Whether it has been told to stop.
    """

    peers: Peers
    began_at: Seconds
    incarnation: str = field(init=False)
    knowledge: Knowledge = field(init=False)
    presence: Presence = field(init=False)
    neighbours: GatewayPeers = field(init=False)
    holders: GatewayHolders = field(init=False)
    renewals: Renewals = field(init=False)
    treasury: Treasury = field(init=False)
    rules_watcher: Watcher = field(init=False)
    servers_watcher: Watcher = field(init=False)
    listener: CallerListener = field(init=False)
    pressure: Pressure = field(init=False)
    departure: Departure = field(init=False)
    meters: GatewayMeters = field(factory=GatewayMeters)
    pool: ChannelPool | None = None
    draining: bool = False

    def __attrs_post_init__(self) -> None:
        peers = self.peers
        store = peers.store
        self.incarnation = new_incarnation(peers.settings.name)
        self.knowledge = Knowledge(peers)
        self.departure = Departure(judged=self.meters.late)
        name = peers.settings.name
        port = peers.settings.peers_port
        own_address = f"{peers.settings.host}:{port}" if port else ""
        table = HolderTable(name, peers.settings.domain)
        self.presence = Presence(
            store,
            name,
            self.incarnation,
            own_address,
            peers.settings.domain,
            table.update,
        )
        self.neighbours = GatewayPeers(
            self.presence.others, holders=lambda name: table.holders(name).names
        )
        self.holders = GatewayHolders(self.neighbours, self.meters.held)
        self.renewals = Renewals(
            store,
            name,
            peers.settings.host,
            self.incarnation,
            lambda: self.treasury.wanted_limits(),
            self.began_at,
        )
        self.treasury = Treasury(
            self.incarnation,
            store,
            self.knowledge.prepaid,
            self.knowledge.workspaces,
            self.presence.count,
            self.renewals.limits,
            self.renewals.renew_now,
            self.renewals.in_touch,
            self.neighbours,
            self.holders,
            table,
            lambda: self.presence.settled,
        )
        self.rules_watcher = Watcher(
            store,
            peers.rules_table,
            self.knowledge.take_rules,
            self.knowledge.take_rules,
            self.presence.count,
        )
        self.servers_watcher = Watcher(
            store,
            peers.servers_table,
            self.knowledge.replace_servers,
            self.knowledge.change_servers,
            self.presence.count,
        )

    async def run(self) -> int:
        """Serve until a signal or a fault stops the process.

        Returns:
            The exit status.
        """
        settings = self.peers.settings
        log.info("starting", extra={"vm": settings.name, "domain": settings.domain})
        async with anyio.create_task_group() as tasks:
            keep = self.supervise(tasks)
            self.peers.store.start(GuardedTasks(keep, "server connection"))
            self.neighbours.tasks = GuardedTasks(keep, "server connection")
            keep.start("signals", self.await_signals, keep.stop)
            keep.start("rules", self.rules_watcher.run)
            keep.start("servers", self.servers_watcher.run)
            keep.start("renewals", self.renewals.run)
            keep.start("presence", self.presence.run)
            keep.start("treasury", self.treasury.run)
            keep.start("settlements", self.holders.run)
            keep.start("expiry", self.expire_servers)
            keep.start("reclaim", self.reclaim)
            self.start_listeners(tasks, keep)
        log.info("stopped", extra={"vm": settings.name, "status": keep.status})
        return keep.status

    def supervise(self, tasks: TaskGroup) -> Supervisor:
        """Return what runs this process's tasks, and stops it if it must."""

        def stop() -> None:
            keep.start("stop", self.stop, tasks)

        keep = Supervisor(tasks, self.meters.task_failed, stop)
        self.treasury.guard = partial(keep.guard, "return")
        return keep

    def start_listeners(self, tasks: TaskGroup, keep: Supervisor) -> None:
        """Listen for callers, and for questions of the platform."""
        settings = self.peers.settings
        self.pool = ChannelPool(GuardedTasks(keep, "server connection"))
        forwarder = Forwarder(
            domain=settings.domain,
            dialect=self.peers.dialect,
            backends=self.knowledge.backends,
            pool=self.pool,
            retries=FleetRetries(settings.retry_rules, self.presence.count),
            rules=self.current_rules,
            purse=self.treasury.purse,
            ended=self.meters.ended,
            ages=self.ages,
            departure=self.departure,
        )
        guard = partial(keep.guard, "caller connection")
        self.listener = CallerListener(
            forwarder.serve, self.knowledge.limits, guard, forwarder.identify
        )
        self.pressure = Pressure(self.listener.shed)
        self.pool.connected = self.pressure.connected
        keep.start("pressure", self.pressure.run)
        readiness = CallerListener(self.tell_readiness, CallerLimits, guard)
        metrics = CallerListener(self.tell_metrics, CallerLimits, guard)
        metrics_address = (settings.host, METRICS_PORT)
        keep.start("sweep", self.pool.sweep)
        keep.start("callers", listen, self.listener, settings.callers, tasks)
        keep.start("readiness", listen, readiness, settings.readiness, tasks)
        keep.start("metrics", listen, metrics, metrics_address, tasks)
        if settings.peers_port:
            lent = LentHolds(self.treasury.account, lambda: self.draining)
            desk = PeerDesk(TransferDesk(self.treasury.account), lent)
            questions = CallerListener(desk.serve, lambda: PEER_LIMITS, guard)
            address = (settings.host, settings.peers_port)
            keep.start("transfers", listen, questions, address, tasks)
            keep.start("lent holds", desk.expire)

    def ages(self) -> dict[str, Seconds]:
        """Return how old what is believed of the rules and the servers is."""
        now = anyio.current_time()
        return {
            "rules_age": round(self.rules_watcher.age(now), 2),
            "servers_age": round(self.servers_watcher.age(now), 2),
        }

    def current_rules(self) -> Ruleset | None:
        """Return the rules in force, once the servers are known too."""
        return self.knowledge.rules if self.servers_watcher.first.is_set() else None

    @property
    def ready(self) -> bool:
        """Whether new callers should be sent here."""
        known = self.current_rules() is not None
        return known and not self.draining and not self.pressure.high

    async def tell_readiness(
        self, connection: CallerConnection, head: RequestHead, body: bytes
    ) -> None:
        """Answer whether new callers should be sent here."""
        del head, body
        await connection.answer(200 if self.ready else 503, [], b"")

    async def tell_metrics(
        self, connection: CallerConnection, head: RequestHead, body: bytes
    ) -> None:
        """Answer with the metrics."""
        del head, body
        self.measure()
        content = (b"content-type", b"text/plain; version=0.0.4; charset=utf-8")
        await connection.answer(200, [content], self.meters.render())

    def measure(self) -> None:
        """Bring the gauges up to date."""
        rules = self.knowledge.rules
        self.meters.rules_version.set(rules.version if rules else 0)
        now = anyio.current_time()
        for watcher in (self.rules_watcher, self.servers_watcher):
            self.meters.store_age.labels(watcher.table).set(watcher.age(now))
        self.meters.servers.clear()
        for entry in self.knowledge.backends.entries.values():
            backend = entry.backend
            self.meters.servers.labels(backend.service, backend.state.value).inc()
        for account in self.treasury.accounts.values():
            ledger = account.grant.ledger
            name = account.workspace
            self.meters.tokens.labels(name, "available").set(ledger.available)
            self.meters.tokens.labels(name, "held").set(ledger.held)
            self.meters.tokens.labels(name, "unfiled").set(ledger.unfiled)
            self.meters.tokens.labels(name, "charged").set(account.grant.charged)
        self.meters.loop_delay.set(self.pressure.gauge.mean)
        if self.pool is not None:
            self.meters.connections.set(self.pool.opened)

    async def reclaim(self) -> None:
        """Return what the lives before this one left of their grants."""
        await self.renewals.started.wait()
        for predecessor in self.renewals.unreclaimed:
            if await self.treasury.reclaim(predecessor):
                self.renewals.reclaimed(predecessor.router)

    async def expire_servers(self) -> None:
        """Drop servers that did not come back after an outage, for ever."""
        while True:
            await anyio.sleep(EXPIRY_TICK)
            self.knowledge.backends.expire(anyio.current_time())

    async def await_signals(self, stop: Callable[[], None]) -> None:
        """Act on signals, for ever; those that end processes begin the stop."""
        with watched_signals() as signals:
            async for number in signals:
                if number is signal.SIGHUP:
                    # The listeners keep their addresses for the process's life, and
                    # all else that can change comes from the store.
                    log.info("reload asked for; nothing here is read again")
                    continue
                log.info("stopping", extra={"signal": number.name})
                stop()

    async def stop(self, tasks: TaskGroup) -> None:
        """End without cutting a request, as far as the grace allows."""
        if self.draining:
            return
        self.draining = True
        stop = GatewayStop(self.listener, self.departure, self.treasury, self.leave)
        await stop.run(self.peers.settings.grace)
        with anyio.move_on_after(LAST_SETTLEMENTS):
            await self.holders.tell_all()
        tasks.cancel_scope.cancel()

    async def leave(self) -> None:
        """Remove this router's rows."""
        await self.renewals.leave()
        await self.presence.leave()
