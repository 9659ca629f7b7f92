"""The memory of servers that a request must have before it is sent there."""

from __future__ import annotations

from typing import Protocol

from attrs import define, frozen

from ebonyhold.coordination import MemoryNeed, ServerRun
from ebonyhold.forwarding._entry import BackendEntry
from ebonyhold.forwarding._types import CallerRequest, ServiceName
from ebonyhold.types import Seconds, WorkspaceName


@define(eq=False)
class MemoryRoom:
    """Memory of a server that an attempt has.

    Attributes:
        run: The run of the server.
        name: Identifies the attempt.
        lender: The VM of the router that leases it; empty for the own share.
    """

    run: ServerRun
    name: str
    lender: str = ""


@frozen
class RoomRequest:
    """What is asked for.

    Attributes:
        need: The memory that the request needs.
        deadline: The deadline of the request.
        workspace: Its workspace; empty if it has none.
        priority: Its priority; 0 is the most urgent.
        waits_until: The latest time to wait for; None if it does not wait.
    """

    need: MemoryNeed
    deadline: Seconds
    workspace: WorkspaceName = ""
    priority: int = 0
    waits_until: Seconds | None = None


class ServerMemory(Protocol):
    """This router's use of the memory of servers."""

    def need(self, service: ServiceName, caller: CallerRequest) -> MemoryNeed | None:
        """Return the memory that a request needs; None if it is not accounted for."""
        ...

    def is_too_large(self, service: ServiceName, need: MemoryNeed) -> bool:
        """Return whether a request can never have the memory that it needs."""
        ...

    def wait(self, entry: BackendEntry, need: MemoryNeed, now: Seconds) -> Seconds:
        """Return the time until a server may have room; 0 if it may have it now."""
        ...

    def expected(self, entry: BackendEntry, now: Seconds) -> Seconds:
        """Return the time until a server that had no room is expected to have some."""
        ...

    async def get(self, entry: BackendEntry, wanted: RoomRequest) -> MemoryRoom | None:
        """Get room at a server; None if there is none in time."""
        ...

    def free(self, room: MemoryRoom, ended: bool) -> None:
        """Give room back.

        Args:
            room: The room.
            ended: Whether the server has certainly ended the request.
        """
        ...


@frozen
class NoServerMemory:
    """The memory of servers that need not be accounted for."""

    def need(self, service: ServiceName, caller: CallerRequest) -> None:
        """Return None, as no memory is accounted for."""
        del service, caller

    def is_too_large(self, service: ServiceName, need: MemoryNeed) -> bool:
        """Return False."""
        del service, need
        return False

    def wait(self, entry: BackendEntry, need: MemoryNeed, now: Seconds) -> Seconds:
        """Return 0."""
        del entry, need, now
        return 0.0

    def expected(self, entry: BackendEntry, now: Seconds) -> Seconds:
        """Return 0."""
        del entry, now
        return 0.0

    async def get(self, entry: BackendEntry, wanted: RoomRequest) -> MemoryRoom | None:
        """Return None."""
        del entry, wanted
        return None

    def free(self, room: MemoryRoom, ended: bool) -> None:
        """Do nothing."""
        del room, ended
