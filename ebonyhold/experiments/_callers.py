"""Callers that send a mix of requests, retry as the answers say, and keep score."""

from __future__ import annotations

import json
import random
import time
from collections.abc import Callable, Sequence
from enum import Enum
from http import HTTPStatus

import anyio
import httpx
from attrs import define, field, frozen

from ebonyhold.standins import expected_text
from ebonyhold.types import RequestId, Seconds, WorkspaceName

DONE = "[DONE]"
DATA = "data: "
KEY_PREFIX = "demo-key-"
MOST_TRIES = 12
PAUSE: Seconds = 0.2
MOST_PAUSE: Seconds = 2.0
CALL_TIMEOUT: Seconds = 30.0

WORDS = [
    "oak",
    "birch",
    "stove",
    "chimney",
    "dawn",
    "delivery",
    "pallet",
    "split",
    "seasoned",
    "dry",
    "door",
    "spring",
    "track",
    "shutter",
    "motor",
    "quote",
    "visit",
    "slot",
    "street",
    "valley",
    "invoice",
    "kindling",
    "ash",
]


class Wanted(Enum):
    """What a caller wants."""

    STREAM = "streamed chat"
    WHOLE = "whole chat"
    BOOKING = "booking"
    STOCK = "stock check"


@frozen
class Job:
    """One request that a caller wants answered, over all its tries."""

    workspace: WorkspaceName
    wanted: Wanted
    key: RequestId
    model: str
    prompt: str
    max_tokens: int


@define
class Score:
    """How one job went, as its caller saw it.

    Attributes:
        job: What was wanted.
        answered: Whether the whole answer came.
        wrong: Whether an answer came that was not the one to this request.
        code: The last refusal's code, or empty.
        not_run: Whether the last refusal said that it did not run.
        tries: How often it was sent.
        refused: The codes of all refusals, the last included.
        first_token: Seconds to the first token of the successful try.
        seconds: Seconds from the first try to the end.
    """

    job: Job
    answered: bool = False
    wrong: bool = False
    code: str = ""
    not_run: bool = False
    tries: int = 0
    refused: list[str] = field(factory=list)
    first_token: Seconds = 0.0
    seconds: Seconds = 0.0


@frozen
class Refused(Exception):
    """A try was refused, or its answer broke off."""

    code: str
    not_run: bool = False
    again: bool = True
    wait: Seconds = PAUSE


def make_jobs(
    workspaces: Sequence[WorkspaceName],
    model: str,
    count: int,
    rng: random.Random,
    max_tokens: int = 64,
) -> list[Job]:
    """Make a mix of jobs: mostly chats, some bookings and stock checks."""
    jobs = []
    for number in range(count):
        wanted = rng.choices(list(Wanted), (55, 20, 18, 7))[0]
        prompt = " ".join(rng.choices(WORDS, k=rng.randint(8, 60)))
        jobs.append(
            Job(
                rng.choice(workspaces),
                wanted,
                f"job-{number:05d}-{rng.randrange(1 << 32):08x}",
                model,
                prompt,
                max_tokens,
            )
        )
    return jobs


