"""Transfers of tokens between gateways: the client side and the server side.

Gateways can reach each other while some or all of them cannot reach the store. A
request is a POST to `TRANSFERS_TARGET` with a `TransferRequest` as JSON, and the answer
is a `TransferAnswer`. Tokens count as received only if the whole answer was read.
"""

from __future__ import annotations

import json
import logging
import math
import random
from collections.abc import Callable, Collection, Sequence
from typing import TypeVar

import anyio
from attrs import define, evolve, field, frozen
from attrs.validators import ge, optional

from ebonyhold.coordination import to_json
from ebonyhold.exceptions import BackendLostError, MalformedMessageError
from ebonyhold.forwarding import (
    AnswerBounds,
    CallerConnection,
    CallerLimits,
    CallNotSentError,
    HttpCalls,
    Outbound,
    RequestHead,
    TaskStarter,
)
from ebonyhold.gateway._messages import read_message
from ebonyhold.prepaid import Offer, WorkspaceGrant
from ebonyhold.types import Seconds, Tokens, WorkspaceName

log = logging.getLogger(__name__)

T = TypeVar("T")

TRANSFERS_TARGET = b"/transfers"

JSON_HEADERS = [(b"content-type", b"application/json")]

KEEP_ALIVE_SECONDS = 40
"""Time for which an idle connection between two gateways is kept.

In a large fleet, many seconds can pass between two messages to the same gateway, and a
new connection takes as much processor time as a request.
"""

PEER_LIMITS = CallerLimits(idle_timeout=KEEP_ALIVE_SECONDS)
"""The limits on other gateways' requests and connections."""

ANSWER_HEADERS = [*JSON_HEADERS, (b"keep-alive", b"timeout=%d" % KEEP_ALIVE_SECONDS)]
"""The headers of an answer to another gateway."""

OFFER_TIMEOUT: Seconds = 0.08
"""Timeout of a request for an offer; an answer takes about 4 ms."""

TRANSFER_TIMEOUT: Seconds = 0.4
"""Timeout of a transfer, for which the giver may have to call the store.

Tokens in a later answer are lost, so the timeout is longer than the giver's own timeout
for the store.
"""

CONNECT_TIMEOUT: Seconds = 0.1
"""Timeout for connecting to another gateway. The farthest one accepts within about
5 ms, and one without power never does."""

MIN_AVOIDANCE: Seconds = 1.0
"""Time for which a gateway is sent no messages after it first did not answer.

Otherwise a gateway without power would delay each request that lacks tokens.
"""

MAX_AVOIDANCE: Seconds = 4.0
"""The maximum time for which a gateway that did not answer is sent no messages. A VM
usually restarts in less, and each further attempt delays a request by a timeout."""

MAX_PEERS_ASKED = 8
"""Maximum number of gateways that are asked for offers at once.

In a shortage, each gateway asks others whenever tokens are missing. If each one in a
large fleet asked all others, all would spend their time on answers.
"""

OFFER_CACHE_TIME: Seconds = 0.1
"""Time for which offers are reused.

Otherwise, in a shortage, each request would cause a message to each gateway that is
asked.
"""


@frozen
class TransferRequest:
    """A request for tokens of another gateway.

    Attributes:
        workspace: The workspace of the tokens.
        amount: The number of tokens; 0 requests only an offer.
    """

    workspace: WorkspaceName
    amount: Tokens = field(default=0, validator=ge(0))


@frozen
class TransferAnswer:
    """The tokens that a gateway transfers, and its offer of further ones.

    Attributes:
        given: Tokens that belong to the requesting gateway from now on.
        left: Tokens that the giver still offers to any gateway, including the
            requesting one.
        own: The part of `left` that the giver has itself and need not draw; None if it
            is of an older version.
    """

    given: Tokens = field(default=0, validator=ge(0))
    left: Tokens = field(default=0, validator=ge(0))
    own: Tokens | None = field(default=None, validator=optional(ge(0)))


@frozen
class Avoidance:
    """A period in which a gateway that did not answer is sent no messages.

    Messages with a longer timeout are sent: a gateway that is paused or busy for a
    moment may answer them in time.

    Attributes:
        until: The end of the period.
        pause: The length of the period, which doubles with the next missing answer.
        timeout: The longest timeout that has passed; infinite without a connection.
    """

    until: Seconds
    pause: Seconds
    timeout: Seconds = math.inf


