"""The platform's membership list, read by one task for all who need it."""

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

READ_EVERY: Seconds = 2.0
"""Mean time between reads: a leaving backend server is heard of within seconds."""


@define
class MemberFeed:
    """Keeps the last list, and tells the fleet view who is leaving.

    Attributes:
        client: The platform's list; None when the settings name none.
        fleet: Gets the names of leaving backend servers.
        rng: Spreads the reads of the routers.
        members: The last list that was read.
    """

    client: MembersClient | None
    fleet: FleetView
    rng: random.Random = field(factory=random.Random)
    members: tuple[Member, ...] | None = None

    async def run(self) -> None:
        """Read the list again and again until cancelled."""
        if self.client is None:
            return
        while True:
            try:
                self.take(await self.client.members())
            except EbonyholdError as error:
                logger.info("no membership list", extra={"cause": str(error)})
            await anyio.sleep(READ_EVERY * self.rng.uniform(0.5, 1.5))

    def take(self, members: tuple[Member, ...]) -> None:
        """Keep a list that was read."""
        self.members = members
        self.fleet.leaving = frozenset(
            member.name
            for member in members
            if member.role is MemberRole.BACKEND and member.state is MemberState.LEAVING
        )

    async def entries(self) -> tuple[Member, ...]:
        """Return the last list, for the other routers' sake.

        Raises:
            UnavailableError: None was read yet.
        """
        if self.members is None:
            raise UnavailableError("the membership list was not read yet")
        return self.members
