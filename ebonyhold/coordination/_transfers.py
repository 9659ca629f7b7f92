"""Transfers of tokens between two routers' grants, without the table.

A transfer's name holds both ends, so that a receiver can tell that it is meant.
It is settled in the table by one transaction on both grants, which keeps the
sum of all grants equal to the budget's outstanding tokens at every moment.
"""

from __future__ import annotations

from attrs import evolve

from ebonyhold.coordination._keys import grant_key, transfer_key
from ebonyhold.coordination._rows import (
    BudgetRow,
    GrantRow,
    RouterRow,
    RouterState,
    TransferRow,
    TransferState,
)
from ebonyhold.coordination._seen import Seen
from ebonyhold.coordination._transactions import Transaction
from ebonyhold.types import RouterId, Tokens, WorkspaceName

SEPARATOR = "~"


def transfer_name(source: RouterId, to: RouterId, serial: int) -> str:
    """Name a transfer.

    >>> transfer_name("a.1", "b.2", 3)
    'a.1~b.2~3'
    """
    return SEPARATOR.join((source, to, str(serial)))


def transfer_ends(transfer: str) -> tuple[RouterId, RouterId]:
    """Return the source and the receiver that a transfer's name holds.

    >>> transfer_ends("a.1~b.2~3")
    ('a.1', 'b.2')
    """
    source, to, _ = transfer.split(SEPARATOR)
    return source, to


def settle_transfer(
    transfer: Seen[TransferRow],
    router: Seen[RouterRow],
    source: Seen[GrantRow],
    receiver: Seen[GrantRow],
    workspace: WorkspaceName,
    amount: Tokens,
) -> Transaction | None:
    """Move tokens from the source's grant to the receiver's; None when done before.

    Only who reads the receipt in the receiver's journal may ask for this: the
    receiver itself, or whoever sealed it.

    Args:
        transfer: The transfer's row.
        router: The receiver's row, checked so that a sealed receiver's own
            settlement cannot arrive behind its recovery.
        source: The giver's grant.
        receiver: The receiver's grant.
        workspace: Whose tokens.
        amount: How many.
    """
    old = transfer.value
    if old is not None and old.state is not TransferState.PENDING:
        return None
    name = transfer.key.removeprefix(transfer_key(""))
    giver, to = transfer_ends(name)
    settled = TransferRow(workspace, giver, to, amount, TransferState.SETTLED)
    gave = source.value or GrantRow()
    got = receiver.value or GrantRow()
    return Transaction(
        (transfer.check, router.check, source.check, receiver.check),
        (
            transfer.put(settled),
            source.put(evolve(gave, transferred_out=gave.transferred_out + amount)),
            receiver.put(evolve(got, transferred_in=got.transferred_in + amount)),
        ),
    )


def announce_transfer(
    transfer: Seen[TransferRow], workspace: WorkspaceName, amount: Tokens
) -> Transaction | None:
    """Write a closing giver's transfer into the table; None when it stands there."""
    if transfer.value is not None:
        return None
    source, to = transfer_ends(transfer.key.removeprefix(transfer_key("")))
    row = TransferRow(workspace, source, to, amount, TransferState.PENDING)
    return Transaction((transfer.check,), (transfer.put(row),))


def lapse_transfer(
    transfer: Seen[TransferRow],
    receiver: Seen[RouterRow],
    source: Seen[GrantRow],
    budget: Seen[BudgetRow],
) -> Transaction | None:
    """Return a transfer that never arrived to the budget; None when it may arrive.

    A closed receiver has settled every receipt of its journal and can write no
    more, so a transfer still pending then was lost on its way.  Until that is
    known its tokens stay stranded: they might have been spent over there.
    """
    row = transfer.value
    if row is None or row.state is not TransferState.PENDING:
        return None
    closed = receiver.value is not None and receiver.value.state is RouterState.CLOSED
    if not closed or source.value is None or budget.value is None:
        return None
    gave = source.value
    before = budget.value
    return Transaction(
        (transfer.check, receiver.check, source.check, budget.check),
        (
            transfer.put(evolve(row, state=TransferState.LAPSED)),
            source.put(evolve(gave, returned=gave.returned + row.amount)),
            budget.put(evolve(before, outstanding=before.outstanding - row.amount)),
        ),
    )


def revoke_transfer(
    giver: Seen[RouterRow],
    transfer: Seen[TransferRow],
    receiver: Seen[RouterRow],
    workspace: WorkspaceName,
    amount: Tokens,
) -> Transaction | None:
    """Let a living giver take back what a closed receiver never settled.

    No grant changes: by the table's word the tokens never left the giver.
    """
    row = receiver.value
    if row is None or row.state is not RouterState.CLOSED:
        return None
    if transfer.value is not None:
        return None
    source, to = transfer_ends(transfer.key.removeprefix(transfer_key("")))
    lapsed = TransferRow(workspace, source, to, amount, TransferState.LAPSED)
    return Transaction(
        (giver.check, transfer.check, receiver.check), (transfer.put(lapsed),)
    )


def grant_keys(transfer: str, workspace: WorkspaceName) -> tuple[str, str]:
    """Return the keys of the two grants that a transfer touches."""
    source, to = transfer_ends(transfer)
    return grant_key(source, workspace), grant_key(to, workspace)
