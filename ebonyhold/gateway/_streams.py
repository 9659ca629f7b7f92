"""Tells a few other gateways which software version began a stream, and asks them.

The attempt that began a stream decides by rendezvous hashing which gateways keep it. So
any gateway to which the caller comes back knows whom to ask, and the number of messages
grows with the streams and not with the gateways. Nothing is told while a service has
one version.
"""

from __future__ import annotations

import hashlib
from collections.abc import Awaitable, Callable, Mapping, Sequence

import anyio
from attrs import define, field, frozen

from ebonyhold.coordination import (
    BegunStream,
    StreamId,
    StreamRecords,
    VersionHistory,
)
from ebonyhold.forwarding import Found
from ebonyhold.gateway._presence import PresenceRow
from ebonyhold.gateway._transfers import GatewayPeers
from ebonyhold.types import Seconds

NOTICES_TARGET = b"/streams/begun"

QUESTIONS_TARGET = b"/streams/version"

SHARDS = 16
"""Number of groups of streams with the same keepers.

A gateway has messages for the keepers of all groups, so their number bounds how many
others it talks to, in a fleet of any size.
"""

KEEPERS = 3
"""Number of gateways that are told of a stream."""

ASKED = 4
"""Number of gateways that are asked for a stream.

One more than are told, since the fleet may have changed in between.
"""

NOTICE_DELAY: Seconds = 0.01
"""Time for which streams are collected for one message.

A caller whose stream breaks off with its first event is back some 50 ms later.
"""

NOTICE_TIMEOUT: Seconds = 0.2
"""Timeout of a message that tells of streams."""

QUESTION_TIMEOUT: Seconds = 0.08
"""Timeout of a question, which is answered from memory."""

MAX_NOTICE = 2_000
"""Maximum number of streams that wait to be told to one gateway."""


@frozen
class BegunStreams:
    """Tells a gateway of streams.

    Attributes:
        streams: The streams by their identifiers.
    """

    streams: dict[StreamId, BegunStream] = field(factory=dict)


@frozen
class BegunStreamsAnswer:
    """The confirmation of a `BegunStreams` message."""


@frozen
class StreamQuestion:
    """Asks a gateway for a stream.

    Attributes:
        stream: The stream.
        service: The service to which the caller has come back.
    """

    stream: StreamId = ""
    service: str = ""


@frozen
class StreamAnswer:
    """What a gateway knows of a stream.

    Attributes:
        known: Whether it knows the stream.
        begun: The stream.
        versions: The versions in play in the service that was asked about.
        possible: Those at which a stream may have begun without others being told; None
            if it is of an older build.
    """

    known: bool = False
    begun: BegunStream = field(factory=BegunStream)
    versions: tuple[str, ...] = ()
    possible: tuple[str, ...] | None = None

    @property
    def all_possible(self) -> tuple[str, ...]:
        """The versions of `possible`, or any if they are not stated."""
        return self.versions if self.possible is None else self.possible


def rank(shard: int, router: str) -> bytes:
    """Return a gateway's sort key for the rendezvous hashing of a group of streams."""
    text = f"streams/{shard}\n{router}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


