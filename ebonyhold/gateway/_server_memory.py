"""This gateway's use of the memory of servers, for requests that it sends there."""

from __future__ import annotations

import itertools
from collections.abc import Iterator

import anyio
from attrs import define, field

from ebonyhold.coordination import (
    LEASE_MARGIN,
    OWN_SHARE,
    LeaseOutcome,
    MemoryNeed,
    RouterMemory,
    WantedLease,
    shared_parts,
)
from ebonyhold.forwarding import (
    BackendEntry,
    CallerRequest,
    MemoryRoom,
    RoomRequest,
    ServiceName,
    prompt_size,
)
from ebonyhold.gateway._memory import LeaseClient
from ebonyhold.gateway._memory_roles import MemoryRoles
from ebonyhold.types import Seconds

ABORT_TIME: Seconds = 0.25
"""Time within which a server notices that a connection has ended.

Servers end a request then; until they do, it needs its memory.
"""

REFUSED_FOR: Seconds = 0.05
"""Time for which a server that had no room is not asked again, at least."""

MAX_REFUSED_FOR: Seconds = 0.25
"""The same, at most: the expected time is an estimate."""

FORGET_INTERVAL: Seconds = 0.5
"""Interval between two checks for use of memory that has expired."""


@define(eq=False)
class GatewayMemory:
    """Gets room at servers in the common half, in the own share or by a lease.

    Attributes:
        incarnation: The incarnation of this gateway, for the names of leases.
        roles: The own shares and the lenders.
        client: Asks for leases.
        memory: What is in flight.
        numbers: Numbers the attempts.
    """

    incarnation: str
    roles: MemoryRoles
    client: LeaseClient
    memory: RouterMemory = field(factory=RouterMemory)
    numbers: Iterator[int] = field(factory=itertools.count)

    def need(self, service: ServiceName, caller: CallerRequest) -> MemoryNeed | None:
        """Return the memory that a request needs at a server of a service.

        None if it has no prompt, or if the service's memory is not stated.
        """
        known = self.roles.backends.services.get(service)
        size = prompt_size(caller)
        if known is None or not known.memory or not size:
            return None
        shared = shared_parts(caller.prompt_parts)
        own = size - sum(shared.values()) + caller.max_output
        return MemoryNeed(max(0, own), shared)

    def is_too_large(self, service: ServiceName, need: MemoryNeed) -> bool:
        """Return whether no share of a server's memory can hold a request."""
        known = self.roles.backends.services.get(service)
        if known is None:
            return False
        shares = [
            self.roles.lent_share(known.memory),
            self.roles.own_size(known.memory),
        ]
        if self.roles.backends.fleet_load.is_on(service):
            shares.append(int(known.memory * OWN_SHARE))
        return need.total > max(shares)

    def fits_common(self, entry: BackendEntry, need: MemoryNeed, now: Seconds) -> bool:
        """Return whether a request fits into the common half of a server's memory.

        It does not while the load of the other routers is unknown.
        """
        fleet = self.roles.backends.fleet_load
        if not fleet.is_on(entry.backend.service):
            return False
        load = fleet.load(entry.run, now)
        if load is None:
            return False
        name = entry.backend.name
        memory = self.roles.memory_of(name)
        return self.memory.fits_common(name, need, load.resident, memory)

    def wait(self, entry: BackendEntry, need: MemoryNeed, now: Seconds) -> Seconds:
        """Return the time until a server may have room; 0 if it may have it now."""
        name = entry.backend.name
        if name not in self.memory.refused or self.fits_common(entry, need, now):
            return 0.0
        share = self.roles.own_size(self.roles.memory_of(name))
        return self.memory.wait(name, need, share, now)

    def expected(self, entry: BackendEntry, now: Seconds) -> Seconds:
        """Return the time until a server that had no room is expected to have some."""
        return self.memory.expected(entry.backend.name, now)

    async def get(self, entry: BackendEntry, wanted: RoomRequest) -> MemoryRoom | None:
        """Get room at a server; None if there is none in time.

        A request that waits does so at the first lender that lets it.
        """
        name, need = entry.backend.name, wanted.need
        now = anyio.current_time()
        room = MemoryRoom(entry.run, f"{self.incarnation}/{next(self.numbers)}")
        expires_at = wanted.deadline + LEASE_MARGIN
        if self.fits_common(entry, need, now):
            self.memory.record_common(name, room.name, need, now, expires_at)
            return room
        share = self.roles.own_size(self.roles.memory_of(name))
        if self.memory.take_own(name, room.name, need, share, now, expires_at):
            return room
        expected = MAX_REFUSED_FOR
        for lender in self.roles.view.lenders(name):
            now = anyio.current_time()
            lease = WantedLease(
                room.name,
                name,
                need,
                max(0.0, wanted.deadline - now),
                wanted.workspace,
                wanted.priority,
                max(0.0, (wanted.waits_until or now) - now),
            )
            answer = await self.client.ask(lender, lease)
            if answer.outcome is LeaseOutcome.GRANTED:
                room.lender = lender
                self.roles.has_leases = True
                now = anyio.current_time()
                self.memory.record_leased(name, room.name, need, now, expires_at)
                return room
            if answer.outcome is LeaseOutcome.FULL:
                expected = max(REFUSED_FOR, answer.wait)
        now = anyio.current_time()
        self.memory.record_refused(
            name, need, now, min(expected, MAX_REFUSED_FOR), expected
        )
        return None

    def free(self, room: MemoryRoom, ended: bool) -> None:
        """Give room back, if the server may run the request still, a little later."""
        now = anyio.current_time()
        delay = 0.0 if ended else ABORT_TIME
        self.memory.end(room.run.server, room.name, now, now + delay)
        if room.lender:
            self.client.give_back(room.lender, room.name, delay)

    async def run(self) -> None:
        """Forget use of memory that has expired, at intervals, until cancelled."""
        while True:
            await anyio.sleep(FORGET_INTERVAL)
            self.memory.forget(anyio.current_time())
