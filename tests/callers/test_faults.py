"""Faults of model engines: what the caller gets and what is billed."""

from __future__ import annotations

import httpx
import pytest

from ebonyhold.coordination import RequestState
from ebonyhold.document import Limits
from tests.backends.kit import (
    PROMPT_TOKENS,
    TOKENS,
    Engine,
    Script,
    answers,
    broken_after,
    closing,
    fails,
    hangs,
    opening,
    sends,
    token,
)
from tests.callers.kit import make_bench, make_document

pytestmark = pytest.mark.anyio
TEXT = "".join(f"t{index} " for index in range(TOKENS))
RESET = httpx.ReadError("reset")
CLOSED_EARLY = httpx.RemoteProtocolError("closed early")
TRICKLE: list[bytes | Exception | float] = [b"d", 1.0] * 30
OWN_OPENING = b'data: {"id":"c-1","choices":[{"delta":{}}]}\n\n'
OWN_TOKEN = token(0).replace(b"{", b'{"id":"c-1",', 1)
FOREIGN_TOKEN = token(1).replace(b"{", b'{"id":"c-2",', 1)
ALL = [token(index) for index in range(TOKENS)]


async def crossed(engine: Engine, request: httpx.Request) -> httpx.Response:
    """Answer with the stream of another attempt."""
    response = engine.stream(request, [opening(), *ALL, *closing()])
    response.headers["X-Attempt-Id"] = "somebody-else"
    return response


ONE_FAULT: dict[str, Script] = {
    "refused": fails(httpx.ConnectError("refused")),
    "slow connect": fails(httpx.ConnectTimeout("slow")),
    "reset before the answer": fails(httpx.ReadError("reset")),
    "no answer in time": hangs(60.0),
    "server error": answers(500),
    "busy": answers(503, retry_after="1"),
    "attempt closed": answers(409),
    "crossed answer": crossed,
    "reset in the middle": broken_after(3, RESET),
    "half an answer": broken_after(TOKENS, CLOSED_EARLY),
    "silent in the middle": sends(opening(), *ALL[:2], 60.0, *ALL[2:]),
    "trickled event": sends(opening(), ALL[0], *TRICKLE),
    "ends without its end": sends(opening(), *ALL),
    "ends without finish reason": sends(opening(), *ALL, closing()[2]),
    "a stranger's token": sends(
        OWN_OPENING, OWN_TOKEN, OWN_OPENING, FOREIGN_TOKEN, *ALL[2:]
    ),
    "a token missing": sends(opening(), *ALL[:2], *ALL[3:], *closing()),
    "malformed event": sends(opening(), ALL[0], b"data: {half\n\n"),
    "malformed index": sends(opening(), b"id: x\ndata: {}\n\n"),
    "malformed usage": sends(
        opening(), *ALL, closing()[0], b'data: {"usage": {"prompt_tokens": -1}}\n\n'
    ),
    "oversized event": sends(opening(), ALL[0], b"data: " + b"x" * 2_000_000),
}


@pytest.mark.parametrize("fault", ONE_FAULT)
async def test_one_faulty_engine_of_two(fault: str) -> None:
    """One of two engines fails, before or within its answer.

    The caller gets the whole answer, each token once.  The answer is billed once,
    and the second attempt is durable before it is sent.
    """
    bench = make_bench()
    for name in ("e0", "e1"):
        bench.servers[name].scripts = [ONE_FAULT[fault]]
        bench.servers[name].attempt_status = {"state": "cancelled"}
    first = await chosen_first()
    other = "e1" if first == "e0" else "e0"
    bench.servers[other].scripts = []
    response = await bench.chat()
    assert (response.status, response.text, response.whole) == (200, TEXT, True)
    (outcome,) = bench.money.outcomes
    assert outcome.state is RequestState.COMPLETE
    assert outcome.charge == PROMPT_TOKENS + TOKENS
    assert bench.money.log == [f"begin {first}", f"again {other}", "finish 0"]
    sent = [call.headers["X-Attempt-Id"] for call in bench.servers[other].calls]
    assert sent == [outcome.attempt]


