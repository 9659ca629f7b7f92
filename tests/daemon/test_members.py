"""The membership feed keeps the last list and derives the leaving servers."""

from __future__ import annotations

import random
from typing import Any, cast

import anyio
import pytest
from attrs import define

from ebonyhold.daemon._members import MemberFeed
from ebonyhold.document import Document
from ebonyhold.exceptions import UnavailableError
from ebonyhold.fleet import FleetView
from ebonyhold.stores import Member, MemberRole, MemberState
from tests.virtual import anyio_backend

__all__ = ["anyio_backend"]

pytestmark = pytest.mark.anyio


def member(name: str, role: MemberRole, state: MemberState) -> Member:
    return Member(name, "10.0.0.1:1", "domain", role, state)


ROUTER = member("entry-1", MemberRole.ENTRY, MemberState.LIVE)
LEAVING_ROUTER = member("entry-2", MemberRole.ENTRY, MemberState.LEAVING)
ENGINE = member("engine-1", MemberRole.BACKEND, MemberState.LIVE)
LEAVING_ENGINE = member("engine-1", MemberRole.BACKEND, MemberState.LEAVING)


@define
class FakeList:
    """A membership list that a test sets; reading it fails while it is None."""

    found: tuple[Member, ...] | None = None

    async def members(self) -> tuple[Member, ...]:
        if self.found is None:
            raise UnavailableError("the list is unavailable")
        return self.found


def feed_of(found: FakeList | None) -> MemberFeed:
    fleet = FleetView(Document("fleet", ()), domain="domain")
    return MemberFeed(cast(Any, found), fleet, random.Random(1))


@pytest.mark.parametrize(
    ("found", "leaving"),
    [
        ((), set()),
        ((ROUTER, ENGINE), set()),
        ((ROUTER, LEAVING_ENGINE), {"engine-1"}),
        ((LEAVING_ROUTER, ENGINE), set()),
    ],
)
def test_leaving_backend_servers(found: tuple[Member, ...], leaving: set[str]) -> None:
    feed = feed_of(None)
    feed.update(found)
    assert feed.fleet.leaving == leaving


async def test_list_is_unavailable_for_a_while() -> None:
    """Guards against sending work to a leaving server when the list can't be read.

    The last list stays in force, and the feed goes on reading.
    """
    source = FakeList()
    feed = feed_of(source)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(feed.run)
        await anyio.sleep(10.0)
        with pytest.raises(UnavailableError):
            await feed.entries()
        source.found = (ROUTER, LEAVING_ENGINE)
        await anyio.sleep(10.0)
        source.found = None
        await anyio.sleep(600.0)
        assert await feed.entries() == (ROUTER, LEAVING_ENGINE)
        assert feed.fleet.leaving == {"engine-1"}
        source.found = (ROUTER, ENGINE)
        await anyio.sleep(10.0)
        assert not feed.fleet.leaving
        tasks.cancel_scope.cancel()


async def test_platform_without_a_list() -> None:
    feed = feed_of(None)
    with anyio.fail_after(1.0):
        await feed.run()
    with pytest.raises(UnavailableError):
        await feed.entries()
