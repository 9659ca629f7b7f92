"""Replay of the model of grants on the real functions."""

from __future__ import annotations

from typing import Any

from attrs import evolve, field, frozen

from ebonyhold.coordination import (
    AttemptEvidence,
    AttemptState,
    AttemptStatus,
    Bill,
    BudgetRow,
    GrantLedger,
    GrantRow,
    Intent,
    LedgerChange,
    Outcome,
    RequestKind,
    RequestState,
    TransferIn,
    TransferOut,
    TransferRow,
    TransferState,
    announce_transfer,
    close_grant,
    close_transaction,
    first_attempt,
    lapse_transfer,
    settle_run,
    settle_transfer,
    transfer_key,
    transfer_name,
)
from ebonyhold.models._checking import Transition, replaced
from ebonyhold.models._grants import NAMES, GrantState
from ebonyhold.models._replay import Actions, ReplayError, nothing
from ebonyhold.models._replay_fleet import (
    BUDGET_KEY,
    ROUTERS,
    WORKSPACE,
    FleetConcrete,
    grant_place,
    start_table,
)

BOOT = "boot-1"
TRANSFER = transfer_name(*ROUTERS, 1)
TRANSFER_KEY = transfer_key(TRANSFER)
NEVER_RAN = AttemptStatus(AttemptState.NEVER_RAN, boot=BOOT)
FINISHED = AttemptStatus(AttemptState.FINISHED, completion_tokens=1, boot=BOOT)

actions: Actions[GrantConcrete] = Actions()


@frozen
class GrantConcrete:
    """The platform, and what each router has in memory."""

    fleet: FleetConcrete
    ledgers: tuple[GrantLedger, ...] = field(
        factory=lambda: (GrantLedger(), GrantLedger())
    )

    def with_ledger(self, place: int, ledger: GrantLedger) -> GrantConcrete:
        """Return the state with another ledger of one router."""
        return evolve(self, ledgers=replaced(self.ledgers, place, ledger))

    def settle(self, place: int, change: LedgerChange) -> GrantConcrete:
        """Commit a settlement, which must do all that it was asked."""
        settlement = self.fleet.settlement(place, change)
        done = (settlement.drawn, settlement.returned)
        if done != (change.draw, change.give_back):
            raise ReplayError(f"asked for {change}, got {done}")
        return evolve(self, fleet=self.fleet.commit_settlement(settlement))

    def ledger(self, place: int) -> GrantLedger:
        """Return a copy of one router's ledger."""
        return evolve(self.ledgers[place])


