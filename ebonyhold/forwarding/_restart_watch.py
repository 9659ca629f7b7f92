"""Notices that a server has restarted before the server list shows it.

A server that restarts under its name may run another software version, and the list
shows that up to two seconds late.  The end of its process ends all connections to it.
This router sees that at once if it has an unused connection there.
"""

from __future__ import annotations

import logging

import anyio
from attrs import define, field

from ebonyhold.forwarding._backends import BackendTable
from ebonyhold.forwarding._entry import BackendEntry
from ebonyhold.forwarding._paths import Paths
from ebonyhold.types import BackendName

log = logging.getLogger(__name__)


@define(eq=False)
class RestartWatch:
    """Checks servers that end unused connections, while several versions are in play.

    Servers also close idle connections while they run on.  So the end of a connection
    proves nothing, and one new connection is made: it is refused if the process has
    ended, and kept for a request otherwise.

    Attributes:
        paths: The ways to the servers.
        backends: The known servers.
        checking: The servers that are being checked.
    """

    paths: Paths
    backends: BackendTable
    checking: set[BackendEntry] = field(factory=set)

    def unused_ended(self, name: BackendName) -> None:
        """Check a server that has ended an unused connection before its time."""
        entry = self.backends.entries.get(name)
        if entry is None or entry in self.checking:
            return
        if self.backends.versions.are_several(entry.backend.service):
            self.checking.add(entry)
            self.paths.pool.tasks.start_soon(self.check, entry)

    async def check(self, entry: BackendEntry) -> None:
        """Record the end of a server's process if it refuses a connection."""
        at = anyio.current_time()
        try:
            if await self.paths.has_ended(entry.backend):
                self.backends.record_end(entry, at)
                log.info("server ended", extra={"backend": entry.backend.name})
        finally:
            self.checking.discard(entry)
