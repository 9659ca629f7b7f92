"""What routers do for each other besides money: versions and evidence of them."""

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

ASK_WITHIN: Seconds = 0.5
ASKED = 3
"""Routers asked for evidence at once; a few, so that an outage brings no storm."""

TOLD = 8
"""Routers told of a new version by each router that adopts it.

The notice spreads like a rumour: with eight told by each, 330 routers have heard
after three steps, and whoever was missed finds it at its next poll.
"""


@define
class VersionHelp:
    """Tells others of new versions, and asks them while the table is away.

    Attributes:
        keeper: The configuration in force here.
        link: The other routers.
        rng: Chooses whom to tell and to ask.
    """

    keeper: ConfigurationKeeper
    link: PeerLink
    rng: random.Random = field(factory=random.Random)

    def register(self) -> None:
        """Answer the others."""
        self.link.handle(VersionNotice, self.take_notice)
        self.link.handle(ConfigurationRequest, self.answer)

    async def run(self) -> None:
        """Tell of each adopted version until cancelled."""
        told = 0
        while True:
            told = await self.keeper.wait_changed(told)
            head = self.keeper.head
            digest = head.digest if head else ""
            for router in self.some(TOLD):
                await self.link.send(router, VersionNotice(told, digest))

    def some(self, most: int) -> list[RouterId]:
        """Choose a few of the routers believed alive."""
        alive = self.link.alive()
        return self.rng.sample(alive, min(most, len(alive)))

    async def take_notice(
        self, peer: RouterId, message: PeerMessage
    ) -> PeerMessage | None:
        """Look at the head when another router has a newer version.

        The notice itself is not believed: a version is adopted only as the
        table or its copy has it, so a wrong notice costs one read.
        """
        assert isinstance(message, VersionNotice)
        self.keeper.notice(message.version)
        return None

    async def answer(self, peer: RouterId, message: PeerMessage) -> PeerMessage | None:
        """Tell which version is in force here and when it was confirmed."""
        own = self.keeper.own_evidence()
        return ConfigurationReply(own.version, own.digest, own.confirmed_age)

    async def ask(self) -> tuple[Evidence, ...]:
        """Ask a few routers; the keeper weighs what they say."""
        found: list[Evidence] = []

        async def ask_one(router: RouterId) -> None:
            try:
                reply = await self.link.ask(
                    router, ConfigurationRequest(), ConfigurationReply, ASK_WITHIN
                )
            except PeerError:
                return
            found.append(Evidence(reply.version, reply.digest, reply.confirmed_age))

        async with anyio.create_task_group() as tasks:
            for router in self.some(ASKED):
                tasks.start_soon(ask_one, router)
        return tuple(found)
