"""Helpers of the contract tests: stand-ins of the services, with their clients."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import anyio
import httpx
from attrs import define

from ebonyhold.standins import MemoryObjects, MemoryTable
from ebonyhold.standins.http import (
    App,
    MemberList,
    WeightsProfile,
    build_weights,
    members_app,
    objects_app,
    running,
    table_app,
)
from ebonyhold.stores import MembersClient, ObjectClient, TableClient, WeightsClient

TIMEOUT = 0.3
"""Seconds; short, since cases with a stalled service wait for it."""


@define
class Platform:
    """A stand-in of each platform service, with its client."""

    table: MemoryTable
    objects: MemoryObjects
    members: MemberList
    weights: App
    members_app: App
    table_client: TableClient
    object_client: ObjectClient
    members_client: MembersClient
    weights_client: WeightsClient


@asynccontextmanager
async def serve_platform() -> AsyncIterator[Platform]:
    """Serve the stand-ins on free ports; close the clients at the end."""
    table, objects, members = MemoryTable(), MemoryObjects(), MemberList(lag=0.0)
    weights = build_weights(WeightsProfile(size=200_000))
    listing = members_app(members)
    async with (
        running(table_app(table)) as table_url,
        running(objects_app(objects)) as objects_url,
        running(listing) as members_url,
        running(weights) as weights_url,
    ):
        platform = Platform(
            table,
            objects,
            members,
            weights,
            listing,
            TableClient(table_url, TIMEOUT),
            ObjectClient(objects_url, TIMEOUT),
            MembersClient(members_url, TIMEOUT),
            WeightsClient(weights_url, TIMEOUT),
        )
        try:
            yield platform
        finally:
            await platform.table_client.aclose()
            await platform.object_client.aclose()
            await platform.members_client.aclose()
            await platform.weights_client.aclose()


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test on asyncio, with real time and sockets."""
    anyio.run(test, backend="asyncio")


async def control(base_url: str, **switches: object) -> None:
    """Set fault switches of a stand-in over HTTP, as experiments do."""
    async with httpx.AsyncClient(trust_env=False, verify=False) as client:
        reply = await client.post(f"{base_url}/control", json=switches)
        reply.raise_for_status()
