"""Exchange of configuration versions between routers."""

from __future__ import annotations

import random

import anyio
from attrs import define, field

from ebonyhold.configuration import ConfigurationKeeper, Evidence
from ebonyhold.exceptions import PeerError
from ebonyhold.routers import (
    ConfigurationReply,
    ConfigurationRequest,
    PeerLink,
    PeerMessage,
    VersionNotice,
)
from ebonyhold.types import RouterId, Seconds

REQUEST_TIMEOUT: Seconds = 0.5
EVIDENCE_PEERS = 3
"""Number of routers from which evidence is requested at once.

It is small because in an outage of the table every router sends these requests.
"""

NOTICE_FANOUT = 8
"""Number of routers that each router notifies when it adopts a new version.

The targets are chosen at random and overlap. Three steps with 8 targets each send at
most 8^3 = 512 notices in the last step, enough for most of 330 routers. A router that
gets no notice finds the version at its next poll.
"""


@define
class VersionExchange:
    """Notifies other routers of new versions, and requests evidence from them.

    The keeper requests evidence of the current version while the table is unavailable.

    Attributes:
        keeper: Holds the configuration in force at this router.
        link: Sends messages to the other routers.
        rng: Chooses the routers to notify or to send requests to.
    """

    keeper: ConfigurationKeeper
    link: PeerLink
    rng: random.Random = field(factory=random.Random)

    def register(self) -> None:
        """Register the handlers of the other routers' notices and requests."""
        self.link.handle(VersionNotice, self.receive_notice)
        self.link.handle(ConfigurationRequest, self.reply)

    async def run(self) -> None:
        """Send notices of each adopted version until cancelled."""
        version = 0
        while True:
            version = await self.keeper.wait_changed(version)
            head = self.keeper.head
            digest = head.digest if head else ""
            for router in self.sample_peers(NOTICE_FANOUT):
                await self.link.send(router, VersionNotice(version, digest))

    def sample_peers(self, count: int) -> list[RouterId]:
        """Choose at most `count` of the routers believed alive, at random."""
        alive = self.link.alive()
        return self.rng.sample(alive, min(count, len(alive)))

    async def receive_notice(
        self, peer: RouterId, message: PeerMessage
    ) -> PeerMessage | None:
        """Pass the version in a notice to the keeper, which polls at once if needed.

        A version is adopted only from the table, or from a head copy in the object
        store, so a wrong notice causes only an extra poll.
        """
        assert isinstance(message, VersionNotice)
        self.keeper.notice(message.version)
        return None

    async def reply(self, peer: RouterId, message: PeerMessage) -> PeerMessage | None:
        """Return this router's version and the seconds since its confirmation."""
        own = self.keeper.own_evidence()
        return ConfigurationReply(own.version, own.digest, own.confirmed_age)

    async def ask(self) -> tuple[Evidence, ...]:
        """Request evidence from a few routers and return the replies.

        Routers that don't reply within `REQUEST_TIMEOUT` are left out.
        """
        found: list[Evidence] = []

        async def ask_one(router: RouterId) -> None:
            try:
                reply = await self.link.ask(
                    router, ConfigurationRequest(), ConfigurationReply, REQUEST_TIMEOUT
                )
            except PeerError:
                return
            found.append(Evidence(reply.version, reply.digest, reply.confirmed_age))

        async with anyio.create_task_group() as tasks:
            for router in self.sample_peers(EVIDENCE_PEERS):
                tasks.start_soon(ask_one, router)
        return tuple(found)
