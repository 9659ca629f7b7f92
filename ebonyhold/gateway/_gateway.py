"""The gateway process: starts its tasks and listeners, and stops them."""

from __future__ import annotations

import logging
import signal
from collections.abc import Callable
from functools import partial

import anyio
from anyio.abc import TaskGroup
from attrs import define, evolve, field

from ebonyhold.coordination import CrashRecords, LimitShares, StreamRecords
from ebonyhold.forwarding import (
    CallerConnection,
    CallerLimits,
    CallerListener,
    ChannelPool,
    ConnectOutcome,
    CrashDetector,
    FleetRetryBudget,
    FlowControl,
    Forwarder,
    Paths,
    Reachability,
    RequestHead,
    RequestRelay,
    Ruleset,
    RunChecks,
    Shutdown,
    SilenceRecorder,
    SlowReaders,
    StreamVersions,
)
from ebonyhold.gateway._connection_limits import (
    CHECK_WAITING,
    check_limits,
    connection_limits,
)
from ebonyhold.gateway._flow import flow_control
from ebonyhold.gateway._holds import GatewayHolders, PeerHandler
from ebonyhold.gateway._listening import listen
from ebonyhold.gateway._load_parts import LoadParts, open_load
from ebonyhold.gateway._memory_parts import MemoryParts, open_memory
from ebonyhold.gateway._metrics import GatewayMetrics
from ebonyhold.gateway._observations import TABLE as OBSERVATIONS_TABLE
from ebonyhold.gateway._observations import WATCH_WAIT, Observations
from ebonyhold.gateway._partition import PartitionMonitor, ServerProber
from ebonyhold.gateway._presence import Presence, new_relay_key
from ebonyhold.gateway._pressure import LinkUse, PressureMonitor
from ebonyhold.gateway._relays import GatewayRelays
from ebonyhold.gateway._renewals import Renewals
from ebonyhold.gateway._routing_state import RoutingState
from ebonyhold.gateway._signals import watched_signals
from ebonyhold.gateway._stop import GatewayStop
from ebonyhold.gateway._streams import GatewayStreams
from ebonyhold.gateway._supervision import GuardedTasks, Supervisor
from ebonyhold.gateway._transfers import (
    PEER_LIMITS,
    GatewayPeers,
    TransferHandler,
)
from ebonyhold.gateway._types import PlatformAdapter
from ebonyhold.gateway._version_rows import VersionRows
from ebonyhold.gateway._watcher import Watcher
from ebonyhold.misc import new_incarnation
from ebonyhold.prepaid import Fleet, GrantManager, HolderTable, RemoteHolds
from ebonyhold.types import BackendName, Seconds

log = logging.getLogger(__name__)

METRICS_PORT = 9464
"""The port that Prometheus exporters commonly use."""

FINAL_SETTLEMENT_TIMEOUT: Seconds = 0.05
"""Timeout for sending the last settlements at the end of the stop. Those not sent by
then are lost, and their holders charge the full amount of each hold."""

ADDED_HEAD_BYTES = 4_096
"""Size of the fields that a router adds to a request, at most."""

EXPIRY_INTERVAL: Seconds = 0.25
"""Interval between two checks for servers whose grace period is over."""


