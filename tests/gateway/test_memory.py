"""Leases of servers' memory between gateways, over real connections."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, cast

import anyio
import pytest
from attrs import define

from ebonyhold.coordination import LeaseOutcome, MemoryNeed, WantedLease
from ebonyhold.forwarding import CallerLimits, CallerListener
from ebonyhold.gateway import GatewayPeers, PeerHandler, TransferHandler
from ebonyhold.gateway._memory import LeaseClient, LeaseServer
from ebonyhold.misc import free_port
from ebonyhold.prepaid import RemoteHolds
from tests.gateway.test_holds import wait_until
from tests.gateway.test_transfers import HOST, until_listening

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """Use asyncio: sockets need a real clock."""
    return "asyncio"


@define(eq=False)
class FakeRoles:
    """The role of a lender of 100 tokens of each server."""

    lends: bool = True

    def lent_size(self, server: str) -> int:
        """Return 100."""
        return 100

    def max_time(self) -> float:
        """Return the longest time-out."""
        return 8.0

    def may_lend(self, server: str, now: float) -> bool:
        """Return whether this gateway is a lender."""
        return self.lends


def wanted(lease: str, own: int, waits: float = 0.0) -> WantedLease:
    """Return a request for a lease."""
    need = MemoryNeed(own, {"p": 10})
    return WantedLease(lease, "s", need, 5.0, "acme", 1, waits)


@asynccontextmanager
async def lending(
    lends: bool = True, older: bool = False
) -> AsyncIterator[tuple[LeaseClient, LeaseServer]]:
    """Serve leases as vm-2, which may be of an older build; yield a client, vm-1."""
    port = free_port()
    lease_server = LeaseServer(cast(Any, FakeRoles(lends)), lambda: False)
    remote_holds = RemoteHolds(lambda name: None, lambda: False)
    handler = PeerHandler(TransferHandler(lambda name: None), remote_holds)
    handler.lease_server = None if older else lease_server
    listener = CallerListener(handler.serve, CallerLimits)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.run, (HOST, port), tasks)
        await until_listening(port)
        peers = GatewayPeers(lambda: {"vm-2": f"{HOST}:{port}"}, tasks)
        client = LeaseClient("vm-1", peers, lease_server)
        tasks.start_soon(client.run)
        tasks.start_soon(lease_server.run)
        yield client, lease_server
        tasks.cancel_scope.cancel()


async def test_lease_is_granted_and_returned() -> None:
    """Memory that is not returned cannot be used until the lease expires."""
    async with lending() as (client, lease_server):
        outcomes = [
            (await client.ask("vm-2", wanted(name, 60))).outcome for name in "ab"
        ]
        assert outcomes == [LeaseOutcome.GRANTED, LeaseOutcome.FULL]
        assert lease_server.lender.lent == 70
        client.give_back("vm-2", "a")
        await wait_until(lambda: not lease_server.lender.lent and not client.pending)


@pytest.mark.parametrize(("lends", "older"), [(False, False), (True, True)])
async def test_gateway_that_lends_nothing(lends: bool, older: bool) -> None:
    """The answer of an older build to an unknown message must not count as a lease."""
    async with lending(lends, older) as (client, lease_server):
        answer = await client.ask("vm-2", wanted("a", 60))
        assert answer.outcome is LeaseOutcome.UNAVAILABLE
        assert not lease_server.lender.lent
        # Without an answer that confirms it, a return is sent again.
        assert bool(client.pending) == older
        if older:
            await anyio.sleep(0.3)
            assert client.pending["vm-2"].keys() == {"a"}


async def test_request_waits_at_the_lender() -> None:
    """A request for which memory is about to be free must not be refused."""
    async with lending() as (client, lease_server):
        assert (await client.ask("vm-2", wanted("a", 60))).outcome.value == "granted"
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(client.ask, "vm-2", wanted("b", 60, waits=0.9))
            await wait_until(lambda: len(lease_server.waiting) == 1)
            client.give_back("vm-2", "a")
            with anyio.fail_after(0.5):
                await wait_until(lambda: not lease_server.waiting)
        assert lease_server.lender.lent == 70
        # The third one waits for as long as it can, and is refused then.
        with anyio.fail_after(0.5):
            answer = await client.ask("vm-2", wanted("c", 60, waits=0.2))
        assert answer.outcome is LeaseOutcome.FULL
        assert answer.wait > 0
        assert client.peers.is_available("vm-2", anyio.current_time())


async def test_asker_that_leaves_keeps_nothing() -> None:
    """Its lease would be granted later, and hold memory that nobody uses."""
    async with lending() as (client, lease_server):
        await client.ask("vm-2", wanted("a", 60))
        with anyio.move_on_after(0.1):
            await client.ask("vm-2", wanted("b", 60, waits=0.9))
        await wait_until(lambda: not lease_server.waiting)
        client.give_back("vm-2", "a")
        await wait_until(lambda: not lease_server.lender.lent)
        assert not lease_server.lender.waiting


async def test_own_lender_needs_no_message() -> None:
    """A gateway that lends a server's memory uses it as all others do."""
    async with lending() as (client, lease_server):
        assert (await client.ask("vm-1", wanted("a", 60))).outcome.value == "granted"
        client.give_back("vm-1", "a", delay=0.2)
        assert lease_server.lender.lent == 70
        await wait_until(lambda: not lease_server.lender.lent)


@pytest.mark.parametrize("target", ["leases", "returns"])
@pytest.mark.parametrize("body", [b"", b"[]", b'{"lease": 1}', b'{"leases": 5}'])
async def test_malformed_message_is_refused(target: str, body: bytes) -> None:
    """A message that is no request must not be answered as one."""
    async with lending() as (client, lease_server):
        host, _, port = client.peers.addresses()["vm-2"].rpartition(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            head = b"POST /memory/%s HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n"
            await stream.send(head % (target.encode(), len(body)) + body)
            assert b" 400 " in (await stream.receive()).partition(b"\r\n")[0]
        assert not lease_server.lender.lent
