"""Requests that need memory of a server before they are sent there."""

from __future__ import annotations

import re

import anyio
import pytest
from attrs import define, field

from ebonyhold.coordination import MemoryNeed
from ebonyhold.forwarding import (
    BackendEntry,
    CallerRequest,
    MemoryRoom,
    RelayResult,
    RoomRequest,
)
from tests.forwarding.kit import Script, Server, request, rig
from tests.forwarding.test_attempts import (
    broken_stream,
    declines,
    fails,
    good,
    numbers,
    resets,
    silent,
    whole_stream,
)
from tests.forwarding.test_relaying import partitioned
from tests.forwarding.test_silent_servers import PATIENCE, dark_stream, prefer_first
from tests.gateway.test_holds import wait_until

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """Use a real clock, since sockets do not work with a virtual one."""
    return "asyncio"


COUNTS = "X-Ebonyhold-Token-Counts: 100,40\r\n"


@define(eq=False)
class FakeMemory:
    """Memory of servers that have room for some requests each.

    Attributes:
        rooms: The free rooms of each server.
        after_wait: The servers that have room for requests that wait.
        taken: The servers at which requests have room.
        asked: The servers that were asked for, in order.
        freed: Whether each room was freed as one of a request that has ended.
    """

    rooms: dict[str, int]
    after_wait: tuple[str, ...] = ()
    taken: list[str] = field(factory=list)
    asked: list[str] = field(factory=list)
    freed: list[bool] = field(factory=list)

    def need(self, service: str, caller: CallerRequest) -> MemoryNeed | None:
        """Return the need of a request with a prompt."""
        return MemoryNeed(caller.max_charge) if caller.max_charge else None

    def is_too_large(self, service: str, need: MemoryNeed) -> bool:
        """Return whether a request needs more than 1,000 tokens."""
        return need.total > 1000

    def wait(self, entry: BackendEntry, need: MemoryNeed, now: float) -> float:
        """Return that a server without room may have some soon."""
        return 0.0 if self.rooms[entry.backend.name] else 0.25

    def expected(self, entry: BackendEntry, now: float) -> float:
        """Return that a server without room is expected to have some later."""
        return 0.5

    async def get(self, entry: BackendEntry, wanted: RoomRequest) -> MemoryRoom | None:
        """Get room, after a wait if the request waits."""
        name = entry.backend.name
        self.asked.append(name)
        if wanted.waits_until is not None and name in self.after_wait:
            await anyio.sleep(0.01)
            self.rooms[name] += 1
        if self.rooms[name] <= 0:
            return None
        self.rooms[name] -= 1
        self.taken.append(name)
        return MemoryRoom(entry.run, name)

    def free(self, room: MemoryRoom, ended: bool) -> None:
        """Free a room."""
        self.taken.remove(room.name)
        self.rooms[room.name] += 1
        self.freed.append(ended)


ENDS: list[tuple[Script, str, bool]] = [
    (good, "unsafe", True),
    (fails, "unsafe", True),
    (declines, "unsafe", True),
    (resets, "unsafe", False),
    (silent, "short", False),
    (broken_stream, "once", False),
]


@pytest.mark.parametrize(("script", "path", "ended"), ENDS)
async def test_room_is_freed_however_the_attempt_ends(
    script: Script, path: str, ended: bool
) -> None:
    """Memory that is never freed is lost until the router restarts."""
    memory = FakeMemory({"one": 1})
    async with rig(Server("one", script)) as router:
        router.forwarder.backends.memory = memory
        await router.ask(request(f"/{path}/x", extra=COUNTS))
    assert (memory.taken, memory.freed) == ([], [ended])


async def test_room_is_freed_when_the_caller_leaves() -> None:
    """The request is cancelled, and its server may run it a little longer."""
    memory = FakeMemory({"one": 1})
    async with rig(Server("one", silent)) as router:
        router.forwarder.backends.memory = memory
        with anyio.move_on_after(0.1):
            await router.ask(request("/unsafe/x", extra=COUNTS))
        await wait_until(lambda: bool(memory.freed))
    assert (memory.taken, memory.freed) == ([], [False])


ROOMS = [
    # free rooms, servers with room after a wait, extra, status, code, the server
    ({"one": 1, "two": 0}, (), COUNTS, 200, b"ok", "one"),
    ({"one": 0, "two": 1}, (), COUNTS, 200, b"ok", "two"),
    ({"one": 0, "two": 0}, ("one", "two"), COUNTS, 200, b"ok", None),
    ({"one": 0, "two": 0}, (), COUNTS, 503, b"servers_memory_full", None),
    ({"one": 0, "two": 0}, (), "", 200, b"ok", None),
    (
        {"one": 1, "two": 1},
        (),
        "X-Ebonyhold-Token-Counts: 900,101\r\n",
        503,
        b"server_memory_too_small",
        None,
    ),
]


