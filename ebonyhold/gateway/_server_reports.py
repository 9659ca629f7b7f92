"""Reads the reports of servers, which include requests that no router reports.

These are requests of routers of older builds, and those of routers that were killed and
which a server has not given up yet. A report is older than what routers report, and
each one costs a server as much as a health check. So only the collector of a failure
domain reads those of its own servers, and only where such requests matter.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import anyio
from attrs import define, field

from ebonyhold.exceptions import BackendLostError, MalformedEntryError
from ebonyhold.forwarding import (
    MAX_REPORT,
    AnswerBounds,
    BackendEntry,
    BackendTable,
    HttpCalls,
    Outbound,
)
from ebonyhold.gateway._types import ServerReport
from ebonyhold.tasks import TaskStarter
from ebonyhold.types import Seconds

READ_INTERVAL: Seconds = 1.0
"""Interval between two reports of each server."""

TIMEOUT: Seconds = 0.5
"""Timeout of a call; a later report would be too old."""

MAX_REPORTERS = 64
"""Maximum number of servers whose reports are read."""


@define(eq=False)
class ServerReports:
    """Reads the reports of the servers of one failure domain while that is wanted.

    Attributes:
        backends: The servers.
        domain: The failure domain.
        target: The path of the reports; empty if servers give none.
        decode: Decodes a report.
        on_report: Called with a server and its report.
        is_wanted: Returns whether reports are to be read now.
        tasks: Starts the tasks that read connections; None before the start.
        calls: The connections to the servers, by address.
        bounds: Bounds the reports of all servers.
    """

    backends: BackendTable
    domain: str
    target: bytes
    decode: Callable[[bytes], ServerReport]
    on_report: Callable[[BackendEntry, ServerReport], None]
    is_wanted: Callable[[], bool]
    tasks: TaskStarter | None = None
    calls: dict[tuple[str, int], HttpCalls] = field(factory=dict)
    bounds: AnswerBounds = field(factory=lambda: AnswerBounds(MAX_REPORT))

    async def run(self, started: anyio.Event) -> None:
        """Read the reports while they are wanted, until cancelled.

        Args:
            started: Set once load is shared; nothing is done before.
        """
        await started.wait()
        while True:
            next_at = anyio.current_time() + READ_INTERVAL
            if self.target and self.is_wanted():
                # Otherwise one server that hangs would delay the reports of all.
                with anyio.move_on_after(TIMEOUT):
                    await self.read_all()
            await anyio.sleep_until(next_at)

    def servers(self) -> list[BackendEntry]:
        """Return the servers whose reports are read.

        Those of services without a stated memory are left out: their requests last less
        than a report is old.
        """
        services = self.backends.services
        found = [
            entry
            for entry in self.backends.entries.values()
            if entry.backend.domain == self.domain
            and (service := services.get(entry.backend.service)) is not None
            and service.memory
        ]
        return found[:MAX_REPORTERS]

    async def read_all(self) -> None:
        """Read one report of each server, all concurrently."""
        entries = self.servers()
        self.forget_unlisted(entry.backend.address for entry in entries)
        async with anyio.create_task_group() as tasks:
            for entry in entries:
                tasks.start_soon(self.read, entry)

    def forget_unlisted(self, addresses: Iterable[tuple[str, int]]) -> None:
        """Drop the connections to servers that are not listed any more."""
        listed = set(addresses)
        for address in [one for one in self.calls if one not in listed]:
            del self.calls[address]

    async def read(self, entry: BackendEntry) -> None:
        """Read the report of one server; one that cannot be read does not count."""
        if self.tasks is None:
            return
        address = entry.backend.address
        calls = self.calls.get(address)
        if calls is None:
            calls = self.calls[address] = HttpCalls(address, TIMEOUT, self.bounds)
            calls.start(self.tasks)
        try:
            answer = await calls.call(
                Outbound(b"GET", self.target, [], b"", False), TIMEOUT
            )
            if answer.head.status == 200:
                self.on_report(entry, self.decode(answer.body))
        except (BackendLostError, MalformedEntryError):
            return
