"""Holds of tokens at other gateways: the client side and the server side.

A hold is requested by a POST to `HOLDS_TARGET` with a `WantedHold` as JSON and answered
with a `HoldAnswer`. The cost of ended holds is sent to their holder by a POST to
`SETTLEMENTS_TARGET`, which is repeated until the holder confirms it or
`SETTLEMENT_EXPIRY` has passed.
"""

from __future__ import annotations

import json
import logging
from collections.abc import Awaitable, Callable

import anyio
from attrs import define, field, frozen

from ebonyhold.coordination import WantedLease, to_json
from ebonyhold.exceptions import MalformedMessageError
from ebonyhold.forwarding import RELAY_PREFIX, CallerConnection, RequestHead, Serve
from ebonyhold.gateway._memory import (
    LEASES_TARGET,
    RETURNS_TARGET,
    LeaseServer,
    MemoryReturns,
    ReturnsAnswer,
)
from ebonyhold.gateway._messages import read_message
from ebonyhold.gateway._observations import (
    OBSERVATIONS_TARGET,
    ObservationsAnswer,
    ObservationsRow,
)
from ebonyhold.gateway._relays import REACH_TARGET, ReachAnswer, ReachQuestion
from ebonyhold.gateway._streams import (
    NOTICES_TARGET,
    QUESTIONS_TARGET,
    BegunStreams,
    GatewayStreams,
    StreamQuestion,
)
from ebonyhold.gateway._transfers import (
    ANSWER_HEADERS,
    JSON_HEADERS,
    GatewayPeers,
    TransferHandler,
)
from ebonyhold.prepaid import HoldOutcome, RemoteHolds, WantedHold
from ebonyhold.types import HoldId, Seconds, Tokens

log = logging.getLogger(__name__)

HOLDS_TARGET = b"/holds"

SETTLEMENTS_TARGET = b"/settlements"

HOLD_TIMEOUT: Seconds = 0.4
"""Timeout of a hold request; the holder may have to call the store first."""

SETTLEMENT_TIMEOUT: Seconds = 0.4
"""Timeout of a settlement message."""

BATCH_DELAY: Seconds = 0.1
"""Delay before queued settlements are sent, so that several share a message.

It is short, since the holder keeps a request's maximum cost on hold until it receives
the settlement.
"""

SETTLEMENT_EXPIRY: Seconds = 20.0
"""Time after which an unconfirmed settlement is dropped.

If the holder was killed, it has lost its holds. If it was only unreachable, it charges
them in full when they expire.
"""

RETRY_DELAY: Seconds = 0.5
"""Delay before unconfirmed settlements are sent again."""

EXPIRY_INTERVAL: Seconds = 1.0
"""Interval between two checks for remote holds that expired without a settlement."""


@frozen
class HoldAnswer:
    """A holder's answer to a hold request."""

    outcome: HoldOutcome


@frozen
class Settlements:
    """A settlement message: the tokens to charge for each ended hold."""

    charges: dict[HoldId, Tokens] = field(factory=dict)


@frozen
class SettlementsAnswer:
    """A holder's confirmation of settlements."""


@frozen
class PendingSettlement:
    """The charge of an ended hold that its holder has not confirmed.

    Attributes:
        charge: The tokens to charge.
        since: When the settlement was queued.
    """

    charge: Tokens
    since: Seconds


