"""Requests whose server is silent for a while, over real sockets."""

from __future__ import annotations

import os
import time

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream
from attrs import define, field

from ebonyhold.forwarding import ChannelPool, ConnectOutcome
from ebonyhold.forwarding._channel import (
    CONNECT_TIMEOUT,
    Channel,
    ConnectTimeoutError,
)
from ebonyhold.forwarding._silence_watch import STREAM_TIMEOUT
from tests.forwarding.kit import (
    GONE,
    Rig,
    Script,
    Server,
    answer,
    chunk,
    event,
    request,
    rig,
    stream_head,
)
from tests.forwarding.test_attempts import (
    declines,
    fails,
    numbers,
    resets,
    silent,
    whole_stream,
)

pytestmark = pytest.mark.anyio

STREAM_PAUSE = 1.6
"""Seconds for which the first server is silent: longer than the limit for streams."""

SAFE_PAUSE = 0.9
"""The same for safe requests."""

PATIENCE = 2.0
"""Seconds without an event after which callers leave a stream."""

MAX_OVERLAP = 0.4
"""Seconds for which two servers may work on one request."""


@pytest.fixture
def anyio_backend() -> str:
    """Use a real clock, since sockets do not work with a virtual one."""
    return "asyncio"


async def late_stream(server: Server, stream: SocketStream, head: str) -> None:
    """Be silent before the first event."""
    await anyio.sleep(STREAM_PAUSE)
    await whole_stream(server, stream, head)


async def paused_stream(server: Server, stream: SocketStream, head: str) -> None:
    """Be silent after the second of four events."""
    await stream.send(stream_head(head) + chunk(event(1)) + chunk(event(2)))
    await anyio.sleep(STREAM_PAUSE)
    await stream.send(chunk(event(3)) + chunk(event(4)) + chunk(b""))


async def dark_stream(server: Server, stream: SocketStream, head: str) -> None:
    """Be silent for good after the second event."""
    await stream.send(stream_head(head) + chunk(event(1)) + chunk(event(2)))
    await anyio.sleep_forever()


async def ending_stream(server: Server, stream: SocketStream, head: str) -> None:
    """End after the second event, right after the limit for streams."""
    await stream.send(stream_head(head) + chunk(event(1)) + chunk(event(2)))
    await anyio.sleep(STREAM_TIMEOUT + CONNECT_TIMEOUT / 2)
    raise anyio.EndOfStream


async def late_answer(server: Server, stream: SocketStream, head: str) -> None:
    """Be silent before a whole answer."""
    await anyio.sleep(SAFE_PAUSE)
    await stream.send(answer(head))


async def good_answer(server: Server, stream: SocketStream, head: str) -> None:
    """Answer any request at once."""
    if "/safe/" in head:
        await stream.send(answer(head))
    else:
        await whole_stream(server, stream, head)


@define(eq=False)
class DarkPool(ChannelPool):
    """Connections to servers, some of which accept none, as without power.

    Attributes:
        dark: The names of these.
    """

    dark: set[str] = field(factory=set)

    async def connect(self, name: str, address: tuple[str, int]) -> Channel:
        """Return a new connection, unless the server accepts none."""
        if name in self.dark:
            await anyio.sleep(CONNECT_TIMEOUT)
            self.on_connect(name, ConnectOutcome.TIMED_OUT)
            raise ConnectTimeoutError("no connection in time")
        return await super().connect(name, address)


async def slow_answer(server: Server, stream: SocketStream, head: str) -> None:
    """Answer any request after a time longer than two attempts may overlap."""
    await anyio.sleep(MAX_OVERLAP + 0.05)
    await good_answer(server, stream, head)


SILENT = [
    pytest.param("/stream/x", late_stream, id="before the first event"),
    pytest.param("/stream/x", paused_stream, id="within a stream"),
    pytest.param("/safe/x", late_answer, id="safe"),
]


async def refuses(server: Server, stream: SocketStream, head: str) -> None:
    """Answer that the stream is not known here."""
    await stream.send(answer(head, b"no", "404 Not Found"))


OTHERS = [
    # script of the other server; None for none, the retries in the budget
    pytest.param(good_answer, 0.0, id="no retry left"),
    pytest.param(None, 50.0, id="no other server"),
    pytest.param(resets, 50.0, id="the other one ends"),
    pytest.param(declines, 50.0, id="the other one declines"),
    pytest.param(fails, 50.0, id="the other one fails"),
    pytest.param(silent, 50.0, id="the other one is silent too"),
]


