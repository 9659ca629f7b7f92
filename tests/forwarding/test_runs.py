"""Runs of servers that reports confirm, and what answers do not prove."""

from __future__ import annotations

from collections.abc import Mapping

import pytest

from ebonyhold.coordination import BegunStream
from tests.forwarding.kit import Server, request, rig
from tests.forwarding.test_attempts import whole_stream
from tests.forwarding.test_streams import Keepers

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """Use a real clock, since sockets do not work with a virtual one."""
    return "asyncio"


async def test_ordinary_stream_tells_nobody() -> None:
    """Guards against a look-up of all routers for each stream that begins."""
    calls: list[int] = []

    class Counts(Keepers):
        def tell(self, begun: Mapping[str, BegunStream]) -> None:
            calls.append(len(begun))

    async with rig(Server("one", whole_stream, version="v1", started_at=1)) as router:
        router.forwarder.streams.keepers = Counts()
        await router.ask(request("/stream/x"))
    assert not calls