@define(eq=False)
class GatewayStreams:
    """The keepers of streams, as one gateway sees them.

    Attributes:
        name: This VM's name.
        peers: Sends messages to the other gateways.
        rows: Returns the presence rows of the others, by VM name.
        records: The streams that this gateway has begun, or keeps for others.
        versions: The versions in play.
        were_read: Returns whether the presence rows were read.
        names: The gateways that keep streams, with this one, when last looked up.
        orders: The gateways in the order of their ranks, by group of streams.
        stated: Returns what others are told of a stream that this gateway has begun.
        confirmed: Returns the same for one that asks, once its server was asked at
            which run it began.
        waiting: The streams that each gateway is to be told of.
        due: Set when there are some.
    """

    name: str
    peers: GatewayPeers
    rows: Callable[[], Mapping[str, PresenceRow]]
    records: StreamRecords
    versions: VersionHistory
    were_read: Callable[[], bool] = lambda: True
    names: tuple[str, ...] = ()
    orders: dict[int, list[str]] = field(factory=dict)
    stated: Callable[[StreamId, BegunStream], BegunStream] = lambda stream, begun: begun
    confirmed: Callable[[StreamId], Awaitable[BegunStream | None]] | None = None
    waiting: dict[str, dict[StreamId, BegunStream]] = field(factory=dict)
    due: anyio.Event = field(factory=anyio.Event)

    def others(self) -> list[str]:
        """Return the other gateways that keep streams."""
        return [name for name, row in self.rows().items() if row.keeps_streams]

    @property
    def are_known(self) -> bool:
        """Whether others keep streams, or may, as their rows were not read yet."""
        return not self.were_read() or bool(self.others())

    def look_up(self) -> None:
        """Look up the gateways; `keepers` goes by the last call."""
        names = (*sorted(self.others()), self.name)
        if names != self.names:
            self.names = names
            self.orders.clear()

    def keepers(self, stream: StreamId, count: int) -> list[str]:
        """Return the other gateways among the first keepers of a stream."""
        shard = int(stream[:4], 16) % SHARDS
        order = self.orders.get(shard)
        if order is None:
            order = sorted(self.names, key=lambda name: rank(shard, name))
            self.orders[shard] = order
        return [name for name in order[:count] if name != self.name]

    def tell(self, begun: Mapping[StreamId, BegunStream]) -> None:
        """Queue streams for their keepers; `run` sends them."""
        self.look_up()
        for stream, one in begun.items():
            self.queue(self.keepers(stream, KEEPERS), stream, one)

    def queue(
        self, keepers: Sequence[str], stream: StreamId, begun: BegunStream
    ) -> None:
        """Queue a stream for some gateways, unless too many wait for one of them."""
        for keeper in keepers:
            waiting = self.waiting.setdefault(keeper, {})
            if len(waiting) < MAX_NOTICE:
                waiting[stream] = begun
        self.due.set()

    async def run(self) -> None:
        """Send what is queued, until cancelled."""
        while True:
            await self.due.wait()
            await anyio.sleep(NOTICE_DELAY)
            self.due = anyio.Event()
            await self.send_all()

    async def send_all(self) -> None:
        """Send each gateway the streams that wait for it, all concurrently."""
        waiting, self.waiting = self.waiting, {}
        async with anyio.create_task_group() as tasks:
            for peer, begun in waiting.items():
                if self.peers.is_available(peer, anyio.current_time()):
                    tasks.start_soon(self.send, peer, begun)

    async def send(self, peer: str, begun: dict[StreamId, BegunStream]) -> None:
        """Tell one gateway of streams; it is told once, since others are told too."""
        await self.peers.post(
            peer,
            NOTICES_TARGET,
            BegunStreams(begun),
            BegunStreamsAnswer,
            NOTICE_TIMEOUT,
        )

    async def ask(self, stream: StreamId, service: str) -> Found:
        """Ask the keepers of a stream, until one knows it or all have answered."""
        answers: list[StreamAnswer] = []
        now = anyio.current_time()
        self.look_up()
        keepers = self.keepers(stream, ASKED)
        able = [peer for peer in keepers if self.peers.is_available(peer, now)]
        question = StreamQuestion(stream, service)
        async with anyio.create_task_group() as tasks:

            async def ask_one(peer: str) -> None:
                answer = await self.peers.post(
                    peer, QUESTIONS_TARGET, question, StreamAnswer, QUESTION_TIMEOUT
                )
                if answer is not None:
                    answers.append(answer)
                    if answer.known:
                        tasks.cancel_scope.cancel()

            for peer in able:
                tasks.start_soon(ask_one, peer)
        begun = next((answer.begun for answer in answers if answer.known), None)
        versions = frozenset(v for answer in answers for v in answer.versions)
        possible = frozenset(v for answer in answers for v in answer.all_possible)
        return Found(begun, len(answers), versions, possible, len(keepers))

    def record(self, told: BegunStreams) -> BegunStreamsAnswer:
        """Keep the streams that another gateway tells of."""
        now = anyio.current_time()
        for stream, begun in told.streams.items():
            self.records.add(stream, begun, now)
        return BegunStreamsAnswer()

    async def answer(self, question: StreamQuestion) -> StreamAnswer:
        """Answer another gateway's question; what was asked for is kept longer."""
        begun = await self.look_up_stream(question.stream)
        now = anyio.current_time()
        versions = tuple(self.versions.in_play(question.service))
        possible = tuple(self.versions.possible(question.service, now))
        kept = self.records.begun.get(question.stream)
        if begun is None or kept is None:
            return StreamAnswer(versions=versions, possible=possible)
        self.records.add(question.stream, kept, now)
        return StreamAnswer(True, begun, versions, possible)

    async def look_up_stream(self, stream: StreamId) -> BegunStream | None:
        """Return what is stated of a stream; None if it is not known."""
        if self.confirmed is not None:
            return await self.confirmed(stream)
        return self.records.begun.get(stream)

    async def hand_over(self) -> None:
        """Tell the other gateways all that this one knows, since it stops.

        The gateways that become keepers in its place have not been told.
        """
        self.look_up()
        for stream, begun in self.records.begun.items():
            if self.versions.are_several(begun.service):
                stated = self.stated(stream, begun)
                self.queue(self.keepers(stream, KEEPERS + 1), stream, stated)
        await self.send_all()
