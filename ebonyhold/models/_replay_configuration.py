"""Replay of the model of configuration versions on the real functions."""

from __future__ import annotations

from typing import Any

from attrs import evolve, field, frozen

from ebonyhold.coordination import (
    CONFIG_HEAD,
    HeadRow,
    PublicationResult,
    Transaction,
    config_version_key,
    head_of,
    may_adopt,
    plan_apply,
    resolve_publication,
)
from ebonyhold.models._checking import Transition, replaced
from ebonyhold.models._configuration import NAMES, ConfigState
from ebonyhold.models._replay import Actions, MemoryTable, ReplayError

actions: Actions[ConfigConcrete] = Actions()


@frozen
class ConfigConcrete:
    """The table, what the operators wait for, and the routers' versions."""

    table: MemoryTable = field(factory=MemoryTable)
    based_on: tuple[int, ...] = (-1, -1)
    pending: tuple[Transaction | None, ...] = (None, None)
    told: tuple[str, ...] = ("", "")

    @property
    def head(self) -> int:
        """Return the newest version in the table."""
        head = head_of(self.table.rows.get(CONFIG_HEAD))
        return head.version if head else 0

    def plan(self, place: int) -> Transaction | None:
        """Plan to publish an operator's version on the one it has seen."""
        base, author = self.based_on[place], NAMES[place]
        head = HeadRow(base + 1, "", "", base, author, 0.0, author)
        return plan_apply(self.table.rows.get(CONFIG_HEAD), head)


class ConfigAdapter:
    """Carries out the operators' steps; of the routers it checks what they adopt."""

    def initial(self) -> ConfigConcrete:
        """Return the concrete state that the model begins in."""
        return ConfigConcrete()

    def step(self, concrete: ConfigConcrete, edge: Transition[Any]) -> ConfigConcrete:
        """Carry out what one edge says."""
        if edge.label.startswith("router"):
            check_adoption(edge)
            return concrete
        return actions.run(self, concrete, edge.label)

    def observe(self, concrete: ConfigConcrete) -> object:
        """Return the history and what the operators were told."""
        history = []
        for version in range(1, concrete.head + 1):
            row = concrete.table.value(config_version_key(version), HeadRow)
            history.append((row.author, row.based_on) if row else None)
        return tuple(history), concrete.based_on, concrete.told

    def expect(self, state: ConfigState) -> object:
        """Return the same of a state of the model."""
        return state.history, state.based_on, state.told

    @actions.on("reads version")
    def look(self, concrete: ConfigConcrete, place: int) -> ConfigConcrete:
        """Read the head."""
        seen = replaced(concrete.based_on, place, concrete.head)
        return evolve(concrete, based_on=seen)

    @actions.on("version is accepted")
    def accept(self, concrete: ConfigConcrete, place: int) -> ConfigConcrete:
        """Commit, and hear of it."""
        table = concrete.table.must_commit(concrete.plan(place))
        told = replaced(concrete.told, place, "accepted")
        return evolve(concrete, table=table, told=told)

    @actions.on("commit conflicts")
    def conflict(self, concrete: ConfigConcrete, place: int) -> ConfigConcrete:
        """Find that the head has moved on, or can move no more in the bounds."""
        plan = concrete.plan(place)
        moved = concrete.head != concrete.based_on[place]
        if moved and plan is not None and concrete.table.commit(plan) is not None:
            raise ReplayError("a stale publication was taken")
        return concrete

    @actions.on("commits, no answer")
    def commit_unheard(self, concrete: ConfigConcrete, place: int) -> ConfigConcrete:
        """Send a commit and hear nothing."""
        pending = replaced(concrete.pending, place, concrete.plan(place))
        return evolve(concrete, pending=pending)

    @actions.on("commit is lost")
    def lose(self, concrete: ConfigConcrete, place: int) -> ConfigConcrete:
        """Lose a commit that was under way."""
        return evolve(concrete, pending=replaced(concrete.pending, place, None))

    @actions.on("commit takes effect")
    def arrive(self, concrete: ConfigConcrete, place: int) -> ConfigConcrete:
        """Let a commit that was under way take effect."""
        table = concrete.table.must_commit(concrete.pending[place])
        pending = replaced(concrete.pending, place, None)
        return evolve(concrete, table=table, pending=pending)

    @actions.on("finds nothing")
    def find_nothing(self, concrete: ConfigConcrete, place: int) -> ConfigConcrete:
        """Read back before anything is decided."""
        if self.fate(concrete, place) is not PublicationResult.OPEN:
            raise ReplayError("the publication is decided")
        return concrete

    @actions.on("reads back")
    def read_back(self, concrete: ConfigConcrete, place: int) -> ConfigConcrete:
        """Read back what was decided."""
        fate = self.fate(concrete, place)
        return evolve(concrete, told=replaced(concrete.told, place, fate.value))

    def fate(self, concrete: ConfigConcrete, place: int) -> PublicationResult:
        """Return what the history says of an operator's publication."""
        key = config_version_key(concrete.based_on[place] + 1)
        return resolve_publication(concrete.table.rows.get(key), NAMES[place])


def check_adoption(edge: Transition[ConfigState]) -> None:
    """Compare what a router adopts with the real rule.

    Raises:
        ReplayError: They differ.
    """
    place = int(edge.label.split()[1]) - 1
    before, after = edge.before.version[place], edge.after.version[place]
    if "gets version" in edge.label:
        offer = edge.before.offers[place]
        wanted = offer if may_adopt(before, offer) else before
        if after != wanted:
            raise ReplayError(f"{edge.label}: {after}, not {wanted}")
    elif "of its peer" in edge.label and not may_adopt(before, after):
        raise ReplayError(edge.label)