async def chosen_first() -> str:
    """Return the engine that is chosen first with the random seed of the bench."""
    bench = make_bench()
    await bench.chat()
    return bench.money.orders[0].backend


REPEATS = {
    "duplicate": [opening(), ALL[0], ALL[0], *ALL[1:], *closing()],
    "out of order": [opening(), *ALL[:3], ALL[1], *ALL[3:], *closing()],
    "duplicate end": [opening(), *ALL, closing()[0], *closing()],
    "in odd pieces": [
        opening()[:9],
        opening()[9:] + ALL[0][:3],
        ALL[0][3:] + b"".join(ALL[1:]) + closing()[0][:-1],
        b"\n" + b"".join(closing()[1:]),
    ],
    "comments between": [b": ping\n\n", opening(), *ALL, b": ping\n\n", *closing()],
    "carriage returns": [
        part.replace(b"\n", b"\r\n") for part in [opening(), *ALL, *closing()]
    ],
}


@pytest.mark.parametrize("fault", REPEATS)
async def test_repeated_or_split_events(fault: str) -> None:
    """The engine sends events twice, out of order, or cut at odd places.

    The caller gets each token once, in order, and no second attempt is made.
    """
    bench = make_bench(make_document(engines=1))
    bench.servers["e0"].scripts = [sends(*REPEATS[fault])]
    response = await bench.chat()
    assert (response.text, response.whole) == (TEXT, True)
    assert len(bench.money.log) == 2


@pytest.mark.parametrize(
    ("fault", "state", "code", "not_run"),
    [
        ("refused", None, "no_backend", True),
        ("busy", None, "no_backend", True),
        ("server error", "never_ran", "backend_failed", True),
        ("server error", "cancelled", "backend_failed", False),
        ("reset before the answer", None, "backend_failed", False),
        ("no answer in time", None, "backend_failed", False),
        ("crossed answer", "never_ran", "backend_failed", True),
    ],
)
async def test_all_engines_faulty(
    fault: str, state: str | None, code: str, not_run: bool
) -> None:
    """All engines fail before the first token.

    The caller is refused, as "not run" only if no attempt can have run or if the
    engines report that none ran.
    """
    bench = make_bench()
    for name in ("e0", "e1"):
        bench.servers[name].scripts = [ONE_FAULT[fault]]
        bench.servers[name].attempt_status = {"state": state} if state else None
        bench.app.backends.refresh()
        bench.app.backends.states[name].boot = bench.servers[name].boot
    response = await bench.chat()
    assert response.status >= 500
    assert response.error["code"] == code
    assert response.error.get("not_run", False) is not_run
    assert ("outcome" in response.error) is not not_run
    assert int(response.headers["retry-after"]) >= 1
    (outcome,) = bench.money.outcomes
    assert (outcome.state is RequestState.NOT_RUN) is not_run
    assert outcome.charge == 0


async def test_restarted_engine_reports_never_ran() -> None:
    """The only engine runs an attempt, crashes without an answer and restarts.

    It has lost its records and reports that it never ran the attempt.  Its boot
    identifier has changed, so the caller is not refused with "not run".
    """
    bench = make_bench(make_document(engines=1))
    bench.servers["e0"].scripts = [fails(RESET)]
    bench.servers["e0"].attempt_status = {"state": "never_ran", "boot": "boot-2"}
    bench.app.backends.refresh()
    bench.app.backends.states["e0"].boot = "boot-1"
    response = await bench.chat()
    assert response.error["outcome"] == "unknown"