class GrantAdapter:
    """Carries out the steps of the model of grants.

    Attributes:
        prepaid: The budget of the model.
    """

    def __init__(self, prepaid: int = 1) -> None:
        self.prepaid = prepaid

    def initial(self) -> GrantConcrete:
        """Return the concrete state that the model begins in."""
        return GrantConcrete(FleetConcrete(start_table(self.prepaid)))

    def step(self, concrete: GrantConcrete, edge: Transition[Any]) -> GrantConcrete:
        """Carry out what one edge says."""
        return actions.run(self, concrete, edge.label)

    def observe(self, concrete: GrantConcrete) -> object:
        """Return the money, the seals and the free tokens."""
        fleet, budget = concrete.fleet, concrete.fleet.budget()
        places = range(len(ROUTERS))
        return (
            tuple(fleet.held(place) for place in places),
            (budget.outstanding, budget.spent),
            tuple(fleet.is_sealed(place) for place in places),
            tuple(fleet.is_shut(place) for place in places),
            tuple(fleet.is_closed(place) for place in places),
            tuple(ledger.available for ledger in concrete.ledgers),
        )

    def expect(self, state: GrantState) -> object:
        """Return the same of a state of the model."""
        money = (state.outstanding, state.spent)
        return state.held, money, state.sealed, state.shut, state.closed, state.free

    @actions.on("draws, dies")
    def draw_and_die(self, concrete: GrantConcrete, place: int) -> GrantConcrete:
        """Draw, and never hear of it."""
        drawn = concrete.settle(place, LedgerChange(draw=1))
        return drawn.with_ledger(place, GrantLedger())

    @actions.on("draws")
    def draw(self, concrete: GrantConcrete, place: int) -> GrantConcrete:
        """Draw a token."""
        ledger = concrete.ledger(place)
        ledger.available += 1
        drawn = concrete.settle(place, LedgerChange(draw=1))
        return drawn.with_ledger(place, ledger)

    @actions.on("intent is durable")
    def intend(self, concrete: GrantConcrete, place: int) -> GrantConcrete:
        """Hold a token and journal the intent."""
        ledger = concrete.ledger(place)
        if not ledger.hold(1):
            raise ReplayError("nothing to hold")
        fleet = concrete.fleet.append(place, intent_of(place))
        return evolve(concrete, fleet=fleet).with_ledger(place, ledger)

    @actions.on("outcome is durable")
    def end(self, concrete: GrantConcrete, place: int) -> GrantConcrete:
        """Journal the outcome."""
        ledger = concrete.ledger(place)
        ledger.settle(1, 1)
        fleet = concrete.fleet.append(place, outcome_of(place))
        return evolve(concrete, fleet=fleet).with_ledger(place, ledger)

    @actions.on("files its bill")
    def file(self, concrete: GrantConcrete, place: int) -> GrantConcrete:
        """File the bill of what the journal says has ended."""
        ledger = concrete.ledger(place)
        ledger.filed(1, 1)
        bills = concrete.fleet.reading(place).bills()
        return concrete.settle(place, LedgerChange(bills)).with_ledger(place, ledger)

    @actions.on("gives a token back")
    def give_back(self, concrete: GrantConcrete, place: int) -> GrantConcrete:
        """Return a free token to the budget."""
        ledger = concrete.ledger(place)
        ledger.available -= 1
        returned = concrete.settle(place, LedgerChange(give_back=1))
        return returned.with_ledger(place, ledger)

    @actions.on("dies")
    def die(self, concrete: GrantConcrete, place: int) -> GrantConcrete:
        """Lose the memory."""
        return concrete.with_ledger(place, GrantLedger())

    @actions.on("row is sealed")
    def seal_row(self, concrete: GrantConcrete, place: int) -> GrantConcrete:
        """Seal the table's chain."""
        return evolve(concrete, fleet=concrete.fleet.seal_row(place))

    @actions.on("objects are sealed")
    def seal_chain(self, concrete: GrantConcrete, place: int) -> GrantConcrete:
        """Seal the object store's chain."""
        return evolve(concrete, fleet=concrete.fleet.seal_chain(place))

    @actions.on("attempt is closed: never ran")
    def judge(self, concrete: GrantConcrete, place: int) -> GrantConcrete:
        """File that an open run never ran."""
        bill = judged(concrete, place, NEVER_RAN)
        if bill.state is not RequestState.NOT_RUN or bill.charge:
            raise ReplayError(f"judged as {bill}")
        return concrete.settle(place, LedgerChange((bill,)))

    @actions.on("bill is filed by another")
    def file_for(self, concrete: GrantConcrete, place: int) -> GrantConcrete:
        """File the bill of a sealed router."""
        bills = concrete.fleet.reading(place).bills()
        bills = bills or (judged(concrete, place, FINISHED),)
        return concrete.settle(place, LedgerChange(bills))

    @actions.on("is closed")
    def close(self, concrete: GrantConcrete, place: int) -> GrantConcrete:
        """Return the rest of a sealed router's grant, and close it."""
        fleet = concrete.fleet
        table = fleet.table
        stranded = 0
        for gift in fleet.reading(place).given.values():
            row = table.seen(TRANSFER_KEY, TransferRow)
            wish = announce_transfer(row, WORKSPACE, gift.amount)
            table = table if wish is None else table.must_commit(wish)
            after = table.value(TRANSFER_KEY, TransferRow)
            pending = after is not None and after.state is TransferState.PENDING
            stranded += gift.amount if pending else 0
        wish = close_grant(
            fleet.router(place),
            table.seen(BUDGET_KEY, BudgetRow),
            table.seen(grant_place(place), GrantRow),
            stranded,
        )
        table = table if wish is None else table.must_commit(wish)
        table = table.must_commit(close_transaction(fleet.router(place)))
        return evolve(concrete, fleet=evolve(fleet, table=table))

    @actions.on("journals a transfer")
    def give(self, concrete: GrantConcrete, place: int) -> GrantConcrete:
        """Take a token out for the other router."""
        ledger = concrete.ledger(place)
        ledger.give(1)
        entry = TransferOut(WORKSPACE, TRANSFER, ROUTERS[1], 1)
        fleet = concrete.fleet.append(place, entry)
        return evolve(concrete, fleet=fleet).with_ledger(place, ledger)

    @actions.on("journals the transfer")
    def receive(self, concrete: GrantConcrete, place: int) -> GrantConcrete:
        """Add the token of the other router, which the journal does not have yet."""
        if TRANSFER in concrete.fleet.reading(place).received:
            raise ReplayError("the transfer was received before")
        ledger = concrete.ledger(place)
        ledger.receive(1)
        entry = TransferIn(WORKSPACE, TRANSFER, ROUTERS[0], 1)
        fleet = concrete.fleet.append(place, entry)
        return evolve(concrete, fleet=fleet).with_ledger(place, ledger)

    @actions.on("receives the transfer again")
    def receive_again(self, concrete: GrantConcrete, place: int) -> GrantConcrete:
        """Recognise a transfer that came before."""
        if TRANSFER not in concrete.fleet.reading(place).received:
            raise ReplayError("the transfer was never received")
        return concrete

    @actions.on("the transfer is settled")
    def settle(self, concrete: GrantConcrete, place: int) -> GrantConcrete:
        """Move the token between the grants' rows."""
        fleet = concrete.fleet
        wish = settle_transfer(
            fleet.table.seen(TRANSFER_KEY, TransferRow),
            fleet.router(1),
            fleet.table.seen(grant_place(0), GrantRow),
            fleet.table.seen(grant_place(1), GrantRow),
            WORKSPACE,
            1,
        )
        return evolve(
            concrete, fleet=evolve(fleet, table=fleet.table.must_commit(wish))
        )

    @actions.on("the transfer lapses")
    def lapse(self, concrete: GrantConcrete, place: int) -> GrantConcrete:
        """Return a transfer that never arrived."""
        fleet = concrete.fleet
        wish = lapse_transfer(
            fleet.table.seen(TRANSFER_KEY, TransferRow),
            fleet.router(1),
            fleet.table.seen(grant_place(0), GrantRow),
            fleet.table.seen(BUDGET_KEY, BudgetRow),
        )
        return evolve(
            concrete, fleet=evolve(fleet, table=fleet.table.must_commit(wish))
        )


actions.on("dispatches", "attempt is closed: finished", "a copy of the message")(
    nothing
)


def intent_of(place: int) -> Intent:
    """Return the only intent of a router."""
    return Intent(
        WORKSPACE,
        f"request-{NAMES[place]}",
        first_attempt(ROUTERS[place], 1),
        "engine-1",
        1,
        RequestKind.CHAT,
        "digest",
        True,
        BOOT,
    )


def outcome_of(place: int) -> Outcome:
    """Return the outcome of a router's only run."""
    intent = intent_of(place)
    state = RequestState.COMPLETE
    return Outcome(WORKSPACE, intent.request, intent.attempt, state, 1)


def judged(concrete: GrantConcrete, place: int, status: AttemptStatus) -> Bill:
    """Return the bill of a sealed router's only open run."""
    (attempts,) = concrete.fleet.reading(place).open_runs()
    evidence = [AttemptEvidence(intent, status) for intent in attempts]
    bill = settle_run(evidence, charge_unknown=False)
    if bill is None:
        raise ReplayError("the run waits for evidence")
    return bill
