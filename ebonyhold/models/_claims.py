"""Model: a call that may not be repeated, retried through two routers.

The plain service honours no keys and cannot be asked what it did.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from ebonyhold.models._checking import Guard, Model, family, replaced

NAMES = "AB"

IDLE, INTENDED, ASKED, CLAIMED, SENT, ENDED = (
    "idle",
    "intended",
    "asked",
    "claimed",
    "sent",
    "ended",
)
FREE, NOT_RUN, UNKNOWN, DONE = "-", "not_run", "unknown", "done"


class ClaimState(NamedTuple):
    """One request's row, two routers that are given the call, one service.

    Attributes:
        row: ``-`` while there is none, ``A`` or ``B`` while it runs there, then
            ``done``, ``unknown`` or ``not_run``.
        phase: For each router, how far it has come.
        late: For each router, whether a claim of it is still under way, made
            when there was no row.
        up: For each router, whether it runs.
        sealed: For each router, whether others have sealed it.
        intent: For each router, whether its journal has an intent without an
            outcome.
        ran: For each router, whether the service ran its present call.
        answered: For each router, whether it has got the service's answer.
        told: For each router, what its caller was told.
        runs: How often the service ran the request in all.
        retries: How often the caller may still try again.
    """

    row: str = FREE
    phase: tuple[str, ...] = (IDLE, IDLE)
    late: tuple[bool, ...] = (False, False)
    up: tuple[bool, ...] = (True, True)
    sealed: tuple[bool, ...] = (False, False)
    intent: tuple[bool, ...] = (False, False)
    ran: tuple[bool, ...] = (False, False)
    answered: tuple[bool, ...] = (False, False)
    told: tuple[str, ...] = ("", "")
    runs: int = 0
    retries: int = 0


GUARDS = (
    Guard(
        "claim before dispatch",
        "the caller's retry reaches another router while the first call runs",
        "the service runs it at most once",
    ),
    Guard(
        "read back a claim whose answer was lost",
        "a claim without an answer is taken for granted, while another router has it",
        "the service runs it at most once",
    ),
    Guard(
        "an open intent becomes unknown",
        "recovery frees the claim of a router that is only paused",
        "the service runs it at most once",
    ),
    Guard(
        "not run is filed for the own claim only",
        "a router that lost the race files that nothing ran here, and so frees "
        "the claim of the one that won",
        "the service runs it at most once",
    ),
    Guard(
        "a lost answer is never told as not run",
        "the service ran the call, and the caller hears that it did not",
        "what is told as not run has not run",
    ),
)


class ClaimModel:
    """The steps of the protocol."""

    def __init__(self, without: str) -> None:
        self.without = without

    def successors(self, s: ClaimState) -> Iterator[tuple[str, ClaimState]]:
        """Return what may happen next."""
        for place in range(2):
            if s.up[place]:
                yield from self.begin(s, place)
                yield from self.claim(s, place)
                yield from self.resolve(s, place)
                yield from self.dispatch(s, place)
                yield from self.end(s, place)
                dead = s._replace(up=replaced(s.up, place, False))
                yield f"{NAMES[place]} dies", dead
            yield from self.arrive(s, place)
            yield from self.recover(s, place)

    def move(self, s: ClaimState, place: int, phase: str) -> ClaimState:
        """Return the state with one router in another phase."""
        return s._replace(phase=replaced(s.phase, place, phase))

    def tell(self, s: ClaimState, place: int, what: str) -> ClaimState:
        """Return the state after a router told its caller something."""
        ended = self.move(s, place, ENDED)
        return ended._replace(told=replaced(s.told, place, what))

    def end_not_run(self, s: ClaimState, place: int, what: str) -> ClaimState:
        """Return the state after a run ended before its dispatch.

        The outcome is journalled and filed, unless the router is sealed.
        """
        told = self.tell(s, place, what)
        if s.sealed[place]:
            return told
        own = s.row in (FREE, NAMES[place])
        if self.without == "not run is filed for the own claim only":
            own = own or s.row in NAMES
        row = NOT_RUN if own else s.row
        return told._replace(row=row, intent=replaced(s.intent, place, False))

    def begin(self, s: ClaimState, place: int) -> Iterator[tuple[str, ClaimState]]:
        """Take the call and make the intent durable, or take a retry."""
        name = NAMES[place]
        if s.phase[place] == IDLE:
            if s.sealed[place]:
                yield f"{name} learns of its seal", self.tell(s, place, NOT_RUN)
                return
            intent = replaced(s.intent, place, True)
            intended = self.move(s, place, INTENDED)._replace(intent=intent)
            yield f"{name}'s intent is durable", intended
        if s.phase[place] == ENDED and s.retries and not s.late[place]:
            retried = self.move(s, place, IDLE)._replace(
                told=replaced(s.told, place, ""),
                ran=replaced(s.ran, place, False),
                answered=replaced(s.answered, place, False),
                retries=s.retries - 1,
            )
            yield f"{name} gets a retry", retried

    def claim(self, s: ClaimState, place: int) -> Iterator[tuple[str, ClaimState]]:
        """Commit the claim; the answer may be lost, and the commit be slow."""
        if s.phase[place] != INTENDED:
            return
        name = NAMES[place]
        if self.without == "claim before dispatch":
            yield f"{name} needs no claim", self.move(s, place, CLAIMED)
            return
        if s.sealed[place]:
            sealed = self.end_not_run(s, place, NOT_RUN)
            yield f"{name} learns of its seal", sealed
        elif s.row in (FREE, NOT_RUN):
            yield f"{name} claims", self.move(s, place, CLAIMED)._replace(row=name)
            late = replaced(s.late, place, s.row == FREE)
            asked = self.move(s, place, ASKED)
            yield f"{name} claims, no answer yet", asked._replace(late=late)
        else:
            yield f"{name} finds the row taken", self.refused(s, place)

    def refused(self, s: ClaimState, place: int) -> ClaimState:
        """Return the state after a router found the row taken or finished."""
        what = "answer" if s.row == DONE else UNKNOWN
        return self.end_not_run(s, place, what)

    def arrive(self, s: ClaimState, place: int) -> Iterator[tuple[str, ClaimState]]:
        """Let a slow claim reach the table, or get lost."""
        if not s.late[place]:
            return
        name = NAMES[place]
        rest = s._replace(late=replaced(s.late, place, False))
        yield f"{name}'s claim is lost", rest
        if s.row == FREE and not s.sealed[place]:
            yield f"{name}'s claim takes effect", rest._replace(row=name)

    def resolve(self, s: ClaimState, place: int) -> Iterator[tuple[str, ClaimState]]:
        """Read the row back after a lost answer, or give up before dispatch."""
        if s.phase[place] != ASKED:
            return
        name = NAMES[place]
        given_up = self.end_not_run(s, place, NOT_RUN)
        yield f"{name} gives up before dispatch", given_up
        careless = self.without == "read back a claim whose answer was lost"
        if careless:
            yield f"{name} takes its claim for granted", self.move(s, place, CLAIMED)
        elif s.sealed[place]:
            yield f"{name} learns of its seal", given_up
        elif s.row == name:
            yield f"{name} reads its claim back", self.move(s, place, CLAIMED)
        elif s.row in (FREE, NOT_RUN):
            yield f"{name} finds no claim", self.move(s, place, INTENDED)
        else:
            yield f"{name} finds the row taken", self.refused(s, place)

    def dispatch(self, s: ClaimState, place: int) -> Iterator[tuple[str, ClaimState]]:
        """Send the call, and let the service run it, or not."""
        if s.phase[place] != CLAIMED:
            return
        name = NAMES[place]
        sent = self.move(s, place, SENT)
        ran = sent._replace(ran=replaced(s.ran, place, True), runs=s.runs + 1)
        answered = ran._replace(answered=replaced(s.answered, place, True))
        yield f"{name} dispatches, the service answers", answered
        yield f"{name} dispatches, the answer is lost", ran
        yield f"{name} dispatches, the call is lost", sent

    def end(self, s: ClaimState, place: int) -> Iterator[tuple[str, ClaimState]]:
        """Record the outcome and tell the caller."""
        if s.phase[place] != SENT:
            return
        name = NAMES[place]
        if self.without == "a lost answer is never told as not run":
            yield f"{name} tells its caller: not run", self.tell(s, place, NOT_RUN)
        elif s.answered[place]:
            told = self.tell(s, place, "answer")
            yield f"{name} records the outcome", self.file(told, place, DONE)
        else:
            told = self.tell(s, place, UNKNOWN)
            yield (
                f"{name} records that it knows nothing",
                self.file(told, place, UNKNOWN),
            )

    def file(self, s: ClaimState, place: int, row: str) -> ClaimState:
        """Return the state after a run's outcome was journalled and filed."""
        if s.sealed[place]:
            return s
        filed = s.row if s.row == DONE else row
        return s._replace(row=filed, intent=replaced(s.intent, place, False))

    def recover(self, s: ClaimState, place: int) -> Iterator[tuple[str, ClaimState]]:
        """Seal a router, dead or not, and settle its open intent."""
        name = NAMES[place]
        if not s.sealed[place]:
            sealed = replaced(s.sealed, place, True)
            yield f"{name} is sealed", s._replace(sealed=sealed)
            return
        if not s.intent[place]:
            return
        settled = s._replace(intent=replaced(s.intent, place, False))
        if self.without == "an open intent becomes unknown":
            yield (
                f"{name}'s intent is settled as not run",
                settled._replace(row=NOT_RUN if s.row in (FREE, name) else s.row),
            )
            return
        row = s.row if s.row == DONE else UNKNOWN
        yield f"{name}'s intent is settled as unknown", settled._replace(row=row)


@family("claims", "Calls that may not be repeated", GUARDS)
def build_claims(without: str, deep: bool) -> Model[ClaimState]:
    """Build the model."""
    return Model(
        "claims",
        ClaimState(retries=3 if deep else 1),
        ClaimModel(without).successors,
        {
            "the service runs it at most once": lambda s: s.runs <= 1,
            "what is told as not run has not run": lambda s: (
                not any(
                    told == NOT_RUN and ran
                    for told, ran in zip(s.told, s.ran, strict=True)
                )
            ),
        },
    )
