"""Everything goes wrong at once, by seeds; what is promised holds all the same."""

from __future__ import annotations

import random

import anyio
import httpx
import pytest

from ebonyhold.coordination import RequestState
from tests.backends.kit import PROMPT_TOKENS, TOKENS, Engine, Script, good, sends
from tests.callers.kit import Bench, Heard, make_bench, make_document
from tests.callers.test_faults import ONE_FAULT, REPEATS, TEXT

pytestmark = pytest.mark.anyio
NEVER_RUN = ("refused", "slow connect", "busy", "attempt closed")
CALLERS = 40


def stormy(chance: random.Random, share: float) -> Script:
    """Return a script that does something else with each call."""

    async def run(engine: Engine, request: httpx.Request) -> httpx.Response:
        attempt = request.headers["X-Attempt-Id"]
        if chance.random() >= share:
            engine.ran.add(attempt)
            return await good(engine, request)
        if "X-Resume-Tokens" not in request.headers and chance.random() < 0.2:
            engine.ran.add(attempt)
            return await sends(*REPEATS[chance.choice(list(REPEATS))])(engine, request)
        fault = chance.choice(list(ONE_FAULT))
        if fault not in NEVER_RUN:
            engine.ran.add(attempt)
        return await ONE_FAULT[fault](engine, request)

    return run


async def storm(seed: int, share: float) -> tuple[Bench, list[Heard]]:
    """Let many callers ask at once while every engine misbehaves."""
    bench = make_bench(make_document(engines=4))
    chance = random.Random(seed)
    for name in ("e0", "e1", "e2", "e3"):
        bench.servers[name].scripts = [stormy(chance, share)]
        bench.servers[name].tells = True
    bench.app.backends.refresh()
    for state in bench.app.backends.states.values():
        state.boot = "boot-1"
    heard: list[Heard] = []

    async def ask(index: int) -> None:
        await anyio.sleep(chance.random() * 5)
        heard.append(await bench.chat(idempotency_key=f"k-{index}"))

    async with anyio.create_task_group() as tasks:
        for index in range(CALLERS):
            tasks.start_soon(ask, index)
    return bench, heard


@pytest.mark.parametrize("share", [0.2, 0.6, 1.0])
@pytest.mark.parametrize("seed", range(4))
async def test_storm(seed: int, share: float) -> None:
    """Engines fail a part of all attempts, in every way there is.

    Each caller reads its whole answer, or a correct beginning with an explicit
    error, or a refusal.  Who hears "not run" ran nowhere; each request has one
    outcome, and pays no more than its answer.
    """
    bench, heard = await storm(seed, share)
    assert len(heard) == CALLERS
    outcomes = {outcome.request: outcome for outcome in bench.money.outcomes}
    assert len(outcomes) == len(bench.money.outcomes)
    ran = set().union(*(server.ran for server in bench.servers.values()))
    for answer in heard:
        outcome = outcomes.get(answer.headers["x-request-id"])
        if answer.status != 200:
            assert answer.error.get("not_run") is True or "outcome" in answer.error
            if answer.error.get("not_run"):
                request = answer.headers["x-request-id"]
                assert not any(item.startswith(f"{request}.") for item in ran)
                assert outcome is None or outcome.state is RequestState.NOT_RUN
            continue
        assert outcome is not None
        assert answer.ended
        assert TEXT.startswith(answer.text)
        assert answer.whole is not (b"event: error" in answer.body)
        if answer.whole:
            assert answer.text == TEXT
            assert outcome.state is RequestState.COMPLETE
            assert outcome.charge == PROMPT_TOKENS + TOKENS
        else:
            assert outcome.state is RequestState.INTERRUPTED
            assert outcome.charge == PROMPT_TOKENS + len(answer.text.split())
    assert bench.app.backends.in_progress() == []
    assert all(state.reserved == 0 for state in bench.app.backends.states.values())


async def test_a_calm_fleet_answers_everyone() -> None:
    bench, heard = await storm(1, 0.0)
    assert all(answer.whole for answer in heard)
    assert len(bench.money.log) == 2 * CALLERS
