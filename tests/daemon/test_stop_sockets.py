"""A router's stop, as callers on sockets meet it at each of its steps."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from http import HTTPStatus

import anyio
import pytest
from attrs import frozen

from ebonyhold.daemon import _lifecycle
from tests.backends.kit import good
from tests.daemon.stopkit import (
    CHAT,
    STREAM,
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
    router.lifecycle.asked.set()
    await anyio.wait_all_tasks_blocked()
    assert router.lifecycle.leaving
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
PATIENT = request().replace(b"host: router", b"host: router\r\nx-deadline-ms: 15000")
UNDERWAY = {
    "whole chat at its engine": Underway(request(), 502),
    "stream before its first byte": Underway(request(STREAM), 502),
    "chat in the queue": Underway(PATIENT, 503, not_run=True, queued=True),
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
            router.lifecycle.asked.set()
            if second:
                router.lifecycle.hurried.set()
            answer = await caller.answer()
    assert answer.whole
    assert answer.status == case.status
    assert answer.told_not_run is case.not_run
    assert ("outcome" in answer.error) is not case.not_run
    assert router.ran() == (not case.not_run)
    assert router.money.unsettled == 0
