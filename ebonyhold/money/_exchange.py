"""Giving tokens to other routers, and asking them for some."""

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
from ebonyhold.money._account import Account
from ebonyhold.money._journal import Journal
from ebonyhold.money._options import MoneyOptions
from ebonyhold.money._transfer_book import Given
from ebonyhold.routers import PeerLink, PeerMessage, TransferGiven, TransferRequest
from ebonyhold.types import RouterId, Tokens, WorkspaceName


@define(eq=False)
class TokenExchange:
    """One incarnation's transfers of tokens with the other routers.

    Attributes:
        me: The incarnation.
        peers: The link to the others, or None.
        accounts: The workspaces in use here.
        account: Returns a workspace's account, a new one if need be.
        over: Whether this incarnation gives and takes no more.
        received: Transfers that were taken, for ever: each counts once.
        serial: Transfers given.
    """

    me: RouterId
    peers: PeerLink | None
    journal: Journal
    policy: Callable[[], Policy]
    options: MoneyOptions
    accounts: dict[WorkspaceName, Account]
    account: Callable[[WorkspaceName], Account]
    over: Callable[[], bool]
    received: set[str] = field(factory=set)
    serial: int = 0

    def listen(self) -> None:
        """Answer the other routers from now on."""
        if self.peers is not None:
            self.peers.handle(TransferRequest, self.answer_request)
            self.peers.handle(TransferGiven, self.take_given)

    def routers(self) -> int:
        """Return how many routers are believed alive, this one counted."""
        return 1 + (len(self.peers.alive()) if self.peers else 0)

    async def ask_peers(self, account: Account, lack: Tokens) -> None:
        """Ask other routers for tokens until nothing lacks or all were asked."""
        policy = find_grant_policy(self.policy().grants)
        if self.peers is None or not policy.asks_peers:
            return
        wanted = account.ledger.available + lack
        for peer in self.peers.alive()[: self.options.peers_asked]:
            still = wanted - account.ledger.available
            if still <= 0:
                return
            await self._ask_peer(peer, account, still)

    async def _ask_peer(self, peer: RouterId, account: Account, need: Tokens) -> None:
        assert self.peers is not None
        have = tuple(
            transfer
            for transfer in account.transfers.receipts
            if transfer_ends(transfer)[0] == peer
        )
        message = TransferRequest(account.workspace, need, have)
        try:
            given = await self.peers.ask(
                peer, message, TransferGiven, self.options.ask_within
            )
        except PeerError:
            return
        await self.take_given(peer, given)

    async def answer_request(
        self, peer: RouterId, message: PeerMessage
    ) -> PeerMessage | None:
        """Give tokens to another router, if there are some to spare."""
        assert isinstance(message, TransferRequest)
        account = self.accounts.get(message.workspace)
        if account is None or self.over():
            return TransferGiven(message.workspace, "", 0)
        given = self._lost_gift(account, peer, message.have) or self._new_gift(
            account, peer, message
        )
        if given is None:
            return TransferGiven(message.workspace, "", 0)
        with anyio.move_on_after(self.options.given_within):
            await given.append.done.wait()
        if not given.append.done.is_set() or given.append.error is not None:
            return TransferGiven(message.workspace, "", 0)
        return TransferGiven(message.workspace, given.transfer, given.amount)

    def _lost_gift(
        self, account: Account, peer: RouterId, have: tuple[str, ...]
    ) -> Given | None:
        """Return a transfer that this peer has not received.

        Sending it again is safe, since a receiver counts a transfer once.
        """
        for given in account.transfers.given.values():
            to = transfer_ends(given.transfer)[1]
            if to == peer and given.transfer not in have:
                return given
        return None

    def _new_gift(
        self, account: Account, peer: RouterId, message: TransferRequest
    ) -> Given | None:
        policy = find_grant_policy(self.policy().grants)
        amount = policy.give(account.view(), message.wanted)
        amount = min(amount, account.ledger.available)
        if amount <= 0:
            return None
        self.serial += 1
        transfer = transfer_name(self.me, peer, self.serial)
        entry = TransferOut(account.workspace, transfer, peer, amount)
        append = self.journal.put(entry)
        return account.transfers.give(transfer, amount, append)

    async def take_given(
        self, peer: RouterId, message: PeerMessage
    ) -> PeerMessage | None:
        """Receive tokens from another router, once."""
        assert isinstance(message, TransferGiven)
        transfer = message.transfer
        if not transfer or message.amount <= 0 or transfer in self.received:
            return None
        # Tokens meant for another incarnation must not arrive here: whoever
        # recovers that one decides about them.
        if transfer_ends(transfer) != (peer, self.me) or self.over():
            return None
        self.received.add(transfer)
        entry = TransferIn(message.workspace, transfer, peer, message.amount)
        append = self.journal.put(entry)
        await append.done.wait()
        if append.error is None:
            account = self.account(message.workspace)
            account.arrive(transfer, message.amount)
        return None
