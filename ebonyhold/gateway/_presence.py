"""Stores this router's presence row, and counts all routers by their rows."""

from __future__ import annotations

import logging
import math
import re
import secrets
from collections.abc import Callable, Container

import anyio
from attrs import define, field, frozen

from ebonyhold.coordination import (
    Delete,
    Put,
    Row,
    Transaction,
    read_row,
    to_json,
)
from ebonyhold.exceptions import DamagedRowError, PlatformError
from ebonyhold.gateway._datagrams import MAX_PORT
from ebonyhold.gateway._intervals import scale_interval
from ebonyhold.gateway._types import GatewayStore
from ebonyhold.prepaid import Fleet
from ebonyhold.types import RouterId, Seconds

log = logging.getLogger(__name__)

TABLE = "routers"
"""The table with one presence row per VM, all in the part with the empty name."""

COUNT_INTERVAL: Seconds = 4.0
"""Interval between two counts of the routers; it is scaled in a large fleet."""

FIRST_COUNT_INTERVAL: Seconds = 1.5
"""Interval between counts until `SETTLED_COUNTS` of them have succeeded.

It is short, since routers that start together find few of the others at first.
"""

SETTLED_COUNTS = 2
"""Number of successful counts after which tokens may be drawn before they are needed.

After fewer counts, the number of routers is not reliable, and it decides this router's
share of each budget.
"""

MAX_PRESENCE_ROWS = 5000
"""Maximum number of rows that are read, so that rows of other programs hide none."""

GONE_AFTER_READINGS = 4
"""A router whose row is unchanged in this many readings can no longer be a holder.

This is a number of readings, not a time: during an outage of the store no row changes,
but none is read either, so no holder is removed.
"""

MAX_MISSED_COUNTS = 3.5
"""A router whose row has not changed for this many count intervals is not counted."""

ASSUMED_ROUTERS = 8
"""The number of routers that is assumed before the first reading.

Until then, too high a number makes this router's share of each budget too small, and
too low a number makes it too large.
"""

RELAY_KEY_BYTES = 8
"""Random bytes in a relay's key."""

RELAY_KEY = re.compile(r"[!-~]*")
"""Form of a relay's key, which is sent in a request header."""

HOST_AND_PORT = re.compile(
    r"(?:[0-9A-Fa-f:]*:[0-9A-Fa-f:]*|[A-Za-z0-9_-]{1,63}(?:\.[A-Za-z0-9_-]{1,63})*)"
    r":(?P<port>[0-9]{1,5})"
)
"""Form of a router's address: an IPv6 address or a host, and a port."""

FORGET_AFTER: Seconds = 60.0
"""A router whose row has not changed for this long is sent no messages.

Usual outages of the store, during which no row changes, are shorter.
"""

MIN_COUNT_SHARE = 0.5
"""The count does not fall below this share of the highest count so far.

During an outage of the store no row changes, and all routers would seem to be missing.
"""


@frozen
class PresenceRow:
    """A router's stored row, at ``routers//{vm}``.

    Attributes:
        router: The incarnation that wrote the row.
        address: Where other routers reach this one, as "host:port"; empty if they
            cannot.
        domain: The router's failure domain.
        relay_key: The key with which other routers send it requests to pass on to
            servers; empty if it passes none on.
        keeps_streams: Whether the router keeps which version began a stream.
        shares_load: Whether the router exchanges the load of servers, by datagrams to
            `address`.
        link_rate: The rate of the link of such a router, in bytes per second; 0 if it
            is not known.
        lends_memory: Whether the router lends memory of servers.
        has_leases: Whether it may have lent or leased any since its start.
    """

    router: RouterId = ""
    address: str = ""
    domain: str = ""
    relay_key: str = ""
    keeps_streams: bool = False
    shares_load: bool = False
    link_rate: float = 0.0
    lends_memory: bool = False
    has_leases: bool = False


@define
class RowObservation:
    """The last observed change of a router's row.

    Attributes:
        version: The version of the row.
        at: When this version was first read, by this process's clock.
        row: The content of the row.
        unchanged: Number of later readings with the same version.
    """

    version: int
    at: Seconds
    row: PresenceRow
    unchanged: int = 0


DAMAGED = PresenceRow()
"""Stands for a damaged row, which is used for nothing and not counted."""


def new_relay_key() -> str:
    """Return a random key for one run of a gateway."""
    return secrets.token_hex(RELAY_KEY_BYTES)