@define(eq=False)
class GatewayHolders:
    """Client for holds at other gateways.

    Attributes:
        peers: Sends messages to the other gateways.
        count: Called with the outcome of each hold request.
        pending: Unconfirmed settlements, by holder and hold identifier.
        due: Set when there are settlements to send.
    """

    peers: GatewayPeers
    count: Callable[[HoldOutcome], None] = lambda outcome: None
    pending: dict[str, dict[HoldId, PendingSettlement]] = field(factory=dict)
    due: anyio.Event = field(factory=anyio.Event)

    async def hold(self, peer: str, wanted: WantedHold) -> HoldOutcome:
        """Request a hold, and count the outcome; UNAVAILABLE without an answer."""
        outcome = await self.request_hold(peer, wanted)
        self.count(outcome)
        return outcome

    async def request_hold(self, peer: str, wanted: WantedHold) -> HoldOutcome:
        """Request a hold; return UNAVAILABLE without a valid answer.

        No request is sent to a holder that is being avoided for as long a timeout.
        """
        if not self.peers.is_available(peer, anyio.current_time(), HOLD_TIMEOUT):
            return HoldOutcome.UNAVAILABLE
        answered = False
        try:
            answer = await self.peers.post(
                peer, HOLDS_TARGET, wanted, HoldAnswer, HOLD_TIMEOUT
            )
            answered = answer is not None
        finally:
            if not answered:
                # The holder may have made the hold or may still do so.
                # This settlement releases it.
                self.settle(peer, wanted.hold, 0)
        return answer.outcome if answer is not None else HoldOutcome.UNAVAILABLE

    def settle(self, peer: str, hold: HoldId, charge: Tokens) -> None:
        """Queue a settlement, which is sent until it is confirmed or expires."""
        pending = self.pending.setdefault(peer, {})
        pending[hold] = PendingSettlement(charge, anyio.current_time())
        self.due.set()

    async def run(self) -> None:
        """Send queued settlements, and repeat unconfirmed ones, until cancelled."""
        while True:
            await self.due.wait()
            await anyio.sleep(BATCH_DELAY)
            self.due = anyio.Event()
            await self.send_all()
            if self.pending:
                self.due.set()
                await anyio.sleep(RETRY_DELAY)

    async def send_all(self) -> None:
        """Send each holder its unconfirmed settlements once, all concurrently."""
        async with anyio.create_task_group() as tasks:
            for peer in list(self.pending):
                tasks.start_soon(self.send_pending, peer)

    async def send_pending(self, peer: str) -> None:
        """Send one holder its unconfirmed settlements, without the expired ones.

        Nothing is sent while the holder is being avoided. Without a confirmation, the
        settlements stay queued.
        """
        now = anyio.current_time()
        sent = self.drop_expired(peer, now)
        if not sent or not self.peers.is_available(peer, now, SETTLEMENT_TIMEOUT):
            return
        charges = {hold: one.charge for hold, one in sent.items()}
        answer = await self.peers.post(
            peer,
            SETTLEMENTS_TARGET,
            Settlements(charges),
            SettlementsAnswer,
            SETTLEMENT_TIMEOUT,
        )
        if answer is None:
            return
        pending = self.pending.get(peer, {})
        for hold in sent:
            pending.pop(hold, None)
        if not pending:
            self.pending.pop(peer, None)

    def drop_expired(self, peer: str, now: Seconds) -> dict[HoldId, PendingSettlement]:
        """Drop and log the expired settlements of a holder; return the others."""
        # Another call may have sent the holder's last settlements in the meantime.
        pending = self.pending.get(peer, {})
        kept = {
            hold: one
            for hold, one in pending.items()
            if now - one.since < SETTLEMENT_EXPIRY
        }
        if len(kept) < len(pending):
            lost = len(pending) - len(kept)
            log.warning("settlements dropped", extra={"peer": peer, "holds": lost})
        if kept:
            self.pending[peer] = kept
        else:
            self.pending.pop(peer, None)
        return dict(kept)


@define(eq=False)
class PeerHandler:
    """Serves requests of other gateways.

    Attributes:
        transfers: Serves transfers of tokens.
        remote_holds: Holds tokens for requests of other gateways.
        on_observations: Called with the observations of other gateways.
        answer_reach: Answers which servers this gateway reaches.
        relay: Serves a request that this gateway is to send to a server.
        streams: Keeps streams for other gateways.
        lease_server: Lends memory of servers to other gateways.
    """

    transfers: TransferHandler
    remote_holds: RemoteHolds
    on_observations: Callable[[ObservationsRow], None] = lambda observed: None
    answer_reach: Callable[[ReachQuestion], Awaitable[ReachAnswer]] | None = None
    relay: Serve | None = None
    streams: GatewayStreams | None = None
    lease_server: LeaseServer | None = None

    async def serve(
        self, connection: CallerConnection, head: RequestHead, body: bytes
    ) -> None:
        """Answer one message according to its target; a malformed one gets 400."""
        answer: object
        if self.relay is not None and head.target.startswith(RELAY_PREFIX):
            await self.relay(connection, head, body)
            return
        try:
            if head.target == HOLDS_TARGET:
                answer = await self.hold(body)
            elif head.target == SETTLEMENTS_TARGET:
                answer = self.settle(body)
            elif head.target == OBSERVATIONS_TARGET:
                self.on_observations(read_message(body, ObservationsRow))
                answer = ObservationsAnswer()
            elif head.target == REACH_TARGET and self.answer_reach is not None:
                answer = await self.answer_reach(read_message(body, ReachQuestion))
            elif head.target == NOTICES_TARGET and self.streams is not None:
                answer = self.streams.record(read_message(body, BegunStreams))
            elif head.target == QUESTIONS_TARGET and self.streams is not None:
                question = read_message(body, StreamQuestion)
                answer = await self.streams.answer(question)
            elif head.target == LEASES_TARGET and self.lease_server is not None:
                answer = await self.lease_server.lend(read_message(body, WantedLease))
            elif head.target == RETURNS_TARGET and self.lease_server is not None:
                self.lease_server.give_back(read_message(body, MemoryReturns).leases)
                answer = ReturnsAnswer(confirmed=True)
            else:
                await self.transfers.serve(connection, head, body)
                return
        except MalformedMessageError as error:
            log.warning("malformed message from peer", extra={"detail": str(error)})
            await connection.answer(400, JSON_HEADERS, b"{}")
            return
        content = json.dumps(to_json(answer)).encode()
        await connection.answer(200, ANSWER_HEADERS, content)

    async def hold(self, body: bytes) -> HoldAnswer:
        """Hold tokens for a request of another gateway, and return the outcome."""
        return HoldAnswer(await self.remote_holds.hold(read_message(body, WantedHold)))

    def settle(self, body: bytes) -> SettlementsAnswer:
        """End the holds that a settlement message names, with the charges in it."""
        for hold, charge in read_message(body, Settlements).charges.items():
            self.remote_holds.settle(hold, charge)
        return SettlementsAnswer()

    async def expire(self) -> None:
        """Charge expired holds in full, at regular intervals, until cancelled."""
        while True:
            await anyio.sleep(EXPIRY_INTERVAL)
            self.remote_holds.expire(anyio.current_time())