@define(eq=False)
class Gateway:
    """Forwards callers' requests according to the configuration and server list.

    Attributes:
        platform: Settings, store and decoders of the platform.
        began_at: Start of the process, by the monotonic clock.
        incarnation: Identifier of this run of the process.
        shutdown: Decides which requests are accepted while the process stops.
        reach: Whether servers are reached from here, or by way of other gateways.
        relays: The gateways that reach servers while this one does not.
        streams: The gateways that keep which version began a stream.
        version_rows: The stored versions of servers, for processes that start later.
        load: What shares the load of servers with other gateways.
        flow: Bounds what is buffered for slow peers.
        memory: What accounts for the memory of servers; None where that is not needed.
        checks: Asks servers which run of theirs a connection leads to.
        peer_listener: Serves other gateways; None if the settings name no port for it.
        draining: Whether the stop has begun.
    """

    platform: PlatformAdapter
    began_at: Seconds
    incarnation: str = field(init=False)
    routing: RoutingState = field(init=False)
    presence: Presence = field(init=False)
    peers: GatewayPeers = field(init=False)
    holders: GatewayHolders = field(init=False)
    holder_table: HolderTable = field(init=False)
    renewals: Renewals = field(init=False)
    grant_manager: GrantManager = field(init=False)
    rules_watcher: Watcher = field(init=False)
    servers_watcher: Watcher = field(init=False)
    observations: Observations = field(init=False)
    observations_watcher: Watcher = field(init=False)
    listener: CallerListener = field(init=False)
    pressure: PressureMonitor = field(init=False)
    shutdown: Shutdown = field(init=False)
    relays: GatewayRelays = field(init=False)
    reach: Reachability = field(init=False)
    streams: GatewayStreams = field(init=False)
    version_rows: VersionRows = field(init=False)
    load: LoadParts = field(init=False)
    memory: MemoryParts | None = field(init=False)
    metrics: GatewayMetrics = field(factory=GatewayMetrics)
    flow: FlowControl[CallerConnection] = field(factory=FlowControl)
    pool: ChannelPool | None = None
    checks: RunChecks | None = None
    peer_listener: CallerListener | None = None
    draining: bool = False

    def __attrs_post_init__(self) -> None:
        platform = self.platform
        store = platform.store
        self.incarnation = new_incarnation(platform.settings.name)
        self.routing = RoutingState(platform)
        self.shutdown = Shutdown(on_late_request=self.metrics.count_late)
        name = platform.settings.name
        port = platform.settings.peers_port
        own_address = f"{platform.settings.host}:{port}" if port else ""
        self.holder_table = table = HolderTable(name, platform.settings.domain)
        shares = LimitShares(name, lambda: self.presence.count())
        self.routing.backends.shares = shares
        self.routing.backends.read_age = self.list_age
        self.routing.backends.strays.on_stray = self.metrics.count_stray
        self.presence = Presence(
            store,
            name,
            self.incarnation,
            own_address,
            platform.settings.domain,
            self.update_fleet,
            relay_key=new_relay_key() if port else "",
        )
        self.load = open_load(
            platform,
            self.routing,
            self.presence,
            lambda: self.current_rules(),
            self.metrics,
        )
        self.reach = Reachability(lambda: len(self.routing.backends.entries))
        self.peers = GatewayPeers(
            self.presence.peer_addresses, holders=lambda name: table.holders(name).names
        )
        self.relays = GatewayRelays(
            name, platform.settings.domain, self.peers, self.presence.peers
        )
        self.streams = GatewayStreams(
            name,
            self.peers,
            self.presence.peers,
            StreamRecords(),
            self.routing.backends.versions,
            lambda: self.presence.counts > 0,
        )
        self.routing.backends.versions.is_complete = False
        self.version_rows = VersionRows(
            store, name, self.streams.others, self.routing.backends
        )
        self.holders = GatewayHolders(self.peers, self.metrics.count_hold)
        self.renewals = Renewals(
            store,
            name,
            platform.settings.host,
            self.incarnation,
            lambda: self.grant_manager.wanted_limits(),
            self.began_at,
        )
        self.grant_manager = GrantManager(
            self.incarnation,
            store,
            self.routing.prepaid,
            self.routing.workspaces,
            self.presence.count,
            self.renewals.limits,
            self.renewals.renew_now,
            self.renewals.is_store_reachable,
            self.peers,
            self.holders,
            table,
            lambda: self.presence.settled,
        )
        self.rules_watcher = Watcher(
            store,
            platform.rules_table,
            self.load.replace_rules,
            self.load.apply_rules,
            self.presence.count,
        )
        self.servers_watcher = Watcher(
            store,
            platform.servers_table,
            self.routing.replace_servers,
            self.routing.update_servers,
            self.presence.count,
        )
        self.observations = Observations(
            store,
            name,
            CrashRecords(),
            self.routing.backends,
            self.presence.count,
            self.renewals.is_store_reachable,
            self.peers,
        )
        self.observations_watcher = Watcher(
            store,
            OBSERVATIONS_TABLE,
            self.observations.merge_rows,
            self.observations.merge_rows,
            self.presence.count,
            WATCH_WAIT,
        )
        self.memory = open_memory(
            platform.settings,
            self.incarnation,
            self.routing.backends,
            self.presence,
            lambda: self.routing.rules,
            self.peers,
            lambda: self.draining,
            self.metrics.registry,
        )

    def update_fleet(self, fleet: Fleet) -> None:
        """Use a new list of the routers."""
        self.holder_table.update(fleet)
        self.routing.backends.shares.update(fleet)
        if self.memory is not None:
            self.memory.update_fleet(fleet)
        self.load.exchange.review()

    async def run(self) -> int:
        """Serve until a signal or a fault stops the process.

        Returns:
            The exit status.
        """
        settings = self.platform.settings
        log.info("starting", extra={"vm": settings.name, "domain": settings.domain})
        async with anyio.create_task_group() as tasks:
            supervisor = self.supervise(tasks)
            self.platform.store.start(GuardedTasks(supervisor, "server connection"))
            self.peers.tasks = GuardedTasks(supervisor, "server connection")
            self.relays.tasks = self.peers.tasks
            supervisor.start("signals", self.handle_signals, supervisor.stop)
            supervisor.start("rules", self.rules_watcher.run)
            supervisor.start("servers", self.servers_watcher.run)
            supervisor.start("others' observations", self.observations_watcher.run)
            supervisor.start("observations", self.observations.run)
            supervisor.start("renewals", self.renewals.run)
            supervisor.start("presence", self.presence.run)
            supervisor.start("treasury", self.grant_manager.run)
            supervisor.start("settlements", self.holders.run)
            supervisor.start("streams", self.streams.run)
            supervisor.start("versions", self.version_rows.run)
            self.load.start(supervisor)
            supervisor.start("expiry", self.expire_servers)
            supervisor.start("reclaim", self.reclaim)
            if self.memory is not None:
                self.memory.start(supervisor)
            self.start_listeners(tasks, supervisor)
        log.info("stopped", extra={"vm": settings.name, "status": supervisor.status})
        return supervisor.status

    def supervise(self, tasks: TaskGroup) -> Supervisor:
        """Create the supervisor, and let it run each grant's return at the stop."""

        def stop() -> None:
            supervisor.start("stop", self.stop, tasks)

        supervisor = Supervisor(tasks, self.metrics.count_task_failure, stop)
        self.grant_manager.guard = partial(supervisor.guard, "return")
        return supervisor

    def start_listeners(self, tasks: TaskGroup, supervisor: Supervisor) -> None:
        """Start the listeners, the overload detection and the sweep of connections.

        Other gateways are served only if the settings contain a port for them.
        """
        settings = self.platform.settings
        self.pool = ChannelPool(GuardedTasks(supervisor, "server connection"))
        paths = Paths(self.pool, self.reach, self.relays)
        self.checks = RunChecks(
            self.routing.backends,
            self.pool,
            self.platform.report_target,
            self.platform.read_start,
            self.metrics.count_run_answer,
        )
        flow = flow_control(settings, self.routing.backends, self.metrics)
        forwarder = Forwarder(
            domain=settings.domain,
            dialect=self.platform.dialect,
            backends=self.routing.backends,
            paths=paths,
            retries=FleetRetryBudget(settings.retry_rules, self.presence.count),
            rules=self.current_rules,
            open_hold=self.grant_manager.open_hold,
            on_end=self.metrics.count_request,
            on_answer=self.metrics.count_answer,
            on_cut=self.metrics.count_cut,
            ages=self.ages,
            loop_delay=self.loop_delay,
            shutdown=self.shutdown,
            crashes=CrashDetector(
                paths,
                self.routing.backends,
                self.observations.crashes,
                self.observations.parts,
            ),
            streams=StreamVersions(
                self.routing.backends,
                self.streams,
                self.streams.records,
                self.metrics.count_stream,
            ),
            checks=self.checks,
            flow=flow,
            silences=SilenceRecorder(
                self.routing.backends,
                self.metrics.count_silence,
                self.metrics.count_standby,
            ),
        )
        supervisor.start("token waits", forwarder.waits.run)
        self.streams.stated = forwarder.streams.stated
        self.streams.confirmed = forwarder.streams.confirmed
        guard = partial(supervisor.guard, "caller connection")
        self.listener = CallerListener(
            forwarder.serve, self.routing.limits, guard, forwarder.identify
        )
        self.pool.traffic = self.listener.traffic
        self.flow = flow
        connections = connection_limits(settings)
        self.listener.max_connections = connections.callers
        if flow.bounded:
            self.listener.flow, self.pool.account = flow, flow.answers
            self.relays.account = flow.answers
            supervisor.start("slow readers", SlowReaders(flow).run)
        self.pressure = PressureMonitor(
            self.listener.shed,
            LinkUse(self.listener.traffic, settings.link_rate),
            self.reach,
        )
        self.pool.on_connect = self.record_connect
        prober = ServerProber(self.pool, self.routing.backends, lambda: self.draining)
        partition = PartitionMonitor(
            self.reach, prober, self.relays, self.pressure.is_link_full
        )
        supervisor.start("pressure", self.pressure.run)
        supervisor.start("partition", partition.run)
        readiness = CallerListener(self.answer_readiness, check_limits, guard)
        metrics = CallerListener(self.answer_metrics, check_limits, guard)
        for checks in (readiness, metrics):
            checks.max_connections = connections.checks
            checks.max_waiting = CHECK_WAITING
            checks.flow = flow if flow.bounded else None
        metrics_address = (settings.host, METRICS_PORT)
        supervisor.start("sweep", self.pool.sweep)
        supervisor.start("callers", listen, self.listener, settings.callers, tasks)
        supervisor.start("readiness", listen, readiness, settings.readiness, tasks)
        supervisor.start("metrics", listen, metrics, metrics_address, tasks)
        if settings.peers_port:
            self.start_peer_listener(tasks, supervisor, prober, connections.peers)

    def start_peer_listener(
        self,
        tasks: TaskGroup,
        supervisor: Supervisor,
        prober: ServerProber,
        max_connections: float,
    ) -> None:
        """Start the listener for other gateways."""
        settings = self.platform.settings
        remote_holds = RemoteHolds(self.grant_manager.grant, lambda: self.draining)
        relay = RequestRelay(
            self.presence.relay_key,
            self.platform.dialect,
            self.routing.backends,
            prober.pool,
            self.reach,
            self.shutdown,
            lambda: not (self.draining or self.pressure.high),
            self.metrics.count_relayed,
            self.listener.under_way,
            self.checks,
        )
        handler = PeerHandler(
            TransferHandler(self.grant_manager.grant),
            remote_holds,
            self.observations.merge,
            prober.answer,
            relay.serve,
            self.streams,
            self.memory.lease_server if self.memory is not None else None,
        )
        guard = partial(supervisor.guard, "caller connection")
        listener = CallerListener(handler.serve, self.peer_limits, guard)
        listener.max_connections = max_connections
        listener.flow = self.flow if self.flow.bounded else None
        self.peer_listener = listener
        address = (settings.host, settings.peers_port)
        supervisor.start("transfers", listen, listener, address, tasks)
        supervisor.start("lent holds", handler.expire)

    def peer_limits(self) -> CallerLimits:
        """Return the limits on messages of other gateways.

        A request that is to be passed on may be as large as one of a caller, with the
        fields that routers add.
        """
        callers = self.routing.limits()
        head = max(PEER_LIMITS.head_bytes, callers.head_bytes + ADDED_HEAD_BYTES)
        body = max(PEER_LIMITS.body_bytes, callers.body_bytes)
        return evolve(PEER_LIMITS, head_bytes=head, body_bytes=body)

    def record_connect(self, server: BackendName, outcome: ConnectOutcome) -> None:
        """Record an attempt to open a connection to a server."""
        self.metrics.count_connect(outcome)
        self.reach.record_connect(server, outcome, anyio.current_time())
        self.pressure.record_connect(server, outcome)

    def list_age(self) -> Seconds:
        """Return the age of the list of servers."""
        return self.servers_watcher.age(anyio.current_time())

    def ages(self) -> dict[str, Seconds]:
        """Return how long ago the store last answered for rules and for servers.

        In seconds, rounded to 0.01 s; infinite before the first answer.
        """
        now = anyio.current_time()
        return {
            "rules_age": round(self.rules_watcher.age(now), 2),
            "servers_age": round(self.servers_watcher.age(now), 2),
        }

    def loop_delay(self) -> Seconds:
        """Return the mean delay of the event loop; 0 before it is measured."""
        return self.pressure.detector.mean_delay

    def current_rules(self) -> Ruleset | None:
        """Return the current rules; None until both rules and servers were read."""
        return self.routing.rules if self.servers_watcher.first_read.is_set() else None

    @property
    def ready(self) -> bool:
        """Whether the load balancer should send new callers to this router.

        It should not before rules and servers were read, during the stop, and while the
        router is overloaded.
        """
        known = self.current_rules() is not None
        return known and not self.draining and not self.pressure.high

    async def answer_readiness(
        self, connection: CallerConnection, head: RequestHead, body: bytes
    ) -> None:
        """Answer a readiness check with 200 if this router is `ready`, else 503."""
        del head, body
        await connection.answer(200 if self.ready else 503, [], b"")

    async def answer_metrics(
        self, connection: CallerConnection, head: RequestHead, body: bytes
    ) -> None:
        """Update the gauges, and answer a scrape with all metrics."""
        del head, body
        self.update_gauges()
        content = (b"content-type", b"text/plain; version=0.0.4; charset=utf-8")
        await connection.answer(200, [content], self.metrics.render())

    def update_gauges(self) -> None:
        """Set the gauges for the configuration, servers, grants and event loop."""
        rules = self.routing.rules
        self.metrics.rules_version.set(rules.version if rules else 0)
        now = anyio.current_time()
        for watcher in (self.rules_watcher, self.servers_watcher):
            self.metrics.store_age.labels(watcher.table).set(watcher.age(now))
        self.metrics.set_servers(self.routing.backends, now)
        self.metrics.set_tokens(self.grant_manager.grants.values())
        self.metrics.set_reach(self.reach, now)
        self.load.exchange.set_gauges(now)
        self.metrics.set_flow(self.flow)
        if self.memory is not None:
            self.memory.set_gauges()
        self.metrics.loop_delay.set(self.pressure.detector.mean_delay)
        if self.pool is not None:
            self.metrics.connections.set(self.pool.opened)

    async def reclaim(self) -> None:
        """Reclaim the grants of earlier incarnations, once the VM's row is taken over.

        An incarnation with grants that cannot be reclaimed stays named in the VM's row,
        so that this router's successor tries again.
        """
        await self.renewals.started.wait()
        for predecessor in self.renewals.unreclaimed:
            if await self.grant_manager.reclaim(predecessor):
                self.renewals.reclaimed(predecessor.router)

    async def expire_servers(self) -> None:
        """Regularly remove servers whose entries did not return after an outage.

        What is known of the links to servers that are not listed goes, too.
        """
        while True:
            await anyio.sleep(EXPIRY_INTERVAL)
            now = anyio.current_time()
            self.routing.backends.expire(now)
            self.streams.records.expire(now)
            self.reach.forget_unlisted(self.routing.backends.entries)

    async def handle_signals(self, stop: Callable[[], None]) -> None:
        """Begin the stop on SIGTERM or SIGINT, and ignore SIGHUP, until cancelled."""
        with watched_signals() as signals:
            async for number in signals:
                if number is signal.SIGHUP:
                    # There is nothing to reload: addresses cannot change while the
                    # process runs, and the configuration is read from the store.
                    log.info("SIGHUP ignored; settings are read only at the start")
                    continue
                log.info("stopping", extra={"signal": number.name})
                stop()

    async def stop(self, tasks: TaskGroup) -> None:
        """Run the orderly stop, and then cancel all tasks; later calls do nothing."""
        if self.draining:
            return
        self.draining = True
        stop = GatewayStop(
            self.listener,
            self.shutdown,
            self.grant_manager,
            self.leave,
            self.peer_listener,
        )
        async with anyio.create_task_group() as steps:
            steps.start_soon(self.streams.hand_over)
            signalled_at = self.pressure.earliest_arrival(anyio.current_time())
            await stop.run(self.platform.settings.grace, signalled_at)
        with anyio.move_on_after(FINAL_SETTLEMENT_TIMEOUT):
            await self.holders.send_all()
        tasks.cancel_scope.cancel()

    async def leave(self) -> None:
        """Remove this router's rows; the limits row stays if a successor needs it.

        What it knows of streams goes to other gateways.
        """
        await self.streams.hand_over()
        await self.renewals.leave()
        await self.presence.leave()
