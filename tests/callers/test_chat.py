"""Chat requests: whole answers, or the truth about why not."""

from __future__ import annotations

import pytest

from ebonyhold.coordination import RequestState
from tests.backends.kit import PROMPT_TOKENS, TOKENS
from tests.callers.kit import make_bench

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