def prefer_first(router: Rig) -> None:
    """Make the router choose the first of its servers."""
    for name, entry in router.forwarder.backends.entries.items():
        entry.in_flight += 0 if name == "first" else 3


def is_whole(path: str, got: bytes) -> bool:
    """Return whether a caller got the whole answer, each event once."""
    if path.startswith("/safe/"):
        return got.startswith(b"HTTP/1.1 200 ") and got.endswith(b"ok")
    return numbers(got) == [1, 2, 3, 4] and got.endswith(b"0\r\n\r\n")


@pytest.mark.parametrize(("path", "script"), SILENT)
@pytest.mark.parametrize(("other", "retries"), OTHERS)
async def test_silent_server_is_kept_until_another_one_answers(
    path: str, script: Script, other: Script | None, retries: float
) -> None:
    """A sound server must not be left for a silence if nothing replaces it."""
    servers = [Server("first", script)]
    if other is not None:
        servers.append(Server("other", other))
    async with rig(*servers, extra_retries=retries) as router:
        prefer_first(router)
        got = await router.ask(request(path))
    assert is_whole(path, got), got
    assert len(servers[0].requests) == 1


async def test_stream_is_kept_if_another_server_refuses_to_resume_it() -> None:
    """A whole answer that cannot be passed on must not end the stream's own server."""
    servers = [Server("first", paused_stream), Server("other", refuses)]
    async with rig(*servers) as router:
        prefer_first(router)
        got = await router.ask(request("/stream/x"))
    assert is_whole("/stream/x", got), got
    assert len(servers[1].requests) == 1


@pytest.mark.parametrize(("path", "script"), SILENT)
async def test_stream_is_not_moved_to_another_version(
    path: str, script: Script
) -> None:
    """A stream whose other servers have another version must wait for its own."""
    servers = [
        Server("first", script, version="v1"),
        Server("other", good_answer, version="v2"),
    ]
    async with rig(*servers) as router:
        prefer_first(router)
        got = await router.ask(request(path))
    assert is_whole(path, got), got
    if script is paused_stream:
        assert not servers[1].requests


@pytest.mark.parametrize("script", [late_stream, dark_stream])
async def test_stream_of_a_dark_server_goes_on_in_time(script: Script) -> None:
    """A server without power sends no reset; its streams must go on elsewhere."""
    dark = silent if script is late_stream else dark_stream
    servers = [Server("first", dark), Server("other", whole_stream)]
    async with rig(*servers) as router:
        prefer_first(router)
        with anyio.fail_after(PATIENCE):
            got = await router.ask(request("/stream/x"))
        assert router.forwarder.backends.entries["first"].in_flight == 0
    assert is_whole("/stream/x", got), got


IDLE_FLEETS = [
    # the path, the script of the first server, that of others; how many others
    pytest.param("/stream/x", silent, 1, id="before the first event, 2 servers"),
    pytest.param("/stream/x", dark_stream, 1, id="within a stream, 2 servers"),
    pytest.param("/stream/x", dark_stream, 2, id="within a stream, 3 servers"),
    pytest.param("/safe/x", silent, 1, id="safe, 2 servers"),
]


@pytest.mark.parametrize(("path", "script", "others"), IDLE_FLEETS)
async def test_dark_server_is_left_without_other_requests(
    path: str, script: Script, others: int
) -> None:
    """Where no other request shows who is silent, a dark server must still be left."""
    servers = [Server("first", script)]
    servers += [Server(f"other{each}", slow_answer) for each in range(others)]
    async with rig(*servers) as router:
        prefer_first(router)
        paths = router.forwarder.paths
        paths.pool = DarkPool(paths.pool.tasks)
        answers: list[bytes] = []

        async def ask() -> None:
            answers.append(await router.ask(request(path)))

        with anyio.fail_after(PATIENCE):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask)
                await anyio.sleep(0.1)
                paths.pool.dark.add("first")
        assert router.forwarder.backends.entries["first"].in_flight == 0
    assert is_whole(path, answers[0]), answers


async def test_idle_server_is_asked_rather_than_a_full_one_that_is_heard() -> None:
    """The last attempt must not go to a server that will decline the request."""
    servers = [
        Server("first", dark_stream),
        Server("full", declines),
        Server("idle", whole_stream),
    ]
    async with rig(*servers) as router:
        prefer_first(router)
        full = router.forwarder.backends.entries["full"]
        full.full_until = anyio.current_time() + PATIENCE

        async def send_now_and_then() -> None:
            while True:
                full.record_heard(anyio.current_time())
                await anyio.sleep(0.1)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send_now_and_then)
            with anyio.fail_after(PATIENCE):
                got = await router.ask(request("/stream/x"))
            tasks.cancel_scope.cancel()
    assert is_whole("/stream/x", got), got


