"""Replay of the model of claims on the real functions."""

from __future__ import annotations

from typing import Any

from attrs import evolve, frozen

from ebonyhold.coordination import (
    AttemptEvidence,
    AttemptState,
    AttemptStatus,
    ClaimAnswer,
    Intent,
    KeptAnswer,
    LedgerChange,
    Outcome,
    RequestKind,
    RequestState,
    Transaction,
    claim_transaction,
    decide_claim,
    first_attempt,
    settle_run,
)
from ebonyhold.models._checking import Transition, replaced
from ebonyhold.models._claims import FREE, NAMES, ClaimState
from ebonyhold.models._replay import Actions, ReplayError, nothing
from ebonyhold.models._replay_fleet import (
    REQUEST,
    ROUTERS,
    WORKSPACE,
    FleetConcrete,
    start_table,
)

SERVICE = "bookings-1"
DIGEST = "digest"
ANSWER = KeptAnswer(201, "application/json", "{}")
WORDS = {
    RequestState.COMPLETE: "done",
    RequestState.UNKNOWN: "unknown",
    RequestState.NOT_RUN: "not_run",
}

actions: Actions[ClaimConcrete] = Actions()


@frozen
class ClaimConcrete:
    """The platform, each router's run, and its claims under way."""

    fleet: FleetConcrete
    serials: tuple[int, ...] = (0, 0)
    late: tuple[Transaction | None, ...] = (None, None)
    settled: tuple[int, ...] = (0, 0)

    def intent(self, place: int) -> Intent:
        """Return the intent of a router's present run."""
        attempt = first_attempt(ROUTERS[place], self.serials[place])
        kind = RequestKind.BOOKING
        return Intent(WORKSPACE, REQUEST, attempt, SERVICE, 0, kind, DIGEST, True)

    def answer(self) -> ClaimAnswer:
        """Return what the row lets a call do."""
        row = self.fleet.request().value
        return decide_claim(row, RequestKind.BOOKING, DIGEST).answer

    def plan(self, place: int) -> Transaction:
        """Plan the claim of a router's present run."""
        if self.answer() is not ClaimAnswer.RUN:
            raise ReplayError(f"the row says {self.answer()}")
        intent = self.intent(place)
        return claim_transaction(
            self.fleet.opened(place),
            self.fleet.request(),
            ROUTERS[place],
            intent.attempt,
            SERVICE,
            intent.kind,
            DIGEST,
        )

    def commit(self, transaction: Transaction | None) -> ClaimConcrete:
        """Commit a claim."""
        table = self.fleet.table.must_commit(transaction)
        return evolve(self, fleet=evolve(self.fleet, table=table))

    def finish(self, place: int, state: RequestState) -> ClaimConcrete:
        """Journal and file how a run ended, unless its router is sealed."""
        if self.fleet.is_sealed(place) or self.is_finished(place):
            return self
        attempt = self.intent(place).attempt
        kept = ANSWER if state is RequestState.COMPLETE else None
        outcome = Outcome(WORKSPACE, REQUEST, attempt, state, 0, answer=kept)
        fleet = self.fleet.append(place, outcome)
        bills = fleet.reading(place).bills()
        mine = tuple(bill for bill in bills if bill.attempt == attempt)
        settlement = fleet.settlement(place, LedgerChange(mine))
        return evolve(self, fleet=fleet.commit_settlement(settlement))

    def is_finished(self, place: int) -> bool:
        """Say whether a router's journal has no open run."""
        return not self.open_runs(place)

    def open_runs(self, place: int) -> int:
        """Count the runs without an outcome that recovery has not settled."""
        return len(self.fleet.reading(place).open_runs()) - self.settled[place]


