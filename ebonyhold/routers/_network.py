"""Messages between routers over pynng sockets, with the membership protocol."""

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
from ebonyhold.routers._envelope import MAX_ENVELOPE, Envelopes, OpenedMessage
from ebonyhold.routers._exchange import Exchange, Frame, Purpose
from ebonyhold.routers._interface import Handler, Reply
from ebonyhold.routers._keys import KeyRing
from ebonyhold.routers._links import LinkCounters, Links
from ebonyhold.routers._listing import MemberSource, PeerStatus, to_listed
from ebonyhold.routers._registry import PeerMessage
from ebonyhold.routers._wire import Gossip, decode, encode
from ebonyhold.types import RouterId, Seconds

logger = logging.getLogger(__name__)

LIST_INTERVAL: Seconds = 5.0
"""Mean time between two reads of the list; it varies at random by up to 20 %."""

FIRST_LIST_RETRY: Seconds = 0.1
"""Mean delay after the first failed read of the list.

Each further failure doubles the delay, up to `LIST_INTERVAL`.  The delay is short
because a router without seeds is usually unknown to the others until it has read the
list.
"""

KEYS_INTERVAL: Seconds = 1.0
"""Time between two checks whether the file of keys has changed."""

LOG_INTERVAL: Seconds = 10.0
"""Minimum time between two log lines about refused messages with the same reason."""

STARTUP_CHECKS_PER_PERIOD = 20
"""Number of checks of a starting router in each period of the membership protocol."""

STARTUP_CHECKS = 30
"""After this many checks a router assumes that many routers are starting."""

MS_PER_SECOND = 1000

RECEIVE_QUEUE = 256
"""Size of the socket's receive buffer, in messages."""

RECEIVE_BATCH = 64
"""Maximum number of messages that are read without waiting, before other tasks run."""

MAX_HANDLERS = 128
"""Maximum number of handlers that run at once.

Further notices and requests are refused; answers and heartbeats run no handler.
"""


