"""Streams that several gateways keep for each other, over loopback sockets."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import pytest
from attrs import define, field

from ebonyhold.coordination import (
    BegunStream,
    StreamRecords,
    VersionHistory,
    stream_id,
)
from ebonyhold.forwarding import CallerLimits, CallerListener
from ebonyhold.forwarding._streams import UNKNOWN_VERSION
from ebonyhold.gateway._holds import PeerHandler
from ebonyhold.gateway._presence import PresenceRow
from ebonyhold.gateway._streams import (
    ASKED,
    KEEPERS,
    MAX_NOTICE,
    SHARDS,
    GatewayStreams,
    StreamAnswer,
)
from ebonyhold.gateway._transfers import GatewayPeers, TransferHandler
from ebonyhold.misc import free_port
from ebonyhold.prepaid import RemoteHolds
from tests.forwarding.kit import LOOPBACK, until_open

pytestmark = pytest.mark.anyio

BEGUN = BegunStream("svc", "v1")

WITHDRAWN = BegunStream("svc", UNKNOWN_VERSION)

TELL_TIME = 0.25
"""Seconds of processor time in which a gateway must queue some thousand streams.

It answers nobody meanwhile, and leaves the rotation if that takes longer.
"""


@pytest.fixture
def anyio_backend() -> str:
    """Use a real clock, since sockets do not work with a virtual one."""
    return "asyncio"


@define(eq=False)
class StreamFleet:
    """Gateways that keep streams.

    Attributes:
        rows: The presence rows by name; it may be changed.
        gateways: What each gateway keeps.
    """

    rows: dict[str, PresenceRow] = field(factory=dict)
    gateways: dict[str, GatewayStreams] = field(factory=dict)

    def knowing(self, stream: str) -> list[str]:
        """Return the gateways that know a stream."""
        return [n for n, one in self.gateways.items() if stream in one.records.begun]


def alone(names: list[str], own: str) -> GatewayStreams:
    """Return the keepers as a gateway sees them that sends no messages."""
    rows = {n: PresenceRow(address="a:1", keeps_streams=True) for n in names}
    rows.pop(own, None)
    peers = GatewayPeers(dict)
    return GatewayStreams(own, peers, lambda: rows, StreamRecords(), VersionHistory())


@asynccontextmanager
async def fleet(count: int, old: int = 0) -> AsyncIterator[StreamFleet]:
    """Run gateways, of which the last ones are older builds that keep no streams."""
    found = StreamFleet()
    async with anyio.create_task_group() as tasks:
        for number in range(count):
            name, port = f"vm-{number}", free_port()
            new = number < count - old
            found.rows[name] = PresenceRow("r", f"{LOOPBACK}:{port}", keeps_streams=new)

            def others(own: str = name) -> dict[str, PresenceRow]:
                return {n: row for n, row in found.rows.items() if n != own}

            def addresses(own: str = name) -> dict[str, str]:
                return {n: row.address for n, row in others(own).items()}

            peers = GatewayPeers(addresses, tasks)
            streams = GatewayStreams(
                name, peers, others, StreamRecords(), VersionHistory()
            )
            found.gateways[name] = streams
            handler = PeerHandler(
                TransferHandler(lambda workspace: None),
                RemoteHolds(lambda workspace: None, lambda: False),
                streams=streams if new else None,
            )
            listener = CallerListener(handler.serve, CallerLimits)
            tasks.start_soon(listener.run, (LOOPBACK, port), tasks)
            tasks.start_soon(streams.run)
            await until_open(port)
        yield found
        tasks.cancel_scope.cancel()


async def test_any_gateway_finds_a_stream_of_a_gateway_that_is_gone() -> None:
    """Callers come back to other gateways, and the first one may be killed."""
    stream = stream_id("acme", "r-1")
    async with fleet(6) as found:
        found.gateways["vm-0"].tell({stream: BEGUN})
        await anyio.sleep(0.2)
        del found.gateways["vm-0"], found.rows["vm-0"]
        for gateway in found.gateways.values():
            known = gateway.records.begun.get(stream)
            asked = await gateway.ask(stream, "svc")
            assert BEGUN in (known, asked.begun)


async def test_only_keepers_are_told() -> None:
    """The number of messages must not grow with the fleet."""
    stream = stream_id("acme", "r-1")
    async with fleet(9) as found:
        found.gateways["vm-0"].tell({stream: BEGUN})
        await anyio.sleep(0.2)
        assert len(found.knowing(stream)) <= KEEPERS


async def test_gateways_of_older_builds_are_neither_told_nor_asked() -> None:
    """Gateways that know no streams must not be taken for keepers."""
    stream = stream_id("acme", "r-1")
    async with fleet(5, old=3) as found:
        found.gateways["vm-0"].tell({stream: BEGUN})
        await anyio.sleep(0.2)
        assert found.knowing(stream) == ["vm-1"]
        asked = await found.gateways["vm-0"].ask(stream, "svc")
        assert (asked.begun, asked.answered) == (BEGUN, 1)
        assert not found.gateways["vm-0"].peers.avoidances


async def test_gateway_that_stops_hands_its_streams_over() -> None:
    """Streams must not be forgotten in a rolling stop of all gateways."""
    streams = [stream_id("acme", f"r-{number}") for number in range(40)]
    async with fleet(6) as found:
        for gateway in found.gateways.values():
            gateway.versions.record("svc", "v1", 0.0)
            gateway.versions.record("svc", "v2", 0.0)
        found.gateways["vm-0"].tell(dict.fromkeys(streams, BEGUN))
        await anyio.sleep(0.2)
        for name in [f"vm-{number}" for number in range(5)]:
            stopped = found.gateways[name]
            await stopped.hand_over()
            stopped.records.begun.clear()
            stopped.records.added_at.clear()
        for stream in streams:
            assert found.knowing(stream), stream


async def test_answer_tells_the_versions_in_play() -> None:
    """A gateway with an old list must learn that it has missed a version."""
    async with fleet(3) as found:
        for name in ("vm-1", "vm-2"):
            found.gateways[name].versions.record("svc", "v2", 0.0)
        asked = await found.gateways["vm-0"].ask(stream_id("acme", "r-1"), "svc")
        assert asked.begun is None
        assert asked.versions == {"v2"}
        assert asked.answered == 2


@pytest.mark.parametrize(
    ("possible", "expected"), [(None, ("v1", "v2")), (("v1",), ("v1",)), ((), ())]
)
def test_older_build_may_have_told_nobody_of_a_stream(
    possible: tuple[str, ...] | None, expected: tuple[str, ...]
) -> None:
    """An answer that does not state where streams are told must exclude no version."""
    answer = StreamAnswer(versions=("v1", "v2"), possible=possible)
    assert answer.all_possible == expected


@pytest.mark.parametrize(
    ("names", "were_read", "known"),
    [(["vm-0"], True, False), (["vm-0"], False, True), (["vm-0", "vm-1"], True, True)],
    ids=["alone", "not read", "two"],
)
def test_gateway_that_has_read_no_presence_rows_is_not_alone(
    names: list[str], were_read: bool, known: bool
) -> None:
    """Guards against a started gateway that goes by its own list, as if alone."""
    streams = alone(names, "vm-0")
    streams.were_read = lambda: were_read
    assert streams.are_known is known


async def test_answer_tells_at_which_versions_streams_are_not_told() -> None:
    """A gateway must learn that a stream began before the version that it missed."""
    async with fleet(3) as found:
        for name in ("vm-1", "vm-2"):
            for version in ("v1", "v2"):
                found.gateways[name].versions.record(
                    "svc", version, anyio.current_time()
                )
        del found.gateways["vm-2"], found.rows["vm-2"]
        found.rows["vm-2"] = PresenceRow("r", "127.0.0.1:1", keeps_streams=True)
        asked = await found.gateways["vm-0"].ask(stream_id("acme", "r-1"), "svc")
        assert asked.versions == {"v1", "v2"}
        assert asked.possible == {"v1"}
        assert (asked.answered, asked.asked, asked.is_by_most) == (1, 2, False)


@pytest.mark.parametrize("late", [0, 1, 2])
async def test_version_that_one_keeper_has_withdrawn_is_not_used(late: int) -> None:
    """Guards against a keeper that has missed the second message about a stream."""
    stream = stream_id("acme", "r-1")
    async with fleet(4) as found:
        asker = found.gateways["vm-0"]
        for place, name in enumerate(("vm-1", "vm-2", "vm-3")):
            known = BEGUN if place == late else WITHDRAWN
            records = found.gateways[name].records
            records.add(stream, known, anyio.current_time())
        for _ in range(10):
            asked = await asker.ask(stream, "svc")
            assert asked.begun == WITHDRAWN


async def test_silent_keepers_delay_a_question_by_its_timeout() -> None:
    """A caller must be answered at once, although no keeper is reached."""
    async with fleet(4) as found:
        for name in ("vm-1", "vm-2", "vm-3"):
            found.rows[name] = PresenceRow("r", "127.0.0.1:1", keeps_streams=True)
        with anyio.fail_after(0.5):
            asked = await found.gateways["vm-0"].ask(stream_id("acme", "r"), "svc")
        assert asked.answered == 0


@pytest.mark.parametrize("routers", [1, 2, 6, 84, 195, 330])
def test_number_of_partners_is_bounded_in_any_fleet(routers: int) -> None:
    """A gateway must not talk to all others of a large fleet."""
    names = [f"vm-{number}" for number in range(routers)]
    gateway = alone(names, "vm-0")
    streams = [stream_id("acme", f"r-{number}") for number in range(4_000)]
    began = time.process_time()
    gateway.tell(dict.fromkeys(streams, BEGUN))
    assert time.process_time() - began < TELL_TIME
    assert len(gateway.waiting) <= min(routers - 1, SHARDS * KEEPERS)
    assert all(len(gateway.keepers(s, ASKED)) <= ASKED for s in streams)


@pytest.mark.parametrize("routers", [6, 84, 330])
def test_keepers_survive_the_change_of_one_gateway(routers: int) -> None:
    """Gateways with slightly different views of the fleet must ask who was told."""
    names = [f"vm-{number}" for number in range(routers)]
    told = alone(names, "vm-0")
    asks = alone([*names[:-1], "vm-new"], "vm-1")
    told.look_up()
    asks.look_up()
    for number in range(100):
        stream = stream_id("acme", f"r-{number}")
        keepers = {*told.keepers(stream, KEEPERS)} - {"vm-1"}
        asked = {*asks.keepers(stream, ASKED)}
        assert keepers & asked or len(keepers) < KEEPERS


def test_queue_for_one_gateway_is_bounded() -> None:
    """Notices to a gateway that does not answer must not fill the memory."""
    gateway = alone(["vm-0", "vm-1"], "vm-0")
    gateway.tell({stream_id("a", str(n)): BEGUN for n in range(MAX_NOTICE + 50)})
    assert len(gateway.waiting["vm-1"]) == MAX_NOTICE
