"""A publication is accepted once or refused, whatever happens to its answers."""

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
    """A table that refuses commits, or loses one answer after something else.

    Attributes:
        refusals: Commits that are refused without effect.
        after_commit: Run between the next commit and the loss of its answer.
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


async def test_publishing_the_same_again_changes_nothing() -> None:
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
    """The table accepts a version, but its answer never reaches the router.

    The operator must neither be told of a failure that was a success, nor get
    a second version, nor a second first top-up for the new workspace; not even
    when a commit that was given up takes effect late.  Whether it arrived
    cannot be told from the error; its history row tells.
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
    """Ana's version is accepted, its answer is lost, and Ben publishes on top.

    When Ana's router reads back, the head is Ben's.  It would look like a lost
    race, and Ana would publish her change again; her own history row says that
    it was accepted.
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


async def test_the_table_stays_silent() -> None:
    """No answer comes for so long that the router gives up on a publication.

    It must say that the outcome is unknown: the commits may still arrive.
    """
    table, objects = MemoryTable(Faults(lose_requests=100)), MemoryObjects()
    with pytest.raises(UnknownOutcomeError):
        await keeper_on(table, objects).publish(DOCUMENT, 0, "ana")
    with pytest.raises(UnavailableError):
        await keeper_on(MemoryTable(Faults(down=True)), objects).publish(
            DOCUMENT, 0, "ana"
        )


async def test_racing_operators() -> None:
    """Five operators publish on the same version at the same moment.

    One is accepted; each other one is told the version in force, its author
    and what changed, and nothing of theirs is in force.
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


async def test_many_new_workspaces_are_filled_once() -> None:
    """A document adds more workspaces than fit into one transaction.

    An answer is lost while their first top-ups are made one by one; each must
    have its prepaid tokens exactly once.
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
    """The table goes down between a large document and its first top-ups.

    The operator is told that not all is done and applies the same document
    again; it is in force, but its workspaces must not stay without tokens.
    """
    table, objects = MemoryTable(), MemoryObjects()
    keeper = keeper_on(table, objects)
    workspaces = tuple(Workspace(f"w{n}", (), prepaid=n + 1) for n in range(60))
    many = attrs.evolve(DOCUMENT, workspaces=workspaces)
    publisher = Publisher(keeper, many, 0, "ana")
    assert await publisher.publish() == 1
    table.faults.down = True
    with pytest.raises(UnknownOutcomeError):
        await publisher.fill_budgets()
    table.faults.down = False
    assert await keeper.publish(many, 0, "ana") == 1
    assert table.rows[budget_key("w59")].value == {"prepaid": 60}


async def test_a_workspace_topped_up_before_its_document_keeps_that() -> None:
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
