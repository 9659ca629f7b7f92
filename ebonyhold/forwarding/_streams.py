"""Which software version the streams belong to that callers take up."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
from enum import Enum
from typing import Protocol

import anyio
from attrs import define, field, frozen

from ebonyhold.coordination import BegunStream, StreamId, StreamRecords, stream_id
from ebonyhold.exceptions import EbonyholdError
from ebonyhold.forwarding._entry import BackendEntry
from ebonyhold.forwarding._exchange import Exchange
from ebonyhold.forwarding._runs import RunChecks
from ebonyhold.forwarding._server_list import ServerList
from ebonyhold.forwarding._types import RouteKind, ServiceName, SoftwareVersion
from ebonyhold.types import Seconds

UNKNOWN_VERSION: SoftwareVersion = "\0unknown"
"""The version of a stream that began at a run of a server whose version is not known.

No server states it, so the stream goes on nowhere.
"""

LIST_CHECK: Seconds = 0.05
"""Interval between two checks whether the list was read."""

MAX_UNCONFIRMED = 2_000
"""Maximum number of streams that are kept as begun at an unconfirmed run."""

ASKED_TIME: Seconds = 0.05
"""How long the answer to another router waits until a stream is confirmed.

It is less than the time for which that one waits.
"""

SETTLE_TIME: Seconds = 0.15
"""How long a stream that is to go on waits until it is confirmed where it began."""


@frozen
class RunOfStream:
    """The run of a server to which the connection of a stream may lead.

    The server may have been restarted before the connection was opened, and the list
    not show it yet.

    Attributes:
        entry: The run that was listed when the stream began.
        opened_at: When the connection was opened.
    """

    entry: BackendEntry
    opened_at: Seconds

    @property
    def has_ended_since(self) -> bool:
        """Whether the run was seen to end after the connection was opened."""
        ended_at = self.entry.ended_at
        return ended_at is not None and self.opened_at <= ended_at


class Origin(Enum):
    """How the version of a stream that a caller takes up was found.

    Attributes:
        OWN: This router has begun it, or was told.
        ONLY: One version is in play in the service.
        TOLD: Another router knew it.
        SETTLED: No router knows it, and it can have begun at one version alone.
        UNKNOWN: It was not found.
    """

    OWN = "own"
    ONLY = "only"
    TOLD = "told"
    SETTLED = "settled"
    UNKNOWN = "unknown"


class UnknownVersionError(EbonyholdError):
    """A stream may belong to several versions, and it is not known to which."""

    code = "version_unknown"


@frozen
class Found:
    """What other routers know of a stream.

    Attributes:
        begun: The stream; None if none of them knows it.
        answered: How many of them have answered.
        versions: The versions that are in play in the service by their lists.
        possible: Those at which a stream may have begun without others being told.
        asked: How many routers keep the stream.
    """

    begun: BegunStream | None = None
    answered: int = 0
    versions: frozenset[SoftwareVersion] = frozenset()
    possible: frozenset[SoftwareVersion] = frozenset()
    asked: int = 0

    @property
    def is_by_most(self) -> bool:
        """Whether more than half of the routers that keep the stream have answered."""
        return 2 * self.answered > self.asked


class StreamKeepers(Protocol):
    """The routers that are told of streams, and asked for them."""

    def tell(self, begun: Mapping[StreamId, BegunStream]) -> None:
        """Tell the keepers of some streams, without waiting."""
        ...

    async def ask(self, stream: StreamId, service: ServiceName) -> Found:
        """Return what the keepers of a stream know."""
        ...

    @property
    def are_known(self) -> bool:
        """Whether other routers keep streams, or may, which is not known yet."""
        ...


@define
class NoKeepers:
    """The keepers of a router that is alone."""

    are_known: bool = False

    def tell(self, begun: Mapping[StreamId, BegunStream]) -> None:
        """Tell nobody."""

    async def ask(self, stream: StreamId, service: ServiceName) -> Found:
        """Return that nobody knows the stream."""
        return Found()


@define(eq=False)
class StreamVersions:
    """Keeps the versions of streams, and finds those of streams that are taken up.

    While one version is in play in a service, its streams are kept here alone. When a
    second one appears, the keepers are told of those that are kept, and from then on of
    each stream with its first event. They are asked for each stream that is taken up
    and not kept here, since they may know a version that this router has missed.

    Attributes:
        servers: The list of servers.
        keepers: The routers that are told of streams.
        records: The streams that this router has begun or keeps for others.
        on_found: Called with how a version was found, for metrics.
        checks: Asks servers which run a stream has begun at; None if none is asked.
        unconfirmed: The streams begun over connections that are too new for the list to
            confirm which run they lead to, the one that was added first at the front.
        withheld: Those whose keepers were told no version.
        confirming: The runs of which it is being asked whether these began there.
    """

    servers: ServerList
    keepers: StreamKeepers = field(factory=NoKeepers)
    records: StreamRecords = field(factory=StreamRecords)
    on_found: Callable[[Origin], None] = lambda origin: None
    checks: RunChecks | None = None
    unconfirmed: dict[StreamId, RunOfStream] = field(factory=dict)
    withheld: set[StreamId] = field(factory=set)
    confirming: set[BackendEntry] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        self.servers.on_version = self.tell_all
        self.servers.on_restart = self.withdraw
        self.servers.on_old_list = self.tell_doubted

    def use_checks(self, checks: RunChecks) -> None:
        """Let servers be asked at which run a stream has begun."""
        self.checks = checks
        checks.on_unproved = self.withdraw_replaced

    def tell_all(self, service: ServiceName) -> None:
        """Tell the keepers of a service's streams, as a second version has appeared."""
        begun = self.records.of_service(service)
        if begun:
            self.tell(begun)

    def tell_doubted(self) -> None:
        """Tell the keepers of the streams in doubt, as the list is old from now on."""
        begun = self.records.begun
        doubted = [s for s, run in self.unconfirmed.items() if self.is_in_doubt(run)]
        self.tell({stream: begun[stream] for stream in doubted if stream in begun})

    def tell(self, streams: Mapping[StreamId, BegunStream]) -> None:
        """Tell the keepers of streams, of those in doubt with no version at first."""
        self.keepers.tell({s: self.stated(s, begun) for s, begun in streams.items()})

    def stated(self, stream: StreamId, begun: BegunStream) -> BegunStream:
        """Return what other routers are told of a stream.

        If it is in doubt at which run it began, that is asked, and its keepers are told
        again.
        """
        run = self.unconfirmed.get(stream)
        if run is None or not self.is_in_doubt(run):
            return begun
        self.withheld.add(stream)
        self.confirm_soon(run.entry)
        return BegunStream(begun.service, UNKNOWN_VERSION)

    async def confirmed(self, stream: StreamId) -> BegunStream | None:
        """Return what a router is told that asks for a stream; None if it is not known.

        If it is in doubt at which run it began, its server is asked first. Without an
        answer, the version holds while no sign speaks against it.
        """
        run = self.unconfirmed.get(stream)
        if run is not None and self.checks is not None:
            with anyio.move_on_after(ASKED_TIME):
                await self.checks.confirm(run.entry, run.opened_at)
        begun = self.records.begun.get(stream)
        if begun is None or run is None or not self.is_strict(run):
            return begun
        return self.stated(stream, begun)

    def is_in_doubt(self, run: RunOfStream) -> bool:
        """Return whether the server is to be asked if a stream began at its run."""
        checks = self.checks
        return checks is not None and checks.are_in_doubt(run.entry, run.opened_at)

    def confirm_soon(self, entry: BackendEntry) -> None:
        """Let another task ask whether the streams in doubt have begun at a run."""
        if self.checks is not None and entry not in self.confirming:
            self.confirming.add(entry)
            self.checks.pool.tasks.start_soon(self.confirm, entry, self.checks)

    async def confirm(self, entry: BackendEntry, checks: RunChecks) -> None:
        """Ask whether streams have begun at a run, and tell the keepers of them."""
        try:
            while doubted := self.in_doubt_at(entry):
                await checks.confirm(entry, max(doubted.values()))
                settled = doubted.keys() - self.in_doubt_at(entry).keys()
                self.tell_withheld(settled)
                if not settled:
                    return
        finally:
            self.confirming.discard(entry)

    def tell_withheld(self, settled: Iterable[StreamId]) -> None:
        """Tell the keepers the versions of streams that are in doubt no more."""
        begun, told = self.records.begun, self.withheld.intersection(settled)
        self.withheld -= told
        if told:
            self.keepers.tell({s: begun[s] for s in told if s in begun})

    def in_doubt_at(self, entry: BackendEntry) -> dict[StreamId, Seconds]:
        """Return the streams in doubt of a run, with the openings of connections."""
        return {
            stream: run.opened_at
            for stream, run in self.unconfirmed.items()
            if run.entry is entry and self.is_in_doubt(run)
        }

    def is_replaced(self, run: RunOfStream) -> bool:
        """Return whether a connection may lead to a later run, by what is known now.

        If the server is still to be asked, it counts as leading to the listed one. If
        the list shows a run with another version by now, data comes from that one.
        """
        entry, now = run.entry, anyio.current_time()
        listed = self.servers.entries.get(entry.backend.name, entry)
        if listed.backend.version != entry.backend.version:
            return True
        known = self.servers.is_run_known(entry, run.opened_at, now)
        return not (known or self.is_in_doubt(run))

    def withdraw(self, entry: BackendEntry) -> None:
        """Forget the version of streams that may have begun at a server's next run.

        These are the ones over connections that were opened so shortly before the list
        has shown the next run that they may lead to it.
        """
        for stream, run in self.unconfirmed.items():
            if run.entry is entry and not run.has_ended_since:
                self.forget_version(stream, entry)

    def withdraw_replaced(self, entry: BackendEntry) -> None:
        """Forget the version of streams for which a server's report has not vouched."""
        for stream, run in self.unconfirmed.items():
            if run.entry is entry and self.is_replaced(run):
                self.forget_version(stream, entry)

    def forget_version(self, stream: StreamId, entry: BackendEntry) -> None:
        """Let a stream that counted as one of a run go on nowhere."""
        begun = self.records.begun.get(stream)
        if begun is not None and begun.version == entry.backend.version:
            unknown = BegunStream(begun.service, UNKNOWN_VERSION)
            self.records.add(stream, unknown, anyio.current_time())
            self.keepers.tell({stream: unknown})

    def keep_unconfirmed(self, run: RunOfStream, stream: StreamId) -> None:
        """Keep a stream until the list has confirmed the run at which it began."""
        confirmed = self.servers.listed_until(anyio.current_time())
        settled: list[StreamId] = []
        while self.unconfirmed:
            oldest = next(iter(self.unconfirmed))
            if self.unconfirmed[oldest].opened_at <= confirmed:
                settled.append(oldest)
            elif len(self.unconfirmed) < MAX_UNCONFIRMED:
                break
            else:
                self.withheld.discard(oldest)
            del self.unconfirmed[oldest]
        self.tell_withheld(settled)
        if run.opened_at > max(confirmed, run.entry.confirmed_at):
            self.unconfirmed[stream] = run

    def is_strict(self, run: RunOfStream) -> bool:
        """Return whether no sign of a restart is not enough for a stream to go on."""
        servers, entry, now = self.servers, run.entry, anyio.current_time()
        several = servers.versions.are_several(entry.backend.service)
        known = servers.is_run_known(entry, run.opened_at, now)
        return several or not (servers.is_current and known)

    async def settle(self, stream: StreamId) -> bool:
        """Return whether the version kept of a stream holds; ask its server if needed.

        It may have been replaced by UNKNOWN_VERSION meanwhile.
        """
        run = self.unconfirmed.get(stream)
        if run is None or self.checks is None:
            return True
        with anyio.move_on_after(SETTLE_TIME):
            await self.checks.confirm(run.entry, run.opened_at)
        return not (self.is_in_doubt(run) and self.is_strict(run))

    async def settle_own(self, exchange: Exchange) -> None:
        """Let a request go on at no version if its stream may have begun at another."""
        if exchange.events and exchange.version != UNKNOWN_VERSION:
            stream = id_of(exchange, exchange.caller.request_id)
            if not await self.settle(stream):
                exchange.version = UNKNOWN_VERSION
            self.recheck(exchange)

    def recheck(self, exchange: Exchange) -> None:
        """Let a stream go on nowhere whose version was withdrawn meanwhile."""
        if not exchange.events:
            return
        begun = self.records.begun.get(id_of(exchange, exchange.caller.request_id))
        if begun is not None and begun.version == UNKNOWN_VERSION:
            exchange.version = UNKNOWN_VERSION

    def begin(
        self,
        exchange: Exchange,
        version: SoftwareVersion,
        run: RunOfStream | None = None,
    ) -> None:
        """Record that a caller gets the first event of an answer.

        Args:
            exchange: The request.
            version: The version of the server that brought it.
            run: The server's run and the connection to it; None if another router has
                sent the request.
        """
        if not exchange.match.route.resumable:
            return
        service = exchange.match.service
        begun = BegunStream(service, version)
        stream = id_of(exchange, exchange.caller.request_id)
        self.records.add(stream, begun, anyio.current_time())
        if run is not None and version != UNKNOWN_VERSION:
            self.keep_unconfirmed(run, stream)
        if self.servers.versions.are_several(service) or not self.servers.is_current:
            self.tell({stream: begun})

    async def find(self, exchange: Exchange) -> SoftwareVersion | None:
        """Return the version of a stream that a caller takes up.

        Returns:
            None if the stream began in another service, or no server is known.

        Raises:
            UnknownVersionError: It may belong to several versions.
        """
        service = exchange.match.service
        resumes = exchange.caller.resumes
        begun_by = id_of(exchange, resumes)
        known = await self.settle(begun_by)
        begun = self.records.begun.get(begun_by)
        if begun is not None:
            if not known:
                self.on_found(Origin.UNKNOWN)
                raise UnknownVersionError("it may have begun at a later run")
            return self.found(Origin.OWN, begun, service)
        came_at = anyio.current_time()
        stream = id_of(exchange, resumes or exchange.caller.request_id)
        asked = await self.keepers.ask(stream, service)
        if asked.begun is not None:
            if asked.begun.version != UNKNOWN_VERSION:
                self.records.add(stream, asked.begun, anyio.current_time())
            return self.found(Origin.TOLD, asked.begun, service)
        versions = self.servers.versions
        if not asked.is_by_most and not versions.are_several(service):
            await self.wait_for_list(came_at)
        in_play = {*versions.in_play(service), *asked.versions}
        current = self.servers.is_current
        if current and versions.is_complete and not in_play:
            self.on_found(Origin.ONLY)
            return None
        possible = self.possible_versions(exchange, asked, came_at)
        if len(possible) != 1:
            self.on_found(Origin.UNKNOWN)
            raise UnknownVersionError(f"one of {sorted(possible)}")
        only = current and len(in_play) == 1
        self.on_found(Origin.ONLY if only else Origin.SETTLED)
        return next(iter(possible))

    async def wait_for_list(self, moment: Seconds) -> None:
        """Wait until the list shows all changes before a time, or is too old."""
        if not self.keepers.are_known:
            return
        servers = self.servers
        while (  # noqa: ASYNC110 - the list tells no event, and may grow too old
            servers.is_current and not servers.shows_all_before(moment)
        ):
            await anyio.sleep(LIST_CHECK)

    def found(
        self, origin: Origin, begun: BegunStream, service: ServiceName
    ) -> SoftwareVersion | None:
        """Count how a stream was found, and return its version in a service."""
        self.on_found(origin)
        return begun.version if begun.service == service else None

    def possible_versions(
        self, exchange: Exchange, asked: Found, came_at: Seconds
    ) -> Collection[SoftwareVersion]:
        """Return the versions at which a stream that nobody knows may have begun.

        This router may have missed a version, whatever its clock says: it may have been
        paused. So most keepers must have answered, or the list have been read since the
        caller came. Before the router knows what earlier processes have seen there is
        no telling.
        """
        versions, service = self.servers.versions, exchange.match.service
        in_play = {*versions.in_play(service), *asked.versions}
        if not versions.is_complete:
            return ()
        settled = versions.possible(service, anyio.current_time())
        if not self.keepers.are_known:
            return settled if self.servers.is_current else in_play
        if not asked.is_by_most:
            return in_play if self.servers.shows_all_before(came_at) else ()
        if self.servers.is_current and exchange.caller.resumes:
            return {*settled, *asked.possible}
        return in_play


def id_of(exchange: Exchange, attempt: str) -> StreamId:
    """Return the identifier of a stream of the same workspace."""
    workspace = exchange.match.workspace
    return stream_id(workspace.name if workspace is not None else "", attempt)


def takes_up(exchange: Exchange) -> bool:
    """Return whether a request goes on with a stream that an earlier one has begun."""
    route = exchange.match.route
    resumable = route.kind is RouteKind.STREAM and route.resumable
    return resumable and exchange.caller.resume_after is not None
