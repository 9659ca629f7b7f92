"""Chat requests: whole answers, or the truth about why not."""

from __future__ import annotations

import json

import anyio
import pytest

from ebonyhold.backends import Timeouts
from ebonyhold.coordination import RequestState
from ebonyhold.document import BackendKind
from tests.backends.kit import (
    PROMPT_TOKENS,
    TOKENS,
    answers,
    closing,
    opening,
    sends,
    token,
)
from tests.callers.kit import Heard, make_bench, make_document

pytestmark = pytest.mark.anyio
TEXT = "".join(f"t{index} " for index in range(TOKENS))


async def test_stream_is_whole_and_billed() -> None:
    bench = make_bench()
    heard = await bench.chat()
    assert (heard.status, heard.text, heard.whole) == (200, TEXT, True)
    assert b'"usage"' not in heard.body
    (outcome,) = bench.money.outcomes
    assert outcome.state is RequestState.COMPLETE
    assert outcome.charge == PROMPT_TOKENS + TOKENS


async def test_usage_event_is_passed_on_when_asked_for() -> None:
    heard = await make_bench().chat(stream_options={"include_usage": True})
    assert b'"usage"' in heard.body
    assert heard.whole


async def test_whole_answer() -> None:
    bench = make_bench()
    heard = await bench.chat(stream=False)
    assert heard.status == 200
    assert TEXT.encode() in heard.body
    assert bench.money.outcomes[0].charge == PROMPT_TOKENS + TOKENS


async def test_an_interrupted_stream_says_so() -> None:
    """A stop's patience is over while a stream is under way.

    The caller reads an explicit error event and no ``[DONE]``; the engine is
    told, and the request is settled.
    """
    bench = make_bench(make_document(engines=1))
    engine = bench.servers["e0"]
    engine.scripts = [sends(opening(), token(0), 600.0)]
    engine.truth = {"state": "cancelled", "prompt_tokens": 9, "completion_tokens": 1}
    bench.app.backends.timeouts = bench.app.backends.engines.timeouts = Timeouts(
        stall=900.0, first=900.0
    )
    heard: list[Heard] = []

    async def ask() -> None:
        heard.append(await bench.chat())

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(ask)
        await anyio.sleep(1.0)
        await bench.app.interrupt()
    assert heard[0].ended
    assert b"event: error" in heard[0].body
    assert b"[DONE]" not in heard[0].body
    assert bench.money.outcomes[0].charge == 10
    assert len(engine.closes) == 1


@pytest.mark.parametrize("left", ["at once", "while it waits"])
async def test_no_engine_is_said_at_once(left: str) -> None:
    """All engines leave; nobody waits for a deadline to hear so."""
    bench = make_bench(make_document(engines=1))
    fleet = bench.app.fleet
    if left == "at once":
        fleet.leaving = frozenset({"e0"})
    else:
        bench.app.backends.refresh()
        bench.app.backends.states["e0"].reserved = 100
    heard: list[Heard] = []

    async def ask() -> None:
        heard.append(await bench.chat(x_deadline_ms="60000"))
        heard[0].headers["at"] = str(anyio.current_time())

    begun = anyio.current_time()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(ask)
        await anyio.sleep(1.0)
        fleet.leaving = frozenset({"e0"})
        bench.app.pump()
    assert heard[0].error["code"] == "no_backend"
    assert heard[0].error["not_run"] is True
    assert float(heard[0].headers["at"]) <= begun + 1.0


async def test_a_deadline_that_passes() -> None:
    """The engine is full for as long as the caller allows; nothing ran."""
    bench = make_bench(make_document(engines=1))
    bench.app.backends.refresh()
    bench.app.backends.states["e0"].reserved = 100
    heard = await bench.chat(x_deadline_ms="700")
    assert heard.error["code"] == "deadline_unreachable"
    assert heard.error["not_run"] is True
    assert heard.error["retry_after"] > 0
    assert bench.money.log == []


async def test_a_caller_that_leaves_the_queue() -> None:
    """A caller goes away while it waits; its place and its share are free again."""
    bench = make_bench(make_document(engines=1))
    bench.app.backends.refresh()
    state = bench.app.backends.states["e0"]
    state.reserved = 100
    gone = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(lambda: bench.chat(gone=gone))
        await anyio.sleep(1.0)
        gone.set()
    state.reserved = 0
    gate = bench.app.gate(BackendKind.ENGINE, "assistant")
    assert (gate.waiters, gate.pending, gate.queue.workspaces) == ({}, 0, {})
    assert (await bench.chat()).whole


async def test_live_before_batch_when_engines_are_full() -> None:
    bench = make_bench(make_document(engines=1))
    bench.app.backends.refresh()
    state = bench.app.backends.states["e0"]
    state.reserved = state.backend.slots
    order: list[str] = []

    async def ask(kind: str) -> None:
        heard = await bench.chat(x_priority=kind, x_deadline_ms="9000")
        assert heard.whole
        order.append(kind)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(ask, "batch")
        await anyio.sleep(0.1)
        tasks.start_soon(ask, "live")
        await anyio.sleep(0.1)
        state.reserved = state.backend.slots - 1
        state.window = float(state.backend.slots)
        bench.app.pump()
    assert order == ["live", "batch"]


async def test_metrics() -> None:
    bench = make_bench()
    await bench.chat()
    await bench.chat(key="")
    text = bench.app.metrics.render().decode()
    assert 'ebonyhold_requests_total{ended="complete",kind="chat"} 1.0' in text
    assert 'ebonyhold_requests_total{ended="key_missing",kind="chat"} 1.0' in text
    assert "ebonyhold_first_token_seconds_count 1.0" in text


@pytest.mark.parametrize("stream", [True, False])
async def test_overshoot_is_the_operators(stream: bool) -> None:
    """An engine runs further than it was told to.

    The workspace pays what it asked for at most; the rest stands in the bill as
    overshoot.
    """
    bench = make_bench(make_document(engines=1))
    usage = {"prompt_tokens": 9, "completion_tokens": 50}
    if stream:
        tokens = [token(index) for index in range(TOKENS)]
        script = sends(opening(), *tokens, *closing(50))
    else:
        choice = {"index": 0, "message": {"content": "t0"}, "finish_reason": "stop"}
        body = json.dumps({"choices": [choice], "usage": usage}).encode()
        script = answers(200, body)
    bench.servers["e0"].scripts = [script]
    await bench.chat(stream=stream, max_tokens=8)
    (outcome,) = bench.money.outcomes
    assert (outcome.charge, outcome.overshoot) == (9 + 8, 42)


async def test_an_answer_without_usage_has_its_price() -> None:
    """An engine leaves the usage out; it is asked for it before the bill."""
    bench = make_bench(make_document(engines=1))
    engine = bench.servers["e0"]
    tokens = [token(index) for index in range(TOKENS)]
    first, _, last = closing()
    engine.scripts = [sends(opening(), *tokens, first, last)]
    engine.truth = {"state": "finished", "prompt_tokens": 9, "completion_tokens": 6}
    assert (await bench.chat()).whole
    (outcome,) = bench.money.outcomes
    assert (outcome.state, outcome.charge) == (RequestState.COMPLETE, 15)


async def test_a_body_that_never_comes() -> None:
    heard = await make_bench().ask("POST", "/v1/chat/completions", never=True)
    assert (heard.status, heard.error["code"]) == (408, "body_timeout")
    assert heard.error["not_run"] is True
