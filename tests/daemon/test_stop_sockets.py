"""A router's stop, as callers on sockets meet it at each of its steps."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from http import HTTPStatus

import anyio
import httpx
import pytest
from attrs import frozen

from ebonyhold.callers import _app, _flight
from ebonyhold.daemon import _door, _lifecycle, _servers
from ebonyhold.types import Seconds
from tests.backends.kit import Engine, good, whole_body
from tests.callers.kit import KEY
from tests.daemon.stopkit import (
    CHAT,
    LOOK,
    PATIENCE,
    STREAM,
    Answer,
    Held,
    Router,
    head,
    request,
    routing,
    wait_until,
)

pytestmark = pytest.mark.anyio

SHORT = 0.1
"""How long a step lasts that no event ends, in seconds."""

STEPS = ("grace", "streams", "interrupt", "settle")


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@pytest.fixture(autouse=True)
def short_grace(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_lifecycle, "UNREADY_GRACE", SHORT)
    monkeypatch.setattr(_door, "LATE_READ_TIME", SHORT / 10)
    monkeypatch.setattr(_flight, "LAST_PATIENCE", SHORT)


@asynccontextmanager
async def held_at(step: str) -> AsyncIterator[Router]:
    """Keep a stop at one of its steps while the block runs."""
    drain = 20.0 if step == "streams" else SHORT
    async with routing(drain) as router, AsyncExitStack() as stack:
        held, settles, drains = Held(), anyio.Event(), anyio.Event()
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
        held.go.set()
        settles.set()
        drains.set()


async def come_to(router: Router, step: str) -> None:
    """Ask for the stop, and wait until it has come to its step."""
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
"""A body below the document's bound that no buffer on the way holds."""


@frozen
class Kind:
    """What a caller does around a stop.

    Attributes:
        before: What it sends before the signal.
        after: What it sends once the stop has come to its step.
        heard: How many answers it hears to what it sent before.
        new: Whether it connects only then.
    """

    after: bytes
    before: bytes = b""
    heard: int = 0
    new: bool = False


KINDS = {
    "new": Kind(request(), new=True),
    "kept": Kind(request(), MODELS, 1),
    "half head": Kind(request()[20:], request()[:20]),
    "pipelined": Kind(request() * 2, MODELS * 2, 2),
    "large body": Kind(LARGE, new=True),
    "large body on a kept connection": Kind(LARGE, MODELS, 1),
    "large body, half head": Kind(LARGE[20:], LARGE[:20]),
}


@pytest.mark.parametrize("kind", KINDS.values(), ids=KINDS)
@pytest.mark.parametrize("step", STEPS)
async def test_a_request_that_comes_during_the_stop(step: str, kind: Kind) -> None:
    """Whoever comes while the router stops is answered, or refused as not run.

    In the grace requests are still taken.  In every later step the listener is
    still there, and each request that is sent whole gets a whole refusal with a
    time to come again; no backend server hears of it.
    """
    async with held_at(step) as router, AsyncExitStack() as stack:
        if not kind.new:
            caller = await stack.enter_async_context(router.caller())
            await caller.send(kind.before)
            for _ in range(kind.heard):
                assert (await caller.answer()).status == HTTPStatus.OK
        await come_to(router, step)
        ran = router.ran()
        if kind.new:
            caller = await stack.enter_async_context(router.caller())
        await caller.send(kind.after)
        answer = await caller.answer()
        if step == "grace":
            assert answer.status == HTTPStatus.OK
        else:
            assert answer.told_not_run, answer
            assert answer.error["code"] == "router_stopping"
            assert router.ran() == ran


@frozen
class Underway:
    """A request that is under way when the stop's patience ends.

    Attributes:
        sent: What its caller has sent.
        status: What it hears in the end.
        not_run: Whether it is told that nothing ran, and nothing did.
        queued: Whether its engine has no free place.
    """

    sent: bytes
    status: int
    not_run: bool = False
    queued: bool = False


