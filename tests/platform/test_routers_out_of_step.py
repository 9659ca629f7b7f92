"""Gateways that are out of step for a moment while engines of a new version join."""

from __future__ import annotations

import signal
import time
from collections.abc import Sequence
from pathlib import Path

import anyio
import pytest
from attrs import frozen

from tests.platform.fleet import CONTACT_TIME
from tests.platform.soak._run import SoakRun
from tests.platform.stream_fleet import check_streams, streaming
from tests.platform.streams import MAX_MIXED, mixed

pytestmark = pytest.mark.anyio

START_TIME = 0.8
"""Seconds from the restart of an engine until it is listed again."""

LEAVE_AFTER = 0.4
"""Seconds from the listing of the new version until servers of the old one leave."""

MIN_TAKEN_UP = 5
"""Number of streams that must be taken up at gateways while they are out of step."""

ANSWER_TIME = 0.5
"""Seconds within which a request that goes on has brought events."""


@frozen
class Fault:
    """What brings gateways out of step.

    Attributes:
        begins: When it begins, in seconds after the new version is listed.
        lasts: How long it lasts, in seconds.
        gateways: The gateways.
        stops: Whether they stand still.
        cuts_peers: Whether they are cut off from the other gateways.
        cuts_store: Whether they are cut off from the store.
        times: How often it happens, one right after the other.
    """

    begins: float = -0.1
    lasts: float = 2.0
    gateways: Sequence[int] = (0,)
    stops: bool = False
    cuts_peers: bool = False
    cuts_store: bool = False
    times: int = 1

    def set_on(self, soak: SoakRun, on: bool) -> None:
        """Begin or end it."""
        for number in self.gateways:
            if self.stops:
                soak.gateways[number].send(signal.SIGSTOP if on else signal.SIGCONT)
            if self.cuts_store:
                soak.proxies[number].mode = "silent" if on else "open"
        if self.cuts_peers:
            for gateway in soak.gateways:
                gateway.send(signal.SIGUSR1 if on else signal.SIGUSR2)

    async def play(self, soak: SoakRun) -> None:
        """Bring the gateways out of step, and back."""
        for _ in range(self.times):
            self.set_on(soak, True)
            await anyio.sleep(self.lasts)
            self.set_on(soak, False)
            await anyio.sleep(0.1)


FAULTS = [
    pytest.param(Fault(0.0, 1.2, stops=True), id="stopped"),
    pytest.param(Fault(0.0, 0.8, stops=True, times=3), id="stopped_often"),
    pytest.param(Fault(cuts_store=True), id="cut_off_from_store"),
    pytest.param(Fault(cuts_peers=True), id="cut_off_from_peers"),
    pytest.param(
        Fault(cuts_peers=True, cuts_store=True), id="cut_off_from_peers_and_store"
    ),
    pytest.param(
        Fault(gateways=(0, 1), cuts_peers=True, cuts_store=True), id="two_cut_off"
    ),
    pytest.param(
        Fault(0.3, cuts_peers=True, cuts_store=True),
        id="cut_off_in_the_middle_of_a_release",
    ),
    pytest.param(
        Fault(lasts=5.0, cuts_peers=True, cuts_store=True), id="cut_off_for_long"
    ),
]


@pytest.fixture
def anyio_backend() -> str:
    """Run on asyncio, as the gateways do."""
    return "asyncio"


@pytest.mark.parametrize("fault", FAULTS)
async def test_router_out_of_step_joins_no_streams_of_two_versions(
    tmp_path: Path, fault: Fault
) -> None:
    """Guards against a router that has missed a version and takes the old one."""
    names = ",".join(f"vm-{number}" for number in fault.gateways)
    program = f"tests.platform.cut_gateway {names}"
    async with streaming(tmp_path, program=program) as (soak, streams):
        for engine in range(5):
            await soak.write(f"test-versions//i-{engine}", "v2")
            await soak.write(f"test-restart//i-{engine}", "v2")
        async with anyio.create_task_group() as tasks:
            await anyio.sleep(START_TIME + fault.begins)
            began_at = time.monotonic()
            tasks.start_soon(fault.play, soak)
            await anyio.sleep(LEAVE_AFTER - fault.begins)
            for engine in range(5, 10):
                await soak.write(f"test-state//i-{engine}", "draining")
        ended_at = time.monotonic()
        await anyio.sleep(CONTACT_TIME + 1.0)
        since = time.monotonic()
        await anyio.sleep(3.0)
        until = time.monotonic()
        await anyio.sleep(ANSWER_TIME)
    taken_up = [
        one
        for stream in streams
        for one in stream.tries
        if one.taken_up
        and one.gateway in fault.gateways
        and began_at <= one.sent_at <= ended_at
    ]
    found = len(mixed(streams))
    print(f"{found} of {len(streams)} mixed, {len(taken_up)} taken up out of step")
    assert found <= MAX_MIXED, f"{found} of {len(streams)}"
    assert len(taken_up) >= MIN_TAKEN_UP
    late = [one for one in streams if one.tries and one.tries[0].sent_at >= since]
    check_streams(late, lambda one: one.sent_at <= until)