@pytest.mark.parametrize(("rooms", "after", "extra", "status", "code", "server"), ROOMS)
async def test_request_goes_where_there_is_room(
    rooms: dict[str, int],
    after: tuple[str, ...],
    extra: str,
    status: int,
    code: bytes,
    server: str | None,
) -> None:
    """A server that gets more than fits crashes, with all requests that it runs."""
    memory, servers = FakeMemory(rooms, after), [Server(n, good) for n in rooms]
    async with rig(*servers) as router:
        router.forwarder.backends.memory = memory
        got = await router.ask(request("/safe/x", extra=extra))
    assert got.startswith(b"HTTP/1.1 %d " % status), got
    assert code in got
    # Each Retry-After is made up to a quarter longer.
    stated = re.search(rb"retry-after: (0\.[56])", got.lower())
    assert (stated is not None) == (code == b"servers_memory_full")
    ran = [one.name for one in servers if one.requests]
    assert len(ran) == (status == 200)
    assert server is None or ran == [server]
    assert not memory.taken


async def test_resumed_stream_needs_room_at_the_next_server() -> None:
    """The next server would get a request that its memory was not asked for."""
    bad, fine = Server("bad", broken_stream), Server("fine", whole_stream)
    memory = FakeMemory({"bad": 1, "fine": 0}, after_wait=("fine",))
    async with rig(bad, fine) as router:
        router.forwarder.backends.memory = memory
        got = await router.ask(request("/stream/x", extra=COUNTS))
    assert numbers(got) == [1, 2, 3, 4]
    assert memory.asked == ["bad", "fine"]
    assert memory.freed == [False, True]


@pytest.mark.parametrize("room", [0, 1])
async def test_relay_gets_the_room_and_not_the_sender(room: int) -> None:
    """A relayed request would count at two routers, or at none."""
    sender, relay = FakeMemory({"one": 0}), FakeMemory({"one": room})
    async with partitioned(Server("one", good)) as cut:
        cut.router.forwarder.backends.memory = sender
        cut.relay.backends.memory = relay
        got = await cut.router.ask(request("/unsafe/x", extra=COUNTS))
    assert got.startswith(b"HTTP/1.1 200 " if room else b"HTTP/1.1 503 ")
    assert (sender.asked, relay.asked) == ([], ["one"])
    assert cut.results == [RelayResult.ANSWERED if room else RelayResult.WITHHELD]
    assert not relay.taken


class SlowMemory(FakeMemory):
    """Memory of servers that takes longer to get than a router goes on."""

    async def get(self, entry: BackendEntry, wanted: RoomRequest) -> MemoryRoom | None:
        """Get room after a second."""
        self.asked.append(entry.backend.name)
        await anyio.sleep(1.0)
        return await super().get(entry, wanted)


async def test_request_without_memory_at_the_end_of_a_relay_was_not_sent() -> None:
    """Guards against requests that end in doubt though no server has got them."""
    server, memory = Server("one", good), SlowMemory({"one": 1})
    async with partitioned(server) as cut:
        cut.relay.backends.memory = memory
        cut.relay.shutdown.begin(anyio.current_time() + 0.2)
        got = await cut.router.ask(request("/unsafe/x", extra=COUNTS))
    assert got.startswith(b"HTTP/1.1 503 "), got[:200]
    assert cut.results == [RelayResult.UNAVAILABLE]
    assert (memory.asked, server.requests) == (["one"], [])


class LateMemory(FakeMemory):
    """Memory of servers of which one has room only when it is asked again."""

    async def get(self, entry: BackendEntry, wanted: RoomRequest) -> MemoryRoom | None:
        """Get room, but not at the first question for the other server."""
        name = entry.backend.name
        if name == "other" and name not in self.asked:
            self.asked.append(name)
            return None
        return await super().get(entry, wanted)


async def test_memory_that_becomes_free_is_used_while_a_server_is_silent() -> None:
    """A server without memory at one look must not be left out for good."""
    memory = LateMemory({"first": 1, "other": 1})
    servers = [Server("first", dark_stream), Server("other", whole_stream)]
    async with rig(*servers) as router:
        router.forwarder.backends.memory = memory
        prefer_first(router)
        with anyio.fail_after(PATIENCE):
            got = await router.ask(request("/stream/x", extra=COUNTS))
    assert numbers(got) == [1, 2, 3, 4]
    assert memory.asked == ["first", "other", "other"]
    assert not memory.taken