class ClaimAdapter:
    """Carries out the steps of the model of claims."""

    def initial(self) -> ClaimConcrete:
        """Return the concrete state that the model begins in."""
        return ClaimConcrete(FleetConcrete(start_table(1)))

    def step(self, concrete: ClaimConcrete, edge: Transition[Any]) -> ClaimConcrete:
        """Carry out what one edge says."""
        return actions.run(self, concrete, edge.label)

    def observe(self, concrete: ClaimConcrete) -> object:
        """Return the row, the seals and the open intents."""
        places = range(len(ROUTERS))
        return (
            word_of(concrete),
            tuple(concrete.fleet.is_sealed(place) for place in places),
            tuple(bool(concrete.open_runs(place)) for place in places),
        )

    def expect(self, state: ClaimState) -> object:
        """Return the same of a state of the model."""
        return state.row, state.sealed, state.intent

    @actions.on("intent is durable")
    def intend(self, concrete: ClaimConcrete, place: int) -> ClaimConcrete:
        """Journal the intent of a new run."""
        serials = replaced(concrete.serials, place, concrete.serials[place] + 1)
        begun = evolve(concrete, serials=serials)
        return evolve(begun, fleet=begun.fleet.append(place, begun.intent(place)))

    @actions.on("claims, no answer")
    def claim_unheard(self, concrete: ClaimConcrete, place: int) -> ClaimConcrete:
        """Send a claim that stays under way; the model has it only for no row."""
        free = concrete.fleet.request().value is None
        plan = concrete.plan(place) if free else None
        return evolve(concrete, late=replaced(concrete.late, place, plan))

    @actions.on("claims")
    def claim(self, concrete: ClaimConcrete, place: int) -> ClaimConcrete:
        """Commit the claim."""
        return concrete.commit(concrete.plan(place))

    @actions.on("claim takes effect")
    def arrive(self, concrete: ClaimConcrete, place: int) -> ClaimConcrete:
        """Let a claim that was under way take effect."""
        arrived = concrete.commit(concrete.late[place])
        return evolve(arrived, late=replaced(concrete.late, place, None))

    @actions.on("claim is lost")
    def lose(self, concrete: ClaimConcrete, place: int) -> ClaimConcrete:
        """Lose a claim that was under way."""
        return evolve(concrete, late=replaced(concrete.late, place, None))

    @actions.on("reads its claim back")
    def read_back(self, concrete: ClaimConcrete, place: int) -> ClaimConcrete:
        """Find the own claim in the row."""
        row = concrete.fleet.request().value
        if row is None or row.attempt != concrete.intent(place).attempt:
            raise ReplayError(f"the row is {row}")
        return concrete

    @actions.on("finds no claim")
    def find_none(self, concrete: ClaimConcrete, place: int) -> ClaimConcrete:
        """Find that the request may still run."""
        if concrete.answer() is not ClaimAnswer.RUN:
            raise ReplayError(f"the row says {concrete.answer()}")
        return concrete

    @actions.on("finds the row taken")
    def find_taken(self, concrete: ClaimConcrete, place: int) -> ClaimConcrete:
        """Find that the request may not run, and end the own run."""
        if concrete.answer() not in (ClaimAnswer.UNKNOWN, ClaimAnswer.REPLAY):
            raise ReplayError(f"the row says {concrete.answer()}")
        return concrete.finish(place, RequestState.NOT_RUN)

    @actions.on("gives up", "learns of its seal")
    def give_up(self, concrete: ClaimConcrete, place: int) -> ClaimConcrete:
        """End the own run before its dispatch."""
        return concrete.finish(place, RequestState.NOT_RUN)

    @actions.on("records the outcome")
    def complete(self, concrete: ClaimConcrete, place: int) -> ClaimConcrete:
        """Record the service's answer."""
        return concrete.finish(place, RequestState.COMPLETE)

    @actions.on("records that it knows")
    def lose_answer(self, concrete: ClaimConcrete, place: int) -> ClaimConcrete:
        """Record that the answer was lost."""
        return concrete.finish(place, RequestState.UNKNOWN)

    @actions.on("is sealed")
    def seal(self, concrete: ClaimConcrete, place: int) -> ClaimConcrete:
        """Seal both chains of a router."""
        fleet = concrete.fleet.seal_row(place).seal_chain(place)
        return evolve(concrete, fleet=fleet)

    @actions.on("intent is settled")
    def recover(self, concrete: ClaimConcrete, place: int) -> ClaimConcrete:
        """Settle a sealed router's open run; the service says nothing of it."""
        runs = concrete.fleet.reading(place).open_runs()
        status = AttemptStatus(AttemptState.UNKNOWN)
        evidence = [AttemptEvidence(intent, status) for intent in runs[-1]]
        bill = settle_run(evidence, charge_unknown=True)
        assert bill is not None
        settlement = concrete.fleet.settlement(place, LedgerChange((bill,)))
        settled = replaced(concrete.settled, place, concrete.settled[place] + 1)
        fleet = concrete.fleet.commit_settlement(settlement)
        return evolve(concrete, fleet=fleet, settled=settled)


actions.on("dispatches", "dies", "gets a retry")(nothing)
actions.on("needs no claim", "takes its claim for granted")(nothing)


def word_of(concrete: ClaimConcrete) -> str:
    """Return the model's word for what the row holds."""
    row = concrete.fleet.request().value
    if row is None:
        return FREE
    if row.state is RequestState.RUNNING:
        return NAMES[ROUTERS.index(row.owner)]
    return WORDS[row.state]
