"""Engine and plain service on the wire, with what goes wrong there."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import anyio
import httpx
import pytest
from attrs import frozen

from ebonyhold.standins import Engine, EngineProfile, expected_text
from ebonyhold.standins.http import (
    App,
    BookingService,
    ServiceProfile,
    engine_app,
    running,
    service_app,
)

MESSAGES = [{"role": "user", "content": "is the oak dry"}]
PATH = "/v1/chat/completions"


def body(*, stream: bool, max_tokens: int = 6) -> dict[str, object]:
    return {
        "model": "assistant",
        "messages": MESSAGES,
        "max_tokens": max_tokens,
        "stream": stream,
        "stream_options": {"include_usage": True},
    }


@asynccontextmanager
async def serving(app: App) -> AsyncIterator[httpx.AsyncClient]:
    async with (
        running(app) as base_url,
        httpx.AsyncClient(
            base_url=base_url, trust_env=False, verify=False, timeout=5
        ) as client,
    ):
        yield client


def run(test: Callable[[], Awaitable[None]]) -> None:
    anyio.run(test, backend="asyncio")


@frozen
class Seen:
    """A stream as its caller saw it."""

    ids: tuple[int, ...]
    text: str
    done: bool
    cut: bool
    usage: dict[str, Any]


async def read_stream(
    client: httpx.AsyncClient, headers: dict[str, str], timeout: float = 5.0
) -> Seen:
    """Read a stream to its end, however it ends."""
    ids: list[int] = []
    parts: list[str] = []
    usage: dict[str, Any] = {}
    done = cut = False
    try:
        with anyio.fail_after(timeout):
            async with client.stream(
                "POST", PATH, json=body(stream=True), headers=headers
            ) as reply:
                async for line in reply.aiter_lines():
                    if line.startswith("id: "):
                        ids.append(int(line[4:]))
                    elif line == "data: [DONE]":
                        done = True
                    elif line.startswith("data: "):
                        chunk = read_chunk(line[6:])
                        usage = chunk.get("usage", usage)
                        for choice in chunk.get("choices", []):
                            parts.append(choice["delta"].get("content", ""))
    except (httpx.HTTPError, TimeoutError):
        cut = True
    return Seen(tuple(ids), "".join(parts), done, cut, usage)


def read_chunk(text: str) -> dict[str, Any]:
    try:
        chunk = json.loads(text)
    except ValueError:
        return {}
    return chunk if isinstance(chunk.get("choices"), list) else {}


@frozen
class StreamCase:
    """A fault, and what the caller of a stream of six tokens sees of it."""

    kind: str
    ids: tuple[int, ...]
    done: bool
    cut: bool
    right: bool = False
    sent: bool = True


STREAMS = (
    StreamCase("", (0, 1, 2, 3, 4, 5), True, False, right=True),
    StreamCase("die", (0, 1, 2), False, True, sent=False),
    StreamCase("half", (0, 1, 2), False, False, sent=False),
    StreamCase("stall", (0, 1, 2), False, True, sent=False),
    StreamCase("crossed", (0, 1, 2, 3, 4, 5), True, False),
    StreamCase("malformed", (0, 1, 2, 4, 5), True, False),
    StreamCase("oversized", (0, 1, 2, 4, 5), True, False),
    StreamCase("doubled", (0, 1, 2, 3, 3, 4, 5), True, False),
    StreamCase("skipped", (0, 1, 2, 4, 5), True, False),
)


@pytest.mark.parametrize("case", STREAMS, ids=lambda case: case.kind or "healthy")
def test_streams(case: StreamCase) -> None:
    async def test() -> None:
        engine = Engine()
        async with serving(engine_app(engine)) as client:
            if case.kind:
                switch = {"stream": {"kind": case.kind, "after": 3}}
                await client.post("/control", json=switch)
            seen = await read_stream(client, {"X-Attempt-Id": "a"}, timeout=0.5)
            assert (seen.ids, seen.done, seen.cut) == (case.ids, case.done, case.cut)
            right = expected_text("assistant", MESSAGES, 6)
            assert (seen.text == right) is case.right
            (record,) = (await client.get("/records")).json()["attempts"]
            assert record["sent"] is case.sent
            healthy = await read_stream(client, {"X-Attempt-Id": "b"})
            assert healthy.text == right
            assert healthy.usage["completion_tokens"] == 6

    run(test)


WHOLE = (
    ("", 200, True),
    ("crossed", 200, True),
    ("malformed", 200, False),
    ("half", 200, False),
    ("die", 0, False),
)


@pytest.mark.parametrize(("kind", "status", "parses"), WHOLE)
def test_whole_answers(kind: str, status: int, parses: bool) -> None:
    async def test() -> None:
        async with serving(engine_app(Engine())) as client:
            if kind:
                await client.post("/control", json={"stream": {"kind": kind}})
            headers = {"X-Attempt-Id": "a"}
            try:
                reply = await client.post(
                    PATH, json=body(stream=False), headers=headers
                )
            except httpx.HTTPError:
                assert status == 0
                return
            assert reply.status_code == status
            assert (reply.headers["x-attempt-id"] == "a") is (kind != "crossed")
            try:
                answer = reply.json()
            except ValueError:
                assert not parses
                return
            text = answer["choices"][0]["message"]["content"]
            assert text == expected_text("assistant", MESSAGES, 6)

    run(test)


def test_resume_over_http() -> None:
    async def test() -> None:
        async with serving(engine_app(Engine())) as client:
            headers = {"X-Attempt-Id": "a", "X-Resume-Tokens": "4"}
            seen = await read_stream(client, headers)
            assert seen.ids == (4, 5)
            whole = expected_text("assistant", MESSAGES, 6).split()
            assert seen.text.split() == whole[4:]
            assert seen.usage["completion_tokens"] == 6

    run(test)


@pytest.mark.parametrize("stream", [True, False])
def test_a_caller_that_leaves_cancels_the_work(stream: bool) -> None:
    async def test() -> None:
        engine = Engine(EngineProfile(step=0.02, least=5000, most=5000))
        async with serving(engine_app(engine)) as client:
            wanted = body(stream=stream, max_tokens=5000)
            headers = {"X-Attempt-Id": "a"}
            with anyio.move_on_after(0.3):
                await client.post(PATH, json=wanted, headers=headers)
            with anyio.fail_after(5):
                state = "running"
                while state == "running":
                    state = (await client.get("/v1/attempts/a")).json()["state"]
            (record,) = engine.records().attempts
            assert record.state == "cancelled"
            assert 0 < record.completion_tokens < 100

    run(test)


def test_close_and_conflict_over_http() -> None:
    async def test() -> None:
        async with serving(engine_app(Engine())) as client:
            never = (await client.post("/v1/attempts/r.1~2~1/close")).json()
            assert never["state"] == "never_ran"
            headers = {"X-Attempt-Id": "r.1~2~1"}
            reply = await client.post(PATH, json=body(stream=False), headers=headers)
            assert reply.status_code == 409
            asked = (await client.get("/v1/attempts/r.1~2~1")).json()
            assert asked == never

    run(test)


ENGINE_CALLS = (
    ("POST", PATH, b"not json", 400),
    ("POST", PATH, b'{"model": "assistant"}', 400),
    ("POST", PATH, b'{"model": "assistant", "messages": 5}', 400),
    ("POST", PATH, b'{"model": "none", "messages": []}', 404),
    ("POST", "/v1/orders", b'{"order": "dance"}', 400),
    ("POST", "/v1/orders", b'{"order": "load", "model": "m", "fencing": 1}', 200),
    ("POST", "/control", b'{"unknown": 1}', 400),
    ("POST", "/control", b'{"stream": {"kind": "unknown"}}', 400),
    ("GET", "/v1/load", b"", 200),
    ("GET", "/v1/models", b"", 200),
    ("GET", "/v1/cache/events?after=0", b"", 200),
    ("POST", "/v1/cache/export", b'{"prefixes": ["x"]}', 200),
    ("POST", "/v1/cache/import", b'{"blocks": ["x"]}', 200),
    ("GET", "/nowhere", b"", 404),
)


@pytest.mark.parametrize(("method", "path", "content", "status"), ENGINE_CALLS)
def test_engine_calls(method: str, path: str, content: bytes, status: int) -> None:
    async def test() -> None:
        async with serving(engine_app(Engine())) as client:
            reply = await client.request(method, path, content=content)
            assert reply.status_code == status

    run(test)


@frozen
class BookingCase:
    """A fault, what two tries of one booking see, and how often it ran."""

    name: str
    switches: dict[str, object]
    statuses: tuple[int, int]
    ran: int
    honours: bool = False


BOOKINGS = (
    BookingCase("healthy", {}, (201, 201), 2),
    BookingCase("healthy, keys honoured", {}, (201, 201), 1, honours=True),
    BookingCase("down", {"down": True}, (503, 503), 0),
    BookingCase("throttled", {"throttled": 1}, (429, 201), 1),
    BookingCase("lost before", {"lose_requests": 1}, (0, 201), 1),
    BookingCase("lost after", {"lose_answers": 1}, (0, 201), 2),
    BookingCase("lost after, honoured", {"lose_answers": 1}, (0, 201), 1, honours=True),
    BookingCase("doubled", {"duplicate": 1}, (201, 201), 3),
    BookingCase("doubled, honoured", {"duplicate": 1}, (201, 201), 1, honours=True),
    BookingCase("slow", {"slow": 1.0}, (0, 0), 0),
    BookingCase("slow after", {"answer_slow": 1.0}, (0, 0), 2),
)


@pytest.mark.parametrize("case", BOOKINGS, ids=lambda case: case.name)
def test_bookings(case: BookingCase) -> None:
    async def test() -> None:
        service = BookingService(ServiceProfile(honours_keys=case.honours))
        async with serving(service_app(service)) as client:
            await client.post("/control", json=case.switches)
            statuses = [await book(client) for _ in range(2)]
            assert tuple(statuses) == case.statuses
            records = (await client.get("/records")).json()["calls"]
            assert sum(not row["replayed"] for row in records) == case.ran
            assert len(service.bookings) == case.ran
            await client.post("/control", json={"slow": 0.0, "answer_slow": 0.0})

    run(test)


async def book(client: httpx.AsyncClient) -> int:
    """Try a booking; return the status, or 0 when no answer came."""
    headers = {"Idempotency-Key": "k1", "X-Attempt-Id": "a1"}
    order = {"logs": 3}
    try:
        reply = await client.post("/bookings", json=order, headers=headers, timeout=0.3)
    except httpx.HTTPError:
        return 0
    return reply.status_code


def test_stock_and_listing() -> None:
    async def test() -> None:
        async with serving(service_app(BookingService())) as client:
            await book(client)
            assert (await client.get("/stock")).json()["booked"] == 1
            listed = (await client.get("/bookings")).json()["bookings"]
            assert listed == [{"booking": 1, "order": {"logs": 3}}]

    run(test)


@pytest.mark.parametrize(("expected", "status"), [("", 200), ("own", 200), ("x", 409)])
def test_an_attempt_for_another_boot_is_refused(expected: str, status: int) -> None:
    """A restarted engine does not run what was settled as not run.

    A caller was told "not run" and the engine ran it all the same.  A router is
    paused between its intent and its dispatch; a survivor closes the attempt, which
    the engine has never seen; the engine restarts and forgets that; the router
    wakes and dispatches.  The dispatch names the engine's old life.
    """

    async def story() -> None:
        engine = Engine(EngineProfile())
        boot = engine.boot if expected == "own" else expected
        async with serving(engine_app(engine)) as client:
            headers = {"X-Attempt-Id": "a~1~1", "X-Expect-Boot-Id": boot}
            answer = await client.post(PATH, json=body(stream=False), headers=headers)
            assert answer.status_code == status
            assert len(engine.records().attempts) == (status == 200)

    run(story)
