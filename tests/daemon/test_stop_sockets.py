"""The answers that callers get on their connections at each step of a stop."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from http import HTTPStatus

import anyio
import httpx
import pytest
from attrs import frozen

from ebonyhold.callers import _app, _open_request
from ebonyhold.daemon import _connections, _lifecycle, _servers
from ebonyhold.types import Seconds
from tests.backends.kit import Engine, good, whole_body
from tests.callers.kit import KEY
from tests.daemon.stopkit import (
    CHAT,
    POLL_INTERVAL,
    STREAM,
    TIMEOUT,
    Answer,
    HeldScript,
    Router,
    head,
    request,
    running_router,
    wait_until,
)

pytestmark = pytest.mark.anyio

SHORT = 0.1
"""Duration in seconds of the steps that no event ends."""

STEPS = ("grace", "streams", "interrupt", "settle")


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@pytest.fixture(autouse=True)
def short_grace(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_lifecycle, "UNREADY_GRACE", SHORT)
    monkeypatch.setattr(_connections, "LATE_READ_TIME", SHORT / 10)
    monkeypatch.setattr(_open_request, "STOP_GRACE", SHORT)


@asynccontextmanager
async def held_at_step(step: str) -> AsyncIterator[Router]:
    """Run a router whose stop can't get past the given step during the block."""
    drain = 20.0 if step == "streams" else SHORT
    async with running_router(drain) as router, AsyncExitStack() as stack:
        held, settles, drains = HeldScript(), anyio.Event(), anyio.Event()
        if step == "settle":
            router.money.drains = drains
        if step in ("streams", "interrupt"):
            router.script(held, good)
            caller = await stack.enter_async_context(router.caller())
            await caller.send(request(STREAM))
            await held.arrived.wait()
        if step == "interrupt":
            router.money.settles = settles
        yield router
        held.released.set()
        settles.set()
        drains.set()


async def advance_to(router: Router, step: str) -> None:
    """Request the stop, and wait until it has reached the step."""
    router.lifecycle.stop_requested.set()
    await wait_until(lambda: router.lifecycle.leaving)
    if step != "grace":
        await wait_until(lambda: router.app.stopping)
    if step == "interrupt":
        await anyio.sleep(2 * SHORT)
    if step == "settle":
        await router.money.draining.wait()


MODELS = head(0, "/v1/models", "GET")
LARGE = request(b" " * 900_000 + CHAT)
"""A request within the document's size limit that is larger than the buffers."""


@frozen
class CallerBehaviour:
    """What a caller sends before and during a stop.

    Attributes:
        after: The bytes it sends once the stop has reached the step.
        before: The bytes it sends before the stop is requested.
        answers: Number of answers it receives to `before`.
        new: Whether it connects only once the stop has reached the step.
    """

    after: bytes
    before: bytes = b""
    answers: int = 0
    new: bool = False


KINDS = {
    "new": CallerBehaviour(request(), new=True),
    "kept": CallerBehaviour(request(), MODELS, 1),
    "half head": CallerBehaviour(request()[20:], request()[:20]),
    "pipelined": CallerBehaviour(request() * 2, MODELS * 2, 2),
    "large body": CallerBehaviour(LARGE, new=True),
    "large body on a kept connection": CallerBehaviour(LARGE, MODELS, 1),
    "large body, half head": CallerBehaviour(LARGE[20:], LARGE[:20]),
}


@pytest.mark.parametrize("kind", KINDS.values(), ids=KINDS)
@pytest.mark.parametrize("step", STEPS)
async def test_a_request_that_comes_during_the_stop(
    step: str, kind: CallerBehaviour
) -> None:
    """Guards against requests during a stop that get neither answer nor refusal.

    In the grace period requests are still answered. In each later step the listener is
    still open, and a request that is sent completely gets a complete refusal as not
    run, with a retry-after header, and reaches no backend server.
    """
    async with held_at_step(step) as router, AsyncExitStack() as stack:
        if not kind.new:
            caller = await stack.enter_async_context(router.caller())
            await caller.send(kind.before)
            for _ in range(kind.answers):
                assert (await caller.answer()).status == HTTPStatus.OK
        await advance_to(router, step)
        ran = router.ran()
        if kind.new:
            caller = await stack.enter_async_context(router.caller())
        await caller.send(kind.after)
        answer = await caller.answer()
        if step == "grace":
            assert answer.status == HTTPStatus.OK
        else:
            assert answer.refused_as_not_run, answer
            assert answer.error["code"] == "router_stopping"
            assert router.ran() == ran


