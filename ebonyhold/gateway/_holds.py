"""Holds of tokens at other gateways: the side that asks, and the one that answers.

A hold is a POST to `HOLDS` with a `WantedHold` as JSON, answered with a `HoldAnswer`.
What ended holds cost goes to their holder in a POST to `SETTLEMENTS`, and again until
the holder has answered.
"""

from __future__ import annotations

import json
import logging
from collections.abc import Callable

import anyio
from attrs import define, field, frozen

from ebonyhold.coordination import to_json
from ebonyhold.exceptions import MalformedMessageError
from ebonyhold.forwarding import CallerConnection, RequestHead
from ebonyhold.gateway._messages import read_message
from ebonyhold.gateway._transfers import ANSWER, JSON, GatewayPeers, TransferDesk
from ebonyhold.prepaid import HoldOutcome, LentHolds, WantedHold
from ebonyhold.types import HoldId, Seconds, Tokens

log = logging.getLogger(__name__)

HOLDS = b"/holds"

SETTLEMENTS = b"/settlements"

HOLD_TIMEOUT: Seconds = 0.4
"""The longest wait for a hold, for which the holder may have to ask the store."""

SETTLEMENT_TIMEOUT: Seconds = 0.4
"""The longest wait for a holder to confirm settlements."""

GATHER: Seconds = 0.1
"""How long settlements are gathered into one message.

Until then a request's tokens are held at the most that it could have cost.
"""

GIVEN_UP_AFTER: Seconds = 20.0
"""How long a settlement is sent to a holder that does not answer.

One that was killed has lost its holds, and one that is cut off for longer charges
them in full.
"""

RETRY: Seconds = 0.5
"""Before settlements are sent again that a holder did not confirm."""

EXPIRY_TICK: Seconds = 1.0
"""How often holds that nobody settled are looked for."""


@frozen
class HoldAnswer:
    """What a holder did about a hold."""

    outcome: HoldOutcome


@frozen
class Settlements:
    """What holds have cost, by their identifiers."""

    charges: dict[HoldId, Tokens] = field(factory=dict)


@frozen
class Settled:
    """A holder has taken settlements."""


@frozen
class Unsettled:
    """A charge that a holder has not confirmed."""

    charge: Tokens
    since: Seconds


@define(eq=False)
class GatewayHolders:
    """The holders at other gateways, as requests ask them for tokens.

    Attributes:
        peers: The way to the other gateways.
        count: Is told of each answer.
        unsettled: What each holder has to be told.
        due: Set when there is something to tell.
    """

    peers: GatewayPeers
    count: Callable[[HoldOutcome], None] = lambda outcome: None
    unsettled: dict[str, dict[HoldId, Unsettled]] = field(factory=dict)
    due: anyio.Event = field(factory=anyio.Event)

    async def hold(self, peer: str, wanted: WantedHold) -> HoldOutcome:
        """Have a holder set tokens aside; without an answer it is unavailable."""
        outcome = await self.ask(peer, wanted)
        self.count(outcome)
        return outcome

    async def ask(self, peer: str, wanted: WantedHold) -> HoldOutcome:
        """Ask a holder, unless it was silent just now."""
        if not self.peers.is_able(peer, anyio.current_time()):
            return HoldOutcome.UNAVAILABLE
        answered = False
        try:
            answer = await self.peers.post(
                peer, HOLDS, wanted, HoldAnswer, HOLD_TIMEOUT
            )
            answered = answer is not None
        finally:
            if not answered:
                # The question may arrive yet, and nobody would use its tokens.
                self.settle(peer, wanted.hold, 0)
        return answer.outcome if answer is not None else HoldOutcome.UNAVAILABLE

    def settle(self, peer: str, hold: HoldId, charge: Tokens) -> None:
        """Have a holder told soon what a hold cost, again until it has heard it."""
        waiting = self.unsettled.setdefault(peer, {})
        waiting[hold] = Unsettled(charge, anyio.current_time())
        self.due.set()

    async def run(self) -> None:
        """Tell holders what their holds cost, for ever."""
        while True:
            await self.due.wait()
            await anyio.sleep(GATHER)
            self.due = anyio.Event()
            await self.tell_all()
            if self.unsettled:
                self.due.set()
                await anyio.sleep(RETRY)

    async def tell_all(self) -> None:
        """Tell each holder once what it has not confirmed."""
        async with anyio.create_task_group() as tasks:
            for peer in list(self.unsettled):
                tasks.start_soon(self.tell, peer)

    async def tell(self, peer: str) -> None:
        """Tell one holder what it has not confirmed, unless it was silent just now."""
        now = anyio.current_time()
        sent = self.drop_old(peer, now)
        if not sent or not self.peers.is_able(peer, now):
            return
        charges = {hold: one.charge for hold, one in sent.items()}
        answer = await self.peers.post(
            peer, SETTLEMENTS, Settlements(charges), Settled, SETTLEMENT_TIMEOUT
        )
        if answer is None:
            return
        waiting = self.unsettled.get(peer, {})
        for hold in sent:
            waiting.pop(hold, None)
        if not waiting:
            self.unsettled.pop(peer, None)

    def drop_old(self, peer: str, now: Seconds) -> dict[HoldId, Unsettled]:
        """Give up what a holder was told in vain for long; return the rest."""
        # Another task may just have told this holder all there was.
        waiting = self.unsettled.get(peer, {})
        kept = {
            hold: one
            for hold, one in waiting.items()
            if now - one.since < GIVEN_UP_AFTER
        }
        if len(kept) < len(waiting):
            lost = len(waiting) - len(kept)
            log.warning("settlements given up", extra={"peer": peer, "holds": lost})
        if kept:
            self.unsettled[peer] = kept
        else:
            self.unsettled.pop(peer, None)
        return dict(kept)


@define(eq=False)
class PeerDesk:
    """Answers the other gateways.

    Attributes:
        transfers: Passes tokens on.
        lent: Holds tokens for their requests.
    """

    transfers: TransferDesk
    lent: LentHolds

    async def serve(
        self, connection: CallerConnection, head: RequestHead, body: bytes
    ) -> None:
        """Answer one message, by its target."""
        answer: HoldAnswer | Settled
        try:
            if head.target == HOLDS:
                answer = await self.hold(body)
            elif head.target == SETTLEMENTS:
                answer = self.settle(body)
            else:
                await self.transfers.serve(connection, head, body)
                return
        except MalformedMessageError as error:
            log.warning("peer misunderstood", extra={"detail": str(error)})
            await connection.answer(400, JSON, b"{}")
            return
        content = json.dumps(to_json(answer)).encode()
        await connection.answer(200, ANSWER, content)

    async def hold(self, body: bytes) -> HoldAnswer:
        """Set tokens aside for a request at another gateway."""
        return HoldAnswer(await self.lent.hold(read_message(body, WantedHold)))

    def settle(self, body: bytes) -> Settled:
        """End holds."""
        for hold, charge in read_message(body, Settlements).charges.items():
            self.lent.settle(hold, charge)
        return Settled()

    async def expire(self) -> None:
        """End holds that nobody settled, for ever."""
        while True:
            await anyio.sleep(EXPIRY_TICK)
            self.lent.expire(anyio.current_time())