@define
class CachedOffers:
    """The last offers for a workspace, and when they arrived."""

    offers: Sequence[Offer]
    at: Seconds


@define(eq=False)
class GatewayPeers:
    """Client for the other gateways.

    Attributes:
        addresses: Returns the addresses of the others, by VM name.
        tasks: Starts the tasks that read from connections; None before the start.
        holders: Returns the VMs that hold tokens of a workspace; None if all may.
        calls: The HTTP clients of the other gateways, by address.
        avoidances: The last avoidance of each VM that has not answered since.
        cached: The last offers for each workspace.
        bounds: Bounds the answers of all gateways.
    """

    addresses: Callable[[], dict[str, str]]
    tasks: TaskStarter | None = None
    holders: Callable[[WorkspaceName], Collection[str]] | None = None
    calls: dict[str, HttpCalls] = field(factory=dict)
    avoidances: dict[str, Avoidance] = field(factory=dict)
    cached: dict[WorkspaceName, CachedOffers] = field(factory=dict)
    bounds: AnswerBounds = field(factory=AnswerBounds)

    async def offers(self, workspace: WorkspaceName) -> Sequence[Offer]:
        """Return offers from other gateways, which may be `OFFER_CACHE_TIME` old.

        A gateway that is asked and does not answer counts as offering 0 tokens.
        """
        now = anyio.current_time()
        cached = self.cached.get(workspace)
        if cached is not None and now < cached.at + OFFER_CACHE_TIME:
            return cached.offers
        found: list[Offer] = []
        async with anyio.create_task_group() as tasks:
            for peer in self.sample(now, self.candidates(workspace)):
                tasks.start_soon(self.add_offer, peer, workspace, found)
        self.cached[workspace] = CachedOffers(found, anyio.current_time())
        return found

    def candidates(self, workspace: WorkspaceName) -> Collection[str]:
        """Return the VMs with a known address that may have tokens of a workspace."""
        known = self.addresses()
        if self.holders is None:
            return known
        return [peer for peer in self.holders(workspace) if peer in known]

    def sample(
        self, now: Seconds, candidates: Collection[str] | None = None
    ) -> list[str]:
        """Return at most `MAX_PEERS_ASKED` random VMs that are not being avoided.

        They are chosen from the candidates, or from all known VMs if these are None.
        """
        peers = self.addresses() if candidates is None else candidates
        able = [peer for peer in peers if self.is_available(peer, now)]
        return random.sample(able, min(len(able), MAX_PEERS_ASKED))

    def is_available(self, peer: str, now: Seconds, timeout: Seconds = 0.0) -> bool:
        """Return whether a VM may be sent messages; False while it is avoided.

        Args:
            peer: The VM.
            now: The time.
            timeout: The timeout of the message.
        """
        avoidance = self.avoidances.get(peer)
        if avoidance is None or now >= avoidance.until:
            return True
        return timeout > avoidance.timeout

    async def add_offer(
        self, peer: str, workspace: WorkspaceName, found: list[Offer]
    ) -> None:
        """Request the offer of one other gateway, and append it to `found`."""
        answer = await self.request_tokens(
            peer, TransferRequest(workspace), OFFER_TIMEOUT
        )
        found.append(Offer(peer, answer.left, answer.own))

    async def transfer(
        self, peer: str, workspace: WorkspaceName, amount: Tokens
    ) -> Tokens:
        """Request a transfer from another gateway, and return the tokens received.

        They can be fewer than `amount`; without a valid answer, they are 0.
        """
        # The transfer makes the cached offers invalid.
        self.cached.pop(workspace, None)
        request = TransferRequest(workspace, amount)
        answer = await self.request_tokens(peer, request, TRANSFER_TIMEOUT)
        fields = {"workspace": workspace, "asked": amount, "received": answer.given}
        log.info("tokens received", extra={"peer": peer, **fields})
        return answer.given

    async def request_tokens(
        self, peer: str, request: TransferRequest, timeout: Seconds
    ) -> TransferAnswer:
        """Send a request for tokens; without a valid answer, return one of 0 tokens."""
        answer = await self.post(
            peer, TRANSFERS_TARGET, request, TransferAnswer, timeout
        )
        return answer or TransferAnswer()

    async def post(
        self,
        peer: str,
        target: bytes,
        request: object,
        answer_type: type[T],
        timeout: Seconds,
    ) -> T | None:
        """Send a message to another gateway, and return its answer.

        Returns:
            None if the gateway's address is unknown, if the message could not be sent
            or answered within the timeout, after which the gateway is avoided, or if
            the answer is malformed.
        """
        began = anyio.current_time()
        try:
            answer = await self.send(peer, target, request, answer_type, timeout)
        except BackendLostError as error:
            missed = math.inf if isinstance(error, CallNotSentError) else timeout
            self.avoid(peer, anyio.current_time(), missed)
            log.info("peer silent", extra={"peer": peer, "detail": str(error)})
        except MalformedMessageError as error:
            log.warning(
                "malformed message from peer",
                extra={"peer": peer, "detail": str(error)},
            )
        else:
            if answer is not None:
                self.record_answer(peer, anyio.current_time() - began)
            return answer
        return None

    async def send(
        self,
        peer: str,
        target: bytes,
        request: object,
        answer_type: type[T],
        timeout: Seconds,
    ) -> T | None:
        """Send a message to another gateway, and return its answer.

        Returns:
            None if the gateway's address is unknown.

        Raises:
            BackendLostError: The message could not be sent or answered in time.
            MalformedMessageError: The answer is malformed.
        """
        address = self.addresses().get(peer)
        if address is None or self.tasks is None:
            return None
        content = json.dumps(to_json(request)).encode()
        message = Outbound(b"POST", target, JSON_HEADERS, content, True)
        answer = await self.calls_to(address, self.tasks).call(message, timeout)
        return read_message(answer.body, answer_type)

    def avoid(self, peer: str, now: Seconds, timeout: Seconds = math.inf) -> None:
        """Avoid a VM that did not answer: twice as long as before, within the maximum.

        An answer ends this sequence, so that the next period has its minimum length.

        Args:
            peer: The VM.
            now: The time.
            timeout: The timeout of the message; infinite if it could not be sent.
        """
        before = self.avoidances.get(peer)
        if before is not None:
            timeout = max(timeout, before.timeout)
            if now < before.until:
                # Concurrent requests that failed count once.
                self.avoidances[peer] = evolve(before, timeout=timeout)
                return
        pause = MIN_AVOIDANCE if before is None else before.pause * 2
        pause = min(pause, MAX_AVOIDANCE)
        self.avoidances[peer] = Avoidance(now + pause, pause, timeout)

    def record_answer(self, peer: str, taken: Seconds) -> None:
        """End the avoidance of a VM that has answered within the timeout it missed."""
        avoidance = self.avoidances.get(peer)
        if avoidance is not None and taken <= avoidance.timeout:
            del self.avoidances[peer]

    def calls_to(self, address: str, tasks: TaskStarter) -> HttpCalls:
        """Return the client for an address, created and started on first use."""
        calls = self.calls.get(address)
        if calls is None:
            host, _, port = address.rpartition(":")
            calls = HttpCalls((host, int(port)), CONNECT_TIMEOUT, self.bounds)
            self.calls[address] = calls
            calls.start(tasks)
        return calls


