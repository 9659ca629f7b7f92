"""Chat requests: answers, bills, waiting in the queue, and refusals."""

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
from tests.callers.kit import CallerResponse, make_bench, make_document

pytestmark = pytest.mark.anyio
TEXT = "".join(f"t{index} " for index in range(TOKENS))


async def test_stream_is_whole_and_billed() -> None:
    bench = make_bench()
    response = await bench.chat()
    assert (response.status, response.text, response.whole) == (200, TEXT, True)
    assert b'"usage"' not in response.body
    (outcome,) = bench.money.outcomes
    assert outcome.state is RequestState.COMPLETE
    assert outcome.charge == PROMPT_TOKENS + TOKENS


async def test_usage_event_is_passed_on_when_asked_for() -> None:
    response = await make_bench().chat(stream_options={"include_usage": True})
    assert b'"usage"' in response.body
    assert response.whole


async def test_whole_answer() -> None:
    bench = make_bench()
    response = await bench.chat(stream=False)
    assert response.status == 200
    assert TEXT.encode() in response.body
    assert bench.money.outcomes[0].charge == PROMPT_TOKENS + TOKENS


async def test_interrupted_stream_ends_with_error_event() -> None:
    """A stop of the router interrupts a stream.

    The caller gets an error event and no ``[DONE]``, the attempt is closed at its
    engine, and the request is settled.
    """
    bench = make_bench(make_document(engines=1))
    engine = bench.servers["e0"]
    engine.scripts = [sends(opening(), token(0), 600.0)]
    engine.attempt_status = {
        "state": "cancelled",
        "prompt_tokens": 9,
        "completion_tokens": 1,
    }
    bench.app.backends.timeouts = bench.app.backends.engines.timeouts = Timeouts(
        stall=900.0, headers=900.0
    )
    responses: list[CallerResponse] = []

    async def ask() -> None:
        responses.append(await bench.chat())

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(ask)
        await anyio.sleep(1.0)
        await bench.app.interrupt()
    assert responses[0].ended
    assert b"event: error" in responses[0].body
    assert b"[DONE]" not in responses[0].body
    assert bench.money.outcomes[0].charge == 10
    assert len(engine.closes) == 1


@pytest.mark.parametrize("left", ["at once", "while it waits"])
async def test_refused_at_once_without_engines(left: str) -> None:
    """Requests are refused as soon as all engines leave, not at their deadlines."""
    bench = make_bench(make_document(engines=1))
    fleet = bench.app.fleet
    if left == "at once":
        fleet.leaving = frozenset({"e0"})
    else:
        bench.app.backends.refresh()
        bench.app.backends.states["e0"].reserved = 100
    responses: list[CallerResponse] = []

    async def ask() -> None:
        responses.append(await bench.chat(x_deadline_ms="60000"))
        responses[0].headers["at"] = str(anyio.current_time())

    begun = anyio.current_time()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(ask)
        await anyio.sleep(1.0)
        fleet.leaving = frozenset({"e0"})
        bench.app.pump()
    assert responses[0].error["code"] == "no_backend"
    assert responses[0].error["not_run"] is True
    assert float(responses[0].headers["at"]) <= begun + 1.0


async def test_deadline_passes_in_queue() -> None:
    """The engine stays full until the caller's deadline; nothing ran."""
    bench = make_bench(make_document(engines=1))
    bench.app.backends.refresh()
    bench.app.backends.states["e0"].reserved = 100
    response = await bench.chat(x_deadline_ms="700")
    assert response.error["code"] == "deadline_unreachable"
    assert response.error["not_run"] is True
    assert response.error["retry_after"] > 0
    assert bench.money.log == []


async def test_disconnect_in_queue_frees_place() -> None:
    """A caller that disconnects in the queue leaves nothing behind in its gate."""
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
        response = await bench.chat(x_priority=kind, x_deadline_ms="9000")
        assert response.whole
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
async def test_overshoot_is_not_charged(stream: bool) -> None:
    """An engine generates more tokens than the request allows.

    The workspace pays for the allowed tokens; the others are recorded as overshoot.
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


async def test_answer_without_usage_is_billed() -> None:
    """An engine sends no usage; the bill uses the status of the closed attempt."""
    bench = make_bench(make_document(engines=1))
    engine = bench.servers["e0"]
    tokens = [token(index) for index in range(TOKENS)]
    first, _, last = closing()
    engine.scripts = [sends(opening(), *tokens, first, last)]
    engine.attempt_status = {
        "state": "finished",
        "prompt_tokens": 9,
        "completion_tokens": 6,
    }
    assert (await bench.chat()).whole
    (outcome,) = bench.money.outcomes
    assert (outcome.state, outcome.charge) == (RequestState.COMPLETE, 15)


async def test_body_never_arrives() -> None:
    response = await make_bench().ask("POST", "/v1/chat/completions", never=True)
    assert (response.status, response.error["code"]) == (408, "body_timeout")
    assert response.error["not_run"] is True
