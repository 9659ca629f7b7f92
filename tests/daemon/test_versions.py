"""Routers notify each other of configuration versions and exchange evidence."""

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
SPREAD_TIMEOUT: Seconds = 2.0
POLL: Seconds = 3600.0
"""So long that a version can only be adopted because of a notice."""


@define
class VersionFleet:
    """Routers with a keeper each, which share network, table and object store."""

    network: FakeNetwork
    table: MemoryTable
    objects: MemoryObjects
    exchanges: dict[RouterId, VersionExchange]

    @classmethod
    def of(cls, network: FakeNetwork, count: int) -> VersionFleet:
        fleet = cls(network, MemoryTable(), MemoryObjects(), {})
        for number in range(count):
            fleet.add(f"r{number:02d}.1", number)
        return fleet

    def add(self, router: RouterId, seed: int) -> None:
        keeper = ConfigurationKeeper(
            self.table,
            VersionStore(self.objects),
            poll=POLL,
            random=random.Random(seed),
        )
        link = self.network.join(router)
        self.exchanges[router] = VersionExchange(keeper, link, random.Random(seed))
        self.exchanges[router].register()

    def versions(self) -> set[int]:
        return {one.keeper.version for one in self.exchanges.values()}


async def test_version_spreads_by_notices() -> None:
    """Guards against routers that serve an old version until their next poll.

    The notices bring a new version to all 40 routers within `SPREAD_TIMEOUT`.
    """
    async with anyio.create_task_group() as tasks:
        fleet = VersionFleet.of(FakeNetwork(tasks), 40)
        publisher = fleet.exchanges[PUBLISHER].keeper
        for one in fleet.exchanges.values():
            tasks.start_soon(one.run)
            tasks.start_soon(one.keeper.run)
        await anyio.sleep(1.0)
        version = await publisher.publish(DOCUMENT, 0, "ana")
        await anyio.sleep(SPREAD_TIMEOUT)
        assert fleet.versions() == {version}
        tasks.cancel_scope.cancel()


async def test_number_of_notices_is_limited() -> None:
    """Guards against routers that notify all others of a new version."""
    senders: list[RouterId] = []

    def watch(sender: RouterId, to: RouterId, message: PeerMessage) -> bool:
        senders.append(sender)
        return False

    async with anyio.create_task_group() as tasks:
        fleet = VersionFleet.of(FakeNetwork(tasks, lose=watch), 40)
        for one in fleet.exchanges.values():
            tasks.start_soon(one.run)
            tasks.start_soon(one.keeper.run)
        await fleet.exchanges[PUBLISHER].keeper.publish(DOCUMENT, 0, "ana")
        await anyio.sleep(60.0)
        tasks.cancel_scope.cancel()
    assert max(senders.count(router) for router in fleet.exchanges) <= NOTICE_FANOUT


async def test_notice_of_a_version_that_does_not_exist() -> None:
    """Guards against adopting a version because a notice names it.

    A notice only causes a read; a version is adopted as the table has it.
    """
    async with anyio.create_task_group() as tasks:
        fleet = VersionFleet.of(FakeNetwork(tasks), 2)
        keeper = fleet.exchanges["r01.1"].keeper
        tasks.start_soon(keeper.run)
        await fleet.exchanges[PUBLISHER].keeper.publish(DOCUMENT, 0, "ana")
        await anyio.sleep(60.0)
        await fleet.exchanges[PUBLISHER].link.send("r01.1", VersionNotice(99, "forged"))
        await anyio.sleep(60.0)
        assert (keeper.version, keeper.document) == (1, DOCUMENT)
        tasks.cancel_scope.cancel()


async def test_evidence_is_requested_from_a_few_routers() -> None:
    async with anyio.create_task_group() as tasks:
        fleet = VersionFleet.of(FakeNetwork(tasks), 12)
        for one in fleet.exchanges.values():
            await one.keeper.refresh()
        await fleet.exchanges[PUBLISHER].keeper.publish(DOCUMENT, 0, "ana")
        for one in fleet.exchanges.values():
            await one.keeper.refresh()
        found = await fleet.exchanges["r05.1"].ask()
        assert len(found) == EVIDENCE_PEERS
        assert {one.version for one in found} == {1}
        tasks.cancel_scope.cancel()


async def test_evidence_without_any_reply() -> None:
    """Guards against a request for evidence that hangs if no router replies."""
    async with anyio.create_task_group() as tasks:
        fleet = VersionFleet.of(FakeNetwork(tasks, lose=lambda *_: True), 5)
        with anyio.fail_after(5.0):
            assert await fleet.exchanges[PUBLISHER].ask() == ()
        tasks.cancel_scope.cancel()


async def test_evidence_without_other_routers() -> None:
    async with anyio.create_task_group() as tasks:
        fleet = VersionFleet.of(FakeNetwork(tasks), 1)
        assert await fleet.exchanges[PUBLISHER].ask() == ()