@define
class TransferHandler:
    """Serves other gateways' requests for tokens.

    Attributes:
        grant: Returns a workspace's grant; None if the workspace has no prepaid
            budget.
    """

    grant: Callable[[WorkspaceName], WorkspaceGrant | None]

    async def serve(
        self, connection: CallerConnection, head: RequestHead, body: bytes
    ) -> None:
        """Answer one request for tokens or an offer; a malformed one gets 400."""
        del head
        try:
            request = read_message(body, TransferRequest)
        except MalformedMessageError as error:
            log.warning("malformed message from peer", extra={"detail": str(error)})
            await connection.answer(400, JSON_HEADERS, b"{}")
            return
        answer = await self.answer(request)
        await connection.answer(
            200, ANSWER_HEADERS, json.dumps(to_json(answer)).encode()
        )

    async def answer(self, request: TransferRequest) -> TransferAnswer:
        """Give the requested tokens, as far as possible.

        The answer has the number of tokens given and this gateway's offer of further
        tokens.  Both numbers are 0 if this gateway has no grant of the workspace.
        """
        grant = self.grant(request.workspace)
        if grant is None:
            return TransferAnswer()
        given = 0
        if request.amount > 0:
            given = await grant.give(request.amount)
            fields = {"workspace": request.workspace, "asked": request.amount}
            log.info("tokens given", extra={**fields, "given": given})
        return TransferAnswer(given, grant.offer, grant.own_offer)
