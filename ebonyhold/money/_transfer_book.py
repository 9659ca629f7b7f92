"""Transfers of one workspace's tokens to and from other routers, until settled."""

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
    revoke_transfer,
    router_key,
    seen,
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
from ebonyhold.money._journal import Append, Journal
from ebonyhold.money._options import MoneyOptions
from ebonyhold.types import Tokens, WorkspaceName

RECEIPTS = 32
"""Transfers that a request for more names as received."""

TRIES = 8
"""Tries of one settlement against other writers, before the next round."""


@frozen
class Arrival:
    """A received transfer that is not settled in the table yet."""

    transfer: str
    amount: Tokens


@frozen
class Given:
    """A transfer to another router that is not settled in the table yet."""

    transfer: str
    amount: Tokens
    append: Append


@define(eq=False)
class TransferBook:
    """The transfers of one workspace that the table does not know to be over.

    Attributes:
        workspace: Whose tokens.
        ledger: The ledger that they count in.
        arrivals: Received transfers on their way into the table.
        receipts: The last transfers received, settled or not.
        given: Transfers to others on their way into the table, by name.
        announced: Whether a closing router's transfers stand in the table.
    """

    workspace: WorkspaceName
    ledger: GrantLedger
    journal: Journal
    table: Table
    options: MoneyOptions
    arrivals: dict[str, Arrival] = field(factory=dict)
    receipts: deque[str] = field(factory=partial(deque, maxlen=RECEIPTS))
    given: dict[str, Given] = field(factory=dict)
    checked_at: float = 0.0
    announced: bool = False

    def give(self, transfer: str, amount: Tokens, append: Append) -> Given:
        """Take tokens out for another router."""
        self.ledger.give(amount)
        given = Given(transfer, amount, append)
        self.given[transfer] = given
        return given

    def arrive(self, transfer: str, amount: Tokens) -> None:
        """Add tokens whose receipt is durable."""
        self.ledger.receive(amount)
        self.arrivals[transfer] = Arrival(transfer, amount)
        self.receipts.append(transfer)

    async def settle(self) -> None:
        """Settle what arrived, and learn what became of what was given.

        Raises:
            PlatformError: The table could not be reached.
            SealedError: This incarnation is over.
        """
        for arrival in list(self.arrivals.values()):
            await self._settle_arrival(arrival)
        await self._settle_gifts()

    async def _settle_arrival(self, arrival: Arrival) -> None:
        source_key, own_key = grant_keys(arrival.transfer, self.workspace)
        keys = (
            transfer_key(arrival.transfer),
            router_key(self.journal.me),
            source_key,
            own_key,
        )
        for _ in range(TRIES):
            transfer, router, source, own = await self.table.read(keys)
            if router is None or router.version != self.journal.router.version:
                raise SealedError(f"{self.journal.me} was sealed")
            wish = settle_transfer(
                seen(keys[0], transfer, TransferRow),
                seen(keys[1], router, RouterRow),
                seen(keys[2], source, GrantRow),
                seen(keys[3], own, GrantRow),
                self.workspace,
                arrival.amount,
            )
            if wish is None:
                del self.arrivals[arrival.transfer]
                self.ledger.received -= arrival.amount
                self.journal.settle(arrival.transfer)
                return
            try:
                await self.table.commit(wish)
            except (ConflictError, UnknownOutcomeError):
                continue
        raise UnavailableError(f"transfer {arrival.transfer} met other writers")

    async def _settle_gifts(self) -> None:
        """Find out which transfers to others are settled, or can never be."""
        now = anyio.current_time()
        if now < self.checked_at + self.options.resize_interval:
            return
        self.checked_at = now
        for given in list(self.given.values()):
            await self._settle_gift(given)

    async def announce(self) -> None:
        """Leave transfers that nobody settled yet to whoever sweeps later.

        Raises:
            PlatformError: The table could not be reached.
        """
        for given in self.given.values():
            key = transfer_key(given.transfer)
            for _ in range(TRIES):
                (row,) = await self.table.read((key,))
                wish = announce_transfer(
                    seen(key, row, TransferRow), self.workspace, given.amount
                )
                if wish is None:
                    break
                with suppress(ConflictError, UnknownOutcomeError):
                    await self.table.commit(wish)
            else:
                raise UnavailableError(f"{given.transfer} could not be announced")
        self.announced = True

    async def _settle_gift(self, given: Given) -> None:
        _, to = transfer_ends(given.transfer)
        keys = (transfer_key(given.transfer), router_key(to))
        row, receiver = await self.table.read(keys)
        transfer = seen(keys[0], row, TransferRow)
        if transfer.value is not None:
            self._gift_ended(given, transfer.value.state)
            return
        router = seen(keys[1], receiver, RouterRow)
        wish = revoke_transfer(
            self.journal.router, transfer, router, self.workspace, given.amount
        )
        if wish is None:
            return
        try:
            await self.table.commit(wish)
        except (ConflictError, UnknownOutcomeError):
            return
        self._gift_ended(given, TransferState.LAPSED)

    def _gift_ended(self, given: Given, state: TransferState) -> None:
        if state is TransferState.PENDING:
            return
        if self.given.pop(given.transfer, None) is None:
            return
        self.ledger.given -= given.amount
        if state is TransferState.LAPSED:
            self.ledger.available += given.amount
        self.journal.settle(given.transfer)
