"""The router process: creates its components, starts them and stops them."""

from __future__ import annotations

import logging
import random
from pathlib import Path

import anyio
import attrs
from anyio.abc import TaskGroup
from attrs import define, field

from ebonyhold.backends import Backends, PlacementHolder
from ebonyhold.callers import CallersApp
from ebonyhold.configuration import ConfigurationKeeper, make_keeper
from ebonyhold.daemon._connections import RequestCounter
from ebonyhold.daemon._lifecycle import Lifecycle
from ebonyhold.daemon._members import MemberFeed
from ebonyhold.daemon._messages import StatusRequest
from ebonyhold.daemon._recoveries import Recoveries
from ebonyhold.daemon._servers import serve_listener
from ebonyhold.daemon._settlements import Settlements
from ebonyhold.daemon._status import FleetStatusSource
from ebonyhold.daemon._tasks import BackgroundTasks
from ebonyhold.daemon._versions import VersionExchange
from ebonyhold.document import Document, Limits, Policy
from ebonyhold.exceptions import EbonyholdError
from ebonyhold.fleet import FleetView
from ebonyhold.metrics import Metrics
from ebonyhold.misc import new_incarnation
from ebonyhold.money import GrantManager, Incarnations, Recovery, Upkeep
from ebonyhold.operators import (
    BillingTable,
    OperatorKeys,
    OperatorsApp,
    OperatorsContext,
)
from ebonyhold.routers import KeyRing, PeerNetwork
from ebonyhold.settings import Settings
from ebonyhold.stores import (
    ClassifiedObjects,
    ClassifiedTable,
    Counters,
    Guard,
    GuardedObjects,
    GuardedTable,
    GuardPolicy,
    MembersClient,
    ObjectClient,
    TableClient,
)
from ebonyhold.types import RouterId, Seconds

logger = logging.getLogger(__name__)

REGISTER_RETRY_DELAY: Seconds = 1.0
"""Mean delay between attempts to register while the table is unavailable.

Each delay is random, from half to one and a half times the mean, so that routers that
start together after a power cut don't all retry at the same time.
"""

INITIAL_GUARD_POLICY = GuardPolicy(
    writes=Limits().table_writes, reads=Limits().table_reads
)
"""Rate limits of platform calls.

They apply to the table until the first document is in force, and to the object store
for as long as the process runs.
"""

EMPTY_DOCUMENT = Document(fleet="", domains=())
"""The fleet view's document until the first version is adopted.

It has no workspaces or backends.
"""


