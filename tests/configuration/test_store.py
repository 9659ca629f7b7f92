"""Versions are sent as small changes and can be read from any older version."""

from __future__ import annotations

from datetime import UTC, datetime
from random import Random

import attrs
import pytest
from attrs import define

from ebonyhold.configuration import (
    ConfigurationKeeper,
    VersionStore,
    _publisher,
    _store,
    find_changed_paths,
)
from ebonyhold.document import ApiKey, Document, Stop, Workspace
from ebonyhold.document import load_document as load
from ebonyhold.exceptions import UnavailableError
from ebonyhold.experiments.configuration_size import CountingObjects
from ebonyhold.standins import MemoryObjects, MemoryTable
from tests.document.test_check import EXAMPLES

pytestmark = pytest.mark.anyio


def workspace(number: int, concurrency: int = 64) -> Workspace:
    key = ApiKey("k", f"{number:064x}")
    return Workspace(f"w{number}", (key,), concurrency=concurrency)


def large(workspaces: int) -> Document:
    return Document("f", ("a",), tuple(map(workspace, range(workspaces))))


def sorted_attributes(document: Document) -> dict[str, object]:
    """Return the attributes of a document with its lists sorted, for comparison."""
    return {
        field.name: sorted(value, key=repr) if isinstance(value, tuple) else value
        for field in attrs.fields(Document)
        for value in [getattr(document, field.name)]
    }


def change_randomly(document: Document, random: Random) -> Document:
    """Return a copy with one workspace added, changed or removed at random."""
    workspaces = list(document.workspaces)
    index = random.randrange(len(workspaces))
    match random.randrange(4):
        case 0:
            workspaces.pop(index)
        case 1:
            workspaces.append(workspace(random.randrange(10**6, 10**9)))
        case _:
            other = random.randrange(1, 10**5)
            workspaces[index] = attrs.evolve(workspaces[index], concurrency=other)
    return attrs.evolve(document, workspaces=tuple(workspaces))


async def test_followers_at_any_distance_arrive_at_the_same_state(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against states that depend on which versions a router has read.

    Followers read every version, every 10th, every 100th or only the first, and then
    the last one; a new follower reads only the last.
    """
    monkeypatch.setattr(_store, "PACK_BYTES", 2000)
    random = Random(5)
    table, objects = MemoryTable(), MemoryObjects()
    store = VersionStore(objects)
    publisher = ConfigurationKeeper(table, store)
    followers = [ConfigurationKeeper(table, store) for _ in range(4)]
    document = large(120)
    for version in range(150):
        await publisher.publish(document, version, "ana")
        for index, follower in enumerate(followers):
            if version % (10**index) == 0:
                await follower.refresh()
        document = change_randomly(document, random)
    for follower in (*followers, ConfigurationKeeper(table, store)):
        await follower.refresh()
        assert follower.state.digest == publisher.state.digest
        assert follower.state.values == publisher.state.values
        assert follower.document is not None
        assert set(follower.document.workspaces) == set(
            publisher.document.workspaces if publisher.document else ()
        )


async def test_a_change_costs_a_follower_one_small_object() -> None:
    """Guards against followers that read a whole base for a few changes.

    The follower reads every third version, some of which have a new base.  Each time
    it must read one object of at most `MAX_INLINE` bytes.
    """
    random = Random(5)
    table, objects = MemoryTable(), CountingObjects()
    store = VersionStore(objects)
    publisher = ConfigurationKeeper(table, store)
    follower = ConfigurationKeeper(table, store)
    document = large(2000)
    await publisher.publish(document, 0, "ana")
    await follower.refresh()
    assert objects.bytes_read > 150_000
    for version in range(1, 300):
        document = change_randomly(document, random)
        await publisher.publish(document, version, "ana")
        if version % 3:
            continue
        objects.reset()
        await follower.refresh()
        assert objects.calls_read == 1
        assert objects.bytes_read <= _store.MAX_INLINE


@define
class FailingDeletes(MemoryObjects):
    """An object store where every other delete fails while `failing` is set."""

    failing: bool = False
    deletes: int = 0

    async def delete(self, key: str) -> None:
        self.deletes += 1
        if self.failing and self.deletes % 2:
            raise UnavailableError("busy")
        await MemoryObjects.delete(self, key)


async def test_old_versions_leave_nothing_behind(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an object store that fills up at thousands of changes a day.

    Versions beyond the kept ones are deleted with all their objects, even if a
    deletion fails part-way; each kept version can still be read.
    """
    kept = 12
    monkeypatch.setattr(_store, "PACK_BYTES", 2000)
    monkeypatch.setattr(_store, "MAX_INLINE", 1200)
    monkeypatch.setattr(_store, "KEPT_INLINE", 600)
    monkeypatch.setattr(_publisher, "KEPT_VERSIONS", kept)
    random = Random(5)
    table, objects = MemoryTable(), FailingDeletes()
    keeper = ConfigurationKeeper(table, VersionStore(objects))
    document = large(60)
    for version in range(120):
        objects.failing = version < 110 and version % 7 == 0
        await keeper.publish(document, version, "ana")
        document = change_randomly(document, random)
    versions = await keeper.history(100)
    assert len(versions) == kept
    used: set[str] = set()
    for head in versions:
        assert (await keeper.store.read_state(head)).digest == head.digest
        manifest = await keeper.store.read_manifest(head)
        packs = (await keeper.store.read_index(manifest)).packs
        digests = (head.manifest, manifest.base, *(each.digest for each in packs))
        used |= {_store.OBJECT_PREFIX + digest for digest in digests}
        used.add(_store.head_copy_key(head.version))
    assert set(objects.objects) == used


async def test_every_part_of_a_document_is_published() -> None:
    table, objects = MemoryTable(), MemoryObjects()
    store = VersionStore(objects)
    document = load(EXAMPLES / "bagmati-dhoka.yaml")
    first, second = (datetime(2027, 1, day, tzinfo=UTC) for day in (1, 2))
    stop = Stop("s", first, second, domain=document.domains[0])
    document = attrs.evolve(document, stops=(stop,))
    await ConfigurationKeeper(table, store).publish(document, 0, "ana")
    follower = ConfigurationKeeper(table, store)
    await follower.refresh()
    assert follower.document is not None
    assert sorted_attributes(follower.document) == sorted_attributes(document)


async def test_changed_paths_name_parts_and_attributes() -> None:
    keeper = ConfigurationKeeper(MemoryTable(), VersionStore(MemoryObjects()))
    await keeper.publish(large(3), 0, "ana")
    before = keeper.state
    workspaces = (workspace(0, 9), workspace(1), workspace(7))
    await keeper.publish(attrs.evolve(large(3), workspaces=workspaces), 1, "ana")
    assert set(find_changed_paths(before, keeper.state)) == {
        "workspaces.w0.concurrency",
        "workspaces.w2 (removed)",
        "workspaces.w7 (added)",
    }