async def test_two_servers_work_on_a_request_for_a_short_time_only() -> None:
    """A second run beside a silent one must end soon, whichever of them does."""
    seen: dict[str, float] = {}

    async def watched(server: Server, stream: SocketStream, head: str) -> None:
        seen.setdefault(server.name, anyio.current_time())
        await stream.send(stream_head(head) + chunk(event(1)))
        try:
            await stream.receive()
        except GONE:
            seen[f"{server.name} left"] = anyio.current_time()
            raise

    async def slow(server: Server, stream: SocketStream, head: str) -> None:
        seen.setdefault(server.name, anyio.current_time())
        try:
            await stream.receive()
        except GONE:
            seen[f"{server.name} left"] = anyio.current_time()
            raise

    async with rig(Server("first", watched), Server("other", slow)) as router:
        prefer_first(router)
        with anyio.move_on_after(2.5):
            await router.ask(request("/stream/x"))
    ends = [at for name, at in seen.items() if name.endswith("left")]
    assert min(ends) - seen["other"] <= MAX_OVERLAP


@pytest.mark.parametrize("path", ["/once/x", "/unsafe/x"])
async def test_request_that_may_run_once_waits_for_its_server(path: str) -> None:
    """What must not run twice is sent to no other server, however long the silence."""
    script = paused_stream if path == "/once/x" else late_answer
    servers = [Server("first", script), Server("other", good_answer)]
    async with rig(*servers) as router:
        prefer_first(router)
        got = await router.ask(request(path))
    assert numbers(got) == [1, 2, 3, 4] or got.endswith(b"ok")
    assert not servers[1].requests


async def test_retry_is_not_counted_if_no_server_could_be_reached() -> None:
    """A second attempt that never began must not use the retry budget up."""
    servers = [Server("first", paused_stream), Server("other", whole_stream)]
    async with rig(*servers) as router:
        prefer_first(router)
        await servers[1].crash()
        got = await router.ask(request("/stream/x"))
        window = router.forwarder.retries.window("svc", anyio.current_time())
    assert is_whole("/stream/x", got), got
    assert not window.retries


async def test_retry_that_replaces_a_lost_attempt_is_counted() -> None:
    """A retry after the end of a silent server must use the retry budget."""
    servers = [
        Server("first", ending_stream),
        Server("unreachable", whole_stream),
        Server("other", whole_stream),
    ]
    async with rig(*servers) as router:
        prefer_first(router)
        router.forwarder.backends.entries["other"].in_flight += 3
        paths = router.forwarder.paths
        paths.pool = DarkPool(paths.pool.tasks, dark={"unreachable"})
        got = await router.ask(request("/stream/x"))
        window = router.forwarder.retries.window("svc", anyio.current_time())
    assert is_whole("/stream/x", got), got
    assert len(servers[2].requests) == len(window.retries) == 1


async def test_common_silence_uses_no_retries() -> None:
    """A silence of all servers must not spend the retry budget on moves among them."""
    servers = [Server("first", paused_stream), Server("other", paused_stream)]
    async with rig(*servers) as router:
        answers: list[bytes] = []

        async def ask() -> None:
            answers.append(await router.ask(request("/stream/x")))

        async with anyio.create_task_group() as tasks:
            for _ in range(8):
                tasks.start_soon(ask)
        window = router.forwarder.retries.window("svc", anyio.current_time())
    assert all(is_whole("/stream/x", got) for got in answers)
    assert not window.retries


async def long_paused_stream(server: Server, stream: SocketStream, head: str) -> None:
    """Be silent after the second event until two servers have had the request."""
    await stream.send(stream_head(head) + chunk(event(1)) + chunk(event(2)))
    await anyio.sleep(STREAM_PAUSE + MAX_OVERLAP)
    await stream.send(chunk(event(3)) + chunk(event(4)) + chunk(b""))


