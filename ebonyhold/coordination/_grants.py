"""Grants: changes of budget and grant rows, and a router's ledger of one grant."""

from __future__ import annotations

from attrs import define, evolve

from ebonyhold.coordination._rows import BudgetRow, GrantRow
from ebonyhold.types import Tokens


def change_budget(
    row: BudgetRow, *, drawn: Tokens = 0, returned: Tokens = 0, paid: Tokens = 0
) -> BudgetRow:
    """Return a budget after tokens were drawn, returned or billed.

    Raises:
        ValueError: The draw exceeds the remaining tokens.
    """
    after = evolve(
        row,
        outstanding=row.outstanding + drawn - returned - paid,
        spent=row.spent + paid,
    )
    if drawn and after.remaining < 0:
        raise ValueError(f"a draw of {drawn} exceeds the {row.remaining} left")
    return after


def change_grant(
    row: GrantRow,
    *,
    drawn: Tokens = 0,
    returned: Tokens = 0,
    billed: Tokens = 0,
    transferred_in: Tokens = 0,
    transferred_out: Tokens = 0,
) -> GrantRow:
    """Return a grant after one change, with the next sequence number."""
    return evolve(
        row,
        drawn=row.drawn + drawn,
        returned=row.returned + returned,
        billed=row.billed + billed,
        sequence=row.sequence + 1,
        transferred_in=row.transferred_in + transferred_in,
        transferred_out=row.transferred_out + transferred_out,
    )


@define
class GrantLedger:
    """One router's ledger of one grant, between two writes of the grant's row.

    While no change of the row is in flight, the tokens held according to the row equal
    ``available + held + unfiled + given - received``.

    Attributes:
        available: Tokens that are free for new holds.
        held: Tokens held by running requests.
        unfiled: Tokens of bills that are not in the table yet.
        given: Tokens given to other routers, not settled in the table yet.
        received: Tokens received from other routers, not settled in the table yet.
    """

    available: Tokens = 0
    held: Tokens = 0
    unfiled: Tokens = 0
    given: Tokens = 0
    received: Tokens = 0

    @property
    def total(self) -> Tokens:
        """Tokens held according to the grant's row while no change is in flight."""
        return self.available + self.held + self.unfiled + self.given - self.received

    @property
    def empty(self) -> bool:
        """Whether all counters are zero, so that the ledger can be dropped."""
        return not (
            self.available or self.held or self.unfiled or self.given or self.received
        )

    @property
    def own_tokens(self) -> Tokens:
        """Tokens that this router must still bill or return."""
        return self.available + self.held + self.unfiled

    def hold(self, amount: Tokens) -> bool:
        """Set tokens aside for a request; return False if too few are available."""
        if amount > self.available:
            return False
        self.available -= amount
        self.held += amount
        return True

    def settle(self, hold: Tokens, charge: Tokens) -> None:
        """End a hold: the charge becomes unfiled, the rest available again."""
        self.held -= hold
        self.unfiled += charge
        self.available += hold - charge

    def filed(self, charge: Tokens, paid: Tokens) -> None:
        """Record a filed bill; the unpaid part of its charge is available again."""
        self.unfiled -= charge
        self.available += charge - paid

    def give(self, amount: Tokens) -> None:
        """Record that available tokens were given to another router."""
        self.available -= amount
        self.given += amount

    def receive(self, amount: Tokens) -> None:
        """Record tokens received from another router; they are available now."""
        self.available += amount
        self.received += amount

    @property
    def returnable(self) -> Tokens:
        """Tokens that may be returned to the budget.

        Received tokens are left out, because they are added to this grant's row only
        when their receipt is settled.  If they are given to another router before that,
        the held tokens in the row are negative until then.  Receipts are settled before
        bills are filed or tokens are returned, also in a recovery.
        """
        return max(self.available - self.received, 0)
