"""Replay of the model of billing on the real functions."""

from __future__ import annotations

from typing import Any

from attrs import evolve, frozen

from ebonyhold.coordination import (
    GrantRow,
    Intent,
    LedgerChange,
    Outcome,
    RequestKind,
    RequestState,
    Settlement,
    claim_transaction,
    first_attempt,
)
from ebonyhold.models._billing import WORTH, BillingState
from ebonyhold.models._checking import Transition, replaced
from ebonyhold.models._replay import Actions, ReplayError
from ebonyhold.models._replay_fleet import (
    REQUEST,
    ROUTERS,
    WORKSPACE,
    FleetConcrete,
    grant_place,
    start_table,
)

ENGINE = "engine-1"
DIGEST = "digest"
HOLD = 2
STATES = {"cut": RequestState.INTERRUPTED, "whole": RequestState.COMPLETE}
WORDS = {
    RequestState.RUNNING: "run",
    **{state: word for word, state in STATES.items()},
}

actions: Actions[BillingConcrete] = Actions()


@frozen
class BillingConcrete:
    """The platform, and the grant's sequence number that each router knows."""

    fleet: FleetConcrete
    known: tuple[int, ...] = (1, 1)
    filed: tuple[bool, ...] = (False, False)

    def intent(self, place: int) -> Intent:
        """Return the intent of a router's only run."""
        attempt = first_attempt(ROUTERS[place], 1)
        kind = RequestKind.CHAT
        return Intent(WORKSPACE, REQUEST, attempt, ENGINE, HOLD, kind, DIGEST, True)

    def end(self, place: int, word: str) -> BillingConcrete:
        """Journal a run and its outcome, and claim the request if nobody has."""
        intent = self.intent(place)
        outcome = Outcome(WORKSPACE, REQUEST, intent.attempt, STATES[word], WORTH[word])
        fleet = self.claim(place)
        return evolve(self, fleet=fleet.append(place, intent).append(place, outcome))

    def claim(self, place: int) -> FleetConcrete:
        """Claim the request, if it has no row."""
        request = self.fleet.request()
        if request.value is not None:
            return self.fleet
        wish = claim_transaction(
            self.fleet.router(place),
            request,
            ROUTERS[place],
            self.intent(place).attempt,
            ENGINE,
            RequestKind.CHAT,
            DIGEST,
        )
        return evolve(self.fleet, table=self.fleet.table.must_commit(wish))

    def settlement(self, place: int) -> Settlement:
        """Plan to file a router's bill."""
        bills = self.fleet.reading(place).bills()
        return self.fleet.settlement(place, LedgerChange(bills))

    def file(self, place: int) -> BillingConcrete:
        """File a router's bill."""
        fleet = self.fleet.commit_settlement(self.settlement(place))
        return evolve(self, fleet=fleet)

    def hear(self, place: int) -> BillingConcrete:
        """Note that a filing took effect."""
        sequence = sequence_of(self, place)
        return evolve(
            self,
            known=replaced(self.known, place, sequence),
            filed=replaced(self.filed, place, True),
        )


class BillingAdapter:
    """Carries out the steps of the model of billing."""

    def initial(self) -> BillingConcrete:
        """Return two routers, each with a grant for the dearest run."""
        fleet = FleetConcrete(start_table(HOLD * len(ROUTERS)))
        for place in range(len(ROUTERS)):
            drawn = fleet.settlement(place, LedgerChange(draw=HOLD))
            fleet = fleet.commit_settlement(drawn)
        return BillingConcrete(fleet)

    def step(self, concrete: BillingConcrete, edge: Transition[Any]) -> BillingConcrete:
        """Carry out what one edge says."""
        return actions.run(self, concrete, edge.label)

    def observe(self, concrete: BillingConcrete) -> object:
        """Return the row, the money, and what was filed."""
        row = concrete.fleet.request().value
        places = range(len(ROUTERS))
        return (
            (WORDS[row.state], row.charge) if row else ("", 0),
            concrete.fleet.budget().spent,
            tuple(sequence_of(concrete, place) - 1 for place in places),
            concrete.filed,
            tuple(concrete.fleet.is_sealed(place) for place in places),
        )

    def expect(self, state: BillingState) -> object:
        """Return the same of a state of the model."""
        row = (state.row, state.charge)
        return row, state.spent, state.sequence, state.filed, state.sealed

    @actions.on("run ends cut")
    def cut(self, concrete: BillingConcrete, place: int) -> BillingConcrete:
        """End a run before its answer is whole."""
        return concrete.end(place, "cut")

    @actions.on("run ends whole")
    def complete(self, concrete: BillingConcrete, place: int) -> BillingConcrete:
        """End a run with a whole answer."""
        return concrete.end(place, "whole")

    @actions.on("files its bill, answer lost")
    def file_unheard(self, concrete: BillingConcrete, place: int) -> BillingConcrete:
        """File, and hear nothing."""
        return concrete.file(place)

    @actions.on("files its bill, no effect")
    def file_in_vain(self, concrete: BillingConcrete, place: int) -> BillingConcrete:
        """Send a filing that never arrives."""
        concrete.settlement(place)
        return concrete

    @actions.on("files its bill")
    def file(self, concrete: BillingConcrete, place: int) -> BillingConcrete:
        """File, and hear of it."""
        return concrete.file(place).hear(place)

    @actions.on("reads its grant back")
    def read_back(self, concrete: BillingConcrete, place: int) -> BillingConcrete:
        """Tell by the sequence number whether a filing took effect."""
        took = sequence_of(concrete, place) > concrete.known[place]
        return concrete.hear(place) if took else concrete

    @actions.on("is sealed")
    def seal(self, concrete: BillingConcrete, place: int) -> BillingConcrete:
        """Seal a router's row."""
        sealed = concrete.fleet.seal_row(place)
        if sealed.table.commit(concrete.settlement(place).transaction) is not None:
            raise ReplayError("a sealed router still settles")
        return evolve(concrete, fleet=sealed)

    @actions.on("bill is filed by another")
    def recover(self, concrete: BillingConcrete, place: int) -> BillingConcrete:
        """File a sealed router's bill, as far as it is not filed."""
        filed = concrete.file(place)
        return evolve(filed, filed=replaced(concrete.filed, place, True))


def sequence_of(concrete: BillingConcrete, place: int) -> int:
    """Return a grant's sequence number."""
    row = concrete.fleet.table.value(grant_place(place), GrantRow)
    return row.sequence if row else 0
