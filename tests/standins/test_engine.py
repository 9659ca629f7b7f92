"""The model engine in memory, under a virtual clock."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
import pytest
from trio.testing import MockClock

from ebonyhold.standins import (
    Attempt,
    AttemptState,
    Engine,
    EngineProfile,
    EngineRefusal,
    Job,
    prompt_digest,
    words_of,
)

MODEL = "assistant"
WORDS = tuple(f"w{number}" for number in range(40))


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test under a virtual clock that jumps over idle time."""
    clock = MockClock(autojump_threshold=0)
    anyio.run(test, backend="trio", backend_options={"clock": clock})


def job(
    name: str,
    *,
    words: tuple[str, ...] = WORDS,
    max_tokens: int = 10,
    priority: int = 0,
    resumed: int = 0,
) -> Job:
    digest = prompt_digest(MODEL, words)
    return Job(name, MODEL, words, digest, max_tokens, priority, resumed)


async def read(attempt: Attempt) -> list[int]:
    return [index async for index in attempt.output]


async def with_engine(engine: Engine, test: Callable[[], Awaitable[None]]) -> None:
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(engine.run)
        await test()
        tasks.cancel_scope.cancel()


def test_answers_are_the_same_on_every_engine() -> None:
    async def test() -> None:
        texts = []
        for seed in (1, 2):
            engine = Engine(EngineProfile(seed=seed))

            async def ask(engine: Engine = engine) -> None:
                attempt = engine.submit(job("a"))
                indices = await read(attempt)
                texts.append("".join(attempt.answer.token(i) for i in indices))

            await with_engine(engine, ask)
        assert texts[0] == texts[1]
        assert len(texts[0].split()) == 10

    run(test)


@pytest.mark.parametrize(("streams", "seconds"), [(1, 0.085), (4, 0.1), (16, 0.16)])
def test_streams_slow_down_as_the_batch_grows(streams: int, seconds: float) -> None:
    async def test() -> None:
        profile = EngineProfile(prefill_rate=1e9)
        engine = Engine(profile)

        async def ask() -> None:
            attempts = [engine.submit(job(f"a{number}")) for number in range(streams)]
            for attempt in attempts:
                assert await read(attempt) == list(range(10))
            assert anyio.current_time() == pytest.approx(seconds, rel=0.01)

        await with_engine(engine, ask)

    run(test)


def test_priority_goes_first_when_full() -> None:
    async def test() -> None:
        engine = Engine(EngineProfile(slots=1))
        ended: list[str] = []

        async def follow(name: str, priority: int) -> None:
            attempt = engine.submit(job(name, priority=priority))
            await read(attempt)
            ended.append(name)

        async def ask() -> None:
            async with anyio.create_task_group() as callers:
                callers.start_soon(follow, "first", 0)
                await anyio.sleep(0.01)
                for name, priority in (("sheet", 0), ("chat", 5), ("other", 0)):
                    callers.start_soon(follow, name, priority)
                    await anyio.sleep(0.001)

        await with_engine(engine, ask)
        assert ended == ["first", "chat", "sheet", "other"]

    run(test)


def test_resume_goes_on_at_the_token() -> None:
    async def test() -> None:
        engine = Engine()

        async def ask() -> None:
            attempt = engine.submit(job("a", resumed=7))
            assert await read(attempt) == [7, 8, 9]
            assert engine.record(attempt).completion_tokens == 10
            assert engine.record(attempt).resumed == 7

        await with_engine(engine, ask)

    run(test)


@pytest.mark.parametrize(
    ("moment", "state", "prompt"),
    [
        ("before", None, 0),
        ("queued", AttemptState.NEVER_RAN, 0),
        ("running", AttemptState.CANCELLED, len(WORDS)),
        ("ended", AttemptState.FINISHED, len(WORDS)),
    ],
)
def test_close_is_final(moment: str, state: AttemptState | None, prompt: int) -> None:
    """A closed attempt is told truly, told the same again, and never runs later."""

    async def test() -> None:
        engine = Engine(EngineProfile(slots=1))

        async def ask() -> None:
            if moment == "queued":
                engine.submit(job("ahead"))
            if moment != "before":
                engine.submit(job("a"))
            await anyio.sleep({"running": 0.03, "ended": 1.0}.get(moment, 0.0))
            for _ in range(2):
                attempt = engine.close("a")
                assert (attempt and attempt.state) == state
                assert (attempt.prompt_tokens if attempt else 0) == prompt
            ran = engine.tokens_run
            with pytest.raises(EngineRefusal) as caught:
                engine.submit(job("a"))
            assert caught.value.status == 409
            await anyio.sleep(1.0)
            assert engine.tokens_run - ran == (10 if moment == "queued" else 0)

        await with_engine(engine, ask)

    run(test)


