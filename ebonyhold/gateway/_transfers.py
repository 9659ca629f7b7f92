"""Transfers of tokens between gateways: the side that asks, and the one that answers.

Gateways reach each other also while the store is out of reach of some or all of them.
A question is a POST to `TARGET` with a `TransferRequest` as JSON, and the answer a
`TransferAnswer`.  Only tokens in the body of a whole answer count as received.
"""

from __future__ import annotations

import json
import logging
import random
from collections.abc import Callable, Collection, Sequence
from typing import TypeVar

import anyio
from attrs import define, field, frozen
from attrs.validators import ge

from ebonyhold.coordination import to_json
from ebonyhold.exceptions import BackendLostError, MalformedMessageError
from ebonyhold.forwarding import (
    CallerConnection,
    CallerLimits,
    HttpCalls,
    Outbound,
    RequestHead,
    TaskStarter,
)
from ebonyhold.gateway._messages import read_message
from ebonyhold.prepaid import Account, Offer
from ebonyhold.types import Seconds, Tokens, WorkspaceName

log = logging.getLogger(__name__)

T = TypeVar("T")

TARGET = b"/transfers"

JSON = [(b"content-type", b"application/json")]

KEPT_SECONDS = 40
"""How long a connection between two gateways is kept without a question on it.

In a large fleet two gateways speak once in many seconds, and a new connection takes as
much processor time as a question.
"""

PEER_LIMITS = CallerLimits(idle_timeout=KEPT_SECONDS)
"""What other gateways may send."""

ANSWER = [*JSON, (b"keep-alive", b"timeout=%d" % KEPT_SECONDS)]
"""The headers of an answer to another gateway."""

OFFER_TIMEOUT: Seconds = 0.08
"""The longest wait for the offers of all others; one takes some 4 ms."""

TRANSFER_TIMEOUT: Seconds = 0.4
"""The longest wait for a transfer, for which the giver may have to ask the store.

Tokens whose answer comes later are lost, so it is longer than what the giver waits.
"""

CONNECT_TIMEOUT: Seconds = 0.1
"""The longest wait for a connection to a gateway; the farthest one answers within some
5 ms, and one without power never does."""

AVOIDED_FOR: Seconds = 1.0
"""How long a gateway that did not answer is not asked again.

One without power would else hold up each request that lacks tokens.
"""

MOST_AVOIDED: Seconds = 4.0
"""The longest time that such a gateway is not asked; a VM that restarts is back sooner,
and each try costs a request the wait for an answer."""

MOST_ASKED = 8
"""Gateways that are asked at once.

In a shortage each gateway asks at each lack of tokens; all of a large fleet would spend
its time on answers.
"""

NOTHING_FOR: Seconds = 0.1
"""How long offers are believed that did not help.

In a shortage each request would else cost a question to all other gateways.
"""


@frozen
class TransferRequest:
    """A gateway asks another one for tokens.

    Attributes:
        workspace: Whose tokens.
        amount: How many; 0 asks only what there is.
    """

    workspace: WorkspaceName
    amount: Tokens = field(default=0, validator=ge(0))


@frozen
class TransferAnswer:
    """What a gateway passes on, and what it has besides.

    Attributes:
        given: Tokens that are the asking gateway's from now on.
        left: Tokens that may be asked for next.
    """

    given: Tokens = field(default=0, validator=ge(0))
    left: Tokens = field(default=0, validator=ge(0))


@frozen
class Avoidance:
    """A gateway that did not answer: until when it is not asked, and for how long."""

    until: Seconds
    pause: Seconds


@define
class Heard:
    """The last offers for a workspace, and when they came."""

    offers: Sequence[Offer]
    at: Seconds


