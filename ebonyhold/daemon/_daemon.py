"""One router process, put together from its parts."""

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
from ebonyhold.daemon._door import Visits
from ebonyhold.daemon._help import VersionHelp
from ebonyhold.daemon._lifecycle import Lifecycle
from ebonyhold.daemon._members import MemberFeed
from ebonyhold.daemon._messages import StatusRequest
from ebonyhold.daemon._parts import Parts
from ebonyhold.daemon._recoveries import Recoveries
from ebonyhold.daemon._servers import serve_listener
from ebonyhold.daemon._settlements import Settlements
from ebonyhold.daemon._status import FleetStatusSource
from ebonyhold.document import Document, Limits, Policy
from ebonyhold.exceptions import EbonyholdError
from ebonyhold.fleet import FleetView
from ebonyhold.metrics import Metrics
from ebonyhold.misc import new_incarnation
from ebonyhold.money import Incarnations, Recovery, Treasury, Upkeep
from ebonyhold.operators import (
    OperatorKeys,
    OperatorsApp,
    OperatorsContext,
    TableAccounts,
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

OPEN_PAUSE: Seconds = 1.0
"""Mean time between tries to register while the table is away; it is spread, since
after a power cut all routers would else try in step."""

AT_START = GuardPolicy(writes=Limits().table_writes, reads=Limits().table_reads)
"""The ceilings until the first document, and those of the object store."""

NO_DOCUMENT = Document(fleet="", domains=())
"""Stands in until the first version is adopted; it serves nobody."""


@define
class Daemon:
    """Everything of one router process.

    Attributes:
        settings: The daemon's own settings.
        metrics: What is counted.
        table_client: The platform's table service.
        objects_client: The platform's object store.
        table_guard: Ceilings, breaker and retries of the table.
        objects_guard: The same of the object store.
        table: The table as the parts use it.
        objects: The object store as the parts use it.
        members: The platform's membership list.
        fleet: The document in force and who is leaving.
        keeper: Follows configuration versions.
        network: The other routers.
        backends: The backend servers.
        money: Grants, journal, claims and bills.
        callers: The callers' application.
        recoveries: Recovers routers that are gone.
        lifecycle: The router's own stop.
        parts: Runs everything beside the requests.
        visits: The requests on both listeners, which close together.
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
    parts: Parts = field(init=False)
    visits: Visits = field(factory=Visits)

    def __attrs_post_init__(self) -> None:
        """Make the parts; nothing is opened yet."""
        platform = self.settings.platform
        self.table_client = TableClient(platform.table, platform.timeout)
        self.objects_client = ObjectClient(platform.objects, platform.timeout)
        self.table_guard = GuardedTable(self.table_client, Guard(AT_START))
        self.objects_guard = GuardedObjects(self.objects_client, Guard(AT_START))
        self.table = ClassifiedTable(self.table_guard)
        self.objects = ClassifiedObjects(self.objects_guard)
        self.fleet = FleetView(NO_DOCUMENT, domain=self.settings.domain)
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
        self.money = Incarnations(Names(self.settings.name, first), self.make_treasury)
        self.callers = CallersApp(
            self.money,
            self.fleet,
            self.backends,
            self.keeper.may_serve,
            metrics=self.metrics,
        )
        self.placement = PlacementHolder(
            lambda: self.money.current.me, self.table, self.backends
        )
        self.recoveries = Recoveries(
            self.table,
            self.make_recovery,
            lambda: self.money.current.me,
            self.network.alive,
            self.network.gone,
            self.network.may_recover,
            self.network.read_row,
        )
        self.upkeep = Upkeep(
            self.table,
            self.objects,
            self.make_recovery,
            lambda: self.policy().keep_bills,
            lambda: self.money.current.me,
            self.network.alive,
        )
        self.lifecycle = Lifecycle(
            self.callers,
            self.money,
            self.network,
            lambda: self.fleet.document.limits.drain,
        )
        self.parts = Parts(self.lifecycle.asked)

    def members_client(self) -> MembersClient | None:
        """Return the client of the membership list, if the settings name one."""
        platform = self.settings.platform
        if not platform.members:
            return None
        return MembersClient(platform.members, platform.timeout)

    def policy(self) -> Policy:
        """Return the policy in force."""
        return self.fleet.document.policy

    def make_treasury(self, router: RouterId) -> Treasury:
        """Make the money side of one incarnation, and be that incarnation."""
        if self.network.membership.me.router != router:
            self.network.become(router)
        return Treasury(
            router,
            self.table,
            self.objects,
            self.policy,
            peers=self.network,
            backend_truth=self.backends,
            address=self.settings.peers,
            domain=self.settings.domain,
        )

    def make_recovery(self) -> Recovery:
        """Make a recovery on behalf of the present incarnation."""
        return Recovery(
            self.table,
            self.objects,
            self.money.current.me,
            self.backends,
            self.policy,
        )

    def operators_app(self) -> OperatorsApp:
        """Make the operators' application."""
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
        books = TableAccounts(self.table)
        return OperatorsApp(
            OperatorsContext(
                keys,
                self.keeper,
                status,
                books,
                books,
                self.render_metrics,
                Settlements(self.table, self.make_recovery),
            )
        )

    async def run(self) -> None:
        """Serve until a signal, or a part that fails, asks for the stop.

        Raises:
            SettingsError: A key file cannot be used.
        """
        operators = self.operators_app()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.lifecycle.follow_signals)
            # The listeners get their own group: their connections may still hold
            # the last bytes of answers when the bills are filed, and leaving the
            # process then would cut those answers.
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
        """Start the parts in order; a signal may come before the last.

        While the table is away the start waits for it without a bound, and a
        signal that is only followed once the router serves would be lost.
        """
        stop = self.lifecycle.ended
        with scope, self.parts.noting():
            tasks.start_soon(self.parts.run, self.table_guard.run)
            tasks.start_soon(self.parts.run, self.objects_guard.run)
            tasks.start_soon(self.parts.run, self.members.run)
            await tasks.start(self.parts.start, self.network.run)
            await listeners.start(
                serve_listener,
                operators,
                self.settings.operators,
                stop,
                self.visits,
            )
            await self.network.wait_for_start()
            tasks.start_soon(self.parts.run, self.start_keeper)
            tasks.start_soon(self.parts.run, self.follow_versions)
            tasks.start_soon(self.parts.run, self.backends.run)
            await self.open_money()
            await self.recoveries.look_around()
            self.network.introduce()
            tasks.start_soon(self.parts.run, self.money.run)
            tasks.start_soon(self.parts.run, self.recoveries.run)
            tasks.start_soon(self.parts.run, self.upkeep.run)
            tasks.start_soon(self.parts.run, self.placement.run)
            self.lifecycle.opened = True
            await listeners.start(
                serve_listener,
                self.callers,
                self.settings.callers,
                stop,
                self.visits,
            )
            logger.info("serving", extra={"callers": self.settings.callers.bind})

    async def open_money(self) -> None:
        """Register the first incarnation, however long the table is away."""
        while True:
            try:
                await self.money.open()
            except EbonyholdError as error:
                logger.warning("not registered yet", extra={"cause": str(error)})
                await anyio.sleep(OPEN_PAUSE * random.uniform(0.5, 1.5))
            else:
                return

    async def start_keeper(self) -> None:
        """Follow configuration versions and pass them on."""
        help_with_versions = VersionHelp(self.keeper, self.network)
        help_with_versions.register()
        self.keeper.evidence = help_with_versions
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(help_with_versions.run)
            await self.keeper.run()

    async def follow_versions(self) -> None:
        """Put each adopted version in force for the request path."""
        version = 0
        while True:
            version = await self.keeper.wait_changed(version)
            if self.keeper.document is not None:
                self.fleet.adopt(self.keeper.document, version)
                self.follow_limits()
            self.callers.pump()

    def follow_limits(self) -> None:
        """Put the document's ceilings in force."""
        limits = self.fleet.document.limits
        self.table_guard.guard.set_rates(limits.table_writes, limits.table_reads)

    def render_metrics(self) -> bytes:
        """Set the gauges and return the exposition text."""
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
        """Set the gauges of the calls to one of the platform's services."""
        for priority, counters in guard.counters.items():
            for counted in attrs.fields(Counters):
                value = getattr(counters, counted.name)
                self.metrics.platform_calls.labels(
                    service, priority.value, counted.name
                ).set(value)

    async def close(self) -> None:
        """Close the clients."""
        await self.table_client.aclose()
        await self.objects_client.aclose()
        if self.members.client is not None:
            await self.members.client.aclose()


@define
class Names:
    """Names the incarnations: the first as the network knows it, then new ones."""

    vm: str
    first: RouterId
    used: bool = False

    def __call__(self) -> RouterId:
        """Return the next name."""
        if self.used:
            return new_incarnation(self.vm)
        self.used = True
        return self.first
