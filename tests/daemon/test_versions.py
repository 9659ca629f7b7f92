"""Routers tell each other of versions, and give evidence of them."""

from __future__ import annotations

import random

import anyio
import pytest
from attrs import define

from ebonyhold.configuration import ConfigurationKeeper, VersionStore
from ebonyhold.daemon._versions import EVIDENCE_PEERS, NOTICE_FANOUT, VersionExchange
from ebonyhold.document import Document, Workspace
from ebonyhold.routers import PeerMessage, VersionNotice
from ebonyhold.routers._fake import FakeNetwork
from ebonyhold.standins import MemoryObjects, MemoryTable
from ebonyhold.types import RouterId, Seconds
from tests.virtual import anyio_backend

__all__ = ["anyio_backend"]

pytestmark = pytest.mark.anyio

DOCUMENT = Document("fleet", ("a", "b"), (Workspace("w", (), prepaid=100),))
PUBLISHER = "r00.1"
SPREAD_WITHIN: Seconds = 2.0
POLL: Seconds = 3600.0
"""So long that only notices can be the cause of an adoption."""


@define
class Net:
    """Routers with a keeper each, on one network, table and object store."""

    network: FakeNetwork
    table: MemoryTable
    objects: MemoryObjects
    helps: dict[RouterId, VersionExchange]

    @classmethod
    def of(cls, network: FakeNetwork, count: int) -> Net:
        net = cls(network, MemoryTable(), MemoryObjects(), {})
        for number in range(count):
            net.add(f"r{number:02d}.1", number)
        return net

    def add(self, router: RouterId, seed: int) -> None:
        keeper = ConfigurationKeeper(
            self.table,
            VersionStore(self.objects),
            poll=POLL,
            random=random.Random(seed),
        )
        link = self.network.join(router)
        self.helps[router] = VersionExchange(keeper, link, random.Random(seed))
        self.helps[router].register()

    def versions(self) -> set[int]:
        return {one.keeper.version for one in self.helps.values()}


async def test_version_spreads_by_notices() -> None:
    """A change is in force in one router and for seconds not in the others.

    The notices bring it to all of them before their next polls.
    """
    async with anyio.create_task_group() as tasks:
        net = Net.of(FakeNetwork(tasks), 40)
        publisher = net.helps[PUBLISHER].keeper
        for one in net.helps.values():
            tasks.start_soon(one.run)
            tasks.start_soon(one.keeper.run)
        await anyio.sleep(1.0)
        version = await publisher.publish(DOCUMENT, 0, "ana")
        await anyio.sleep(SPREAD_WITHIN)
        assert net.versions() == {version}
        tasks.cancel_scope.cancel()


async def test_notices_are_bounded() -> None:
    """A new version brings a storm of notices in a large fleet."""
    told: list[RouterId] = []

    def watch(sender: RouterId, to: RouterId, message: PeerMessage) -> bool:
        told.append(sender)
        return False

    async with anyio.create_task_group() as tasks:
        net = Net.of(FakeNetwork(tasks, lose=watch), 40)
        for one in net.helps.values():
            tasks.start_soon(one.run)
            tasks.start_soon(one.keeper.run)
        await net.helps[PUBLISHER].keeper.publish(DOCUMENT, 0, "ana")
        await anyio.sleep(60.0)
        tasks.cancel_scope.cancel()
    assert max(told.count(router) for router in net.helps) <= NOTICE_FANOUT


async def test_notice_is_not_believed() -> None:
    """One router says a version that does not exist, and the others serve it.

    A notice costs a read; what is adopted is what the table has.
    """
    async with anyio.create_task_group() as tasks:
        net = Net.of(FakeNetwork(tasks), 2)
        keeper = net.helps["r01.1"].keeper
        tasks.start_soon(keeper.run)
        await net.helps[PUBLISHER].keeper.publish(DOCUMENT, 0, "ana")
        await anyio.sleep(60.0)
        await net.helps[PUBLISHER].link.send("r01.1", VersionNotice(99, "forged"))
        await anyio.sleep(60.0)
        assert (keeper.version, keeper.document) == (1, DOCUMENT)
        tasks.cancel_scope.cancel()


async def test_evidence_of_a_few() -> None:
    async with anyio.create_task_group() as tasks:
        net = Net.of(FakeNetwork(tasks), 12)
        for one in net.helps.values():
            await one.keeper.refresh()
        await net.helps[PUBLISHER].keeper.publish(DOCUMENT, 0, "ana")
        for one in net.helps.values():
            await one.keeper.refresh()
        found = await net.helps["r05.1"].ask()
        assert len(found) == EVIDENCE_PEERS
        assert {one.version for one in found} == {1}
        tasks.cancel_scope.cancel()


async def test_silent_routers_give_no_evidence() -> None:
    """The table is away and a router asks others that are dead: it must not hang."""
    async with anyio.create_task_group() as tasks:
        net = Net.of(FakeNetwork(tasks, lose=lambda *_: True), 5)
        with anyio.fail_after(5.0):
            assert await net.helps[PUBLISHER].ask() == ()
        tasks.cancel_scope.cancel()


async def test_alone() -> None:
    async with anyio.create_task_group() as tasks:
        net = Net.of(FakeNetwork(tasks), 1)
        assert await net.helps[PUBLISHER].ask() == ()
