"""Replay of the model of leases on the real functions."""

from __future__ import annotations

from typing import Any

from attrs import evolve, field, frozen

from ebonyhold.coordination import (
    HeldLease,
    LeaseObservation,
    LeasePlan,
    LeaseRow,
    lease_key,
    plan_acquire,
    plan_release,
    plan_renew,
    resolve_lease,
)
from ebonyhold.models._checking import Transition, replaced
from ebonyhold.models._leases import NAMES, LeaseState
from ebonyhold.models._replay import Actions, MemoryTable, ReplayError, nothing

NAME = "orders"
KEY = lease_key(NAME)
LENGTH = 10.0
LONG_AFTER = 1000.0

actions: Actions[LeaseConcrete] = Actions()


@frozen
class LeaseConcrete:
    """The table and what each router holds and waits for."""

    table: MemoryTable = field(factory=MemoryTable)
    held: tuple[HeldLease | None, ...] = (None, None)
    asked: tuple[LeasePlan | None, ...] = (None, None)

    def plan(self, place: int) -> LeasePlan:
        """Plan to take the lease, long after its row was last seen to change."""
        row = self.table.rows.get(KEY)
        sighting = None if row is None else LeaseObservation(row.version, 0.0)
        plan = plan_acquire(NAME, NAMES[place], row, sighting, LENGTH, LONG_AFTER)
        if plan is None:
            raise ReplayError("the lease cannot be taken")
        return plan


class LeaseAdapter:
    """Carries out the steps of the model of leases."""

    def initial(self) -> LeaseConcrete:
        """Return the concrete state that the model begins in."""
        return LeaseConcrete()

    def step(self, concrete: LeaseConcrete, edge: Transition[Any]) -> LeaseConcrete:
        """Carry out what one edge says."""
        return actions.run(self, concrete, edge.label)

    def observe(self, concrete: LeaseConcrete) -> object:
        """Return the row and the numbers that the routers believe and wait for."""
        row = concrete.table.value(KEY, LeaseRow)
        held = tuple(lease.row.fencing if lease else 0 for lease in concrete.held)
        asked = tuple(fencing_of(plan) for plan in concrete.asked)
        return (row.holder, row.fencing) if row else ("", 0), held, asked

    def expect(self, state: LeaseState) -> object:
        """Return the same of a state of the model."""
        return (state.holder, state.fencing), state.believed, state.doubt

    @actions.on("takes the lease")
    def take(self, concrete: LeaseConcrete, place: int) -> LeaseConcrete:
        """Commit, and hear of it; a renewal must be possible then."""
        plan = concrete.plan(place)
        table = concrete.table.must_commit(plan.transaction)
        assert plan.outcome is not None
        renewed = plan_renew(plan.outcome, LONG_AFTER)
        table.must_commit(renewed.transaction)
        return evolve(
            concrete, table=table, held=replaced(concrete.held, place, plan.outcome)
        )

    @actions.on("takes it as")
    def take_unheard(self, concrete: LeaseConcrete, place: int) -> LeaseConcrete:
        """Commit, and hear nothing."""
        plan = concrete.plan(place)
        table = concrete.table.must_commit(plan.transaction)
        asked = replaced(concrete.asked, place, plan)
        return evolve(concrete, table=table, asked=asked)

    @actions.on("asks for")
    def ask(self, concrete: LeaseConcrete, place: int) -> LeaseConcrete:
        """Send a commit that never arrives."""
        asked = replaced(concrete.asked, place, concrete.plan(place))
        return evolve(concrete, asked=asked)

    @actions.on("reads back")
    def read_back(self, concrete: LeaseConcrete, place: int) -> LeaseConcrete:
        """Resolve a lost answer."""
        plan = concrete.asked[place]
        assert plan is not None
        held = resolve_lease(plan, concrete.table.rows.get(KEY))
        return evolve(
            concrete,
            held=replaced(concrete.held, place, held),
            asked=replaced(concrete.asked, place, None),
        )

    @actions.on("time runs out")
    def expire(self, concrete: LeaseConcrete, place: int) -> LeaseConcrete:
        """Stop believing."""
        lease = concrete.held[place]
        if lease is None or lease.holds(LONG_AFTER + LENGTH):
            raise ReplayError("the lease does not end")
        return evolve(concrete, held=replaced(concrete.held, place, None))

    @actions.on("releases")
    def release(self, concrete: LeaseConcrete, place: int) -> LeaseConcrete:
        """Give the lease up."""
        lease = concrete.held[place]
        assert lease is not None
        table = concrete.table.must_commit(plan_release(lease).transaction)
        held = replaced(concrete.held, place, None)
        return evolve(concrete, table=table, held=held)


actions.on("checks its lease", "sends its order", "the engine")(nothing)


def fencing_of(plan: LeasePlan | None) -> int:
    """Return the number that a plan asks for, or 0."""
    return plan.outcome.row.fencing if plan and plan.outcome else 0