def test_restart_forgets_attempts_but_not_records() -> None:
    async def test() -> None:
        engine = Engine()

        async def ask() -> None:
            boot = engine.boot
            attempt = engine.submit(job("a"))
            await anyio.sleep(0.03)
            engine.restart()
            assert engine.boot != boot
            assert attempt.state is AttemptState.CANCELLED
            assert engine.close("a") is None
            assert [row.attempt for row in engine.records().attempts] == ["a"]

        await with_engine(engine, ask)

    run(test)


def test_overshoot_runs_beyond_the_bound() -> None:
    async def test() -> None:
        engine = Engine(overshoot=3, overshoot_count=1)

        async def ask() -> None:
            assert len(await read(engine.submit(job("a")))) == 13
            assert len(await read(engine.submit(job("b")))) == 10

        await with_engine(engine, ask)

    run(test)


def test_cache_is_bounded_and_its_events_late_with_gaps() -> None:
    async def test() -> None:
        engine = Engine(EngineProfile(blocks=4, event_lag=5.0, event_gap=0.2))

        async def ask() -> None:
            await read(engine.submit(job("a")))
            again = engine.submit(job("b"))
            await read(again)
            assert again.cached == 32
            assert engine.cache.visible(0, anyio.current_time()) == []
            for number in range(30):
                words = tuple(f"{number}-{word}" for word in WORDS)
                await read(engine.submit(job(f"c{number}", words=words)))
            assert len(engine.cache.held) == 4
            await anyio.sleep(5.0)
            seen = engine.cache.visible(0, anyio.current_time())
            numbers = [event.sequence for event in seen]
            assert numbers == sorted(set(numbers))
            assert 0.6 < len(numbers) / engine.cache.sequence < 0.95

        await with_engine(engine, ask)

    run(test)


def test_load_report_lags() -> None:
    async def test() -> None:
        engine = Engine(EngineProfile(load_lag=2.0, slots=2, step=1.0))

        async def ask() -> None:
            for number in range(5):
                engine.submit(job(f"a{number}", max_tokens=60))
            await anyio.sleep(1.5)
            assert engine.visible_load().running == 0
            await anyio.sleep(3)
            assert engine.visible_load().running == 2
            assert engine.visible_load().queued == 3

        await with_engine(engine, ask)

    run(test)


@pytest.mark.parametrize(("checks", "accepted"), [(True, False), (False, True)])
def test_old_fencing_numbers(checks: bool, accepted: bool) -> None:
    """A holder pauses between its check and its order, and another takes over."""

    async def test() -> None:
        engine = Engine(EngineProfile(checks_fencing=checks, load_time=1.0))
        assert engine.order("load", "quotes", 8)
        assert engine.order("unload", "quotes", 7) is accepted
        await anyio.sleep(1.0)
        assert ("quotes" in engine.loaded()) is not accepted
        assert [row.accepted for row in engine.orders] == [True, accepted]

    run(test)


@pytest.mark.parametrize(
    ("profile", "wanted", "status"),
    [
        (EngineProfile(models=("other",)), job("a"), 404),
        (EngineProfile(queue=0), job("a"), 503),
    ],
)
def test_refusals(profile: EngineProfile, wanted: Job, status: int) -> None:
    async def test() -> None:
        with pytest.raises(EngineRefusal) as caught:
            Engine(profile).submit(wanted)
        assert caught.value.status == status

    run(test)


@pytest.mark.parametrize(
    ("messages", "words"),
    [
        ([], ()),
        ([{"content": "a  b"}, {"content": "c"}], ("a", "b", "c")),
        ([{"role": "user"}], ()),
    ],
)
def test_words(messages: list[dict[str, str]], words: tuple[str, ...]) -> None:
    assert words_of(messages) == words
