"""Faults of model engines, in tables: what the caller hears, what is billed."""

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
HALF = httpx.RemoteProtocolError("closed early")
TRICKLE: list[bytes | Exception | float] = [b"d", 1.0] * 30
NAMED = b'data: {"id":"c-1","choices":[{"delta":{}}]}\n\n'
MINE = token(0).replace(b"{", b'{"id":"c-1",', 1)
STRANGE = token(1).replace(b"{", b'{"id":"c-2",', 1)
ALL = [token(index) for index in range(TOKENS)]


async def crossed(engine: Engine, request: httpx.Request) -> httpx.Response:
    """Answer with another attempt's stream."""
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
    "half an answer": broken_after(TOKENS, HALF),
    "silent in the middle": sends(opening(), *ALL[:2], 60.0, *ALL[2:]),
    "trickled event": sends(opening(), ALL[0], *TRICKLE),
    "ends without its end": sends(opening(), *ALL),
    "ends without finish reason": sends(opening(), *ALL, closing()[2]),
    "a stranger's token": sends(NAMED, MINE, NAMED, STRANGE, *ALL[2:]),
    "a token missing": sends(opening(), *ALL[:2], *ALL[3:], *closing()),
    "malformed event": sends(opening(), ALL[0], b"data: {half\n\n"),
    "malformed index": sends(opening(), b"id: x\ndata: {}\n\n"),
    "malformed usage": sends(
        opening(), *ALL, closing()[0], b'data: {"usage": {"prompt_tokens": -1}}\n\n'
    ),
    "oversized event": sends(opening(), ALL[0], b"data: " + b"x" * 2_000_000),
}


@pytest.mark.parametrize("fault", ONE_FAULT)
async def test_one_faulty_engine_is_not_noticed(fault: str) -> None:
    """One engine of two is at fault, before or within an answer.

    The caller reads the whole answer, each token once; it is billed once, and
    the second attempt was durable before it was sent.
    """
    bench = make_bench()
    for name in ("e0", "e1"):
        bench.servers[name].scripts = [ONE_FAULT[fault]]
        bench.servers[name].truth = {"state": "cancelled"}
    first = await chosen_first()
    other = "e1" if first == "e0" else "e0"
    bench.servers[other].scripts = []
    heard = await bench.chat()
    assert (heard.status, heard.text, heard.whole) == (200, TEXT, True)
    (outcome,) = bench.money.outcomes
    assert outcome.state is RequestState.COMPLETE
    assert outcome.charge == PROMPT_TOKENS + TOKENS
    assert bench.money.log == [f"begin {first}", f"again {other}", "finish 0"]
    sent = [call.headers["X-Attempt-Id"] for call in bench.servers[other].calls]
    assert sent == [outcome.attempt]


async def chosen_first() -> str:
    """Return which engine the bench's seed chooses first."""
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
async def test_an_engine_that_repeats_itself(fault: str) -> None:
    """The engine sends an event twice, late, or cut into odd pieces.

    The caller reads each token once, in order, from this one engine.
    """
    bench = make_bench(make_document(engines=1))
    bench.servers["e0"].scripts = [sends(*REPEATS[fault])]
    heard = await bench.chat()
    assert (heard.text, heard.whole) == (TEXT, True)
    assert len(bench.money.log) == 2


