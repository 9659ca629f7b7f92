"""Routers adopt each accepted version and never revert to an older one."""

from __future__ import annotations

from random import Random

import anyio
import attrs
import pytest

from ebonyhold.configuration import (
    Change,
    ConfigurationKeeper,
    Evidence,
    Manifest,
    VersionStore,
)
from ebonyhold.coordination import CONFIG_HEAD, Row, budget_key, plan_apply, to_bytes
from ebonyhold.document import Document, Policy, StaleConfiguration, Workspace
from ebonyhold.exceptions import (
    ConfigurationError,
)
from ebonyhold.standins import MemoryObjects, MemoryTable
from ebonyhold.types import Json

pytestmark = pytest.mark.anyio

DOCUMENT = Document("fleet", ("a", "b"), (Workspace("w", (), prepaid=100),))
REFUSING = attrs.evolve(
    DOCUMENT,
    policy=Policy(stale_configuration=StaleConfiguration.REFUSE, stale_after=60.0),
)


def named(fleet: str, document: Document = DOCUMENT) -> Document:
    return attrs.evolve(document, fleet=fleet)


def keeper_on(
    table: MemoryTable, objects: MemoryObjects, seed: int = 1
) -> ConfigurationKeeper:
    return ConfigurationKeeper(table, VersionStore(objects), random=Random(seed))


@attrs.define
class FixedEvidence:
    """An evidence source that returns fixed evidence."""

    answers: tuple[Evidence, ...] = ()

    async def ask(self) -> tuple[Evidence, ...]:
        return self.answers


async def test_publish_and_adopt() -> None:
    table, objects = MemoryTable(), MemoryObjects()
    first, second = keeper_on(table, objects), keeper_on(table, objects)
    assert await first.publish(DOCUMENT, 0, "ana") == 1
    await second.refresh()
    assert (second.version, second.document) == (1, DOCUMENT)
    assert table.rows[budget_key("w")].value == {"prepaid": 100}


async def test_an_older_version_is_never_adopted() -> None:
    """Guards against reverting when the table is restored from an old backup.

    The table shows version 1 while 2 is in force.  The router must keep version 2,
    set `regressed`, and not publish on top of the old head.
    """
    table, objects = MemoryTable(), MemoryObjects()
    keeper = keeper_on(table, objects)
    await keeper.publish(DOCUMENT, 0, "ana")
    old = table.rows[CONFIG_HEAD]
    await keeper.publish(named("two"), 1, "ana")
    confirmed_at = keeper.confirmed_at
    table.rows[CONFIG_HEAD] = old
    with pytest.raises(ConfigurationError):
        await keeper.refresh()
    assert (keeper.version, keeper.regressed) == (2, True)
    assert keeper.confirmed_at == confirmed_at
    with pytest.raises(ConfigurationError):
        await keeper.publish(named("three"), 2, "ana")


async def test_a_delayed_read_does_not_revert() -> None:
    """Guards against reverting when a read of version 1 ends after version 2.

    It happens when a router is paused between reading a version and installing it.
    """
    table, objects = MemoryTable(), MemoryObjects()
    keeper = keeper_on(table, objects)
    await keeper.publish(DOCUMENT, 0, "ana")
    assert keeper.head is not None
    old_head, old_state = keeper.head, keeper.state
    await keeper.publish(named("two"), 1, "ana")
    keeper.install(old_head, old_state)
    assert (keeper.version, keeper.document) == (2, named("two"))


async def test_a_restart_finds_the_newest_version() -> None:
    """A router without any state reads the newest of 200 versions."""
    table, objects = MemoryTable(), MemoryObjects()
    keeper = keeper_on(table, objects)
    for version in range(200):
        await keeper.publish(named(f"f{version}"), version, "ana")
    restarted = keeper_on(table, objects)
    await restarted.refresh()
    assert (restarted.version, restarted.document) == (200, named("f199"))
    assert restarted.state.digest == keeper.state.digest