@frozen
class OpenRequest:
    """A request that is still open when the stop interrupts requests.

    Attributes:
        sent: The bytes that its caller has sent.
        status: The HTTP status of its answer.
        not_run: Whether it is refused as not run and has reached no backend server.
        queued: Whether it waits in the queue because its engine is full.
    """

    sent: bytes
    status: int
    not_run: bool = False
    queued: bool = False


STOCK = "/services/booking/stock"
BOOKINGS = "/services/booking/bookings"
URGENT = request().replace(b"host: router", b"host: router\r\nx-deadline-ms: 15000")
OPEN_REQUESTS = {
    "whole chat at its engine": OpenRequest(request(), 502),
    "stream before its first byte": OpenRequest(request(STREAM), 502),
    "chat in the queue": OpenRequest(URGENT, 503, not_run=True, queued=True),
    "half a body": OpenRequest(request()[:-10], 503, not_run=True),
    "call that may be repeated": OpenRequest(head(0, STOCK, "GET"), 502),
    "booking": OpenRequest(request(b"{}", BOOKINGS), 502),
}


@pytest.mark.parametrize("second", [False, True], ids=["bound", "second-signal"])
@pytest.mark.parametrize("case", OPEN_REQUESTS.values(), ids=OPEN_REQUESTS)
async def test_requests_in_flight_at_the_time_limit(
    case: OpenRequest, second: bool
) -> None:
    """Guards against a stop that cuts open requests without an explicit answer.

    The ``drain`` limit passes or a second signal arrives. Requests other than streams
    must be interrupted too: otherwise they run on while the bills are filed, until the
    listener closes and their callers get a bare 500, which doesn't show whether the
    request ran.
    """
    async with running_router(20.0 if second else SHORT) as router:
        held = HeldScript()
        router.script(held)
        if case.queued:
            router.app.backends.refresh()
            router.app.backends.states["e0"].window = 0.0
        async with router.caller() as caller:
            await caller.send(case.sent)
            await wait_until(lambda: router.app.active == 1)
            if not case.not_run:
                await held.arrived.wait()
            router.lifecycle.stop_requested.set()
            if second:
                router.lifecycle.expedited.set()
            answer = await caller.answer()
    assert answer.whole
    assert answer.status == case.status
    assert answer.refused_as_not_run is case.not_run
    assert ("outcome" in answer.error) is not case.not_run
    assert router.ran() == (not case.not_run)
    assert router.money.unsettled == 0


LARGE_TOKENS = 1_200_000
CLOSED_TIME: Seconds = 0.5
"""How long before its end a router may refuse connections.

A process closes its listening sockets shortly before it exits.
"""


async def answer_large(engine: Engine, request: httpx.Request) -> httpx.Response:
    """Answer with more bytes than the socket buffers of both ends hold."""
    answer = json.loads(whole_body())
    answer["choices"][0]["message"]["content"] = "token " * LARGE_TOKENS
    headers = {"X-Attempt-Id": request.headers["X-Attempt-Id"]}
    return httpx.Response(200, headers=headers, content=json.dumps(answer).encode())


async def keep_connecting(router: Router, unanswered: list[Seconds]) -> None:
    """Send requests on new connections; record the times of those without an answer."""
    while not router.gone.is_set():
        answer = Answer()
        with suppress(OSError):
            async with router.caller() as caller:
                await caller.send(MODELS)
                answer = await caller.answer()
        if not answer.whole:
            unanswered.append(anyio.current_time())
        await anyio.sleep(POLL_INTERVAL)


