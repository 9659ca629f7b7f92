"""Model: one keyed chat, run by two routers, billed once.

The first router dies or is paused; the caller retries through the second, which
runs it too.  A run that was cut is worth one token, a whole one two.  Bills are
filed by their routers and by whoever recovers them, and answers get lost.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from ebonyhold.models._checking import Guard, Model, family, replaced

NAMES = "AB"
WORTH = {"": 0, "cut": 1, "whole": 2}


class BillingState(NamedTuple):
    """One request's row, the money that moved for it, two runs.

    Attributes:
        row: What the row says: nothing, ``run``, ``cut`` or ``whole``.
        charge: What the row says it cost.
        spent: What the budget has paid for it.
        run: For each router, how its run ended by its journal: nothing yet,
            ``cut`` or ``whole``.
        filed: For each router, whether its bill is known to be filed.
        doubt: For each router, whether a filing of it has had no answer.
        sequence: For each grant, how many settlements took effect.
        known: For each router, the sequence number it has seen.
        sealed: For each router, whether others have sealed it.
        claimed: Whether the request has a row.
    """

    row: str = ""
    charge: int = 0
    spent: int = 0
    run: tuple[str, ...] = ("", "")
    filed: tuple[bool, ...] = (False, False)
    doubt: tuple[bool, ...] = (False, False)
    sequence: tuple[int, ...] = (0, 0)
    known: tuple[int, ...] = (0, 0)
    sealed: tuple[bool, ...] = (False, False)


GUARDS = (
    Guard(
        "one row for each request",
        "both runs of a retried chat are billed",
        "the budget pays what the row says",
    ),
    Guard(
        "an amended bill pays the difference",
        "the first bill was of a cut answer, and the whole answer is billed on top",
        "the budget pays what the row says",
    ),
    Guard(
        "check the grant's sequence number",
        "a bill whose answer was lost is filed again and paid twice",
        "the budget pays what the row says",
    ),
    Guard(
        "only a better outcome amends",
        "a bill that says less replaces one that says more, then the other way "
        "round, and the row no longer tells what the caller got",
        "the row tells of the best run that was filed",
    ),
)


class BillingModel:
    """The steps of the protocol."""

    def __init__(self, without: str) -> None:
        self.without = without

    def successors(self, s: BillingState) -> Iterator[tuple[str, BillingState]]:
        """Return what may happen next."""
        for place in range(2):
            name = NAMES[place]
            if not s.run[place]:
                for end in ("cut", "whole"):
                    run = replaced(s.run, place, end)
                    label = f"{name}'s run ends {end}"
                    yield label, s._replace(run=run, row=s.row or "run")
            if not s.sealed[place]:
                sealed = replaced(s.sealed, place, True)
                yield f"{name} is sealed", s._replace(sealed=sealed)
                yield from self.file(s, place, name)
            elif s.run[place] and not s.filed[place]:
                filed = replaced(s.filed, place, True)
                done = self.post(s, place)._replace(filed=filed)
                yield f"{name}'s bill is filed by another", done

    def file(
        self, s: BillingState, place: int, name: str
    ) -> Iterator[tuple[str, BillingState]]:
        """File a router's own bill; the answer may be lost."""
        if not s.run[place] or s.filed[place]:
            return
        filed = replaced(s.filed, place, True)
        if s.doubt[place] and self.without != "check the grant's sequence number":
            took = s.sequence[place] > s.known[place]
            resolved = s._replace(doubt=replaced(s.doubt, place, False))
            if took:
                resolved = resolved._replace(filed=filed)
            yield f"{name} reads its grant back", resolved
            return
        posted = self.post(s, place)
        known = replaced(s.known, place, posted.sequence[place])
        yield f"{name} files its bill", posted._replace(filed=filed, known=known)
        if s.sequence[place] < 2:
            doubt = replaced(s.doubt, place, True)
            yield f"{name} files its bill, answer lost", posted._replace(doubt=doubt)
            yield f"{name} files its bill, no effect", s._replace(doubt=doubt)

    def post(self, s: BillingState, place: int) -> BillingState:
        """Return the state after one settlement took effect."""
        end = s.run[place]
        sequence = replaced(s.sequence, place, s.sequence[place] + 1)
        done = s._replace(sequence=sequence)
        if self.without == "one row for each request":
            return done._replace(row=end, charge=WORTH[end], spent=s.spent + WORTH[end])
        if self.without == "check the grant's sequence number":
            # The row is written from a copy read before, without its check.
            return done._replace(row=end, charge=WORTH[end], spent=s.spent + WORTH[end])
        better = WORTH[end] > WORTH.get(s.row, 0)
        if not better and self.without != "only a better outcome amends":
            return done
        change = WORTH[end] - s.charge
        if self.without == "an amended bill pays the difference":
            change = WORTH[end]
        return done._replace(row=end, charge=WORTH[end], spent=s.spent + change)


def best_filed(s: BillingState) -> int:
    """Return the worth of the best run whose bill is known to be filed."""
    filed = [WORTH[run] for run, done in zip(s.run, s.filed, strict=True) if done]
    return max(filed, default=0)


@family("billing", "Billing once, with takeover and recovery", GUARDS)
def build_billing(without: str, deep: bool) -> Model[BillingState]:
    """Build the model; its bounds are the same either way."""
    del deep
    return Model(
        "billing",
        BillingState(),
        BillingModel(without).successors,
        {
            "the budget pays what the row says": lambda s: s.spent == s.charge,
            "the row tells of the best run that was filed": lambda s: (
                s.charge >= best_filed(s)
            ),
            "no run costs more than a whole answer": lambda s: s.spent <= 2,
        },
    )
