"""Unsettled transfers of one workspace's tokens to and from one router."""

from __future__ import annotations

from collections import deque
from contextlib import suppress
from functools import partial

import anyio
from attrs import define, field, frozen

from ebonyhold.coordination import (
    GrantLedger,
    GrantRow,
    RouterRow,
    Table,
    TransferRow,
    TransferState,
    announce_transfer,
    grant_keys,
    observe_row,
    revoke_transfer,
    router_key,
    settle_transfer,
    transfer_ends,
    transfer_key,
)
from ebonyhold.exceptions import (
    ConflictError,
    SealedError,
    UnavailableError,
    UnknownOutcomeError,
)
from ebonyhold.money._journal import Journal, PendingAppend
from ebonyhold.money._options import MoneyOptions
from ebonyhold.types import Tokens, WorkspaceName

MAX_RECEIPTS = 32
"""Maximum number of received transfers that requests for tokens can list.

From the list a giver sees which of its transfers were lost, and sends these again.
"""

MAX_TRIES = 8
"""Maximum tries of one settlement that conflicts with other writers."""


@frozen
class ReceivedTransfer:
    """A received transfer that is not settled in the table yet."""

    transfer: str
    amount: Tokens


@frozen
class GivenTransfer:
    """A transfer to another router that is not settled in the table yet."""

    transfer: str
    amount: Tokens
    append: PendingAppend


@define(eq=False)
class UnsettledTransfers:
    """The transfers of one workspace that are not settled in the table.

    Attributes:
        workspace: Name of the workspace.
        ledger: The ledger that counts the tokens.
        received: Received transfers that are not settled, by name.
        receipts: Names of the last transfers received, settled or not.
        given: Given transfers that are not settled, by name.
        checked_at: When the given transfers were last checked.
        announced: Whether `announce` has written all given transfers to the table.
    """

    workspace: WorkspaceName
    ledger: GrantLedger
    journal: Journal
    table: Table
    options: MoneyOptions
    received: dict[str, ReceivedTransfer] = field(factory=dict)
    receipts: deque[str] = field(factory=partial(deque, maxlen=MAX_RECEIPTS))
    given: dict[str, GivenTransfer] = field(factory=dict)
    checked_at: float = 0.0
    announced: bool = False

    def give(
        self, transfer: str, amount: Tokens, append: PendingAppend
    ) -> GivenTransfer:
        """Record a transfer to another router and make its tokens unavailable here."""
        self.ledger.give(amount)
        given = GivenTransfer(transfer, amount, append)
        self.given[transfer] = given
        return given

    def receive(self, transfer: str, amount: Tokens) -> None:
        """Add received tokens to the ledger; their receipt must be in the journal."""
        self.ledger.receive(amount)
        self.received[transfer] = ReceivedTransfer(transfer, amount)
        self.receipts.append(transfer)

    async def settle(self) -> None:
        """Settle received transfers, and check whether given ones have ended.

        Given transfers are checked at most once per `resize_interval`.

        Raises:
            PlatformError: The table could not be reached or kept conflicting.
            SealedError: This incarnation was sealed.
        """
        for received in list(self.received.values()):
            await self._settle_received(received)
        await self._settle_all_given()

    async def _settle_received(self, received: ReceivedTransfer) -> None:
        source_key, own_key = grant_keys(received.transfer, self.workspace)
        keys = (
            transfer_key(received.transfer),
            router_key(self.journal.self_id),
            source_key,
            own_key,
        )
        for _ in range(MAX_TRIES):
            transfer, router, source, own = await self.table.read(keys)
            if router is None or router.version != self.journal.router.version:
                raise SealedError(f"{self.journal.self_id} was sealed")
            transaction = settle_transfer(
                observe_row(keys[0], transfer, TransferRow),
                observe_row(keys[1], router, RouterRow),
                observe_row(keys[2], source, GrantRow),
                observe_row(keys[3], own, GrantRow),
                self.workspace,
                received.amount,
            )
            if transaction is None:
                del self.received[received.transfer]
                self.ledger.received -= received.amount
                self.journal.unpin(received.transfer)
                return
            try:
                await self.table.commit(transaction)
            except (ConflictError, UnknownOutcomeError):
                continue
        raise UnavailableError(f"transfer {received.transfer} met other writers")

    async def _settle_all_given(self) -> None:
        """Check all given transfers, at most once per `resize_interval`.

        Transfers that their receivers have settled are dropped. If a receiver was
        closed without settling a transfer, the tokens become available here again.
        """
        now = anyio.current_time()
        if now < self.checked_at + self.options.resize_interval:
            return
        self.checked_at = now
        for given in list(self.given.values()):
            await self._settle_given(given)

    async def announce(self) -> None:
        """Write a pending row for each given transfer that is not settled.

        A later sweep finds the rows of lost transfers and returns their tokens to the
        budget.

        Raises:
            PlatformError: The table could not be reached or kept conflicting.
        """
        for given in self.given.values():
            key = transfer_key(given.transfer)
            for _ in range(MAX_TRIES):
                (row,) = await self.table.read((key,))
                transaction = announce_transfer(
                    observe_row(key, row, TransferRow), self.workspace, given.amount
                )
                if transaction is None:
                    break
                with suppress(ConflictError, UnknownOutcomeError):
                    await self.table.commit(transaction)
            else:
                raise UnavailableError(f"{given.transfer} could not be announced")
        self.announced = True

    async def _settle_given(self, given: GivenTransfer) -> None:
        _, to = transfer_ends(given.transfer)
        keys = (transfer_key(given.transfer), router_key(to))
        row, receiver = await self.table.read(keys)
        transfer = observe_row(keys[0], row, TransferRow)
        if transfer.value is not None:
            self._end_given(given, transfer.value.state)
            return
        router = observe_row(keys[1], receiver, RouterRow)
        transaction = revoke_transfer(
            self.journal.router, transfer, router, self.workspace, given.amount
        )
        if transaction is None:
            return
        try:
            await self.table.commit(transaction)
        except (ConflictError, UnknownOutcomeError):
            return
        self._end_given(given, TransferState.LAPSED)

    def _end_given(self, given: GivenTransfer, state: TransferState) -> None:
        if state is TransferState.PENDING:
            return
        if self.given.pop(given.transfer, None) is None:
            return
        self.ledger.given -= given.amount
        if state is TransferState.LAPSED:
            self.ledger.available += given.amount
        self.journal.unpin(given.transfer)
