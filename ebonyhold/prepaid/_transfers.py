"""Transfers of tokens between routers, without the store.

The giver counts transferred tokens as used, within its limit, before it answers.  The
receiver does not add them to the drawn tokens of its own grant row, from which a
successor computes the unused ones.  So a successor can still compute the unused tokens
of each grant from that grant's row and limit alone.  If the answer is lost, neither
router can spend the tokens.  Both routers file the transferred tokens in their rows
with the next change of their grants.

Transfers serve requests at a router that has no tokens of its own while the store is
unreachable, or while all tokens of the budget are granted to routers.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Protocol

from attrs import frozen

from ebonyhold.types import Tokens, WorkspaceName


@frozen
class Offer:
    """Another router's offer to give tokens.

    Attributes:
        peer: Name of the router's VM.
        tokens: Number of tokens that the router can give, with those that it can draw.
        own: The part of them that the router has itself; None if it is of an older
            version, which does not state it.
    """

    peer: str
    tokens: Tokens
    own: Tokens | None = None

    def without_budget(self, remaining: Tokens) -> Tokens:
        """Return the tokens that the router has itself.

        Args:
            remaining: What the budget has left, which all routers in touch offer.
        """
        return max(0, self.tokens - remaining) if self.own is None else self.own


class TransferPeers(Protocol):
    """Calls to the other routers for transfers."""

    async def offers(self, workspace: WorkspaceName) -> Sequence[Offer]:
        """Request offers from other routers and return those that arrive in time."""
        ...

    async def transfer(
        self, peer: str, workspace: WorkspaceName, amount: Tokens
    ) -> Tokens:
        """Request tokens from a router; return how many arrived, possibly 0."""
        ...


def choose_givers(offers: Iterable[Offer], lacking: Tokens) -> list[str]:
    """Return the routers to request tokens from, those with the most tokens first.

    The list is empty if all offers together are too small.  A partial transfer would
    not serve the request, and would take tokens that the givers' own, smaller requests
    may need.

    >>> offers = [Offer("a", 10), Offer("b", 50), Offer("c", 30)]
    >>> choose_givers(offers, 70)
    ['b', 'c']
    >>> choose_givers(offers, 100)
    []
    """
    chosen = []
    missing = lacking
    for offer in sorted(offers, key=lambda offer: offer.tokens, reverse=True):
        if missing <= 0:
            break
        chosen.append(offer.peer)
        missing -= offer.tokens
    return chosen if missing <= 0 else []
