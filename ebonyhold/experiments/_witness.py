"""Callers that put down what they see, for the checker."""

from __future__ import annotations

import json
import random
import secrets
import time
from collections.abc import Sequence
from http import HTTPStatus

import anyio
import httpx
from attrs import define, field, frozen

from ebonyhold.experiments._callers import CALL_TIMEOUT, KEY_PREFIX, Job, Wanted
from ebonyhold.experiments._evidence import CallerOutcome, CallerRecord
from ebonyhold.standins import expected_text
from ebonyhold.types import Seconds

DATA = "data: "
DONE = "data: [DONE]"
MOST_TRIES = 12
PAUSE: Seconds = 0.2
MOST_PAUSE: Seconds = 2.0
TRACE_BYTES = 16
SPAN_BYTES = 8
CHATS = (Wanted.STREAM, Wanted.WHOLE)


@frozen
class Sight:
    """How one try ended.

    Attributes:
        outcome: For the checker.
        received: The answer's text, as far as it came.
        code: The refusal's code, or empty.
        retry_after: Seconds to wait before the next try; negative for none.
    """

    outcome: CallerOutcome
    received: str = ""
    code: str = ""
    retry_after: Seconds = PAUSE


@define
class Witnesses:
    """Callers that send jobs to any router, retry, and record every try.

    Attributes:
        urls: The routers' base URLs, dead ones included.
        chance: Chooses routers and spreads retries.
        records: Every try so far.
        codes: The codes of all refusals.
        ended: Jobs that have ended.
    """

    urls: Sequence[str]
    chance: random.Random
    records: list[CallerRecord] = field(factory=list)
    codes: list[str] = field(factory=list)
    ended: int = 0

    async def run(self, jobs: Sequence[Job], at_once: int) -> None:
        """Run all jobs, so many at once."""
        waiting = list(reversed(jobs))
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=0)
        async with httpx.AsyncClient(
            timeout=CALL_TIMEOUT, limits=limits, trust_env=False
        ) as client:

            async def work() -> None:
                while waiting:
                    await self.follow(client, waiting.pop())
                    self.ended += 1

            async with anyio.create_task_group() as tasks:
                for _ in range(at_once):
                    tasks.start_soon(work)

    async def follow(self, client: httpx.AsyncClient, job: Job) -> None:
        """Send one job until it is answered or must not be sent again."""
        for _ in range(MOST_TRIES):
            sight = await self.attempt(client, job)
            if sight.outcome is CallerOutcome.WHOLE or sight.retry_after < 0:
                return
            wait = min(sight.retry_after, MOST_PAUSE)
            await anyio.sleep(wait * self.chance.uniform(0.5, 1.5))

    async def attempt(self, client: httpx.AsyncClient, job: Job) -> Sight:
        """Send one job once, under a trace of its own, and record what comes."""
        trace = secrets.token_hex(TRACE_BYTES)
        sent_at = time.time()
        sight = await look(client, self.chance.choice(self.urls), job, trace)
        self.records.append(
            CallerRecord(
                job.workspace,
                job.key,
                trace,
                sight.outcome,
                sight.received,
                expected_of(job),
                sent_at,
                time.time(),
            )
        )
        if sight.code:
            self.codes.append(sight.code)
        return sight


def expected_of(job: Job) -> str:
    """Return the answer that is due."""
    if job.wanted in CHATS:
        return expected_text(job.model, messages_of(job), job.max_tokens)
    return job.key if job.wanted is Wanted.BOOKING else ""


def messages_of(job: Job) -> list[dict[str, str]]:
    """Return a chat's messages."""
    return [{"role": "user", "content": job.prompt}]


def headers_of(job: Job, trace: str) -> dict[str, str]:
    """Return the headers of one try."""
    return {
        "Authorization": f"Bearer {KEY_PREFIX}{job.workspace}",
        "Idempotency-Key": job.key,
        "traceparent": f"00-{trace}-{secrets.token_hex(SPAN_BYTES)}-01",
    }


