"""Accepted versions are in force everywhere and never revert."""

from __future__ import annotations

from random import Random

import attrs
import pytest

from ebonyhold.configuration import ConfigurationKeeper, VersionStore
from ebonyhold.coordination import budget_key
from ebonyhold.document import Document, Workspace
from tests.configuration.fakes import FakeObjects, FakeTable

pytestmark = pytest.mark.anyio

DOCUMENT = Document("fleet", ("a", "b"), (Workspace("w", (), prepaid=100),))


def named(fleet: str) -> Document:
    return attrs.evolve(DOCUMENT, fleet=fleet)


def keeper_on(table: FakeTable, objects: FakeObjects) -> ConfigurationKeeper:
    return ConfigurationKeeper(table, VersionStore(objects), random=Random(1))


async def test_publish_and_adopt() -> None:
    table, objects = FakeTable(), FakeObjects()
    first, second = keeper_on(table, objects), keeper_on(table, objects)
    assert await first.publish(DOCUMENT, 0, "ana") == 1
    await second.refresh()
    assert (second.version, second.document) == (1, DOCUMENT)
    assert table.rows[budget_key("w")].value == {"prepaid": 100}


async def test_publishing_the_same_again_changes_nothing() -> None:
    keeper = keeper_on(FakeTable(), FakeObjects())
    await keeper.publish(DOCUMENT, 0, "ana")
    assert await keeper.publish(DOCUMENT, 1, "ana") == 1
