"""Many requests to engines that fail at random, with several random seeds."""

from __future__ import annotations

import random

import anyio
import httpx
import pytest

from ebonyhold.coordination import RequestState
from tests.backends.kit import PROMPT_TOKENS, TOKENS, Engine, Script, good, sends
from tests.callers.kit import Bench, CallerResponse, make_bench, make_document
from tests.callers.test_faults import ONE_FAULT, REPEATS, TEXT

pytestmark = pytest.mark.anyio
NEVER_RUN = ("refused", "slow connect", "busy", "attempt closed")
CALLERS = 40


def random_script(rng: random.Random, fault_share: float) -> Script:
    """Return a script that answers each call correctly or with a random fault.

    Args:
        rng: The source of randomness.
        fault_share: The share of calls with a fault, from 0 to 1.
    """

    async def run(engine: Engine, request: httpx.Request) -> httpx.Response:
        attempt = request.headers["X-Attempt-Id"]
        if rng.random() >= fault_share:
            engine.ran.add(attempt)
            return await good(engine, request)
        if "X-Resume-Tokens" not in request.headers and rng.random() < 0.2:
            engine.ran.add(attempt)
            return await sends(*REPEATS[rng.choice(list(REPEATS))])(engine, request)
        fault = rng.choice(list(ONE_FAULT))
        if fault not in NEVER_RUN:
            engine.ran.add(attempt)
        return await ONE_FAULT[fault](engine, request)

    return run


async def run_with_faults(
    seed: int, fault_share: float
) -> tuple[Bench, list[CallerResponse]]:
    """Send `CALLERS` requests within 5 seconds to four engines with random faults."""
    bench = make_bench(make_document(engines=4))
    rng = random.Random(seed)
    for name in ("e0", "e1", "e2", "e3"):
        bench.servers[name].scripts = [random_script(rng, fault_share)]
        bench.servers[name].reports_runs = True
    bench.app.backends.refresh()
    for state in bench.app.backends.states.values():
        state.boot = "boot-1"
    responses: list[CallerResponse] = []

    async def ask(index: int) -> None:
        await anyio.sleep(rng.random() * 5)
        responses.append(await bench.chat(idempotency_key=f"k-{index}"))

    async with anyio.create_task_group() as tasks:
        for index in range(CALLERS):
            tasks.start_soon(ask, index)
    return bench, responses


@pytest.mark.parametrize("fault_share", [0.2, 0.6, 1.0])
@pytest.mark.parametrize("seed", range(4))
async def test_random_faults(seed: int, fault_share: float) -> None:
    """Engines fail a share of all attempts, with every kind of fault.

    Each caller gets its whole answer, or the start of it with an error event, or a
    refusal.  A request that is refused as "not run" ran at no engine.  Each request
    has at most one outcome, and is charged for the tokens that were sent.
    """
    bench, responses = await run_with_faults(seed, fault_share)
    assert len(responses) == CALLERS
    outcomes = {outcome.request: outcome for outcome in bench.money.outcomes}
    assert len(outcomes) == len(bench.money.outcomes)
    ran = set().union(*(server.ran for server in bench.servers.values()))
    for answer in responses:
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


async def test_no_faults_all_complete() -> None:
    bench, responses = await run_with_faults(1, 0.0)
    assert all(answer.whole for answer in responses)
    assert len(bench.money.log) == 2 * CALLERS
