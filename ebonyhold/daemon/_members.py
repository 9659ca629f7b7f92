"""Polling of the platform's membership list."""

from __future__ import annotations

import logging
import random

import anyio
from attrs import define, field

from ebonyhold.exceptions import EbonyholdError, UnavailableError
from ebonyhold.fleet import FleetView
from ebonyhold.stores import Member, MemberRole, MembersClient, MemberState
from ebonyhold.types import Seconds

logger = logging.getLogger(__name__)

READ_INTERVAL: Seconds = 2.0
"""Mean time between reads, so that a leaving server is noticed within seconds."""


@define
class MemberFeed:
    """Keeps the last membership list, and sets the leaving servers of the fleet view.

    Attributes:
        client: Reads the list; None if the settings name no list.
        fleet: Receives the names of leaving backend servers.
        rng: Varies the time between reads, so that routers don't read all at once.
        members: The last list that was read; None before the first read.
    """

    client: MembersClient | None
    fleet: FleetView
    rng: random.Random = field(factory=random.Random)
    members: tuple[Member, ...] | None = None

    async def run(self) -> None:
        """Read the list at intervals until cancelled.

        Return at once if there is no list. After a failed read the last list stays.
        """
        if self.client is None:
            return
        while True:
            try:
                self.update(await self.client.members())
            except EbonyholdError as error:
                logger.info("no membership list", extra={"cause": str(error)})
            await anyio.sleep(READ_INTERVAL * self.rng.uniform(0.5, 1.5))

    def update(self, members: tuple[Member, ...]) -> None:
        """Store a list, and set the fleet view's leaving backend servers from it."""
        self.members = members
        self.fleet.leaving = frozenset(
            member.name
            for member in members
            if member.role is MemberRole.BACKEND and member.state is MemberState.LEAVING
        )

    async def entries(self) -> tuple[Member, ...]:
        """Return the last list; the peer network finds the other routers in it.

        Raises:
            UnavailableError: No list has been read yet.
        """
        if self.members is None:
            raise UnavailableError("the membership list has not been read yet")
        return self.members
