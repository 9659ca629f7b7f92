"""A publication is accepted once or refused, even if answers are lost."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
import attrs
import pytest
from attrs import define

from ebonyhold.configuration._publisher import Publisher
from ebonyhold.coordination import HeadRow, Transaction, budget_key, config_version_key
from ebonyhold.document import Workspace
from ebonyhold.exceptions import (
    ConfigurationError,
    LostRaceError,
    ThrottledError,
    UnavailableError,
    UnknownOutcomeError,
)
from ebonyhold.standins import Faults, MemoryObjects, MemoryTable
from tests.configuration.test_keeper import DOCUMENT, keeper_on, named

pytestmark = pytest.mark.anyio


@define
class ScriptedTable(MemoryTable):
    """A table that refuses commits, or loses an answer after a callback.

    Attributes:
        refusals: The number of next commits that are refused without effect.
        after_commit: Called after the next commit took effect; then the answer
            of that commit is lost.
    """

    refusals: int = 0
    after_commit: Callable[[], Awaitable[None]] | None = None

    async def commit(self, transaction: Transaction) -> None:
        if self.refusals:
            self.refusals -= 1
            raise ThrottledError("too many calls")
        await MemoryTable.commit(self, transaction)
        then, self.after_commit = self.after_commit, None
        if then:
            await then()
            raise UnknownOutcomeError("no answer")


async def test_publishing_the_same_document_again_changes_nothing() -> None:
    keeper = keeper_on(MemoryTable(), MemoryObjects())
    await keeper.publish(DOCUMENT, 0, "ana")
    assert await keeper.publish(DOCUMENT, 0, "ana") == 1


@pytest.mark.parametrize(
    "faults",
    [
        Faults(lose_answers=1),
        Faults(lose_requests=1),
        Faults(lose_requests=3),
        Faults(late=1),
        Faults(late=3),
        Faults(duplicates=1),
        Faults(duplicates=1, lose_answers=1),
        Faults(lose_requests=1, late=1, lose_answers=1),
    ],
    ids=repr,
)
async def test_a_lost_answer_is_resolved(faults: Faults) -> None:
    """Guards against wrong results when the answer to a commit is lost.

    The publisher must read the outcome from the history row.  It must not report
    a failure, publish a second version or top up the new workspace twice, even
    if a commit takes effect after its timeout.
    """
    table = MemoryTable(attrs.evolve(faults))
    keeper = keeper_on(table, MemoryObjects())
    assert await keeper.publish(DOCUMENT, 0, "ana") == 1
    await table.faults.flush()
    await keeper.refresh()
    assert (table.commits, keeper.version, keeper.document) == (1, 1, DOCUMENT)
    assert table.value(budget_key("w")) == {"prepaid": 100}


async def test_a_refused_commit_is_sent_again() -> None:
    table = ScriptedTable(refusals=3)
    keeper = keeper_on(table, MemoryObjects())
    assert await keeper.publish(DOCUMENT, 0, "ana") == 1
    assert table.commits == 1


async def test_a_lost_answer_is_resolved_after_the_next_version() -> None:
    """Guards against reporting an accepted publication as a lost race.

    Ana's version is accepted and its answer is lost; then Ben publishes the next
    version.  Ana's publisher finds Ben's head, but the history row of her version
    shows that hers was accepted.
    """
    table, objects = ScriptedTable(), MemoryObjects()
    ana, ben = keeper_on(table, objects), keeper_on(table, objects)

    async def publish_on_top() -> None:
        await ben.refresh()
        await ben.publish(named("ben"), 1, "ben")

    table.after_commit = publish_on_top
    assert await ana.publish(DOCUMENT, 0, "ana") == 1
    await ana.refresh()
    assert (ana.version, ana.document) == (2, named("ben"))


async def test_an_unanswered_publication_has_an_unknown_outcome() -> None:
    """Guards against reporting an unanswered commit as refused.

    No commit is answered until the publisher gives up, and each may still take
    effect.  UnavailableError is raised only if the table certainly did nothing.
    """
    table, objects = MemoryTable(Faults(lose_requests=100)), MemoryObjects()
    with pytest.raises(UnknownOutcomeError):
        await keeper_on(table, objects).publish(DOCUMENT, 0, "ana")
    with pytest.raises(UnavailableError):
        await keeper_on(MemoryTable(Faults(down=True)), objects).publish(
            DOCUMENT, 0, "ana"
        )


async def test_racing_operators() -> None:
    """Guards against accepting more than one of five concurrent publications.

    All are based on the same version.  The four others raise LostRaceError with
    the accepted version, its author and the changed paths; none of their content
    is in force.
    """
    table, objects = MemoryTable(Faults(delay=0.01)), MemoryObjects()
    await keeper_on(table, objects).publish(DOCUMENT, 0, "ana")
    keepers = [keeper_on(table, objects) for _ in range(5)]
    accepted: list[int] = []
    lost: list[LostRaceError] = []

    async def publish(index: int) -> None:
        try:
            await keepers[index].publish(named(f"f{index}"), 1, f"operator-{index}")
            accepted.append(index)
        except LostRaceError as error:
            lost.append(error)

    async with anyio.create_task_group() as group:
        for index in range(5):
            group.start_soon(publish, index)
    (winner,) = accepted
    assert {(each.version, each.author) for each in lost} == {(2, f"operator-{winner}")}
    assert {each.changed for each in lost} == {("fleet.fleet",)}
    for keeper in keepers:
        await keeper.refresh()
        assert keeper.document == named(f"f{winner}")


async def test_many_new_workspaces_are_topped_up_once() -> None:
    """Guards against missing or repeated first top-ups of a large document.

    The document adds more workspaces than fit into one transaction, and three
    answers are lost.  Removing and adding workspaces again tops none up twice.
    """
    table, objects = MemoryTable(), MemoryObjects()
    keeper = keeper_on(table, objects)
    workspaces = tuple(Workspace(f"w{n}", (), prepaid=n + 1) for n in range(60))
    many = attrs.evolve(DOCUMENT, workspaces=workspaces)
    table.faults.lose_answers = 3
    await keeper.publish(many, 0, "ana")
    fewer = attrs.evolve(many, workspaces=workspaces[:10])
    await keeper.publish(fewer, 1, "ana")
    await keeper.publish(many, 2, "ana")
    prepaid = [table.rows[budget_key(f"w{n}")].value for n in range(60)]
    assert prepaid == [{"prepaid": n + 1} for n in range(60)]


async def test_first_top_ups_that_failed_are_made_by_a_repeat() -> None:
    """Guards against workspaces that stay without their first top-up.

    The table fails after a large document was accepted and before all first
    top-ups are made; publishing the same document again makes the missing ones.
    """
    table, objects = MemoryTable(), MemoryObjects()
    keeper = keeper_on(table, objects)
    workspaces = tuple(Workspace(f"w{n}", (), prepaid=n + 1) for n in range(60))
    many = attrs.evolve(DOCUMENT, workspaces=workspaces)
    publisher = Publisher(keeper, many, 0, "ana")
    assert await publisher.publish() == 1
    table.faults.down = True
    with pytest.raises(UnknownOutcomeError):
        await publisher.make_topups()
    table.faults.down = False
    assert await keeper.publish(many, 0, "ana") == 1
    assert table.rows[budget_key("w59")].value == {"prepaid": 60}


async def test_a_first_top_up_adds_to_an_existing_budget() -> None:
    table, objects = MemoryTable(), MemoryObjects()
    keeper = keeper_on(table, objects)
    await keeper.publish(attrs.evolve(DOCUMENT, workspaces=()), 0, "ana")
    table.put(budget_key("w"), {"prepaid": 7, "spent": 2})
    await keeper.publish(DOCUMENT, 1, "ana")
    assert table.value(budget_key("w")) == {"prepaid": 107, "spent": 2}


async def test_a_rollback_is_a_new_version() -> None:
    table, objects = MemoryTable(), MemoryObjects()
    keeper = keeper_on(table, objects)
    await keeper.publish(DOCUMENT, 0, "ana")
    await keeper.publish(named("two"), 1, "ana")
    state = await keeper.read_version(1)
    assert await keeper.publish(state.document(), 2, "ana") == 3
    assert keeper.document == DOCUMENT
    heads = await keeper.history(10)
    assert [head.version for head in heads] == [3, 2, 1]
    assert isinstance(heads[0], HeadRow)
    assert config_version_key(3) in table.rows
    with pytest.raises(ConfigurationError):
        await keeper.read_version(9)
