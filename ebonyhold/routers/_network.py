"""The link to the other routers over pynng: a `PeerLink` with membership."""

from __future__ import annotations

import logging
import random
import time
from collections import Counter
from collections.abc import Iterable

import anyio
import pynng
from anyio.abc import TaskGroup, TaskStatus

from ebonyhold.coordination import (
    BeatKind,
    Member,
    Membership,
    MembershipOptions,
    MemberStatus,
    MemberUpdate,
    Outgoing,
    RouterRow,
    StartupPolicy,
)
from ebonyhold.exceptions import EbonyholdError, PeerError, RefusedMessageError
from ebonyhold.routers._envelope import MAX_ENVELOPE, Envelopes, Opened
from ebonyhold.routers._exchange import Exchange, Frame, Purpose
from ebonyhold.routers._interface import Handler, Reply
from ebonyhold.routers._keys import KeyRing
from ebonyhold.routers._links import LinkCounters, Links
from ebonyhold.routers._listing import MemberSource, PeerStatus, listed
from ebonyhold.routers._registry import PeerMessage
from ebonyhold.routers._wire import Gossip, decode, encode
from ebonyhold.types import RouterId, Seconds

logger = logging.getLogger(__name__)

LIST_PERIOD: Seconds = 5.0
FIRST_LIST_RETRY: Seconds = 0.1
"""The pause after the first read of the list if it fails; it doubles with each further
failure.  A router without a list is known to nobody."""

KEYS_PERIOD: Seconds = 1.0
LOG_PERIOD: Seconds = 10.0
LOOKS_A_PERIOD = 20
LOOKS_AROUND = 30
"""Looks at who is alive before a start is taken for one of many."""

MILLISECONDS = 1000
"""Milliseconds in a second."""

RECEIVE_QUEUE = 256
RECEIVE_BATCH = 64
"""Messages taken in without letting other tasks run in between."""

MAX_HANDLERS = 128
"""Handlers that run at once; further messages are dropped."""