@pytest.mark.parametrize(
    ("fault", "truth", "code", "not_run"),
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
async def test_every_engine_at_fault(
    fault: str, truth: str | None, code: str, not_run: bool
) -> None:
    """All engines are at fault before a token came.

    The caller is refused at once, and "not run" stands only where no engine was
    reached, or where each of them says that it never ran the attempt.
    """
    bench = make_bench()
    for name in ("e0", "e1"):
        bench.servers[name].scripts = [ONE_FAULT[fault]]
        bench.servers[name].truth = {"state": truth} if truth else None
        bench.app.backends.refresh()
        bench.app.backends.states[name].boot = bench.servers[name].boot
    heard = await bench.chat()
    assert heard.status >= 500
    assert heard.error["code"] == code
    assert heard.error.get("not_run", False) is not_run
    assert ("outcome" in heard.error) is not not_run
    assert int(heard.headers["retry-after"]) >= 1
    (outcome,) = bench.money.outcomes
    assert (outcome.state is RequestState.NOT_RUN) is not_run
    assert outcome.charge == 0


async def test_a_restarted_engine_is_not_believed() -> None:
    """The only engine runs an attempt, dies without an answer and restarts.

    Asked afterwards, it says that it never ran the attempt, because it has
    forgotten.  Its boot identifier is another one, so the caller is not told
    "not run".
    """
    bench = make_bench(make_document(engines=1))
    bench.servers["e0"].scripts = [fails(RESET)]
    bench.servers["e0"].truth = {"state": "never_ran", "boot": "boot-2"}
    bench.app.backends.refresh()
    bench.app.backends.states["e0"].boot = "boot-1"
    heard = await bench.chat()
    assert heard.error["outcome"] == "unknown"


@pytest.mark.parametrize("broken", [broken_after(2, RESET), sends(*ALL[:2], 90.0)])
async def test_a_stream_that_nobody_can_complete(broken: Script) -> None:
    """Every engine breaks off after two tokens.

    The caller reads a correct beginning and then an explicit error event; there
    is no ``[DONE]``, so that no client takes it for the whole answer.  It pays
    for what it got.
    """
    bench = make_bench()
    for name in ("e0", "e1"):
        bench.servers[name].scripts = [broken]
    heard = await bench.chat()
    assert heard.status == 200
    assert b"[DONE]" not in heard.body
    assert b"event: error\ndata: " in heard.body
    assert b'"code":"answer_incomplete"' in heard.body
    assert b'"outcome":"unknown"' in heard.body
    (outcome,) = bench.money.outcomes
    assert outcome.state is RequestState.INTERRUPTED
    assert outcome.charge == len(heard.text.split()) >= 2


async def test_resume_asks_for_the_next_token() -> None:
    """An engine dies after three tokens; the other one is asked for the fourth."""
    bench = make_bench()
    first = await chosen_first()
    bench.servers[first].scripts = [broken_after(3, RESET)]
    heard = await bench.chat()
    other = bench.servers["e1" if first == "e0" else "e0"]
    assert heard.text == TEXT
    assert other.calls[0].headers["X-Resume-Tokens"] == "3"


async def test_a_rejected_request_is_not_tried_elsewhere() -> None:
    bench = make_bench()
    body = b'{"error": {"message": "no such role"}}'
    for name in ("e0", "e1"):
        bench.servers[name].scripts = [answers(422, body)]
    heard = await bench.chat()
    assert (heard.status, heard.error["code"]) == (400, "backend_rejected")
    assert heard.error["message"] == "no such role"
    assert heard.error["not_run"] is True
    assert len(bench.servers["e0"].calls) + len(bench.servers["e1"].calls) == 1


async def test_retries_of_lost_work_are_bounded() -> None:
    """Every engine loses every answer, as in an outage, and many callers ask.

    Attempts stay within the retry budget, so that the outage is not amplified.
    """
    bench = make_bench()
    for name in ("e0", "e1"):
        bench.servers[name].scripts = [answers(500)]
        bench.servers[name].truth = {"state": "cancelled"}
    for _ in range(50):
        await bench.chat()
    attempts = sum(len(bench.servers[name].calls) for name in ("e0", "e1"))
    assert 50 <= attempts <= 50 * 1.1 + 2


async def test_caller_that_goes_away_cancels_the_engine() -> None:
    """A caller reads two pieces and closes its connection.

    The engine's stream is closed and its attempt ended; the bill says what the
    engine ran, and nothing stays held.
    """
    bench = make_bench(make_document(engines=1))
    engine = bench.servers["e0"]
    engine.scripts = [sends(opening(), *ALL[:2], 1.0, *ALL[2:4], 1.0)]
    engine.truth = {"state": "cancelled", "prompt_tokens": 9, "completion_tokens": 3}
    bench.gone_after = 2
    heard = await bench.chat()
    assert not heard.ended
    assert engine.closed == 1
    (outcome,) = bench.money.outcomes
    assert engine.closes == [outcome.attempt]
    assert (outcome.state, outcome.charge) == (RequestState.INTERRUPTED, 12)
    assert bench.app.backends.in_progress() == []


async def test_a_slow_caller_is_bounded() -> None:
    """A caller takes one piece and then nothing, while its engine goes on.

    What is held for it stays below the bound; then its stream ends without an
    end, the engine is told, and the request is settled.
    """
    limits = Limits(stream_buffer=300)
    bench = make_bench(make_document(engines=1, limits=limits))
    engine = bench.servers["e0"]
    slowly = [piece for each in ALL for piece in (each, 0.01)]
    engine.scripts = [sends(opening(), *slowly, *closing())]
    engine.truth = {"state": "cancelled", "prompt_tokens": 9, "completion_tokens": 4}
    bench.slow_after = 1
    heard = await bench.chat()
    assert not heard.ended
    assert len(bench.money.outcomes) == 1
    assert len(engine.closes) == 1