async def test_a_cold_start_without_the_table() -> None:
    """Guards against routers that cannot start, or serve wrongly, without the table.

    If the policy allows a stale configuration, a new router adopts the newest head
    copy; otherwise it doesn't serve.  Once the table answers, the router adopts the
    newest version, whose head copy is missing here.
    """
    for document, serves in ((DOCUMENT, True), (REFUSING, False)):
        table, objects = MemoryTable(), MemoryObjects()
        keeper = keeper_on(table, objects)
        await keeper.publish(document, 0, "ana")
        await keeper.publish(named("two", document), 1, "ana")
        objects.objects = {
            key: body for key, body in objects.objects.items() if not key.endswith("98")
        }
        table.faults.down = True
        started = keeper_on(table, objects)
        await started.follow()
        assert (started.version, started.may_serve()) == (int(serves), serves)
        assert started.stale
        table.faults.down = False
        await started.follow()
        assert (started.version, started.may_serve()) == (2, True)


@pytest.mark.parametrize(
    ("section", "value"),
    [
        ("workspaces/v", {"name": "v"}),
        ("workspaces/v", [1]),
        ("policy", {"stale_configuration": "ask_somebody"}),
        ("stops/s", {"name": "s", "starts": "noon", "ends": "noon"}),
        ("fleet", None),
    ],
)
async def test_a_version_of_a_newer_release(section: str, value: Json) -> None:
    """Guards against a router that fails on a version of a newer release.

    In a rolling upgrade, an older router may be unable to read a new part or the
    head row.  It must keep its version, leave `confirmed_at` unchanged, and not raise.
    """
    table, objects = MemoryTable(), MemoryObjects()
    newer, older = keeper_on(table, objects), keeper_on(table, objects)
    await newer.publish(DOCUMENT, 0, "ana")
    await older.follow()
    assert newer.head is not None
    manifest = Manifest(2, "", 0, (Change(2, {section: value}),))
    digest = await newer.store.put(to_bytes(manifest))
    head = attrs.evolve(newer.head, version=2, based_on=1, manifest=digest)
    plan = plan_apply(table.rows[CONFIG_HEAD], head)
    assert plan is not None
    table.apply(plan)
    confirmed_at = older.confirmed_at
    await older.follow()
    assert (older.version, older.document) == (1, DOCUMENT)
    assert older.confirmed_at == confirmed_at
    table.rows[CONFIG_HEAD] = Row(CONFIG_HEAD, 9, {"odd": 1})
    await older.follow()
    assert older.version == 1


async def test_a_missing_copy_of_the_head_is_written() -> None:
    """Guards against routers that start in a table outage and miss a version.

    The publishing router exits after its version was accepted and before it wrote
    the head copy; another router must write the copy.
    """
    table, objects = MemoryTable(), MemoryObjects()
    await keeper_on(table, objects).publish(DOCUMENT, 0, "ana")
    copies = [key for key in objects.objects if key.startswith("config/heads/")]
    del objects.objects[copies[0]]
    survivor = keeper_on(table, objects)
    async with anyio.create_task_group() as group:
        group.start_soon(survivor.run)
        await anyio.sleep(30)
        group.cancel_scope.cancel()
    assert copies[0] in objects.objects


async def test_a_notice_leads_to_a_version_while_the_table_is_down() -> None:
    """Guards against missing a version that is accepted just before an outage.

    After a notice of version 2, the router adopts it by its head copy and doesn't
    count it as confirmed.  A notice of its own version has no effect.
    """
    table, objects = MemoryTable(), MemoryObjects()
    first, second = keeper_on(table, objects), keeper_on(table, objects)
    await first.publish(DOCUMENT, 0, "ana")
    await second.refresh()
    confirmed_at = second.confirmed_at
    await first.publish(named("two"), 1, "ana")
    table.faults.down = True
    await anyio.sleep(10)
    second.notice(1)
    assert not second.notice_received.is_set()
    second.notice(2)
    await second.follow()
    assert (second.version, second.confirmed_at) == (2, confirmed_at)


