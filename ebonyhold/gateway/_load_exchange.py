"""Exchanges the load of the servers with other gateways, by UDP datagrams."""

from __future__ import annotations

import logging
import math
import secrets
import socket
from collections.abc import Callable, Mapping

import anyio
from attrs import define, field

from ebonyhold.coordination import (
    UNRATED,
    LoadMessage,
    LoadScope,
    LoadSharing,
    LoadTotal,
    NoFleetLoad,
    Participant,
    RunKey,
    ServerLoad,
    ServerRating,
    ServerRun,
    ServerShare,
    ServiceSize,
    rate_servers,
    run_key,
)
from ebonyhold.exceptions import MalformedMessageError
from ebonyhold.forwarding import BackendEntry, BackendTable, Ruleset
from ebonyhold.gateway._datagrams import open_socket, read_address
from ebonyhold.gateway._intervals import scale_interval
from ebonyhold.gateway._load_messages import MAX_DATAGRAM, Decoder, Encoder
from ebonyhold.gateway._metrics import GatewayMetrics
from ebonyhold.gateway._presence import Presence
from ebonyhold.gateway._types import ServerReport
from ebonyhold.types import Seconds

log = logging.getLogger(__name__)

INTERVAL: Seconds = 0.1
"""Interval between two steps in fleets of up to 60 routers."""

MAX_INTERVAL: Seconds = 0.4
"""Maximum interval in large fleets: reports count for 1.5 s and one may be lost."""

MAX_PAUSE: Seconds = 0.6
"""Maximum interval of a collector with a slow link; a total counts for 1 s."""

LINK_SHARE = 0.05
"""Share of its link that a collector uses for totals, unless MAX_PAUSE is reached."""

MAX_READ = 256
"""Maximum number of datagrams that are read at once, so that requests go on."""

LOG_INTERVAL: Seconds = 2.0
"""Minimum time between two log lines on the same matter.

A collector on an overloaded VM may be lost and heard again several times a second.
"""

MAX_KEYS = 2_048
"""Maximum number of runs of servers whose keys are remembered."""

NEW_FOR: Seconds = 1.0
"""How long the load of a server that is in no total counts as unknown.

Other routers may just have sent it requests that no total includes yet. Later, a server
that is in no total is idle.
"""


