"""An in-memory network between routers, for tests under a virtual clock.

>>> import anyio
>>> async def example():
...     async with anyio.create_task_group() as tasks:
...         network = FakeNetwork(tasks)
...         left, right = network.join("a.1"), network.join("b.1")
...         return left.alive(), right.alive()
>>> anyio.run(example)
(('b.1',), ('a.1',))
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TypeAlias

import anyio
from anyio.abc import TaskGroup

from ebonyhold.routers._exchange import Exchange, Frame
from ebonyhold.routers._interface import Handler, Reply
from ebonyhold.routers._registry import PeerMessage
from ebonyhold.types import RouterId, Seconds

LoseRule: TypeAlias = Callable[[RouterId, RouterId, PeerMessage], bool]
"""Says whether to lose a message, given its sender, receiver and content."""


class FakeNetwork:
    """Carries frames between the links that joined it.

    Attributes:
        tasks: Where deliveries run; cancelling it ends them.
        delay: One-way delay, in seconds.
        jitter: The most that is added to the delay, evenly distributed, in
            seconds; it also reorders.
        copies: How often each frame arrives: 2 doubles all of them.
        lose: Which frames to lose; None for none.
        links: Who has joined.
        cuts: Pairs, sender first, between which nothing arrives.
    """

    def __init__(
        self,
        tasks: TaskGroup,
        *,
        delay: Seconds = 0.001,
        jitter: Seconds = 0.0,
        copies: int = 1,
        lose: LoseRule | None = None,
        seed: int = 0,
    ) -> None:
        self.tasks = tasks
        self.delay = delay
        self.jitter = jitter
        self.copies = copies
        self.lose = lose
        self.rng = random.Random(seed)
        self.links: dict[RouterId, FakeLink] = {}
        self.cuts: set[tuple[RouterId, RouterId]] = set()

    def join(self, router: RouterId) -> FakeLink:
        """Add a router and return its link."""
        link = FakeLink(self, router)
        self.links[router] = link
        return link

    def leave(self, router: RouterId) -> None:
        """Remove a router at once; what is on its way to it is lost."""
        self.links.pop(router, None)

    def cut(self, one: RouterId, other: RouterId) -> None:
        """Stop what goes between two routers, either way."""
        self.cuts.update({(one, other), (other, one)})

    def heal(self) -> None:
        """End all cuts."""
        self.cuts.clear()

    async def carry(self, sender: RouterId, to: RouterId, frame: Frame) -> None:
        """Take one frame from a link and deliver it later, or not."""
        if self.lose is not None and self.lose(sender, to, frame.message):
            return
        for _ in range(self.copies):
            wait = self.delay + self.jitter * self.rng.random()
            self.tasks.start_soon(self.deliver, sender, to, frame, wait)

    async def deliver(
        self, sender: RouterId, to: RouterId, frame: Frame, wait: Seconds
    ) -> None:
        """Deliver one frame after its delay, if the way is open then."""
        await anyio.sleep(wait)
        link = self.links.get(to)
        if link is not None and (sender, to) not in self.cuts:
            await link.exchange.deliver(sender, frame)


class FakeLink:
    """One router's end of a `FakeNetwork`; a `PeerLink`."""

    def __init__(self, network: FakeNetwork, me: RouterId) -> None:
        self.network = network
        self.me = me
        self.exchange = Exchange(self.transmit)

    async def transmit(self, to: RouterId, frame: Frame) -> None:
        """Hand one frame to the network."""
        await self.network.carry(self.me, to, frame)

    def alive(self) -> tuple[RouterId, ...]:
        """Return all other routers that have joined and are not cut off."""
        return tuple(
            router
            for router in self.network.links
            if router != self.me and (router, self.me) not in self.network.cuts
        )

    def handle(self, kind: type[PeerMessage], handler: Handler) -> None:
        """Register who answers messages of this kind."""
        self.exchange.handle(kind, handler)

    async def send(self, to: RouterId, message: PeerMessage) -> None:
        """Send without waiting for an answer; it may be lost."""
        await self.exchange.send(to, message)

    async def ask(
        self, to: RouterId, message: PeerMessage, reply: type[Reply], timeout: Seconds
    ) -> Reply:
        """Send and wait for the answer.

        Raises:
            PeerError: There was none in time.
        """
        return await self.exchange.ask(to, message, reply, timeout)