def read_presence(row: Row) -> PresenceRow:
    """Return the content of a row; if it is damaged, log that and return `DAMAGED`."""
    try:
        found = read_row(row, PresenceRow)
        check_presence(vm_of(row.key), found)
        return found
    except DamagedRowError as error:
        log.warning(
            "presence row damaged", extra={"row": row.key, "detail": str(error)}
        )
        return DAMAGED


def check_presence(name: str, row: PresenceRow) -> None:
    """Check the values of a row, which are hashed, connected to and sent in headers.

    Raises:
        DamagedRowError: No router has such a value.
    """
    checks = {
        "name": bool(name) and name.isprintable(),
        "address": not row.address or is_address(row.address),
        "domain": row.domain.isprintable(),
        "relay_key": RELAY_KEY.fullmatch(row.relay_key) is not None,
        "link_rate": 0 <= row.link_rate < math.inf,
    }
    wrong = [attribute for attribute, is_right in checks.items() if not is_right]
    if wrong:
        raise DamagedRowError(f"{name[:80]!r}: no router has this {', '.join(wrong)}")


def is_address(text: str) -> bool:
    """Return whether a text is a host and a port.

    Connecting to another one would raise an error that callers do not handle as a
    failed connection.

    >>> [is_address(text) for text in ("10.0.0.1:80", "::1:80", "a.b:1", "a..b:1")]
    [True, True, True, False]
    >>> [is_address(text) for text in ("a:0", "a:65536", "a:1x", ":1", "a")]
    [False, False, False, False, False]
    """
    match = HOST_AND_PORT.fullmatch(text)
    return match is not None and 0 < int(match["port"]) <= MAX_PORT


def vm_of(key: str) -> str:
    """Return the VM name in the key of a presence row."""
    return key.removeprefix(f"{TABLE}//")