STOCK = "/services/booking/stock"
BOOKINGS = "/services/booking/bookings"
URGENT = request().replace(b"host: router", b"host: router\r\nx-deadline-ms: 15000")
UNDERWAY = {
    "whole chat at its engine": Underway(request(), 502),
    "stream before its first byte": Underway(request(STREAM), 502),
    "chat in the queue": Underway(URGENT, 503, not_run=True, queued=True),
    "half a body": Underway(request()[:-10], 503, not_run=True),
    "call that may be repeated": Underway(head(0, STOCK, "GET"), 502),
    "booking": Underway(request(b"{}", BOOKINGS), 502),
}


@pytest.mark.parametrize("second", [False, True], ids=["bound", "second-signal"])
@pytest.mark.parametrize("case", UNDERWAY.values(), ids=UNDERWAY)
async def test_patience_ends(case: Underway, second: bool) -> None:
    """A stop ends requests that its callers still wait for without a word.

    The operator signals twice, or the document's bound on the stop is over.  Only
    streams were told; a whole answer, a call to a service, a request in the queue
    or one whose body was still coming went on while the bills were filed, and about
    five seconds later the listener's end cut it.  Its caller read a bare 500, which
    says nothing about whether the request ran.  Evidence: the answer's head came
    from the listener, and the settlement began with the booking unsettled.
    """
    async with routing(20.0 if second else SHORT) as router:
        held = Held()
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
    assert answer.told_not_run is case.not_run
    assert ("outcome" in answer.error) is not case.not_run
    assert router.ran() == (not case.not_run)
    assert router.money.unsettled == 0


BIG_TOKENS = 1_200_000
DOOR_SHUT: Seconds = 0.5
"""How long before its end a router may turn connections away: a process closes its
sockets a moment before it is gone, and no longer."""


async def big(engine: Engine, request: httpx.Request) -> httpx.Response:
    """Answer with more than the buffers between the two ends hold."""
    answer = json.loads(whole_body())
    answer["choices"][0]["message"]["content"] = "token " * BIG_TOKENS
    headers = {"X-Attempt-Id": request.headers["X-Attempt-Id"]}
    return httpx.Response(200, headers=headers, content=json.dumps(answer).encode())


async def knock(router: Router, shut: list[Seconds]) -> None:
    """Ask again and again on new connections, and note when there is no answer."""
    while not router.gone.is_set():
        answer = Answer()
        with suppress(OSError):
            async with router.caller() as caller:
                await caller.send(MODELS)
                answer = await caller.answer()
        if not answer.whole:
            shut.append(anyio.current_time())
        await anyio.sleep(LOOK)


@pytest.mark.parametrize("reads", [True, False], ids=["slow", "never"])
async def test_the_door_is_open_to_the_end(
    monkeypatch: pytest.MonkeyPatch, reads: bool
) -> None:
    """Callers meet a closed door while one other caller takes its last bytes.

    The router has filed its bills and closes its listener; the process lives on for
    as long as a slow caller reads, five seconds or more.  Whoever is sent here in
    that time has no connection instead of a refusal.  Worse, a connection that came
    as the listener closed got no answer, and the slow caller's answer was cut too.
    Evidence: the new connection hung, and the listener's task ended as cancelled
    when the slow caller began to read, long before its grace was over.
    """
    monkeypatch.setattr(_servers, "GRACE", 3 * DOOR_SHUT)
    monkeypatch.setattr(_app, "INTERRUPT_WITHIN", SHORT)
    async with routing(SHORT) as router, anyio.create_task_group() as tasks:
        router.script(big)
        shut: list[Seconds] = []
        async with router.caller() as slow:
            await slow.send(request())
            await wait_until(lambda: router.app.active == 1)
            await anyio.sleep(SHORT)
            router.lifecycle.stop_requested.set()
            await router.money.draining.wait()
            tasks.start_soon(knock, router, shut)
            if reads:
                await anyio.sleep(2 * DOOR_SHUT)
                answer = await slow.answer()
                assert answer.whole
                assert answer.status == HTTPStatus.OK
            with anyio.fail_after(PATIENCE):
                await router.gone.wait()
        ended = anyio.current_time()
    assert [ended - at for at in shut if ended - at > DOOR_SHUT] == []