class PeerNetwork:
    """The `PeerLink` of one router: its sockets, envelopes and membership.

    Attributes:
        keys: The shared keys.
        source: Reads the platform's membership list; None if there is no list.
        rng: The random number generator.
        membership: The state of the membership protocol.
        exchange: The handlers and the pending requests.
        envelopes: Encrypts and decrypts the messages.
        links: The sockets to other routers; None before `run` has started.
        tasks: The task group of `run`; None before `run` has started.
        running_handlers: Number of handlers that are running now.
        received: Number of messages that were decrypted and decoded, including those
            refused afterwards.
        received_bytes: The size of these messages in bytes, envelopes included.
        refused: Number of received messages that were refused, and of own ones that
            were too long to send, by reason.
        last_logged: When a refusal was last logged, by reason.
    """

    def __init__(
        self,
        router: RouterId,
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
            router, address, domain, MemberStatus.ALIVE, started=now_ms()
        )
        self.membership = Membership(own, self.rng, 0.0, options, seeds)
        self.membership.view.on_change = self.log_change
        self.exchange = Exchange(self.transmit)
        self.envelopes = Envelopes(router, address, keys)
        self.links: Links | None = None
        self.tasks: TaskGroup | None = None
        self.running_handlers = 0
        self.received = 0
        self.received_bytes = 0
        self.refused: Counter[str] = Counter()
        self.last_logged: dict[str, Seconds] = {}

    # Interface `PeerLink`.

    def alive(self) -> tuple[RouterId, ...]:
        """Return the other routers that are alive in this router's membership view."""
        return self.membership.alive()

    def handle(self, kind: type[PeerMessage], handler: Handler) -> None:
        """Register the handler of a kind of message."""
        self.exchange.handle(kind, handler)

    async def send(self, to: RouterId, message: PeerMessage) -> None:
        """Queue a notice; its delivery is not awaited, and it may be lost."""
        await self.exchange.send(to, message)

    async def ask(
        self, to: RouterId, message: PeerMessage, reply: type[Reply], timeout: Seconds
    ) -> Reply:
        """Send a request and return its answer.

        Raises:
            PeerError: The router is not known, there was no answer in time, the answer
                is of another kind, or too many requests are pending.
        """
        if to not in self.membership.view.members:
            raise PeerError(f"router {to} is not known")
        return await self.exchange.ask(to, message, reply, timeout)

    # Interface for the daemon and for operators.

    def recoverable(self) -> tuple[RouterId, ...]:
        """Return incarnations that seem to have ended; their requests may be recovered.

        The result is not certain: some of them may still run.
        """
        return self.membership.recoverable(anyio.current_time())

    def may_recover(self, router: RouterId, unknown_for: Seconds) -> bool:
        """Return whether an incarnation's requests may be recovered.

        The result is not certain: the incarnation may still run.

        Args:
            router: The incarnation, which has an open row in the table.
            unknown_for: How long its row has been observed while the incarnation was
                not alive in this router's view, in seconds.
        """
        now = anyio.current_time()
        return self.membership.may_recover(router, unknown_for, now)

    def add_row(self, router: RouterId, row: RouterRow) -> None:
        """Add an incarnation that has an open row in the table to the membership view.

        A row with this router's own name is ignored.
        """
        started = int(row.started_at * MS_PER_SECOND)
        update = MemberUpdate(
            router, row.address, row.domain, MemberStatus.ALIVE, started=started
        )
        self.membership.add_row(update, anyio.current_time())

    def introduce(self) -> None:
        """Send probes to a few routers from which no message was received yet."""
        self.send_beats(self.membership.introduce())

    def status(self) -> tuple[PeerStatus, ...]:
        """Return the status of each other router."""
        now = anyio.current_time()
        members = self.membership.view.members.values()
        return tuple(self.describe(member, now) for member in members)

    def describe(self, member: Member, now: Seconds) -> PeerStatus:
        """Return the `PeerStatus` of a member."""
        received_at = member.last_message_at
        return PeerStatus(
            member.update.router,
            member.update.address,
            member.update.domain,
            self.membership.status_of(member),
            self.membership.eligibility.is_listed(member),
            None if received_at is None else now - received_at,
        )

    def log_change(self, member: Member, before: MemberStatus | None) -> None:
        """Log a change of another router's status, with the data that led to it.

        Operators use these lines to find out why the requests of a router were, or
        were not, recovered.
        """
        now = anyio.current_time()
        received_at, suspected_at = member.last_message_at, member.suspected_at
        logger.info(
            "router status changed",
            extra={
                "member": member.update.router,
                "status": member.update.status.name.lower(),
                "before": None if before is None else before.name.lower(),
                "met": not member.unconfirmed,
                "listed": self.membership.eligibility.is_listed(member),
                "heard_ago": None
                if received_at is None
                else round(now - received_at, 3),
                "silent_for": None
                if suspected_at is None
                else round(now - suspected_at, 3),
                "present": self.membership.view.present_count,
            },
        )

    @property
    def counters(self) -> LinkCounters:
        """The counters of sent and dropped messages; all 0 before `run` has started."""
        return LinkCounters() if self.links is None else self.links.counters

    async def wait_for_start(self, policy: StartupPolicy | None = None) -> None:
        """Delay this router's first reads from the platform if many routers start.

        This checks up to `STARTUP_CHECKS` times how many routers are alive.  Once they
        are at least the policy's share of the listed routers, few others can be
        starting, and this returns.  If that never happens, it waits for a random delay,
        so that the routers do not all read at the same time.
        """
        policy = policy or StartupPolicy()
        for _ in range(STARTUP_CHECKS):
            if not self.startup_delay(policy, 1.0):
                return
            await anyio.sleep(
                self.membership.options.period / STARTUP_CHECKS_PER_PERIOD
            )
        await anyio.sleep(self.startup_delay(policy, self.rng.random()))

    def startup_delay(self, policy: StartupPolicy, chance: float) -> Seconds:
        """Return the policy's startup delay.

        It depends on the number of listed routers and on the number alive now.

        Args:
            policy: The policy.
            chance: A number from 0 to 1; the delay is proportional to this number.
        """
        listed = self.membership.view.listed
        size = None if listed is None else len(listed)
        return policy.first_wait(size, len(self.alive()), chance)

    def start_incarnation(self, router: RouterId) -> None:
        """Continue as a new incarnation after the current one was sealed.

        The new start time is later than the old one, even if the clock was set back.
        """
        started = max(now_ms(), self.membership.own_update.started + 1)
        self.membership.start_incarnation(router, started)
        self.envelopes.router = router

    def leave(self) -> None:
        """Mark this router as leaving, and queue probes that notify a few others."""
        self.send_beats(self.membership.leave())

    # Tasks.

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Receive messages and run the membership protocol until cancelled.

        Raises:
            pynng.NNGException: The address cannot be bound.
        """
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            self.links = Links(tasks)
            with pynng.Pull0(
                recv_max_size=2 * MAX_ENVELOPE, recv_buffer_size=RECEIVE_QUEUE
            ) as socket:
                socket.listen(f"tcp://{self.membership.own_update.address}")
                tasks.start_soon(self.send_heartbeats)
                tasks.start_soon(self.watch_keys)
                if self.source is not None:
                    tasks.start_soon(self.poll_list, self.source)
                task_status.started()
                await self.receive(socket)

    async def receive(self, socket: pynng.Pull0) -> None:
        """Receive messages until cancelled.

        This waits for a message, then reads up to `RECEIVE_BATCH` more without waiting.
        `recv_msg` is used because pynng's `recv` fails for an empty message, so that
        anyone could end this task by sending an empty message.
        """
        while True:
            self.accept(await socket.arecv())
            for _ in range(RECEIVE_BATCH):
                try:
                    self.accept(socket.recv_msg(block=False).bytes)
                except pynng.TryAgain:
                    break

    def accept(self, data: bytes) -> None:
        """Decrypt, decode and dispatch one message, or count its refusal."""
        try:
            opened = self.envelopes.open(data)
            frame = decode(opened.body)
            self.received += 1
            self.received_bytes += len(data)
            self.dispatch(opened, frame)
        except RefusedMessageError as error:
            self.count_refusal(error)

    def dispatch(self, opened: OpenedMessage, frame: Frame) -> None:
        """Pass a frame to the membership protocol, a pending request or a handler.

        Raises:
            RefusedMessageError: The message names no receiving incarnation although
                it must, or too many handlers run.
        """
        sender = opened.header.sender
        addressed = bool(opened.header.receiver)
        if isinstance(frame.message, Gossip):
            self.accept_beat(sender, frame.message, addressed)
        elif not addressed:
            raise RefusedMessageError("unaddressed", type(frame.message).__name__)
        elif frame.purpose is Purpose.ANSWER:
            self.exchange.accept_answer(sender, frame)
        else:
            self.start_handler(sender, frame)

    def accept_beat(self, sender: RouterId, gossip: Gossip, addressed: bool) -> None:
        """Pass a heartbeat to the membership protocol and send its replies.

        Raises:
            RefusedMessageError: The heartbeat names no receiving incarnation, and is
                not a probe.
        """
        if not addressed and gossip.beat.kind is not BeatKind.PROBE:
            raise RefusedMessageError("unaddressed", gossip.beat.kind.name)
        now = anyio.current_time()
        self.send_beats(
            self.membership.receive(
                sender, gossip.beat, now, to_this_incarnation=addressed
            )
        )

    def start_handler(self, sender: RouterId, frame: Frame) -> None:
        """Run a frame's handler in its own task, so that it delays no other messages.

        Raises:
            RefusedMessageError: `MAX_HANDLERS` handlers run already, or `run` has not
                started.
        """
        if self.tasks is None or self.running_handlers >= MAX_HANDLERS:
            raise RefusedMessageError("busy", type(frame.message).__name__)
        self.running_handlers += 1
        self.tasks.start_soon(self.run_handler, sender, frame)

    async def run_handler(self, sender: RouterId, frame: Frame) -> None:
        """Run one handler, send its answer if any, and decrement `running_handlers`."""
        try:
            await self.exchange.deliver(sender, frame)
        finally:
            self.running_handlers -= 1

    async def send_heartbeats(self) -> None:
        """Run the due steps of the membership protocol, and send their heartbeats."""
        self.membership.wake_at = anyio.current_time()
        while True:
            self.send_beats(self.membership.tick(anyio.current_time()))
            await anyio.sleep_until(self.membership.wake_at)

    async def poll_list(self, source: MemberSource) -> None:
        """Read the platform's list every `LIST_INTERVAL`, and sooner after a failure.

        After a failure the last list that was read stays in use.
        """
        retry = FIRST_LIST_RETRY
        while True:
            pause = LIST_INTERVAL
            try:
                self.membership.update_list(to_listed(await source()))
                retry = FIRST_LIST_RETRY
            except EbonyholdError as error:
                logger.info("no membership list", extra={"cause": str(error)})
                pause = retry
                retry = min(2 * retry, LIST_INTERVAL)
            await anyio.sleep(pause * (0.8 + 0.4 * self.rng.random()))

    async def watch_keys(self) -> None:
        """Reload the keys when their file changes, and log the keys' names."""
        while True:
            if self.keys.refresh():
                names = list(self.keys.identifiers)
                logger.info("peer keys reloaded", extra={"keys": names})
            await anyio.sleep(KEYS_INTERVAL)

    # Sending.

    async def transmit(self, to: RouterId, frame: Frame) -> None:
        """Queue a frame for an incarnation; drop it if the incarnation is not known."""
        member = self.membership.view.members.get(to)
        if member is not None:
            self.queue_frame(to, member.update.address, frame)

    def send_beats(self, beats: Iterable[Outgoing]) -> None:
        """Queue each heartbeat for its receiver."""
        for out in beats:
            frame = Frame(Purpose.NOTICE, 0, Gossip(out.beat))
            self.queue_frame(out.to, out.address, frame)

    def queue_frame(self, to: RouterId, address: str, frame: Frame) -> None:
        """Encode, encrypt and queue a frame; drop it if `run` has not started yet.

        A frame that is too long is dropped and counted as refused.
        """
        if self.links is None:
            return
        try:
            body = encode(frame)
        except RefusedMessageError as error:
            self.count_refusal(error)
            return
        self.links.put(address, self.envelopes.seal(body, to, address))

    def count_refusal(self, error: RefusedMessageError) -> None:
        """Count a refused message; log at most one per reason in each `LOG_INTERVAL`.

        Anyone who can reach the port can cause refusals, so they must not fill the
        log.
        """
        self.refused[error.reason] += 1
        now = anyio.current_time()
        if now >= self.last_logged.get(error.reason, -LOG_INTERVAL) + LOG_INTERVAL:
            self.last_logged[error.reason] = now
            count = self.refused[error.reason]
            extra = {"reason": error.reason, "cause": str(error), "count": count}
            logger.warning("peer message refused", extra=extra)


def now_ms() -> int:
    """Return the time in milliseconds since the epoch."""
    return time.time_ns() // 1_000_000