async def look(client: httpx.AsyncClient, url: str, job: Job, trace: str) -> Sight:
    """Send one job once, and tell how it ended."""
    headers = headers_of(job, trace)
    try:
        if job.wanted is Wanted.STREAM:
            return await look_at_stream(client, url, job, headers)
        if job.wanted is Wanted.WHOLE:
            return await look_at_whole(client, url, job, headers)
        return await look_at_service(client, url, job, headers)
    except httpx.ConnectError:
        return Sight(CallerOutcome.REFUSED, code="connection_refused")
    except httpx.HTTPError:
        return Sight(CallerOutcome.CUT, code="connection_lost")


def chat_body(job: Job) -> dict[str, object]:
    """Return a chat's body."""
    return {
        "model": job.model,
        "messages": messages_of(job),
        "max_tokens": job.max_tokens,
        "stream": job.wanted is Wanted.STREAM,
    }


async def look_at_stream(
    client: httpx.AsyncClient, url: str, job: Job, headers: dict[str, str]
) -> Sight:
    """Read a streamed answer, as far as it comes."""
    parts: list[str] = []
    try:
        async with client.stream(
            "POST", f"{url}/v1/chat/completions", json=chat_body(job), headers=headers
        ) as reply:
            if reply.status_code != HTTPStatus.OK:
                await reply.aread()
                return refusal(reply)
            async for line in reply.aiter_lines():
                if line == DONE:
                    return Sight(CallerOutcome.WHOLE, "".join(parts))
                if line.startswith(DATA):
                    parts += texts_of(line)
    except (httpx.ReadError, httpx.RemoteProtocolError):
        return Sight(CallerOutcome.CUT, "".join(parts), "connection_lost")
    return Sight(CallerOutcome.CUT, "".join(parts), "stream_ended_early")


def texts_of(line: str) -> list[str]:
    """Return the texts of one event; an error event has none."""
    event = json.loads(line.removeprefix(DATA))
    choices = event.get("choices", [])
    return [choice["delta"].get("content") or "" for choice in choices]


async def look_at_whole(
    client: httpx.AsyncClient, url: str, job: Job, headers: dict[str, str]
) -> Sight:
    """Read a whole answer."""
    reply = await client.post(
        f"{url}/v1/chat/completions", json=chat_body(job), headers=headers
    )
    if reply.status_code != HTTPStatus.OK:
        return refusal(reply)
    text = reply.json()["choices"][0]["message"]["content"]
    return Sight(CallerOutcome.WHOLE, text)


async def look_at_service(
    client: httpx.AsyncClient, url: str, job: Job, headers: dict[str, str]
) -> Sight:
    """Place a booking or check the stock."""
    if job.wanted is Wanted.BOOKING:
        path = f"{url}/services/bookings/bookings"
        order = {"order": job.key, "note": job.prompt}
        reply = await client.post(path, json=order, headers=headers)
    else:
        reply = await client.get(f"{url}/services/bookings/stock", headers=headers)
    if reply.status_code >= HTTPStatus.BAD_REQUEST:
        return refusal(reply)
    if job.wanted is Wanted.BOOKING:
        return Sight(CallerOutcome.WHOLE, str(reply.json()["order"]["order"]))
    return Sight(CallerOutcome.WHOLE)


def refusal(reply: httpx.Response) -> Sight:
    """Read a refusal, or a failure that was passed through."""
    after = reply.headers.get("retry-after")
    wait = float(after) if after else -1.0
    try:
        error = reply.json()["error"]
        is_not_run = bool(error.get("not_run"))
        code = str(error["code"])
    except (ValueError, KeyError, TypeError, AttributeError):
        return Sight(CallerOutcome.REFUSED, "", f"http_{reply.status_code}", wait)
    outcome = CallerOutcome.NOT_RUN if is_not_run else CallerOutcome.REFUSED
    return Sight(outcome, "", code, wait)
