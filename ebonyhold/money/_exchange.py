"""Token transfers of one router: giving to other routers and requesting from them."""

from __future__ import annotations

from collections.abc import Callable

import anyio
from attrs import define, field

from ebonyhold.coordination import (
    TransferIn,
    TransferOut,
    find_grant_policy,
    transfer_ends,
    transfer_name,
)
from ebonyhold.document import Policy
from ebonyhold.exceptions import PeerError
from ebonyhold.money._journal import Journal
from ebonyhold.money._options import MoneyOptions
from ebonyhold.money._unsettled_transfers import GivenTransfer
from ebonyhold.money._workspace_grant import WorkspaceGrant
from ebonyhold.routers import PeerLink, PeerMessage, TransferGiven, TransferRequest
from ebonyhold.types import RouterId, Tokens, WorkspaceName


@define(eq=False)
class TokenExchange:
    """Gives, requests and receives tokens for one incarnation.

    Attributes:
        self_id: Identifier of this incarnation.
        peers: The link to the other routers; None if there is none.
        grants: The grants of the workspaces in use.
        grant_of: Returns a workspace's grant, and creates one if needed.
        closed: Returns whether this incarnation is sealed or draining, and so neither
            gives nor receives tokens.
        received: Names of all transfers received, so that a repeated one is ignored.
        serial: Number of transfers given; numbers their names.
    """

    self_id: RouterId
    peers: PeerLink | None
    journal: Journal
    policy: Callable[[], Policy]
    options: MoneyOptions
    grants: dict[WorkspaceName, WorkspaceGrant]
    grant_of: Callable[[WorkspaceName], WorkspaceGrant]
    closed: Callable[[], bool]
    received: set[str] = field(factory=set)
    serial: int = 0

    def register_handlers(self) -> None:
        """Register the handlers for requests and transfers of other routers."""
        if self.peers is not None:
            self.peers.handle(TransferRequest, self.answer_request)
            self.peers.handle(TransferGiven, self.receive_transfer)

    def count_routers(self) -> int:
        """Return the number of routers believed alive, including this one."""
        return 1 + (len(self.peers.alive()) if self.peers else 0)

    async def ask_peers(self, grant: WorkspaceGrant, shortage: Tokens) -> None:
        """Request tokens from peers in turn until the shortage is covered.

        At most `max_peers` peers are tried, and none if the grant policy uses no
        transfers. The shortage may remain.
        """
        policy = find_grant_policy(self.policy().grants)
        if self.peers is None or not policy.asks_peers:
            return
        wanted = grant.ledger.available + shortage
        for peer in self.peers.alive()[: self.options.max_peers]:
            missing = wanted - grant.ledger.available
            if missing <= 0:
                return
            await self._ask_peer(peer, grant, missing)

    async def _ask_peer(
        self, peer: RouterId, grant: WorkspaceGrant, need: Tokens
    ) -> None:
        assert self.peers is not None
        have = tuple(
            transfer
            for transfer in grant.transfers.receipts
            if transfer_ends(transfer)[0] == peer
        )
        message = TransferRequest(grant.workspace, need, have)
        try:
            given = await self.peers.ask(
                peer, message, TransferGiven, self.options.peer_timeout
            )
        except PeerError:
            return
        await self.receive_transfer(peer, given)

    async def answer_request(
        self, peer: RouterId, message: PeerMessage
    ) -> PeerMessage | None:
        """Answer another router's request with a transfer.

        If an earlier transfer to that router was lost, it is sent again, in place of a
        new one. The answer is sent once the transfer is in the journal. The amount is 0
        if there are no tokens to give, this incarnation is sealed or draining, or the
        transfer is not in the journal within `give_timeout`. In the last case the
        answer to the peer's next request contains that transfer.
        """
        assert isinstance(message, TransferRequest)
        grant = self.grants.get(message.workspace)
        if grant is None or self.closed():
            return TransferGiven(message.workspace, "", 0)
        given = self._unreceived_transfer(grant, peer, message.have) or self._give(
            grant, peer, message
        )
        if given is None:
            return TransferGiven(message.workspace, "", 0)
        with anyio.move_on_after(self.options.give_timeout):
            await given.append.done.wait()
        if not given.append.done.is_set() or given.append.error is not None:
            return TransferGiven(message.workspace, "", 0)
        return TransferGiven(message.workspace, given.transfer, given.amount)

    def _unreceived_transfer(
        self, grant: WorkspaceGrant, peer: RouterId, have: tuple[str, ...]
    ) -> GivenTransfer | None:
        """Return an unsettled transfer that `peer` has not received; None if none is.

        The names in `have` are those of the transfers that the peer has received.

        Sending the transfer again is safe, since a receiver counts each only once.
        """
        for given in grant.transfers.given.values():
            to = transfer_ends(given.transfer)[1]
            if to == peer and given.transfer not in have:
                return given
        return None

    def _give(
        self, grant: WorkspaceGrant, peer: RouterId, message: TransferRequest
    ) -> GivenTransfer | None:
        policy = find_grant_policy(self.policy().grants)
        amount = policy.give(grant.view(), message.wanted)
        amount = min(amount, grant.ledger.available)
        if amount <= 0:
            return None
        self.serial += 1
        transfer = transfer_name(self.self_id, peer, self.serial)
        entry = TransferOut(grant.workspace, transfer, peer, amount)
        append = self.journal.enqueue(entry)
        return grant.transfers.give(transfer, amount, append)

    async def receive_transfer(
        self, peer: RouterId, message: PeerMessage
    ) -> PeerMessage | None:
        """Journal a transfer from another router, then add its tokens to the grant.

        Repeated and empty transfers, and those to another incarnation, are ignored. A
        sealed or draining incarnation ignores all transfers.
        """
        assert isinstance(message, TransferGiven)
        transfer = message.transfer
        if not transfer or message.amount <= 0 or transfer in self.received:
            return None
        # A transfer to another incarnation is ignored. The router that recovers that
        # incarnation settles the transfer, or the giver gets the tokens back.
        if transfer_ends(transfer) != (peer, self.self_id) or self.closed():
            return None
        self.received.add(transfer)
        entry = TransferIn(message.workspace, transfer, peer, message.amount)
        append = self.journal.enqueue(entry)
        await append.done.wait()
        if append.error is None:
            grant = self.grant_of(message.workspace)
            grant.receive(transfer, message.amount)
        return None
