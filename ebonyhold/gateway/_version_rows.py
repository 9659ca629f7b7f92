"""Stores which software versions have served, for processes that start later.

A stream may be taken up at a router that has started since it began, and the servers of
its version may have left by then. The first list of servers does not show that, so the
store keeps the versions in play in each service. A few routers write them, each time
they change.
"""

from __future__ import annotations

import hashlib
import logging
from collections.abc import Callable, Iterable, Sequence

import anyio
from attrs import define, field, frozen

from ebonyhold.coordination import (
    DECODE_ERRORS,
    Absent,
    AtVersion,
    Check,
    Delete,
    Put,
    Row,
    Transaction,
    Write,
    from_bytes,
    read_row,
    to_json,
)
from ebonyhold.exceptions import ConflictError, DamagedRowError, PlatformError
from ebonyhold.forwarding import BackendTable, ServiceName, SoftwareVersion
from ebonyhold.gateway._types import GatewayStore, RawRow
from ebonyhold.types import Seconds

log = logging.getLogger(__name__)

TABLE = "versions"
"""The table with one row per service, all in the part with the empty name."""

CHECK_INTERVAL: Seconds = 0.5
"""Interval between two checks whether the versions in play have changed."""

RETRY_DELAY: Seconds = 0.15
"""Delay before the rows are read again after a failed call."""

WRITE_RETRY_DELAY: Seconds = 2.0
"""Delay before a row is written again after a failed call."""

WRITERS = 3
"""Number of routers that write the row of a service, the second and third one only if
the one before has not."""

WRITER_DELAY: Seconds = 1.0
"""Time that each writer leaves to the one before it."""

MAX_VERSIONS = 50
"""Maximum number of versions in one row; those that were listed first are left out."""


@frozen
class VersionsRow:
    """The versions in play in one service, at ``versions//{service}``.

    Attributes:
        versions: The versions.
    """

    versions: tuple[SoftwareVersion, ...] = ()


@frozen
class StoredVersions:
    """A row as it was last read or written.

    Attributes:
        version: The store's version of the row.
        versions: The software versions in it; empty if it is damaged.
    """

    version: int
    versions: frozenset[SoftwareVersion] = frozenset()


def key_of(service: ServiceName) -> str:
    """Return the key of a service's row."""
    return f"{TABLE}//{service}"


def read_stored(row: RawRow) -> StoredVersions:
    """Decode a row; a damaged one is logged, and is written anew."""
    try:
        content = from_bytes(row.value, VersionsRow)
    except DECODE_ERRORS as error:
        fields = {"row": row.key, "detail": repr(error)}
        log.warning("versions row damaged", extra=fields)
        return StoredVersions(row.version)
    return StoredVersions(row.version, frozenset(content.versions))


def position(service: ServiceName, name: str, others: Iterable[str]) -> int:
    """Return a router's place among the writers of a service's row; 0 is the first."""

    def rank(router: str) -> bytes:
        text = f"versions/{service}\n{router}".encode(errors="surrogatepass")
        return hashlib.blake2b(text, digest_size=8).digest()

    own = rank(name)
    return sum(rank(other) < own for other in others)


@define(eq=False)
class VersionRows:
    """Reads the versions in play at the start, and writes them as they change.

    Attributes:
        store: The store.
        name: This VM's name.
        others: Returns the names of the other routers that may write.
        servers: The list of servers, which keeps the versions.
        stored: The rows by service.
        due_at: When this router writes a row that does not match, by service.
        places: This router's place among the writers, by service, and the other routers
            for which it was computed.
    """

    store: GatewayStore
    name: str
    others: Callable[[], Sequence[str]]
    servers: BackendTable
    stored: dict[ServiceName, StoredVersions] = field(factory=dict)
    due_at: dict[ServiceName, Seconds] = field(factory=dict)
    places: dict[ServiceName, tuple[Sequence[str], int]] = field(factory=dict)

    async def run(self) -> None:
        """Read the rows, and write what has changed, until cancelled."""
        await self.read()
        while True:
            await anyio.sleep(CHECK_INTERVAL)
            for service in self.reviewed():
                await self.review(service, anyio.current_time())

    def reviewed(self) -> set[ServiceName]:
        """Return the services that have a row, or are configured and may need one."""
        listed = self.servers.versions.seen.keys()
        return {*self.stored, *(listed & self.servers.services.keys())}

    async def read(self) -> None:
        """Read all rows, and add what they state to the versions in play."""
        failed = False
        while True:
            try:
                snapshot = await self.store.snapshot(TABLE)
                break
            except PlatformError as error:
                if not failed:
                    log.info("versions not read", extra={"error": error.code})
                failed = True
                await anyio.sleep(RETRY_DELAY)
        self.stored = {row.key: read_stored(row) for row in snapshot.rows}
        for service, stored in self.stored.items():
            self.servers.add_versions(
                service, sorted(stored.versions), anyio.current_time()
            )
        self.servers.versions.is_complete = True

    async def review(self, service: ServiceName, now: Seconds) -> None:
        """Write the row of a service if it does not match and it is this one's turn.

        A missing version is written by any of the writers, since a process that starts
        needs it. One too many only makes it more cautious.
        """
        stored = self.stored.get(service)
        listed = stored.versions if stored is not None else frozenset()
        in_play = [*self.servers.versions.in_play(service)][-MAX_VERSIONS:]
        writers = WRITERS if set(in_play) - listed else 1
        if listed == set(in_play) or (place := self.place(service)) >= writers:
            self.due_at.pop(service, None)
            return
        if now >= self.due_at.setdefault(service, now + place * WRITER_DELAY):
            await self.write(service, in_play)

    def place(self, service: ServiceName) -> int:
        """Return this router's place among the writers of a service's row."""
        others = self.others()
        known = self.places.get(service)
        if known is None or known[0] != others:
            known = others, position(service, self.name, others)
            self.places[service] = known
        return known[1]

    async def write(
        self, service: ServiceName, versions: Sequence[SoftwareVersion]
    ) -> None:
        """Write or remove the row of a service, unless another router was faster."""
        key, stored = key_of(service), self.stored.get(service)
        row = VersionsRow(tuple(sorted(versions)))
        write: Write = Put(key, to_json(row)) if versions else Delete(key)
        check: Check = Absent(key) if stored is None else AtVersion(key, stored.version)
        try:
            committed = await self.store.commit(Transaction((check,), (write,)))
        except ConflictError as conflict:
            self.update_from_conflict(service, conflict)
        except PlatformError as error:
            fields = {"service": service, "error": error.code}
            log.info("versions not written", extra=fields)
            self.due_at[service] = anyio.current_time() + WRITE_RETRY_DELAY
        else:
            if versions:
                known = StoredVersions(committed.version, frozenset(versions))
                self.stored[service] = known
            else:
                self.stored.pop(service, None)

    def update_from_conflict(
        self, service: ServiceName, conflict: ConflictError
    ) -> None:
        """Use the row of a service as another router has written it.

        That one may have seen versions that are not listed here yet.
        """
        self.stored.pop(service, None)
        for row in conflict.rows:
            if not isinstance(row, Row) or row.key != key_of(service):
                continue
            try:
                versions = frozenset(read_row(row, VersionsRow).versions)
            except DamagedRowError:
                versions = frozenset()
            self.stored[service] = StoredVersions(row.version, versions)
            self.servers.add_versions(service, sorted(versions), anyio.current_time())