class PeerNetwork:
    """One router's sockets, envelopes and membership.

    Attributes:
        membership: The protocol's state.
        exchange: Handlers and open questions.
        envelopes: Seals and opens what goes over the wire.
        received: Counts the messages that were accepted.
        received_bytes: Counts their bytes, envelopes included.
        refused: Counts the messages that were not accepted, by reason.
    """

    def __init__(
        self,
        me: RouterId,
        domain: str,
        address: str,
        keys: KeyRing,
        members: MemberSource | None,
        seeds: tuple[str, ...] = (),
        *,
        options: MembershipOptions | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.keys = keys
        self.source = members
        self.rng = rng or random.Random()
        own = MemberUpdate(
            me, address, domain, MemberStatus.ALIVE, started=milliseconds()
        )
        self.membership = Membership(own, self.rng, 0.0, options, seeds)
        self.membership.view.on_change = self.log_change
        self.exchange = Exchange(self.transmit)
        self.envelopes = Envelopes(me, address, keys)
        self.links: Links | None = None
        self.tasks: TaskGroup | None = None
        self.running = 0
        self.received = 0
        self.received_bytes = 0
        self.refused: Counter[str] = Counter()
        self.logged: dict[str, Seconds] = {}

    # The PeerLink.

    def alive(self) -> tuple[RouterId, ...]:
        """Return the routers believed alive, this one left out."""
        return self.membership.alive()

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
            PeerError: There was none in time, or the router is not known.
        """
        if to not in self.membership.view.members:
            raise PeerError(f"{to} is not known")
        return await self.exchange.ask(to, message, reply, timeout)

    # What the daemon and the operators ask.

    def gone(self) -> tuple[RouterId, ...]:
        """Return the incarnations that others may recover; a hint, no proof."""
        return self.membership.gone(anyio.current_time())

    def may_recover(self, router: RouterId, unknown_for: Seconds) -> bool:
        """Say whether an incarnation with an open row may be recovered; a hint."""
        now = anyio.current_time()
        return self.membership.may_recover(router, unknown_for, now)

    def read_row(self, router: RouterId, row: RouterRow) -> None:
        """Take in the open row of an incarnation in the table."""
        started = int(row.started_at * MILLISECONDS)
        update = MemberUpdate(
            router, row.address, row.domain, MemberStatus.ALIVE, started=started
        )
        self.membership.read_row(update, anyio.current_time())

    def introduce(self) -> None:
        """Make this router known to some of those that only the table told of."""
        self.send_beats(self.membership.introduce())

    def status(self) -> tuple[PeerStatus, ...]:
        """Return all that is known of the other routers."""
        now = anyio.current_time()
        members = self.membership.view.members.values()
        return tuple(self.describe(member, now) for member in members)

    def describe(self, member: Member, now: Seconds) -> PeerStatus:
        """Return one other router as operators see it."""
        heard = member.heard_at
        return PeerStatus(
            member.update.router,
            member.update.address,
            member.update.domain,
            self.membership.status_of(member),
            self.membership.judge.is_listed(member),
            None if heard is None else now - heard,
        )

    def log_change(self, member: Member, before: MemberStatus | None) -> None:
        """Log that something else is believed of another router, and on what ground.

        Without these lines nobody can tell afterwards why a router's work was, or
        was not, recovered.
        """
        now = anyio.current_time()
        heard, silent = member.heard_at, member.silent_at
        logger.info(
            "router status changed",
            extra={
                "member": member.update.router,
                "status": member.update.status.name.lower(),
                "before": None if before is None else before.name.lower(),
                "met": not member.unmet,
                "listed": self.membership.judge.is_listed(member),
                "heard_ago": None if heard is None else round(now - heard, 3),
                "silent_for": None if silent is None else round(now - silent, 3),
                "present": self.membership.view.present_count,
            },
        )

    @property
    def counters(self) -> LinkCounters:
        """Return what became of the messages that were sent."""
        return LinkCounters() if self.links is None else self.links.counters

    async def wait_for_start(self, policy: StartupPolicy | None = None) -> None:
        """Wait until it is this router's turn to read from the platform.

        It looks around for a moment; if most of the listed routers answer, this
        start is one among few and waits no longer.
        """
        policy = policy or StartupPolicy()
        for _ in range(LOOKS_AROUND):
            if not self.start_wait(policy, 1.0):
                return
            await anyio.sleep(self.membership.options.period / LOOKS_A_PERIOD)
        await anyio.sleep(self.start_wait(policy, self.rng.random()))

    def start_wait(self, policy: StartupPolicy, chance: float) -> Seconds:
        """Return how long the policy lets this router wait, as things look now."""
        listed = self.membership.view.listed
        size = None if listed is None else len(listed)
        return policy.first_wait(size, len(self.alive()), chance)

    def become(self, router: RouterId) -> None:
        """Go on as a new incarnation, after this one was sealed."""
        started = max(milliseconds(), self.membership.me.started + 1)
        self.membership.become(router, started)
        self.envelopes.me = router

    def leave(self) -> None:
        """Tell the others that this router is stopping."""
        self.send_beats(self.membership.leave())

    # Tasks.

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Listen and take part until cancelled.

        Raises:
            pynng.NNGException: The address cannot be bound.
        """
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            self.links = Links(tasks)
            with pynng.Pull0(
                recv_max_size=2 * MAX_ENVELOPE, recv_buffer_size=RECEIVE_QUEUE
            ) as socket:
                socket.listen(f"tcp://{self.membership.me.address}")
                tasks.start_soon(self.beat)
                tasks.start_soon(self.follow_keys)
                if self.source is not None:
                    tasks.start_soon(self.follow_list, self.source)
                task_status.started()
                await self.receive(socket)

    async def receive(self, socket: pynng.Pull0) -> None:
        """Take in messages: wait for one, then take what else is there.

        They are taken as nng's messages: its plain `recv` fails on an empty one,
        so that a single empty message would end this task.
        """
        while True:
            self.take(await socket.arecv())
            for _ in range(RECEIVE_BATCH):
                try:
                    self.take(socket.recv_msg(block=False).bytes)
                except pynng.TryAgain:
                    break

    def take(self, data: bytes) -> None:
        """Take in one message; one that cannot be used is counted, and that is all."""
        try:
            opened = self.envelopes.open(data)
            frame = decode(opened.body)
            self.received += 1
            self.received_bytes += len(data)
            self.dispatch(opened, frame)
        except RefusedMessageError as error:
            self.refuse(error)

    def dispatch(self, opened: Opened, frame: Frame) -> None:
        """Give a frame to whom it concerns.

        Raises:
            RefusedMessageError: It may not come this way.
        """
        sender = opened.header.sender
        fresh = bool(opened.header.receiver)
        if isinstance(frame.message, Gossip):
            self.take_beat(sender, frame.message, fresh)
        elif not fresh:
            raise RefusedMessageError("unaddressed", type(frame.message).__name__)
        elif frame.purpose is Purpose.ANSWER:
            self.exchange.settle(sender, frame)
        else:
            self.start_handler(sender, frame)

    def take_beat(self, sender: RouterId, gossip: Gossip, fresh: bool) -> None:
        """Give a heartbeat to the membership protocol.

        Raises:
            RefusedMessageError: It is not a probe, and names no receiver.
        """
        if not fresh and gossip.beat.kind is not BeatKind.PROBE:
            raise RefusedMessageError("unaddressed", gossip.beat.kind.name)
        now = anyio.current_time()
        self.send_beats(self.membership.receive(sender, gossip.beat, now, fresh=fresh))

    def start_handler(self, sender: RouterId, frame: Frame) -> None:
        """Run the handler in a task of its own, so that it holds up nobody.

        Raises:
            RefusedMessageError: Too many run already.
        """
        if self.tasks is None or self.running >= MAX_HANDLERS:
            raise RefusedMessageError("busy", type(frame.message).__name__)
        self.running += 1
        self.tasks.start_soon(self.run_handler, sender, frame)

    async def run_handler(self, sender: RouterId, frame: Frame) -> None:
        """Run one handler and send its answer."""
        try:
            await self.exchange.deliver(sender, frame)
        finally:
            self.running -= 1

    async def beat(self) -> None:
        """Send heartbeats when they are due."""
        self.membership.wake_at = anyio.current_time()
        while True:
            self.send_beats(self.membership.tick(anyio.current_time()))
            await anyio.sleep_until(self.membership.wake_at)

    async def follow_list(self, source: MemberSource) -> None:
        """Read the platform's list now and then, and soon again if that fails."""
        retry = FIRST_LIST_RETRY
        while True:
            pause = LIST_PERIOD
            try:
                self.membership.read_list(listed(await source()))
                retry = FIRST_LIST_RETRY
            except EbonyholdError as error:
                logger.info("no membership list", extra={"cause": str(error)})
                pause = retry
                retry = min(2 * retry, LIST_PERIOD)
            await anyio.sleep(pause * (0.8 + 0.4 * self.rng.random()))

    async def follow_keys(self) -> None:
        """Read the keys again when their file changes."""
        while True:
            if self.keys.refresh():
                names = list(self.keys.identifiers)
                logger.info("peer keys reloaded", extra={"keys": names})
            await anyio.sleep(KEYS_PERIOD)

    # Sending.

    async def transmit(self, to: RouterId, frame: Frame) -> None:
        """Send a frame to an incarnation, if it is known."""
        member = self.membership.view.members.get(to)
        if member is not None:
            self.post(to, member.update.address, frame)

    def send_beats(self, beats: Iterable[Outgoing]) -> None:
        """Send heartbeats."""
        for out in beats:
            frame = Frame(Purpose.NOTICE, 0, Gossip(out.beat))
            self.post(out.to, out.address, frame)

    def post(self, to: RouterId, address: str, frame: Frame) -> None:
        """Encode, seal and queue a frame."""
        if self.links is None:
            return
        try:
            body = encode(frame)
        except RefusedMessageError as error:
            self.refuse(error)
            return
        self.links.put(address, self.envelopes.seal(body, to, address))

    def refuse(self, error: RefusedMessageError) -> None:
        """Count a message that was not accepted, and log it, but not each one.

        Anybody who reaches the port can cause refusals, so the log has one line
        for each reason in a while.
        """
        self.refused[error.reason] += 1
        now = anyio.current_time()
        if now >= self.logged.get(error.reason, -LOG_PERIOD) + LOG_PERIOD:
            self.logged[error.reason] = now
            count = self.refused[error.reason]
            extra = {"reason": error.reason, "cause": str(error), "count": count}
            logger.warning("peer message refused", extra=extra)


def milliseconds() -> int:
    """Return the time in milliseconds since the epoch."""
    return time.time_ns() // 1_000_000