@pytest.mark.parametrize(
    ("path", "limit"), [("/stream/x", 1.2), ("/safe/x", 0.3)], ids=["stream", "safe"]
)
async def test_pause_of_this_process_is_no_silence_of_a_server(
    path: str, limit: float
) -> None:
    """Data that arrived while the router was paused must be read before it counts."""

    async def answers_meanwhile(
        server: Server, stream: SocketStream, head: str
    ) -> None:
        await anyio.sleep(limit - 0.1)
        data = stream_head(head) + b"".join(chunk(event(n)) for n in (1, 2, 3, 4))
        whole = answer(head) if path == "/safe/x" else data + chunk(b"")
        raw = stream.extra(SocketAttribute.raw_socket)
        os.write(raw.fileno(), whole)
        # The event loop of the router stands still until its limit is over as well.
        time.sleep(0.3)  # noqa: ASYNC251 - to block the loop is the purpose

    servers = [Server("first", answers_meanwhile), Server("other", good_answer)]
    async with rig(*servers) as router:
        prefer_first(router)
        got = await router.ask(request(path))
    assert is_whole(path, got), got
    assert not servers[1].requests


async def test_answer_that_comes_as_the_overlap_ends_is_not_lost() -> None:
    """Two attempts must not end each other when a timeout and an answer coincide."""

    async def busy(server: Server, stream: SocketStream, head: str) -> None:
        await anyio.sleep(MAX_OVERLAP - 0.15)
        data = stream_head(head) + chunk(event(3)) + chunk(event(4)) + chunk(b"")
        raw = stream.extra(SocketAttribute.raw_socket)
        os.write(raw.fileno(), data)
        # The event loop of the router stands still until its limit is over as well.
        time.sleep(0.1)  # noqa: ASYNC251 - to block the loop is the purpose
        await anyio.sleep_forever()

    servers = [Server("first", long_paused_stream), Server("other", busy)]
    async with rig(*servers) as router:
        prefer_first(router)
        got = await router.ask(request("/stream/x"))
    assert is_whole("/stream/x", got), got


async def test_silent_server_is_not_left_for_another_silent_one() -> None:
    """A third server that sends must not tell for a second one that does not."""

    async def ends_late(server: Server, stream: SocketStream, head: str) -> None:
        await anyio.sleep(MAX_OVERLAP + 0.1)
        await stream.aclose()

    scripts = [long_paused_stream, ends_late, whole_stream]
    names = ["first", "other", "third"]
    servers = [Server(*pair) for pair in zip(names, scripts, strict=True)]
    async with rig(*servers) as router, anyio.create_task_group() as tasks:
        prefer_first(router)
        third = router.forwarder.backends.entries["third"]
        third.in_flight += 3

        async def hear_third() -> None:
            while True:
                third.heard_at = anyio.current_time()
                await anyio.sleep(0.02)

        tasks.start_soon(hear_third)
        got = await router.ask(request("/stream/x"))
        tasks.cancel_scope.cancel()
    assert is_whole("/stream/x", got), got


LOST = [
    pytest.param("/stream/x", 0, id="before the first event"),
    pytest.param("/stream/x", 2, id="within a stream"),
    pytest.param("/safe/x", 0, id="safe"),
]


@pytest.mark.parametrize(("path", "events"), LOST)
async def test_answer_that_its_server_has_lost_comes_from_another_one(
    path: str, events: int
) -> None:
    """A server may answer all requests but one, which must not wait for nothing."""

    async def steady(server: Server, stream: SocketStream, head: str) -> None:
        await stream.send(stream_head(head))
        for number in range(1, 60):
            await stream.send(chunk(event(number)))
            await anyio.sleep(0.05)

    async def loses(server: Server, stream: SocketStream, head: str) -> None:
        if "/once/" in head:
            await steady(server, stream, head)
            return
        if events:
            start = b"".join(chunk(event(n + 1)) for n in range(events))
            await stream.send(stream_head(head) + start)
        await anyio.sleep_forever()

    async def slow(server: Server, stream: SocketStream, head: str) -> None:
        if "/once/" in head:
            await steady(server, stream, head)
            return
        await anyio.sleep(MAX_OVERLAP + 0.1)
        await good_answer(server, stream, head)

    servers = [Server("first", loses), Server("other", slow)]
    async with rig(*servers) as router, anyio.create_task_group() as tasks:
        prefer_first(router)
        entries = router.forwarder.backends.entries
        got: list[bytes] = []
        answered = anyio.Event()

        async def ask() -> None:
            got.append(await router.ask(request(path)))
            answered.set()

        tasks.start_soon(ask)
        await anyio.sleep(0.1)
        # Later requests are answered, one at each server.
        tasks.start_soon(router.ask, request("/once/x").replace(b"r1", b"r2"))
        await anyio.sleep(0.05)
        entries["first"].in_flight += 9
        tasks.start_soon(router.ask, request("/once/x").replace(b"r1", b"r3"))
        with anyio.fail_after(PATIENCE + 1.0):
            await answered.wait()
        tasks.cancel_scope.cancel()
    assert is_whole(path, got[0]), got
