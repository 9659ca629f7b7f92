"""Transfers of tokens between two routers' grants, made without the table.

A transfer's name contains giver and receiver, so a router can check that it is the
receiver.  The table is updated later, by one transaction on both grants.  So in the
table the sum of all grants always equals the budget's outstanding tokens.
"""

from __future__ import annotations

from attrs import evolve

from ebonyhold.coordination._keys import grant_key, transfer_key
from ebonyhold.coordination._observed import Observed
from ebonyhold.coordination._rows import (
    BudgetRow,
    GrantRow,
    RouterRow,
    RouterState,
    TransferRow,
    TransferState,
)
from ebonyhold.coordination._transactions import Transaction
from ebonyhold.types import RouterId, Tokens, WorkspaceName

SEPARATOR = "~"


def transfer_name(source: RouterId, to: RouterId, serial: int) -> str:
    """Return the name of a transfer.

    >>> transfer_name("a.1", "b.2", 3)
    'a.1~b.2~3'
    """
    return SEPARATOR.join((source, to, str(serial)))


def transfer_ends(transfer: str) -> tuple[RouterId, RouterId]:
    """Return the giver and the receiver in a transfer's name.

    >>> transfer_ends("a.1~b.2~3")
    ('a.1', 'b.2')
    """
    source, to, _ = transfer.split(SEPARATOR)
    return source, to


def settle_transfer(
    transfer: Observed[TransferRow],
    router: Observed[RouterRow],
    source: Observed[GrantRow],
    receiver: Observed[GrantRow],
    workspace: WorkspaceName,
    amount: Tokens,
) -> Transaction | None:
    """Plan to move tokens from the giver's grant row to the receiver's.

    None if the transfer is already settled or lapsed.

    Only the receiver itself or the router that sealed it may call this, because the
    receiver's journal must already contain the receipt.

    Args:
        transfer: The transfer's row.
        router: The receiver's row.  The transaction checks it, so a settlement that a
            receiver sent before it was sealed cannot take effect later.
        source: The giver's grant.
        receiver: The receiver's grant.
        workspace: The workspace whose tokens are transferred.
        amount: Number of tokens.
    """
    old = transfer.value
    if old is not None and old.state is not TransferState.PENDING:
        return None
    name = transfer.key.removeprefix(transfer_key(""))
    giver, to = transfer_ends(name)
    settled = TransferRow(workspace, giver, to, amount, TransferState.SETTLED)
    out_row = source.value or GrantRow()
    in_row = receiver.value or GrantRow()
    return Transaction(
        (transfer.check, router.check, source.check, receiver.check),
        (
            transfer.put(settled),
            source.put(
                evolve(out_row, transferred_out=out_row.transferred_out + amount)
            ),
            receiver.put(evolve(in_row, transferred_in=in_row.transferred_in + amount)),
        ),
    )


def announce_transfer(
    transfer: Observed[TransferRow], workspace: WorkspaceName, amount: Tokens
) -> Transaction | None:
    """Plan to write a pending row for a transfer, before its giver is closed.

    None if the table already has a row of it.
    """
    if transfer.value is not None:
        return None
    source, to = transfer_ends(transfer.key.removeprefix(transfer_key("")))
    row = TransferRow(workspace, source, to, amount, TransferState.PENDING)
    return Transaction((transfer.check,), (transfer.put(row),))


def lapse_transfer(
    transfer: Observed[TransferRow],
    receiver: Observed[RouterRow],
    source: Observed[GrantRow],
    budget: Observed[BudgetRow],
) -> Transaction | None:
    """Plan to return the tokens of a lost transfer to the budget.

    None if the transfer is not pending or may still be received.

    A closed receiver has settled every receipt in its journal and cannot write again,
    so a transfer that is still pending never arrived.  Until the receiver is closed,
    the tokens stay in the giver's grant, because the receiver may have spent them.
    """
    row = transfer.value
    if row is None or row.state is not TransferState.PENDING:
        return None
    closed = receiver.value is not None and receiver.value.state is RouterState.CLOSED
    if not closed or source.value is None or budget.value is None:
        return None
    out_row = source.value
    before = budget.value
    return Transaction(
        (transfer.check, receiver.check, source.check, budget.check),
        (
            transfer.put(evolve(row, state=TransferState.LAPSED)),
            source.put(evolve(out_row, returned=out_row.returned + row.amount)),
            budget.put(evolve(before, outstanding=before.outstanding - row.amount)),
        ),
    )


def revoke_transfer(
    giver: Observed[RouterRow],
    transfer: Observed[TransferRow],
    receiver: Observed[RouterRow],
    workspace: WorkspaceName,
    amount: Tokens,
) -> Transaction | None:
    """Plan to mark a transfer as lapsed, so that its running giver keeps the tokens.

    None unless the receiver is closed and the transfer has no row: it then never
    arrived.  No grant row changes, because in the table the tokens never left the
    giver.
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
    """Return the keys of the two grants of a transfer."""
    source, to = transfer_ends(transfer)
    return grant_key(source, workspace), grant_key(to, workspace)