@pytest.mark.parametrize("reads", [True, False], ids=["slow", "never"])
async def test_listener_accepts_connections_to_the_end(
    monkeypatch: pytest.MonkeyPatch, reads: bool
) -> None:
    """Guards against refused connections while a slow caller reads its last bytes.

    After the bills are filed, the process runs on while the slow caller reads, for up
    to `GRACE` (5 seconds). Until shortly before the exit new callers must get a refusal
    as not run instead of no connection. A connection that arrives as the listener
    closes must not hang or cut the slow caller's answer.
    """
    monkeypatch.setattr(_servers, "GRACE", 3 * CLOSED_TIME)
    monkeypatch.setattr(_app, "INTERRUPT_TIMEOUT", SHORT)
    async with running_router(SHORT) as router, anyio.create_task_group() as tasks:
        router.script(answer_large)
        unanswered: list[Seconds] = []
        async with router.caller() as slow:
            await slow.send(request())
            await wait_until(lambda: router.app.active == 1)
            await anyio.sleep(SHORT)
            router.lifecycle.stop_requested.set()
            await router.money.draining.wait()
            tasks.start_soon(keep_connecting, router, unanswered)
            if reads:
                await anyio.sleep(2 * CLOSED_TIME)
                answer = await slow.answer()
                assert answer.whole
                assert answer.status == HTTPStatus.OK
            with anyio.fail_after(TIMEOUT):
                await router.gone.wait()
        ended = anyio.current_time()
    assert [ended - at for at in unanswered if ended - at > CLOSED_TIME] == []


CHUNK_BYTES = 100_000
CHUNKS = 8
PAUSE: Seconds = 0.03


@pytest.mark.parametrize("step", ["serving", "streams"])
async def test_refusal_before_the_body_is_sent(step: str) -> None:
    """Guards against callers that can't read a refusal because they still send a body.

    The router refuses a request once it has read the head, because it is stopping or
    the key is unknown. If it closes the connection at that point, the rest of the body
    causes a reset. Clients then report a broken pipe, never read the refusal, and
    can't know that the request did not run.
    """
    sent = head(CHUNK_BYTES * CHUNKS)
    if step == "serving":
        sent = sent.replace(KEY.encode(), b"unknown")
    async with held_at_step(step) as router:
        if step != "serving":
            await advance_to(router, step)
        async with router.caller() as caller:
            await caller.send(sent)
            for _ in range(CHUNKS):
                await anyio.sleep(PAUSE)
                await caller.send(b" " * CHUNK_BYTES)
            assert not caller.cut
            answer = await caller.answer()
            assert answer.whole
            assert answer.error["not_run"]
            assert answer.status == (401 if step == "serving" else 503)


LATE_REQUESTS = {
    "kept": CallerBehaviour(request(), MODELS, 1),
    "half head": CallerBehaviour(request()[20:], request()[:20]),
    "pipelined": CallerBehaviour(request() * 2, MODELS, 1),
    "large body": CallerBehaviour(LARGE, MODELS, 1),
}


@pytest.mark.parametrize("kind", LATE_REQUESTS.values(), ids=LATE_REQUESTS)
async def test_request_arrives_during_the_close(
    monkeypatch: pytest.MonkeyPatch, kind: CallerBehaviour
) -> None:
    """Guards against lost requests that arrive as the router closes its listener.

    A caller with an open connection can't know of the close. Its request is still read
    and refused as not run, and reaches no backend server.
    """
    monkeypatch.setattr(_connections, "LATE_READ_TIME", 3 * SHORT)
    async with running_router(SHORT) as router, router.caller() as caller:
        await caller.send(kind.before)
        for _ in range(kind.answers):
            assert (await caller.answer()).whole
        router.lifecycle.stop_requested.set()
        await router.lifecycle.ended.wait()
        await anyio.sleep(SHORT / 2)
        await caller.send(kind.after)
        first = await caller.answer()
        assert first.refused_as_not_run, first
        if kind.after == request() * 2:
            assert (await caller.answer()).refused_as_not_run
        assert router.ran() == 0


async def test_large_body_arrives_during_the_close(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a reset while a caller sends a large body during the close.

    The head arrives within `LATE_READ_TIME`, and the body in the next 0.4 seconds. The
    connection must stay open until the caller has read the refusal.
    """
    monkeypatch.setattr(_connections, "LATE_READ_TIME", SHORT)
    async with running_router(SHORT) as router, router.caller() as caller:
        await caller.send(MODELS)
        assert (await caller.answer()).whole
        router.lifecycle.stop_requested.set()
        await router.lifecycle.ended.wait()
        await caller.send(LARGE[:1000])
        for _ in range(4):
            await anyio.sleep(SHORT)
            await caller.send(b" " * CHUNK_BYTES)
        assert not caller.cut
        assert (await caller.answer()).refused_as_not_run
