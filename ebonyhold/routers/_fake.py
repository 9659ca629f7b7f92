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

LossRule: TypeAlias = Callable[[RouterId, RouterId, PeerMessage], bool]
"""Returns whether a message is lost, given its sender, receiver and content."""


class FakeNetwork:
    """Delivers frames between the links that joined it.

    Attributes:
        tasks: The task group in which deliveries run.
        delay: One-way delay, in seconds.
        jitter: Upper limit of a uniformly distributed time that is added to each
            frame's delay, in seconds; it may change the order of frames.
        copies: How many times each frame is delivered; 2 duplicates all frames.
        lose: Returns whether a message is lost; None if no message is.
        rng: The random number generator of the jitter.
        links: The links that joined, by router.
        cuts: Pairs of sender and receiver between which no frame is delivered.
    """

    def __init__(
        self,
        tasks: TaskGroup,
        *,
        delay: Seconds = 0.001,
        jitter: Seconds = 0.0,
        copies: int = 1,
        lose: LossRule | None = None,
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
        """Add a router, in place of one with the same id, and return its link."""
        link = FakeLink(self, router)
        self.links[router] = link
        return link

    def leave(self, router: RouterId) -> None:
        """Remove a router at once; frames under way to it are lost."""
        self.links.pop(router, None)

    def cut(self, one: RouterId, other: RouterId) -> None:
        """Cut the connection between two routers in both directions."""
        self.cuts.update({(one, other), (other, one)})

    def heal(self) -> None:
        """Restore all connections that were cut."""
        self.cuts.clear()

    async def carry(self, sender: RouterId, to: RouterId, frame: Frame) -> None:
        """Start the delivery of `copies` copies of a frame, unless `lose` drops it."""
        if self.lose is not None and self.lose(sender, to, frame.message):
            return
        for _ in range(self.copies):
            wait = self.delay + self.jitter * self.rng.random()
            self.tasks.start_soon(self.deliver, sender, to, frame, wait)

    async def deliver(
        self, sender: RouterId, to: RouterId, frame: Frame, wait: Seconds
    ) -> None:
        """Deliver one frame after `wait` seconds and run its handler.

        The frame is lost if the receiver has left or the connection is cut by then.
        """
        await anyio.sleep(wait)
        link = self.links.get(to)
        if link is not None and (sender, to) not in self.cuts:
            await link.exchange.deliver(sender, frame)


class FakeLink:
    """The `PeerLink` of one router in a `FakeNetwork`."""

    def __init__(self, network: FakeNetwork, router: RouterId) -> None:
        self.network = network
        self.router = router
        self.exchange = Exchange(self.transmit)

    async def transmit(self, to: RouterId, frame: Frame) -> None:
        """Pass one frame to the network."""
        await self.network.carry(self.router, to, frame)

    def alive(self) -> tuple[RouterId, ...]:
        """Return the other routers that joined and are not cut off from this one."""
        return tuple(
            other
            for other in self.network.links
            if other != self.router and (other, self.router) not in self.network.cuts
        )

    def handle(self, kind: type[PeerMessage], handler: Handler) -> None:
        """Register the handler of a kind of message."""
        self.exchange.handle(kind, handler)

    async def send(self, to: RouterId, message: PeerMessage) -> None:
        """Start the delivery of a notice, which may be lost."""
        await self.exchange.send(to, message)

    async def ask(
        self, to: RouterId, message: PeerMessage, reply: type[Reply], timeout: Seconds
    ) -> Reply:
        """Send a request and return its answer.

        Raises:
            PeerError: There was no answer in time, the answer is of another kind, or
                too many requests are pending.
        """
        return await self.exchange.ask(to, message, reply, timeout)
