"""Gets the memory of servers for the requests of this router's callers."""

from __future__ import annotations

import anyio
from attrs import define

from ebonyhold.forwarding._backends import BackendTable
from ebonyhold.forwarding._entry import BackendEntry
from ebonyhold.forwarding._exchange import AttemptEnd, Exchange
from ebonyhold.forwarding._memory import MemoryRoom, RoomRequest
from ebonyhold.forwarding._place_queue import wait_until

MAX_SERVERS_ASKED = 3
"""Number of servers of which memory is asked for before a request waits.

Each may cost two messages, and the answers of other servers' lenders are likely to be
the same.
"""


@define(eq=False)
class RoomAllocator:
    """Gets and frees the room of the requests that callers send to this router.

    Attributes:
        backends: The known servers, and this router's use of their memory.
    """

    backends: BackendTable

    async def get(
        self, exchange: Exchange, entry: BackendEntry, wait: bool = False
    ) -> bool:
        """Get room at a server, if the request needs any; return whether it has it.

        Args:
            exchange: The request.
            entry: The server.
            wait: Whether the request may wait for it, as long as for a place at a
                brittle server (see `wait_until`).
        """
        need = exchange.need
        if need is None:
            return True
        now, match, until = anyio.current_time(), exchange.match, None
        if wait:
            exchange.waited_for_memory = True
            until = wait_until(now, match.route.target, exchange.deadline)
        exchange.room = await self.backends.memory.get(
            entry,
            RoomRequest(
                need,
                exchange.deadline,
                match.workspace.name if match.workspace else "",
                match.priority,
                until,
            ),
        )
        if exchange.room is None:
            exchange.roomless.append(entry.backend.name)
        return exchange.room is not None

    def may_wait(self, exchange: Exchange) -> bool:
        """Return whether a request may wait for memory; each does so once."""
        return exchange.need is not None and not exchange.waited_for_memory

    def free(self, room: MemoryRoom | None, end: AttemptEnd | None) -> None:
        """Give the room of an attempt back.

        Args:
            room: The room; None if it had none.
            end: How the attempt ended; None if it was cancelled. A server that has not
                answered may notice the end of the connection only later.
        """
        if room is not None:
            self.backends.memory.free(room, end not in (None, AttemptEnd.LOST))

    def short(self, exchange: Exchange) -> list[BackendEntry]:
        """Return the untried servers that a request may get once they have memory."""
        need, now = exchange.need, anyio.current_time()
        if need is None:
            return []
        service, version = exchange.match.service, exchange.version
        found = [
            entry
            for entry in self.backends.entries.values()
            if entry.backend.service == service
            if entry.backend.name not in exchange.tried
            if self.backends.withheld(entry, now, version=version) is None
            if entry.backend.name in exchange.roomless
            or self.backends.memory.wait(entry, need, now)
        ]
        ejected = self.backends.ejected(found, now)
        return [e for e in found if e.backend.name not in ejected] or found