@define
class Callers:
    """Sends jobs to the routers, as a balancer in front of them would.

    Attributes:
        urls: The routers' base URLs; one that refuses connections is skipped.
        rng: Chooses routers and spreads retries.
        progress: Called after each job.
    """

    urls: list[str]
    rng: random.Random
    progress: Callable[[Score], None]
    scores: list[Score] = field(factory=list)

    async def run(self, jobs: Sequence[Job], at_once: int) -> list[Score]:
        """Run all jobs, so many at once, and return their scores."""
        waiting = list(reversed(jobs))
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=0)
        async with httpx.AsyncClient(timeout=CALL_TIMEOUT, limits=limits) as client:

            async def work() -> None:
                while waiting:
                    score = await self.follow(client, waiting.pop())
                    self.scores.append(score)
                    self.progress(score)

            async with anyio.create_task_group() as tasks:
                for _ in range(at_once):
                    tasks.start_soon(work)
        return self.scores

    async def follow(self, client: httpx.AsyncClient, job: Job) -> Score:
        """Send one job until it is answered or must not be sent again."""
        score = Score(job)
        began = time.monotonic()
        while score.tries < MOST_TRIES:
            score.tries += 1
            try:
                await self.attempt(client, job, score)
                score.answered = True
                score.code = ""
                break
            except Refused as refusal:
                score.code = refusal.code
                score.not_run = refusal.not_run
                score.refused.append(refusal.code)
                if not refusal.again:
                    break
                wait = min(refusal.wait, MOST_PAUSE)
                await anyio.sleep(wait * self.rng.uniform(0.5, 1.5))
        score.seconds = time.monotonic() - began
        return score

    async def attempt(self, client: httpx.AsyncClient, job: Job, score: Score) -> None:
        """Send one job once.

        Raises:
            Refused: It was refused, or its answer broke off.
        """
        url = self.rng.choice(self.urls)
        try:
            if job.wanted is Wanted.STREAM:
                await self.stream(client, url, job, score)
            elif job.wanted is Wanted.WHOLE:
                await self.whole(client, url, job, score)
            else:
                await self.service(client, url, job)
        except httpx.ConnectError as error:
            raise Refused("connection_refused", not_run=True) from error
        except httpx.HTTPError as error:
            raise Refused("connection_lost") from error

    def headers(self, job: Job) -> dict[str, str]:
        """Return the headers of a job; each try carries the same key."""
        return {
            "Authorization": f"Bearer {KEY_PREFIX}{job.workspace}",
            "Idempotency-Key": job.key,
        }

    def chat_body(self, job: Job, *, stream: bool) -> dict[str, object]:
        """Return a chat's body."""
        return {
            "model": job.model,
            "messages": [{"role": "user", "content": job.prompt}],
            "max_tokens": job.max_tokens,
            "stream": stream,
        }

    async def stream(
        self, client: httpx.AsyncClient, url: str, job: Job, score: Score
    ) -> None:
        """Read a streamed answer to its end mark."""
        began = time.monotonic()
        parts: list[str] = []
        ended = False
        async with client.stream(
            "POST",
            f"{url}/v1/chat/completions",
            json=self.chat_body(job, stream=True),
            headers=self.headers(job),
        ) as response:
            if response.status_code != HTTPStatus.OK:
                await response.aread()
                raise refusal_of(response)
            async for line in response.aiter_lines():
                if not line.startswith(DATA):
                    continue
                data = line.removeprefix(DATA)
                if data == DONE:
                    ended = True
                    continue
                value = json.loads(data)
                if "error" in value:
                    raise Refused(str(value["error"].get("code")))
                for choice in value["choices"]:
                    parts.append(choice["delta"].get("content") or "")
                if not score.first_token:
                    score.first_token = time.monotonic() - began
        if not ended:
            raise Refused("stream_broke_off")
        self.compare(job, "".join(parts), score)

    async def whole(
        self, client: httpx.AsyncClient, url: str, job: Job, score: Score
    ) -> None:
        """Read a whole answer."""
        response = await client.post(
            f"{url}/v1/chat/completions",
            json=self.chat_body(job, stream=False),
            headers=self.headers(job),
        )
        if response.status_code != HTTPStatus.OK:
            raise refusal_of(response)
        text = response.json()["choices"][0]["message"]["content"]
        self.compare(job, text, score)

    async def service(self, client: httpx.AsyncClient, url: str, job: Job) -> None:
        """Place a booking or check the stock."""
        if job.wanted is Wanted.BOOKING:
            response = await client.post(
                f"{url}/services/bookings/bookings",
                json={"order": job.key, "note": job.prompt},
                headers=self.headers(job),
            )
        else:
            response = await client.get(
                f"{url}/services/bookings/stock", headers=self.headers(job)
            )
        if response.status_code >= HTTPStatus.BAD_REQUEST:
            raise refusal_of(response)

    def compare(self, job: Job, text: str, score: Score) -> None:
        """Note when an answer is not the one that every engine gives."""
        messages = [{"role": "user", "content": job.prompt}]
        score.wrong = text != expected_text(job.model, messages, job.max_tokens)


def refusal_of(response: httpx.Response) -> Refused:
    """Read a refusal."""
    try:
        error = response.json()["error"]
        code, not_run = str(error["code"]), bool(error.get("not_run"))
    except (ValueError, KeyError, TypeError):
        return Refused(f"http_{response.status_code}")
    after = response.headers.get("retry-after")
    again = after is not None
    return Refused(code, not_run, again, float(after) if after else PAUSE)
