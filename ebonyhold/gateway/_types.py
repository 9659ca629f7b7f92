"""The settings, the store interface and the platform's adapter that a gateway uses."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Protocol

from attrs import frozen

from ebonyhold.exceptions import MalformedEntryError
from ebonyhold.forwarding import (
    Backend,
    Dialect,
    RetryRules,
    Ruleset,
    TaskStarter,
    read_no_start,
)
from ebonyhold.prepaid import PrepaidStore
from ebonyhold.types import BackendName, Seconds


@frozen
class GatewaySettings:
    """The settings of one gateway process.

    Attributes:
        name: The VM's name.
        domain: The VM's failure domain.
        callers: The host and port of the listener for callers.
        readiness: The host and port of the listener for readiness checks.
        host: The host of the listeners for metrics scrapes and other gateways.
        store: The host and port of the store.
        peers_port: The port for other gateways at `host`, the same at all gateways; 0
            for no such listener.
        grace: Time from the stop signal to the kill.
        retry_ratio: Retries per request that all routers together may make.
        retry_extra: Retries that all routers together may make in addition.
        retry_window: The time over which requests and retries are counted.
        link_rate: What the VM's network link carries in each direction, in bytes per
            second; infinite if it is not known.
        memory_bytes: The memory of this process, which is killed above it; infinite if
            it is not known.
        sockets: The number of sockets that this process may open; infinite if it is not
            known.
        memory_pressure: Whether memory may run out: callers and servers may read
            slowly, and a server crashes if the requests that it holds exceed its
            memory.
        log_level: The minimum severity that is logged.
    """

    name: str
    domain: str
    callers: tuple[str, int]
    readiness: tuple[str, int]
    host: str
    store: tuple[str, int]
    peers_port: int = 0
    grace: Seconds = 8.0
    retry_ratio: float = 0.1
    retry_extra: float = 10.0
    retry_window: Seconds = 10.0
    link_rate: float = math.inf
    memory_bytes: float = math.inf
    sockets: float = math.inf
    memory_pressure: bool = False
    log_level: str = "INFO"

    @property
    def retry_rules(self) -> RetryRules:
        """The retry budget of all routers together."""
        return RetryRules(self.retry_ratio, self.retry_extra, self.retry_window)


@frozen
class RawRow:
    """One row with its undecoded value.

    Attributes:
        key: The row's key within its table.
        version: The store's version of the row's last write.
        value: The undecoded value; empty if the row was deleted.
        deleted: Whether the row was deleted.
    """

    key: str
    version: int
    value: bytes
    deleted: bool = False


@frozen
class Snapshot:
    """All rows of one part of a table.

    Attributes:
        rows: The rows. Some may be newer than `version` if they changed meanwhile.
        version: The version after which `GatewayStore.changes` continues.
    """

    rows: tuple[RawRow, ...]
    version: int


@frozen
class Changes:
    """Changes of a table.

    Attributes:
        rows: The changed rows, in order; empty if none changed before the wait ended.
        version: The version after which the next call for changes continues.
    """

    rows: tuple[RawRow, ...]
    version: int


class GatewayStore(PrepaidStore, Protocol):
    """The store interface that a gateway uses."""

    def start(self, tasks: TaskStarter) -> None:
        """Use `tasks` to start the tasks that read from connections."""
        ...

    async def snapshot(self, table: str, part: str = "") -> Snapshot:
        """Read all rows of one part of a table.

        Args:
            table: The table.
            part: The name of the part, whose keys start with ``{table}/{part}/``. Most
                tables have a single part, whose name is empty.

        Raises:
            UnavailableError: The store cannot be reached.
        """
        ...

    async def changes(self, table: str, after: int, wait: Seconds) -> Changes:
        """Wait for changes of a table.

        Args:
            table: The table.
            after: Only changes with a greater version are returned.
            wait: Time until the store answers without a change.

        Raises:
            HistoryLostError: The store no longer has them; take a new snapshot.
            UnavailableError: The store cannot be reached.
        """
        ...


@frozen
class ServerReport:
    """What a server reports of its load.

    Attributes:
        waiting: Requests that wait for a slot.
        running: Requests that have a slot.
    """

    waiting: int
    running: int

    @property
    def requests(self) -> int:
        """All requests that it has."""
        return self.waiting + self.running


def read_no_report(body: bytes) -> ServerReport:
    """Reject a report, on a platform whose servers give none.

    Raises:
        MalformedEntryError: Always.
    """
    raise MalformedEntryError(f"{len(body)} bytes")


@frozen
class PlatformAdapter:
    """The adapter to a platform: everything in which a gateway depends on it.

    Attributes:
        settings: The settings of this process.
        dialect: Converts the headers of callers and servers.
        store: The client of the platform's store.
        rules_table: The table that contains the operator's configuration.
        rules_key: The key of the configuration's row.
        servers_table: The table in which servers register.
        read_rules: Decodes the configuration.
        read_backend: Decodes a server's entry.
        read_evacuation: Returns the failure domain whose evacuation the row with a key
            requests while it exists; None if it is another row. Both kinds of rows are
            in `rules_table`.
        report_target: The path of the servers' reports; empty if they give none.
        read_report: Decodes a server's report.
        read_start: Decodes the start of the server that its report states; 0 if none.
    """

    settings: GatewaySettings
    dialect: Dialect
    store: GatewayStore
    rules_table: str
    rules_key: str
    servers_table: str
    read_rules: Callable[[bytes], Ruleset]
    read_backend: Callable[[BackendName, bytes], Backend]
    read_evacuation: Callable[[str], str | None] = lambda key: None
    report_target: bytes = b""
    read_report: Callable[[bytes], ServerReport] = read_no_report
    read_start: Callable[[bytes], int] = read_no_start