PIECE = 100_000
PIECES = 8
PAUSE: Seconds = 0.03


@pytest.mark.parametrize("step", ["serving", "streams"])
async def test_a_refusal_comes_before_the_body(step: str) -> None:
    """A caller that still sends its body finds its connection cut, not a refusal.

    The router refuses as soon as it has read the head: it stops, or the key is
    unknown.  The connection was closed with the refusal while the rest of the body
    was on its way, and the reply to that rest was a reset.  Clients that hear of it
    while they send report a broken pipe and never read the refusal, so their
    request counts as failed in an unknown way.  Evidence: of 40 requests with one
    and three megabytes from the standard library's client, three ended so.
    """
    sent = head(PIECE * PIECES)
    if step == "serving":
        sent = sent.replace(KEY.encode(), b"unknown")
    async with held_at(step) as router:
        if step != "serving":
            await come_to(router, step)
        async with router.caller() as caller:
            await caller.send(sent)
            for _ in range(PIECES):
                await anyio.sleep(PAUSE)
                await caller.send(b" " * PIECE)
            assert not caller.cut
            answer = await caller.answer()
            assert answer.whole
            assert answer.error["not_run"]
            assert answer.status == (401 if step == "serving" else 503)


CROSSINGS = {
    "kept": Kind(request(), MODELS, 1),
    "half head": Kind(request()[20:], request()[:20]),
    "pipelined": Kind(request() * 2, MODELS, 1),
    "large body": Kind(LARGE, MODELS, 1),
}


@pytest.mark.parametrize("kind", CROSSINGS.values(), ids=CROSSINGS)
async def test_a_request_crosses_the_close(
    monkeypatch: pytest.MonkeyPatch, kind: Kind
) -> None:
    """A request is on its way to a router that closes its listener at that moment.

    The connection is open, so its caller can't know.  It is read and refused as not
    run, however late, and no backend server hears of it.
    """
    monkeypatch.setattr(_door, "LATE_READ_TIME", 3 * SHORT)
    async with routing(SHORT) as router, router.caller() as caller:
        await caller.send(kind.before)
        for _ in range(kind.heard):
            assert (await caller.answer()).whole
        router.lifecycle.stop_requested.set()
        await router.lifecycle.ended.wait()
        await anyio.sleep(SHORT / 2)
        await caller.send(kind.after)
        first = await caller.answer()
        assert first.told_not_run, first
        if kind.after == request() * 2:
            assert (await caller.answer()).told_not_run
        assert router.ran() == 0


async def test_a_large_body_crosses_the_close(monkeypatch: pytest.MonkeyPatch) -> None:
    """A caller whose large body crosses the close is reset and reads no refusal.

    Its head comes just before the connections are read for the last time, the rest
    some tenths of a second later.  The connection was cut as if its caller took
    nothing.  Evidence: one run of the whole suite in which such a caller got no
    answer, and the cut while the caller sent, here.
    """
    monkeypatch.setattr(_door, "LATE_READ_TIME", SHORT)
    async with routing(SHORT) as router, router.caller() as caller:
        await caller.send(MODELS)
        assert (await caller.answer()).whole
        router.lifecycle.stop_requested.set()
        await router.lifecycle.ended.wait()
        await caller.send(LARGE[:1000])
        for _ in range(4):
            await anyio.sleep(SHORT)
            await caller.send(b" " * PIECE)
        assert not caller.cut
        assert (await caller.answer()).told_not_run