@pytest.mark.parametrize(
    ("document", "answers", "serves"),
    [
        (DOCUMENT, (), True),
        (REFUSING, (), False),
        (REFUSING, (("own", 5.0),), True),
        (REFUSING, (("own", -1.0),), False),
        (REFUSING, (("own", 500.0),), False),
        (REFUSING, (("other", 5.0),), False),
    ],
)
async def test_staleness_in_a_long_outage(
    document: Document, answers: tuple[tuple[str, float], ...], serves: bool
) -> None:
    """Guards against serving although the policy forbids it, or refusing without need.

    The table cannot be reached for longer than `stale_after`.  Recent evidence of a
    peer with the same version and digest keeps the configuration from being stale.
    """
    table, objects = MemoryTable(), MemoryObjects()
    keeper = keeper_on(table, objects)
    await keeper.publish(document, 0, "ana")
    assert keeper.may_serve()
    assert keeper.head is not None
    digests = {"own": keeper.head.digest, "other": "0" * 64}
    keeper.evidence = FixedEvidence(
        tuple(Evidence(1, digests[whose], age) for whose, age in answers)
    )
    table.faults.down = objects.faults.down = True
    await anyio.sleep(8000)
    await keeper.follow()
    assert keeper.may_serve() is serves
    table.faults.down = False
    await keeper.follow()
    assert keeper.may_serve()
    assert not keeper.stale


async def test_evidence_counts_from_before_the_request() -> None:
    """Guards against a late answer that makes a confirmation look more recent.

    A peer's answer takes 60 s; the age in it must be subtracted from the time before
    the request.
    """
    table, objects = MemoryTable(), MemoryObjects()
    keeper = keeper_on(table, objects)
    await keeper.publish(REFUSING, 0, "ana")

    class SlowEvidence:
        async def ask(self) -> tuple[Evidence, ...]:
            await anyio.sleep(60)
            return (keeper_evidence,)

    keeper_evidence = attrs.evolve(keeper.own_evidence(), confirmed_age=0.0)
    keeper.evidence = SlowEvidence()
    requested_at = anyio.current_time()
    await keeper.request_evidence()
    assert keeper.confirmed_at <= requested_at


async def test_every_router_adopts_a_version_within_8_seconds() -> None:
    """Guards against routers that adopt a version late, even after an outage.

    Nine routers poll the head every 4 s on average.  Each must have a published
    version after 8 s, also after the table was down for 300 s.
    """
    table, objects = MemoryTable(), MemoryObjects()
    keepers = [keeper_on(table, objects, seed) for seed in range(9)]
    async with anyio.create_task_group() as group:
        for keeper in keepers:
            group.start_soon(keeper.run)
        await keepers[0].publish(DOCUMENT, 0, "ana")
        await anyio.sleep(8)
        assert {keeper.version for keeper in keepers} == {1}
        table.faults.down = True
        await anyio.sleep(300)
        table.faults.down = False
        await keepers[3].publish(named("two"), 1, "ben")
        await anyio.sleep(8)
        assert {keeper.version for keeper in keepers} == {2}
        group.cancel_scope.cancel()


async def test_a_notice_starts_a_poll_at_once() -> None:
    table, objects = MemoryTable(), MemoryObjects()
    first, second = keeper_on(table, objects), keeper_on(table, objects)
    async with anyio.create_task_group() as group:
        await group.start(second.run)
        await first.publish(DOCUMENT, 0, "ana")
        started = anyio.current_time()
        second.notice(1)
        assert await second.wait_changed(0) == 1
        assert anyio.current_time() - started < 0.01
        group.cancel_scope.cancel()


async def test_damaged_objects_are_not_adopted() -> None:
    """Guards against adopting a version whose manifest is damaged or missing.

    The router must raise ConfigurationError and keep its version.
    """
    table, objects = MemoryTable(), MemoryObjects()
    first, second = keeper_on(table, objects), keeper_on(table, objects)
    await first.publish(DOCUMENT, 0, "ana")
    await second.refresh()
    await first.publish(named("two"), 1, "ana")
    assert first.head is not None
    key = "config/object/" + first.head.manifest
    for body in (b"{}", b"", None):
        if body is None:
            del objects.objects[key]
        else:
            objects.objects[key] = body
        with pytest.raises(ConfigurationError):
            await second.refresh()
        assert (second.version, second.document) == (1, DOCUMENT)