@pytest.mark.parametrize("broken", [broken_after(2, RESET), sends(*ALL[:2], 90.0)])
async def test_stream_fails_at_every_engine(broken: Script) -> None:
    """Every engine fails after two tokens.

    The caller gets the first tokens and then an error event.  There is no
    ``[DONE]``, so that no client takes the answer for complete.  The workspace pays
    for the tokens that were sent.
    """
    bench = make_bench()
    for name in ("e0", "e1"):
        bench.servers[name].scripts = [broken]
    response = await bench.chat()
    assert response.status == 200
    assert b"[DONE]" not in response.body
    assert b"event: error\ndata: " in response.body
    assert b'"code":"answer_incomplete"' in response.body
    assert b'"outcome":"unknown"' in response.body
    (outcome,) = bench.money.outcomes
    assert outcome.state is RequestState.INTERRUPTED
    assert outcome.charge == len(response.text.split()) >= 2


async def test_resume_asks_for_the_next_token() -> None:
    """An engine fails after three tokens; the other one resumes at the fourth."""
    bench = make_bench()
    first = await chosen_first()
    bench.servers[first].scripts = [broken_after(3, RESET)]
    response = await bench.chat()
    other = bench.servers["e1" if first == "e0" else "e0"]
    assert response.text == TEXT
    assert other.calls[0].headers["X-Resume-Tokens"] == "3"


async def test_rejected_request_is_not_repeated() -> None:
    bench = make_bench()
    body = b'{"error": {"message": "no such role"}}'
    for name in ("e0", "e1"):
        bench.servers[name].scripts = [answers(422, body)]
    response = await bench.chat()
    assert (response.status, response.error["code"]) == (400, "backend_rejected")
    assert response.error["message"] == "no such role"
    assert response.error["not_run"] is True
    assert len(bench.servers["e0"].calls) + len(bench.servers["e1"].calls) == 1


async def test_retries_are_limited() -> None:
    """No attempt gives an answer, although each may have run, as in an outage.

    The retry budget limits the attempts, so that retries don't add to the overload.
    """
    bench = make_bench()
    for name in ("e0", "e1"):
        bench.servers[name].scripts = [answers(500)]
        bench.servers[name].attempt_status = {"state": "cancelled"}
    for _ in range(50):
        await bench.chat()
    attempts = sum(len(bench.servers[name].calls) for name in ("e0", "e1"))
    assert 50 <= attempts <= 50 * 1.1 + 2


async def test_disconnect_closes_attempt() -> None:
    """A caller reads two parts of a stream and closes its connection.

    The engine's stream and its attempt are closed, the bill counts what the engine
    ran, and no request stays in progress.
    """
    bench = make_bench(make_document(engines=1))
    engine = bench.servers["e0"]
    engine.scripts = [sends(opening(), *ALL[:2], 1.0, *ALL[2:4], 1.0)]
    engine.attempt_status = {
        "state": "cancelled",
        "prompt_tokens": 9,
        "completion_tokens": 3,
    }
    bench.gone_after = 2
    response = await bench.chat()
    assert not response.ended
    assert engine.closed == 1
    (outcome,) = bench.money.outcomes
    assert engine.closes == [outcome.attempt]
    assert (outcome.state, outcome.charge) == (RequestState.INTERRUPTED, 12)
    assert bench.app.backends.in_progress() == []


async def test_slow_caller_is_cut() -> None:
    """A caller reads one part of a stream and then nothing, while its engine goes on.

    When the buffer is full, the response is cut, the attempt is closed at its
    engine, and the request is settled.
    """
    limits = Limits(stream_buffer=300)
    bench = make_bench(make_document(engines=1, limits=limits))
    engine = bench.servers["e0"]
    slowly = [piece for each in ALL for piece in (each, 0.01)]
    engine.scripts = [sends(opening(), *slowly, *closing())]
    engine.attempt_status = {
        "state": "cancelled",
        "prompt_tokens": 9,
        "completion_tokens": 4,
    }
    bench.slow_after = 1
    response = await bench.chat()
    assert not response.ended
    assert len(bench.money.outcomes) == 1
    assert len(engine.closes) == 1
