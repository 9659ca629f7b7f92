"""The settings, store interface and platform parts that a gateway uses."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from attrs import frozen

from ebonyhold.forwarding import Backend, Dialect, RetryRules, Ruleset, TaskStarter
from ebonyhold.prepaid import PrepaidStore
from ebonyhold.types import BackendName, Seconds


@frozen
class GatewaySettings:
    """The settings of one gateway process.

    Attributes:
        name: The VM's name.
        domain: The VM's failure domain.
        callers: The address for callers.
        readiness: The address for readiness checks.
        host: The host of its other listeners.
        store: The address of the store.
        peers_port: The port for other gateways at `host`, the same at all of them; 0
            for none.
        grace: Time from the stop signal to the kill.
        retry_ratio: Retries per request that all routers together may make.
        retry_extra: Retries that they may make in addition.
        retry_window: The time over which both are counted.
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
    log_level: str = "INFO"

    @property
    def retry_rules(self) -> RetryRules:
        """The retry budget of all routers together."""
        return RetryRules(self.retry_ratio, self.retry_extra, self.retry_window)


@frozen
class RawRow:
    """One row with its undecoded value.

    Attributes:
        key: Its key within its table.
        version: The version of its last write.
        value: Its bytes; empty if it was deleted.
        deleted: Whether the row was deleted.
    """

    key: str
    version: int
    value: bytes
    deleted: bool = False


@frozen
class Snapshot:
    """All rows of a table at one moment, and the version from which changes follow."""

    rows: tuple[RawRow, ...]
    version: int


@frozen
class Changes:
    """Changes of a table in order, and the version from which the next ones follow."""

    rows: tuple[RawRow, ...]
    version: int


class GatewayStore(PrepaidStore, Protocol):
    """The store interface that a gateway uses."""

    def start(self, tasks: TaskStarter) -> None:
        """Set what starts the tasks that read from connections."""
        ...

    async def snapshot(self, table: str, part: str = "") -> Snapshot:
        """Read all rows of one part of a table.

        Raises:
            UnavailableError: The store cannot be reached.
        """
        ...

    async def changes(self, table: str, after: int, wait: Seconds) -> Changes:
        """Wait for the changes of a table after a version.

        Raises:
            HistoryLostError: The store no longer has them; take a new snapshot.
            UnavailableError: The store cannot be reached.
        """
        ...


@frozen
class Peers:
    """The parts of a platform that a gateway uses.

    Attributes:
        settings: The settings of this process.
        dialect: The headers of callers and servers.
        store: The store.
        rules_table: The table that holds the operator's configuration.
        rules_key: The key of the configuration's row.
        servers_table: The table in which servers register.
        read_rules: Decodes the configuration.
        read_backend: Decodes a server's entry.
    """

    settings: GatewaySettings
    dialect: Dialect
    store: GatewayStore
    rules_table: str
    rules_key: str
    servers_table: str
    read_rules: Callable[[bytes], Ruleset]
    read_backend: Callable[[BackendName, bytes], Backend]
