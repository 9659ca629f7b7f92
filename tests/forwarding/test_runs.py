"""Runs of servers that reports confirm, and what answers do not prove."""

from __future__ import annotations

from collections.abc import Mapping

import anyio
import pytest
from anyio.abc import SocketStream
from attrs import evolve

from ebonyhold.coordination import BegunStream, stream_id
from ebonyhold.forwarding import RelayResult
from tests.forwarding.kit import Server, answer, request, rig
from tests.forwarding.test_attempts import good, numbers, whole_stream
from tests.forwarding.test_relaying import partitioned
from tests.forwarding.test_streams import TAKES_UP, Keepers
from tests.forwarding.test_versions import prefer

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


@pytest.mark.parametrize("failed_once", [False, True])
async def test_report_that_failed_once_is_asked_for_again(failed_once: bool) -> None:
    """Guards against taking one rejected report for a server that states no start."""
    one = Server("one", whole_stream, version="v1", started_at=1)
    other = Server("other", whole_stream, version="v2", started_at=1)
    async with rig(one, other, reports=True) as router:
        records = router.forwarder.streams.records
        own = BegunStream("svc", "v1")
        records.add(stream_id("acme", "r0"), own, anyio.current_time())
        if failed_once:
            one.started_at = 0
            await router.ask(request("/stream/x", extra=TAKES_UP))
            one.requests.clear()
            router.forwarder.paths.pool.drop_unused()
            await anyio.sleep(0.05)
        one.started_at = 2
        got = await router.ask(request("/stream/x", extra=TAKES_UP))
    assert got.startswith(b"HTTP/1.1 503 "), got
    assert not one.requests


@pytest.mark.parametrize("started_at", [6, 4])
async def test_stream_does_not_go_on_at_a_run_that_is_not_the_listed_one(
    started_at: int,
) -> None:
    """Guards against requests to a server whose report states another start."""
    one = Server("one", whole_stream, version="v1", started_at=started_at)
    other = Server("other", whole_stream, version="v2", started_at=1)
    async with rig(one, other, reports=True) as router:
        table = router.forwarder.backends
        table.update(evolve(table.entries["one"].backend, started_at=5))
        own = BegunStream("svc", "v1")
        records = router.forwarder.streams.records
        records.add(stream_id("acme", "r0"), own, anyio.current_time())
        got = await router.ask(request("/stream/x", extra=TAKES_UP))
    assert got.startswith(b"HTTP/1.1 503 "), got
    assert not one.requests


class ClosingServer(Server):
    """A server that closes the connection after each report."""

    async def report(self, stream: SocketStream) -> None:
        """Answer with the start of its process."""
        self.reports += 1
        body = b"%d" % self.started_at
        await stream.send(answer("", body, extra="Connection: close\r\n"))
        await stream.aclose()


async def test_stream_goes_on_at_a_server_that_closes_after_its_report() -> None:
    """Guards against refusals although the report has confirmed the run."""
    one = ClosingServer("one", whole_stream, version="v1", started_at=1)
    async with rig(one, reports=True) as router:
        records = router.forwarder.streams.records
        own = BegunStream("svc", "v1")
        records.add(stream_id("acme", "r0"), own, anyio.current_time())
        got = await router.ask(request("/stream/x", extra=TAKES_UP))
    assert numbers(got) == [3, 4], (got, one.reports, one.connections)


@pytest.mark.parametrize("age", [0.0, 9.0])
async def test_request_that_is_no_stream_is_relayed_to_a_server_s_next_run(
    age: float,
) -> None:
    """Guards against refusals beyond a relay while the sender's list is old."""
    one = Server("one", good, version="v1")
    async with partitioned(one) as cut:
        backend = cut.router.forwarder.backends.entries["one"].backend
        cut.relay.backends.update(evolve(backend, started_at=2), anyio.current_time())
        cut.router.forwarder.backends.read_age = lambda: age
        got = await cut.router.ask(request("/safe/x"))
    assert got.startswith(b"HTTP/1.1 200 "), (got, cut.results)
    assert cut.results == [RelayResult.ANSWERED]


@pytest.mark.parametrize("removed", [False, True], ids=["replaced", "removed first"])
@pytest.mark.parametrize("started_at", [0, -1], ids=["no report", "no answer"])
async def test_stream_begun_before_the_list_shows_a_restart_goes_on_nowhere(
    started_at: int, removed: bool
) -> None:
    """Guards against a late list that shows a server's end before its next run."""
    one = Server("one", whole_stream, version="v1", started_at=started_at)
    same = Server("same", whole_stream, version="v1", started_at=1)
    async with rig(one, same, reports=True) as router:
        prefer(router, [one, same])
        await router.ask(request("/stream/x"))
        table = router.forwarder.backends
        backend = table.entries["one"].backend
        if removed:
            table.remove("one", anyio.current_time(), False)
        table.update(evolve(backend, version="v2", started_at=2), anyio.current_time())
        await anyio.sleep(2.7)
        extra = "Last-Event-Id: 2\r\nResumes: r1\r\n"
        got = await router.ask(request("/stream/x", extra=extra))
    assert got.startswith(b"HTTP/1.1 503 "), got
    assert not same.requests