@define(eq=False)
class GatewayPeers:
    """The other gateways, as accounts ask them for tokens.

    Attributes:
        addresses: Returns where the others are, by the names of their VMs.
        tasks: Starts the tasks in which connections are read; None before the start.
        holders: Returns which of them have tokens of a workspace; None if all may.
        calls: The connections, by address.
        avoided: The VMs that did not answer when they were last asked.
        heard: The last offers for each workspace.
    """

    addresses: Callable[[], dict[str, str]]
    tasks: TaskStarter | None = None
    holders: Callable[[WorkspaceName], Collection[str]] | None = None
    calls: dict[str, HttpCalls] = field(factory=dict)
    avoided: dict[str, Avoidance] = field(factory=dict)
    heard: dict[WorkspaceName, Heard] = field(factory=dict)

    async def offers(self, workspace: WorkspaceName) -> Sequence[Offer]:
        """Ask others what they have; those that do not answer have nothing."""
        now = anyio.current_time()
        heard = self.heard.get(workspace)
        if heard is not None and now < heard.at + NOTHING_FOR:
            return heard.offers
        found: list[Offer] = []
        async with anyio.create_task_group() as tasks:
            for peer in self.sample(now, self.among(workspace)):
                tasks.start_soon(self.add_offer, peer, workspace, found)
        self.heard[workspace] = Heard(found, anyio.current_time())
        return found

    def among(self, workspace: WorkspaceName) -> Collection[str]:
        """Return the others that may have tokens of a workspace."""
        known = self.addresses()
        if self.holders is None:
            return known
        return [peer for peer in self.holders(workspace) if peer in known]

    def sample(self, now: Seconds, among: Collection[str] | None = None) -> list[str]:
        """Return whom to ask, chosen by chance where there are many."""
        peers = self.addresses() if among is None else among
        able = [peer for peer in peers if self.is_able(peer, now)]
        return random.sample(able, min(len(able), MOST_ASKED))

    def is_able(self, peer: str, now: Seconds) -> bool:
        """Tell whether a VM may be asked, as far as its last answers show."""
        avoidance = self.avoided.get(peer)
        return avoidance is None or now >= avoidance.until

    async def add_offer(
        self, peer: str, workspace: WorkspaceName, found: list[Offer]
    ) -> None:
        """Add what one other gateway has."""
        answer = await self.ask(peer, TransferRequest(workspace), OFFER_TIMEOUT)
        found.append(Offer(peer, answer.left))

    async def transfer(
        self, peer: str, workspace: WorkspaceName, amount: Tokens
    ) -> Tokens:
        """Have one other gateway pass tokens on; return how many arrived, or 0."""
        # What was heard before is not true any more.
        self.heard.pop(workspace, None)
        request = TransferRequest(workspace, amount)
        answer = await self.ask(peer, request, TRANSFER_TIMEOUT)
        fields = {"workspace": workspace, "asked": amount, "received": answer.given}
        log.info("tokens received", extra={"peer": peer, **fields})
        return answer.given

    async def ask(
        self, peer: str, request: TransferRequest, timeout: Seconds
    ) -> TransferAnswer:
        """Ask one other gateway; one that does not answer has nothing."""
        answer = await self.post(peer, TARGET, request, TransferAnswer, timeout)
        return answer or TransferAnswer()

    async def post(
        self,
        peer: str,
        target: bytes,
        request: object,
        answer_type: type[T],
        timeout: Seconds,
    ) -> T | None:
        """Send a message to another gateway; return its answer, None without one."""
        address = self.addresses().get(peer)
        if address is None or self.tasks is None:
            return None
        content = json.dumps(to_json(request)).encode()
        message = Outbound(b"POST", target, JSON, content, True)
        try:
            answer = await self.calls_to(address, self.tasks).call(message, timeout)
            read = read_message(answer.body, answer_type)
        except BackendLostError as error:
            self.avoid(peer, anyio.current_time())
            log.info("peer silent", extra={"peer": peer, "detail": str(error)})
        except MalformedMessageError as error:
            log.warning(
                "peer misunderstood", extra={"peer": peer, "detail": str(error)}
            )
        else:
            self.avoided.pop(peer, None)
            return read
        return None

    def avoid(self, peer: str, now: Seconds) -> None:
        """Ask a VM that did not answer no more for a while, longer each time."""
        before = self.avoided.get(peer)
        if before is not None and now < before.until:
            # Questions that were under way together count once.
            return
        pause = AVOIDED_FOR if before is None else before.pause * 2
        pause = min(pause, MOST_AVOIDED)
        self.avoided[peer] = Avoidance(now + pause, pause)

    def calls_to(self, address: str, tasks: TaskStarter) -> HttpCalls:
        """Return the connections to an address."""
        calls = self.calls.get(address)
        if calls is None:
            host, _, port = address.rpartition(":")
            calls = HttpCalls((host, int(port)), CONNECT_TIMEOUT)
            self.calls[address] = calls
            calls.start(tasks)
        return calls


@define
class TransferDesk:
    """Answers other gateways that ask for tokens.

    Attributes:
        account: Returns a workspace's account; None if it has no bound.
    """

    account: Callable[[WorkspaceName], Account | None]

    async def serve(
        self, connection: CallerConnection, head: RequestHead, body: bytes
    ) -> None:
        """Answer one question."""
        del head
        try:
            request = read_message(body, TransferRequest)
        except MalformedMessageError as error:
            log.warning("peer misunderstood", extra={"detail": str(error)})
            await connection.answer(400, JSON, b"{}")
            return
        answer = await self.answer(request)
        await connection.answer(200, ANSWER, json.dumps(to_json(answer)).encode())

    async def answer(self, request: TransferRequest) -> TransferAnswer:
        """Pass on what is asked for, as far as it is here."""
        account = self.account(request.workspace)
        if account is None:
            return TransferAnswer()
        given = 0
        if request.amount > 0:
            given = await account.give(request.amount)
            fields = {"workspace": request.workspace, "asked": request.amount}
            log.info("tokens given", extra={**fields, "given": given})
        return TransferAnswer(given, account.offer)