@define
class Daemon:
    """The components of one router process.

    Attributes:
        settings: The content of the settings file.
        metrics: The metrics that the process exports.
        table_client: Client of the platform's table service.
        objects_client: Client of the platform's object store.
        table_guard: Rate limits, circuit breaker and retries of table calls.
        objects_guard: Rate limits, circuit breaker and retries of object store calls.
        table: The guarded table; its calls are queued by priority class.
        objects: The guarded object store; its calls are queued by priority class.
        members: Polls the platform's membership list.
        fleet: The document in force and the names of leaving backend servers.
        keeper: Reads and adopts configuration versions.
        network: The connections to the other routers, and their membership.
        backends: The backend servers and their state.
        money: Grants, journal, claims and bills of the current incarnation.
        callers: The callers' application.
        recoveries: Recovers the incarnations of failed routers.
        upkeep: Returns lost transfers and deletes expired rows.
        placement: Places models on engines while this router holds the lease.
        lifecycle: Runs the stop of this router.
        background: Runs the background tasks.
        requests: Counts the requests on both listeners, which close together.
    """

    settings: Settings
    metrics: Metrics = field(factory=Metrics)
    table_client: TableClient = field(init=False)
    objects_client: ObjectClient = field(init=False)
    table_guard: GuardedTable = field(init=False)
    objects_guard: GuardedObjects = field(init=False)
    table: ClassifiedTable = field(init=False)
    objects: ClassifiedObjects = field(init=False)
    members: MemberFeed = field(init=False)
    fleet: FleetView = field(init=False)
    keeper: ConfigurationKeeper = field(init=False)
    network: PeerNetwork = field(init=False)
    backends: Backends = field(init=False)
    money: Incarnations = field(init=False)
    callers: CallersApp = field(init=False)
    recoveries: Recoveries = field(init=False)
    upkeep: Upkeep = field(init=False)
    placement: PlacementHolder = field(init=False)
    lifecycle: Lifecycle = field(init=False)
    background: BackgroundTasks = field(init=False)
    requests: RequestCounter = field(factory=RequestCounter)

    def __attrs_post_init__(self) -> None:
        """Create the components; no socket is opened and no task is started."""
        platform = self.settings.platform
        self.table_client = TableClient(platform.table, platform.timeout)
        self.objects_client = ObjectClient(platform.objects, platform.timeout)
        self.table_guard = GuardedTable(self.table_client, Guard(INITIAL_GUARD_POLICY))
        self.objects_guard = GuardedObjects(
            self.objects_client, Guard(INITIAL_GUARD_POLICY)
        )
        self.table = ClassifiedTable(self.table_guard)
        self.objects = ClassifiedObjects(self.objects_guard)
        self.fleet = FleetView(EMPTY_DOCUMENT, domain=self.settings.domain)
        self.members = MemberFeed(self.members_client(), self.fleet)
        self.keeper = make_keeper(self.table, self.objects)
        self.backends = Backends(self.fleet)
        first = new_incarnation(self.settings.name)
        self.network = PeerNetwork(
            first,
            self.settings.domain,
            self.settings.peers,
            KeyRing.load(Path(self.settings.peer_keys)),
            self.members.entries,
        )
        self.money = Incarnations(
            IncarnationNames(self.settings.name, first), self.make_grant_manager
        )
        self.callers = CallersApp(
            self.money,
            self.fleet,
            self.backends,
            self.keeper.may_serve,
            metrics=self.metrics,
        )
        self.placement = PlacementHolder(
            lambda: self.money.current.router, self.table, self.backends
        )
        self.recoveries = Recoveries(
            self.table,
            self.make_recovery,
            lambda: self.money.current.router,
            self.network.alive,
            self.network.recoverable,
            self.network.may_recover,
            self.network.add_row,
        )
        self.upkeep = Upkeep(
            self.table,
            self.objects,
            self.make_recovery,
            lambda: self.policy().keep_bills,
            lambda: self.money.current.router,
            self.network.alive,
        )
        self.lifecycle = Lifecycle(
            self.callers,
            self.money,
            self.network,
            lambda: self.fleet.document.limits.drain,
        )
        self.background = BackgroundTasks(self.lifecycle.stop_requested)

    def members_client(self) -> MembersClient | None:
        """Return the client of the membership list; None if the settings name none."""
        platform = self.settings.platform
        if not platform.members:
            return None
        return MembersClient(platform.members, platform.timeout)

    def policy(self) -> Policy:
        """Return the policy of the document in force."""
        return self.fleet.document.policy

    def make_grant_manager(self, router: RouterId) -> GrantManager:
        """Return the grant manager of an incarnation.

        The peer network uses the id of that incarnation from then on.
        """
        if self.network.membership.own_update.router != router:
            self.network.start_incarnation(router)
        return GrantManager(
            router,
            self.table,
            self.objects,
            self.policy,
            peers=self.network,
            attempt_lookup=self.backends,
            address=self.settings.peers,
            domain=self.settings.domain,
        )

    def make_recovery(self) -> Recovery:
        """Return a recovery that acts for the current incarnation."""
        return Recovery(
            self.table,
            self.objects,
            self.money.current.router,
            self.backends,
            self.policy,
        )

    def operators_app(self) -> OperatorsApp:
        """Return the operators' application, with the operator keys loaded.

        Other routers' status requests are answered from then on.

        Raises:
            SettingsError: The file of operator keys cannot be used.
        """
        status = FleetStatusSource(
            self.settings.domain,
            self.money,
            self.network,
            self.keeper,
            self.callers,
            self.backends,
            self.recoveries,
            self.lifecycle,
        )
        self.network.handle(StatusRequest, status.answer)
        keys = OperatorKeys(Path(self.settings.operator_keys))
        keys.reload()
        accounts = BillingTable(self.table)
        return OperatorsApp(
            OperatorsContext(
                keys,
                self.keeper,
                status,
                accounts,
                accounts,
                self.render_metrics,
                Settlements(self.table, self.make_recovery),
            )
        )

    async def run(self) -> None:
        """Serve until a signal or a failed task requests the stop, and then stop.

        Raises:
            SettingsError: A key file cannot be used.
        """
        operators = self.operators_app()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.lifecycle.follow_signals)
            # The listeners have their own task group, which ends when they have closed.
            # When the last bills are filed, connections may still have unsent bytes of
            # answers, which would be lost if the process exited at that point.
            async with anyio.create_task_group() as listeners:
                starting = anyio.CancelScope()
                listeners.start_soon(self.start, operators, tasks, listeners, starting)
                await self.lifecycle.run()
                starting.cancel()
            tasks.cancel_scope.cancel()
        await self.close()

    async def start(
        self,
        operators: OperatorsApp,
        tasks: TaskGroup,
        listeners: TaskGroup,
        scope: anyio.CancelScope,
    ) -> None:
        """Start the components in order; the stop may cancel this at any point.

        The start waits without a time limit for an unavailable table. `run` therefore
        handles signals beside it, so that a router can be stopped while it waits.

        Args:
            operators: The operators' application.
            tasks: Runs the background tasks.
            listeners: Runs the listeners.
            scope: Cancels the start.
        """
        stop = self.lifecycle.ended
        with scope, self.background.stop_on_error():
            tasks.start_soon(self.background.run, self.table_guard.run)
            tasks.start_soon(self.background.run, self.objects_guard.run)
            tasks.start_soon(self.background.run, self.members.run)
            await tasks.start(self.background.start, self.network.run)
            await listeners.start(
                serve_listener,
                operators,
                self.settings.operators,
                stop,
                self.requests,
            )
            await self.network.wait_for_start()
            tasks.start_soon(self.background.run, self.start_keeper)
            tasks.start_soon(self.background.run, self.follow_versions)
            tasks.start_soon(self.background.run, self.backends.run)
            await self.register()
            await self.recoveries.scan_at_start()
            self.network.introduce()
            tasks.start_soon(self.background.run, self.money.run)
            tasks.start_soon(self.background.run, self.recoveries.run)
            tasks.start_soon(self.background.run, self.upkeep.run)
            tasks.start_soon(self.background.run, self.placement.run)
            self.lifecycle.registered = True
            await listeners.start(
                serve_listener,
                self.callers,
                self.settings.callers,
                stop,
                self.requests,
            )
            logger.info("serving", extra={"callers": self.settings.callers.bind})

    async def register(self) -> None:
        """Register the first incarnation, retrying until the table accepts it."""
        while True:
            try:
                await self.money.open()
            except EbonyholdError as error:
                logger.warning("not registered yet", extra={"cause": str(error)})
                await anyio.sleep(REGISTER_RETRY_DELAY * random.uniform(0.5, 1.5))
            else:
                return

    async def start_keeper(self) -> None:
        """Follow configuration versions and exchange them with the other routers."""
        exchange = VersionExchange(self.keeper, self.network)
        exchange.register()
        self.keeper.evidence = exchange
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(exchange.run)
            await self.keeper.run()

    async def follow_versions(self) -> None:
        """Put each adopted version in force, and admit or refuse waiting requests."""
        version = 0
        while True:
            version = await self.keeper.wait_changed(version)
            if self.keeper.document is not None:
                self.fleet.adopt(self.keeper.document, version)
                self.follow_limits()
            self.callers.pump()

    def follow_limits(self) -> None:
        """Apply the rate limits of the document in force to the table calls."""
        limits = self.fleet.document.limits
        self.table_guard.guard.set_rates(limits.table_writes, limits.table_reads)

    def render_metrics(self) -> bytes:
        """Update the gauges and return all metrics as exposition text."""
        metrics = self.metrics
        metrics.in_flight.set(self.callers.active)
        metrics.configuration_version.set(self.keeper.version)
        metrics.alive_routers.set(len(self.network.alive()))
        if self.money.current.journal is not None:
            status = self.money.current.status()
            metrics.unfiled_bills.set(status.unfiled)
            metrics.tokens_held.set(sum(one.available for one in status.grants))
        self.set_platform_gauges("table", self.table_guard.guard)
        self.set_platform_gauges("objects", self.objects_guard.guard)
        counters = self.network.counters
        metrics.peer_messages.labels("sent").set(counters.sent)
        metrics.peer_messages.labels("dropped").set(counters.dropped)
        metrics.peer_messages.labels("received").set(self.network.received)
        metrics.peer_messages.labels("refused").set(sum(self.network.refused.values()))
        return metrics.render()

    def set_platform_gauges(self, service: str, guard: Guard) -> None:
        """Set the gauges that count the calls to one of the platform's services."""
        for priority, counters in guard.counters.items():
            for counted in attrs.fields(Counters):
                value = getattr(counters, counted.name)
                self.metrics.platform_calls.labels(
                    service, priority.value, counted.name
                ).set(value)

    async def close(self) -> None:
        """Close the clients of the platform's services."""
        await self.table_client.aclose()
        await self.objects_client.aclose()
        if self.members.client is not None:
            await self.members.client.aclose()


@define
class IncarnationNames:
    """Generates the ids of incarnations, after a given first one.

    Attributes:
        vm: The name of the router's VM.
        first: The incarnation with which the peer network was created.
        used: Whether `first` has been returned.
    """

    vm: str
    first: RouterId
    used: bool = False

    def __call__(self) -> RouterId:
        """Return `first` on the first call and a new id on each later one."""
        if self.used:
            return new_incarnation(self.vm)
        self.used = True
        return self.first
