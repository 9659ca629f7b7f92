"""Model: grants with transfer, death, sealing and reclaim.

Two incarnations draw on one budget; each runs one request of one token at a time,
and the first may give one token to the second.  A journal has two places, the
table and the object store, and a pause is that nothing happens in between.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from ebonyhold.models._checking import Guard, Model, family, replaced

NAMES = "AB"

NONE, INTENT, RAN, ENDED, BILLED, CLOSED = "-", "intent", "ran", "ended", "billed", "x"
NO_GIFT, GIVEN, SILENT, RECEIVED, SETTLED, LAPSED = (
    "-",
    "given",
    "silent",
    "received",
    "settled",
    "lapsed",
)


class GrantState(NamedTuple):
    """The budget, two incarnations and their journals, one engine, one transfer.

    Attributes:
        held: For each grant row, the tokens it says are held.
        outstanding: Tokens out of the budget.
        spent: Tokens of filed bills.
        used: Tokens that engines have produced.
        up: For each router, whether it runs.
        sealed: For each router, whether its row is sealed: it keeps it from all
            writes to the table.
        shut: For each router, whether its chain in the object store is sealed.
        closed: For each router, whether its recovery has ended.
        free: For each router, tokens in its memory that nobody holds.
        attempt: For each router, how far its request has come, by its journal
            and the engine.
        gift: How far the transfer from A to B has come, by the journals.
        copies: Copies of the transfer's message that are under way.
        draws: How many draws may still happen.
    """

    held: tuple[int, ...] = (0, 0)
    outstanding: int = 0
    spent: int = 0
    used: int = 0
    up: tuple[bool, ...] = (True, True)
    sealed: tuple[bool, ...] = (False, False)
    shut: tuple[bool, ...] = (False, False)
    closed: tuple[bool, ...] = (False, False)
    free: tuple[int, ...] = (0, 0)
    attempt: tuple[str, ...] = (NONE, NONE)
    gift: str = NO_GIFT
    copies: int = 0
    draws: int = 2


GUARDS = (
    Guard(
        "seal the table's chain",
        "a router that was only paused makes a new intent after its grant went "
        "back to the budget",
        "what was used is billed or out of the budget",
    ),
    Guard(
        "seal the object store's chain",
        "a router that is cut off from the table goes on in the object store "
        "after its grant went back",
        "what was used is billed or out of the budget",
    ),
    Guard(
        "close attempts at the engine",
        "an attempt found not to have run is dispatched by its paused router "
        "after its hold went back",
        "what was used is billed or out of the budget",
    ),
    Guard(
        "journal a transfer before sending it",
        "the giver dies, its grant goes back whole, and the receiver spends the rest",
        "what was used is billed or out of the budget",
    ),
    Guard(
        "count a transfer once",
        "the message arrives twice, and the receiver spends what nobody gave",
        "what was used is billed or out of the budget",
    ),
    Guard(
        "lapse a transfer only when its receiver is closed",
        "a transfer goes back to the budget while its message is still under way",
        "what was used is billed or out of the budget",
    ),
    Guard(
        "check what remains when drawing",
        "two routers draw the last token at once",
        "the budget is never exceeded",
    ),
)


class GrantModel:
    """The steps of the protocol, with bounds."""

    def __init__(self, without: str, deep: bool) -> None:
        self.without = without
        self.prepaid = 3 if deep else 1

    def successors(self, s: GrantState) -> Iterator[tuple[str, GrantState]]:
        """Return what may happen next."""
        for place in range(2):
            if s.up[place]:
                yield from self.draw(s, place)
                yield from self.run(s, place)
                yield from self.bill(s, place)
                yield from self.stop(s, place)
            yield from self.seal(s, place)
            yield from self.judge(s, place)
            yield from self.close(s, place)
        yield from self.give(s)
        yield from self.carry(s)
        yield from self.settle(s)

    def may_append(self, s: GrantState, place: int) -> bool:
        """Say whether a router can still write to its journal, in either place."""
        unchecked = self.without == "seal the table's chain"
        return unchecked or not s.sealed[place] or not s.shut[place]

    def draw(self, s: GrantState, place: int) -> Iterator[tuple[str, GrantState]]:
        """Move a token from the budget to the grant; the answer may be lost."""
        remaining = self.prepaid - s.outstanding - s.spent
        unchecked = self.without == "check what remains when drawing"
        if s.sealed[place] or not s.draws or (remaining < 1 and not unchecked):
            return
        drawn = s._replace(
            held=replaced(s.held, place, s.held[place] + 1),
            outstanding=s.outstanding + 1,
            draws=s.draws - 1,
        )
        free = replaced(s.free, place, s.free[place] + 1)
        yield f"{NAMES[place]} draws", drawn._replace(free=free)
        yield f"{NAMES[place]} draws, dies before the answer", self.dead(drawn, place)

    def run(self, s: GrantState, place: int) -> Iterator[tuple[str, GrantState]]:
        """Make an intent durable, dispatch it, make its outcome durable."""
        name, attempt = NAMES[place], s.attempt[place]
        if attempt == NONE and s.free[place] and self.may_append(s, place):
            free = replaced(s.free, place, s.free[place] - 1)
            intended = self.moved(s, place, INTENT)._replace(free=free)
            yield f"{name}'s intent is durable", intended
        open_again = self.without == "close attempts at the engine"
        if attempt == INTENT or (attempt == CLOSED and open_again):
            ran = self.moved(s, place, RAN if attempt == INTENT else CLOSED + RAN)
            yield f"{name} dispatches, the engine runs", ran._replace(used=s.used + 1)
        if attempt == RAN and self.may_append(s, place):
            yield f"{name}'s outcome is durable", self.moved(s, place, ENDED)

    def bill(self, s: GrantState, place: int) -> Iterator[tuple[str, GrantState]]:
        """File a bill, or give what is free back, while not sealed."""
        if s.sealed[place]:
            return
        name = NAMES[place]
        if s.attempt[place] == ENDED and s.held[place]:
            yield f"{name} files its bill", self.billed(s, place)
        if s.free[place] and s.held[place]:
            free = replaced(s.free, place, s.free[place] - 1)
            returned = self.returned(s, place, 1)._replace(free=free)
            yield f"{name} gives a token back", returned

    def stop(self, s: GrantState, place: int) -> Iterator[tuple[str, GrantState]]:
        """Die, or learn of the seal: either way the memory is gone."""
        yield f"{NAMES[place]} dies", self.dead(s, place)

    def seal(self, s: GrantState, place: int) -> Iterator[tuple[str, GrantState]]:
        """Seal a router's journal, dead or not: first the table, then the store."""
        name = NAMES[place]
        if not s.sealed[place]:
            yield (
                f"{name}'s row is sealed",
                s._replace(sealed=replaced(s.sealed, place, True)),
            )
        elif not s.shut[place]:
            yield (
                f"{name}'s objects are sealed",
                s._replace(shut=replaced(s.shut, place, True)),
            )

    def recoverable(self, s: GrantState, place: int) -> bool:
        """Say whether a router's journal can be read for good."""
        halfway = self.without == "seal the object store's chain"
        sealed = s.sealed[place] and (s.shut[place] or halfway)
        return sealed and not s.closed[place]

    def judge(self, s: GrantState, place: int) -> Iterator[tuple[str, GrantState]]:
        """Ask the engine about an open attempt, and file the bill it leads to."""
        if not self.recoverable(s, place):
            return
        name, attempt = NAMES[place], s.attempt[place]
        if attempt == INTENT:
            closed = self.moved(s, place, CLOSED)
            yield f"{name}'s attempt is closed: never ran", closed
        if attempt == RAN:
            ended = self.moved(s, place, ENDED)
            yield f"{name}'s attempt is closed: finished", ended
        if attempt == ENDED and s.held[place]:
            yield f"{name}'s bill is filed by another", self.billed(s, place)

    def close(self, s: GrantState, place: int) -> Iterator[tuple[str, GrantState]]:
        """Return the rest of a grant, but for a transfer that may still arrive."""
        if not self.recoverable(s, place):
            return
        waiting = s.attempt[place] in (INTENT, RAN, ENDED)
        unsettled = place == 1 and s.gift == RECEIVED
        if waiting or unsettled:
            return
        pending = place == 0 and s.gift in (GIVEN, RECEIVED)
        back = max(s.held[place] - pending, 0)
        closed = self.returned(s, place, back)
        yield (
            f"{NAMES[place]} is closed, {back} returned",
            closed._replace(closed=replaced(s.closed, place, True)),
        )

    def give(self, s: GrantState) -> Iterator[tuple[str, GrantState]]:
        """Journal a transfer at A, and send its message twice."""
        if s.gift != NO_GIFT or not s.up[0] or not s.free[0]:
            return
        free = replaced(s.free, 0, s.free[0] - 1)
        sent = s._replace(free=free, copies=2)
        if self.without == "journal a transfer before sending it":
            yield "A sends a token, not journalled", sent._replace(gift=SILENT)
        elif self.may_append(s, 0):
            yield "A journals a transfer and sends it", sent._replace(gift=GIVEN)

    def carry(self, s: GrantState) -> Iterator[tuple[str, GrantState]]:
        """Let a copy of the transfer's message arrive or get lost."""
        if not s.copies:
            return
        rest = s._replace(copies=s.copies - 1)
        yield "a copy of the message is lost", rest
        if not s.up[1] or not self.may_append(s, 1):
            return
        again = s.gift in (RECEIVED, SETTLED)
        if again and self.without != "count a transfer once":
            yield "B receives the transfer again", rest
        elif s.gift != LAPSED or self.without:
            gift = s.gift if again else RECEIVED
            free = replaced(s.free, 1, s.free[1] + 1)
            yield "B journals the transfer", rest._replace(gift=gift, free=free)

    def settle(self, s: GrantState) -> Iterator[tuple[str, GrantState]]:
        """Move a received transfer between the grants, or return a lost one."""
        by_receiver = s.up[1] and not s.sealed[1]
        if s.gift == RECEIVED and (by_receiver or self.recoverable(s, 1)):
            moved = (s.held[0] - 1, s.held[1] + 1)
            yield "the transfer is settled", s._replace(held=moved, gift=SETTLED)
        early = self.without == "lapse a transfer only when its receiver is closed"
        if s.gift == GIVEN and s.closed[0] and (s.closed[1] or early):
            lapsed = self.returned(s, 0, 1)._replace(gift=LAPSED)
            yield "the transfer lapses", lapsed

    def moved(self, s: GrantState, place: int, attempt: str) -> GrantState:
        """Return the state with one attempt moved on."""
        return s._replace(attempt=replaced(s.attempt, place, attempt))

    def dead(self, s: GrantState, place: int) -> GrantState:
        """Return the state without one router's memory."""
        return s._replace(
            up=replaced(s.up, place, False), free=replaced(s.free, place, 0)
        )

    def returned(self, s: GrantState, place: int, amount: int) -> GrantState:
        """Return the state after tokens went from a grant to the budget."""
        return s._replace(
            held=replaced(s.held, place, s.held[place] - amount),
            outstanding=s.outstanding - amount,
        )

    def billed(self, s: GrantState, place: int) -> GrantState:
        """Return the state after a bill was filed."""
        paid = self.returned(s, place, 1)._replace(spent=s.spent + 1)
        return self.moved(paid, place, BILLED)


@family("grants", "Grants with transfer, death, sealing and reclaim", GUARDS)
def build_grants(without: str, deep: bool) -> Model[GrantState]:
    """Build the model."""
    model = GrantModel(without, deep)
    return Model(
        "grants",
        GrantState(draws=4 if deep else 2),
        model.successors,
        {
            "the budget is never exceeded": lambda s: (
                s.spent + s.outstanding <= model.prepaid
            ),
            "what was used is billed or out of the budget": lambda s: (
                s.used <= s.spent + s.outstanding
            ),
            "grants add up to what is outstanding": lambda s: (
                sum(s.held) == s.outstanding
            ),
        },
    )