@define(eq=False)
class LoadExchange:
    """Tells other gateways what this one has at the servers, and learns what they have.

    It is off, without a socket and without cost, while its scope has no service.

    Attributes:
        presence: The presence rows of the fleet.
        address: The host and port of the socket; without a port it is always off.
        link_rate: The rate of this VM's link in bytes per second.
        backends: The servers.
        rules: Returns the current configuration, or None.
        metrics: The metrics of this gateway.
        scope: Decides whether load is shared.
        sharing: This router's part in the exchange.
        encoder: Encodes messages.
        decoder: Decodes datagrams.
        addresses: The addresses of the other participants, by name.
        keys: The keys of runs of servers, and when each was first used.
        rated: The ratings of the servers, and the total that they are from.
        changed: Set when the scope has changed.
        started: Set once this router takes part for the first time.
        interval: The time between two steps in a fleet of this size.
        sent_bytes: Bytes sent in the last step.
        logged: What was last logged on each matter, and when.
    """

    presence: Presence
    address: tuple[str, int]
    link_rate: float
    backends: BackendTable
    rules: Callable[[], Ruleset | None]
    metrics: GatewayMetrics
    scope: LoadScope = field(factory=LoadScope)
    sharing: LoadSharing = field(init=False)
    encoder: Encoder = field(init=False)
    decoder: Decoder = field(factory=Decoder)
    addresses: Mapping[str, tuple[str, int]] = field(factory=dict)
    keys: dict[ServerRun, tuple[RunKey, Seconds]] = field(factory=dict)
    rated: tuple[LoadTotal | None, Mapping[RunKey, ServerRating]] = (None, {})
    changed: anyio.Event = field(factory=anyio.Event)
    started: anyio.Event = field(factory=anyio.Event)
    interval: Seconds = INTERVAL
    sent_bytes: int = 0
    logged: dict[str, tuple[object, Seconds]] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        epoch = secrets.randbelow(0xFFFF_FFFF) + 1
        self.sharing = LoadSharing(self.presence.name, self.presence.domain, epoch)
        self.encoder = Encoder(self.presence.name)

    def load(self, run: ServerRun, now: Seconds) -> ServerLoad | None:
        """Return the load of a server by the other routers; None if too old."""
        view = self.sharing.view
        if view.age(now) is None:
            return None
        key, seen_at = self.key(run, now)
        if not view.is_listed(key) and now - seen_at < NEW_FOR:
            return None
        share, rating = view.share(key), self.ratings(now).get(key, UNRATED)
        return ServerLoad(
            share.requests,
            share.unread,
            share.resident,
            rating.slowness,
            rating.failing,
        )

    def ratings(self, now: Seconds) -> Mapping[RunKey, ServerRating]:
        """Return the ratings of the servers by the total in use."""
        chosen = self.sharing.view.chosen
        total = chosen[0] if chosen is not None else None
        if self.rated[0] is not total:
            self.rated = total, self.rate(total, now) if total is not None else {}
        return self.rated[1]

    def rate(self, total: LoadTotal, now: Seconds) -> dict[RunKey, ServerRating]:
        """Compare the servers of each service by a total."""
        services: dict[str, dict[RunKey, ServerShare]] = {}
        for entry in self.backends.entries.values():
            key, _ = self.key(entry.run, now)
            share = total.shares.get(key)
            if share is not None:
                services.setdefault(entry.backend.service, {})[key] = share
        rated = (rate_servers(shares) for shares in services.values())
        return {key: rating for one in rated for key, rating in one.items()}

    def is_on(self, service: str) -> bool:
        """Return whether routers share the load of a service's servers."""
        return service in self.scope.services

    def key(self, run: ServerRun, now: Seconds) -> tuple[RunKey, Seconds]:
        """Return the key of a run of a server in messages, and when it was first used.

        If there are too many, the oldest is dropped.
        """
        known = self.keys.get(run)
        if known is None:
            if len(self.keys) >= MAX_KEYS:
                del self.keys[next(iter(self.keys))]
            known = self.keys[run] = run_key(run), now
        return known

    def review(self) -> None:
        """Consider the configuration, the servers and the fleet as they are now."""
        rules = self.rules()
        services = rules.services.values() if rules is not None else ()
        sizes = [ServiceSize(one.name, one.slots, one.memory) for one in services]
        routers = self.presence.count() if self.presence.settled else 0
        servers = len(self.backends.entries)
        if self.address[1] and self.scope.update(sizes, routers, servers):
            fields = {"routers": self.scope.max_routers, "servers": servers}
            on = "enabled" if self.scope.services else "disabled"
            log.info("load sharing " + on, extra=fields)
            self.changed.set()
            self.changed = anyio.Event()
        self.interval = scale_interval(INTERVAL, routers, MAX_INTERVAL)
        if self.presence.shares_load:
            self.update_participants()

    def update_participants(self) -> None:
        """Use the current presence rows of the routers that share their load."""
        known: dict[str, Participant] = {}
        addresses: dict[str, tuple[str, int]] = {}
        for name, row in self.presence.sharers().items():
            address = read_address(row.address)
            if address is not None:
                known[name] = Participant(row.domain, row.link_rate)
                addresses[name] = address
        own = self.presence
        known[own.name] = Participant(own.domain, own.link_rate)
        self.addresses = addresses
        self.sharing.update(known, anyio.current_time())

    @property
    def collects(self) -> bool:
        """Whether this router collects the load of its failure domain."""
        return bool(self.scope.services) and self.sharing.collects

    @property
    def misses_routers(self) -> bool:
        """Whether some routers of the fleet do not share their load."""
        routers = self.presence.fleet(self.presence.listed).keys()
        return not self.sharing.participants.keys() >= routers

    def record_report(self, entry: BackendEntry, report: ServerReport) -> None:
        """Record what a server of the own failure domain reports."""
        now = anyio.current_time()
        key, _ = self.key(entry.run, now)
        self.sharing.record_stated(key, report.requests, now)

    async def run(self) -> None:
        """Take part in the exchange while the scope has a service, until cancelled.

        Raises:
            ListenError: The port cannot be used.
            OSError: The socket could not be opened for another reason.
        """
        while True:
            changed = self.changed
            if not self.scope.services:
                await changed.wait()
                continue
            with open_socket(self.address) as sock:
                rate = self.link_rate if math.isfinite(self.link_rate) else 0.0
                self.presence.share_load(True, rate)
                self.backends.fleet_load = self
                self.update_participants()
                self.started.set()
                try:
                    await self.serve(sock)
                finally:
                    self.backends.fleet_load = NoFleetLoad()
                    self.presence.share_load(False, 0.0)

    async def serve(self, sock: socket.socket) -> None:
        """Read the datagrams that have arrived, and make a step, at each interval.

        A total waits in the socket for half an interval on average. To wait for it
        instead would cost a second wake-up for each interval, which is most of the cost
        of the exchange.
        """
        while self.scope.services:
            self.read(sock)
            pause = self.step(sock, anyio.current_time())
            if self.sharing.collects:
                # The reports of a whole interval may not fit into the socket's buffer.
                await anyio.sleep(pause / 2)
                self.read(sock)
                pause /= 2
            await anyio.sleep(pause)

    def read(self, sock: socket.socket) -> None:
        """Use the datagrams that have arrived; malformed ones are only counted."""
        for _ in range(MAX_READ):
            try:
                data = sock.recv(MAX_DATAGRAM + 1)
            except BlockingIOError:
                return
            except OSError as error:
                self.metrics.count_datagram("unreadable")
                log.debug("datagram not received", extra={"error": repr(error)})
                return
            self.receive(data)

    def receive(self, data: bytes) -> None:
        """Use one datagram, and count it by what became of it."""
        try:
            found = self.decoder.decode(data)
        except MalformedMessageError:
            self.metrics.count_datagram("malformed")
            return
        if found is None:
            self.metrics.count_datagram("received")
            return
        sender, message = found
        known = self.sharing.receive(sender, message, anyio.current_time())
        self.metrics.count_datagram("received" if known else "unused")

    def step(self, sock: socket.socket, now: Seconds) -> Seconds:
        """Send what is due, and return the time until the next step."""
        interval = pause = self.interval
        if self.sharing.collects and self.link_rate:
            needed = self.sent_bytes / (LINK_SHARE * self.link_rate)
            pause = max(interval, min(MAX_PAUSE, needed))
        self.sent_bytes = 0
        shares = self.own_shares(now)
        for name, message in self.sharing.step(shares, now, interval, pause):
            self.send(sock, name, message)
        self.log_changes(now)
        return pause

    def own_shares(self, now: Seconds) -> dict[RunKey, ServerShare]:
        """Return what this router has at the servers, and what it has observed."""
        shares: dict[RunKey, ServerShare] = {}
        for entry in self.backends.entries.values():
            if not (entry.in_flight or entry.evidence.is_any):
                continue
            work = entry.work
            share = entry.evidence.share(
                entry.in_flight, work.unread, work.resident, now
            )
            if share is not None:
                shares[self.key(entry.run, now)[0]] = share
        return shares

    def send(self, sock: socket.socket, name: str, message: LoadMessage) -> None:
        """Send a message to a router; a datagram that cannot be sent is lost."""
        address = self.addresses.get(name)
        if address is None:
            return
        for data in self.encoder.encode(message):
            self.sent_bytes += len(data)
            try:
                sock.sendto(data, address)
            except OSError:
                self.metrics.count_datagram("unsent")
            else:
                self.metrics.count_datagram("sent")

    def log_changes(self, now: Seconds) -> None:
        """Log who collects, and whether the total can be used, if that has changed."""
        current = self.sharing.choice.current
        collector = (current, self.sharing.collects)
        fields = {"collector": current, "collects": self.sharing.collects}
        self.log_change("load collector changed", collector, now, fields)
        fresh = self.sharing.view.age(now) is not None
        fields = {"fresh": fresh, "participants": len(self.sharing.participants)}
        self.log_change("load total changed", fresh, now, fields)

    def log_change(
        self, matter: str, value: object, now: Seconds, fields: dict[str, object]
    ) -> None:
        """Log a value that differs from the one logged, once per LOG_INTERVAL."""
        last = self.logged.get(matter)
        if last is not None and (last[0] == value or now - last[1] < LOG_INTERVAL):
            return
        self.logged[matter] = value, now
        log.info(matter, extra=fields)

    def set_gauges(self, now: Seconds) -> None:
        """Set the gauges for the age of the total and for whether this one collects."""
        age = self.sharing.view.age(now)
        self.metrics.load_age.set(math.inf if age is None else age)
        self.metrics.collects_load.set(self.collects)