@define(eq=False)
class Presence:
    """Writes this router's presence row regularly, and counts those of the others.

    Attributes:
        store: The store.
        name: This VM's name.
        incarnation: This router's incarnation.
        address: Where other routers reach this one, as "host:port"; empty if they
            cannot.
        domain: This router's failure domain.
        on_count: Called after each count with the result of `fleet`.
        relay_key: The key of this router as a relay; empty if it is none.
        memory_state: Returns what the row states as `lends_memory` and `has_leases`.
        stored_at: When the last successful count began.
        observed: The last observed change of each router's row, by key.
        max_counted: The highest count so far.
        counts: The number of successful counts so far.
        interval: Time between two counts, scaled to the number of routers.
        leaving: Whether `leave` was called, after which no row is written.
        shares_load: Whether this router exchanges the load of servers.
        link_rate: The rate of its link while it does, in bytes per second; else 0.
        changed: Set when this router's row is to be written before the next count.
        listed: The keys of the rows in the last reading.
    """

    store: GatewayStore
    name: str
    incarnation: RouterId
    address: str = ""
    domain: str = ""
    on_count: Callable[[Fleet], None] = lambda fleet: None
    relay_key: str = ""
    memory_state: Callable[[], tuple[bool, bool]] = lambda: (False, False)
    stored_at: Seconds = 0.0
    observed: dict[str, RowObservation] = field(factory=dict)
    max_counted: int = 0
    counts: int = 0
    interval: Seconds = COUNT_INTERVAL
    leaving: bool = False
    shares_load: bool = False
    link_rate: float = 0.0
    changed: anyio.Event = field(factory=anyio.Event)
    listed: frozenset[str] = frozenset()

    @property
    def key(self) -> str:
        """The key of this router's row."""
        return f"{TABLE}//{self.name}"

    def count(self) -> int:
        """Return the number of routers, including this one.

        It is `ASSUMED_ROUTERS` before the first reading, and later at least
        `MIN_COUNT_SHARE` of the highest count so far.
        """
        if not self.observed:
            return ASSUMED_ROUTERS
        now = anyio.current_time()
        missing = MAX_MISSED_COUNTS * self.interval
        alive = sum(
            1
            for seen in self.observed.values()
            if now - seen.at < missing and seen.row is not DAMAGED
        )
        self.max_counted = max(self.max_counted, alive)
        return max(1, alive, int(self.max_counted * MIN_COUNT_SHARE))

    async def run(self) -> None:
        """Count the routers at intervals until cancelled; a failed count is logged."""
        while True:
            try:
                await self.count_routers()
            except PlatformError as error:
                fields = {"error": error.code, "counted": self.count()}
                log.info("routers not counted", extra=fields)
            self.interval = scale_interval(COUNT_INTERVAL, self.count())
            pause = self.interval if self.settled else FIRST_COUNT_INTERVAL
            with anyio.move_on_after(pause):
                await self.changed.wait()

    async def count_routers(self) -> None:
        """Write this router's row and read those of all routers."""
        self.changed = anyio.Event()
        if self.leaving:
            # If the removed row were written again, the others would go on counting
            # this router.
            return
        began_at = anyio.current_time()
        lends_memory, has_leases = self.memory_state()
        own = PresenceRow(
            self.incarnation,
            self.address,
            self.domain,
            self.relay_key,
            keeps_streams=bool(self.address),
            shares_load=self.shares_load,
            link_rate=self.link_rate,
            lends_memory=lends_memory and bool(self.address),
            has_leases=has_leases,
        )
        put = Put(self.key, to_json(own))
        await self.store.commit(Transaction((), (put,)))
        rows = await self.store.scan(f"{TABLE}//", limit=MAX_PRESENCE_ROWS)
        self.stored_at = began_at
        self.observe(rows)

    @property
    def settled(self) -> bool:
        """Whether tokens may be drawn before they are needed (see `SETTLED_COUNTS`)."""
        return self.counts >= SETTLED_COUNTS

    def observe(self, rows: list[Row]) -> None:
        """Record which rows have changed since the last reading; call `on_count`."""
        now = anyio.current_time()
        self.counts += 1
        for row in rows:
            known = self.observed.get(row.key)
            if known is None or known.version != row.version:
                self.observed[row.key] = RowObservation(
                    row.version, now, read_presence(row)
                )
            else:
                known.unchanged += 1
        self.listed = frozenset(row.key for row in rows)
        self.forget(now)
        self.on_count(self.fleet(self.listed))

    def forget(self, now: Seconds) -> None:
        """Forget rows that are gone and no longer count for anything."""
        kept_for = max(FORGET_AFTER, MAX_MISSED_COUNTS * self.interval)
        self.observed = {
            key: seen
            for key, seen in self.observed.items()
            if key in self.listed or now - seen.at < kept_for
        }

    def fleet(self, listed: Container[str]) -> Fleet:
        """Return the failure domain of each router that can be a holder, by VM name.

        Routers without an address or with a row that was unchanged in the last
        `GONE_AFTER_READINGS` readings are left out.

        Args:
            listed: The keys of the rows in the last reading. A router that stopped has
                removed its row and is left out too.
        """
        return {
            vm_of(key): observation.row.domain
            for key, observation in self.observed.items()
            if key in listed
            and observation.row.address
            and observation.unchanged < GONE_AFTER_READINGS
        }

    def share_load(self, shares: bool, link_rate: float) -> None:
        """Write to this router's row soon whether it exchanges the load of servers.

        Args:
            shares: Whether it does.
            link_rate: The rate of its link in bytes per second; 0 if unknown.
        """
        self.shares_load, self.link_rate = shares, link_rate
        self.changed.set()

    def sharers(self) -> dict[str, PresenceRow]:
        """Return the rows of the others that exchange the load of servers, by name.

        They are the ones of `fleet` at the last reading, so none is left out while the
        store is not read.
        """
        rows = {
            name: self.observed[f"{TABLE}//{name}"] for name in self.fleet(self.listed)
        }
        return {
            name: known.row
            for name, known in rows.items()
            if known.row.shares_load and name != self.name
        }

    def peer_addresses(self) -> dict[str, str]:
        """Return the addresses of the other routers, by VM name."""
        return {name: row.address for name, row in self.peers().items()}

    def peers(self) -> dict[str, PresenceRow]:
        """Return the rows of the other routers that have an address, by VM name.

        Those that have not changed for `FORGET_AFTER` are left out.
        """
        now = anyio.current_time()
        return {
            vm_of(key): observation.row
            for key, observation in self.observed.items()
            if key != self.key
            and observation.row.address
            and now - observation.at < FORGET_AFTER
        }

    async def leave(self) -> None:
        """Remove this router's row for good; a failure to do so is only logged."""
        self.leaving = True
        try:
            await self.store.commit(Transaction((), (Delete(self.key),)))
        except PlatformError as error:
            log.info("presence row not removed", extra={"error": error.code})
