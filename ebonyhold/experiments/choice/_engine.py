"""A fake engine: one batch, chunked prefill, a bounded prefix cache, late words."""

from __future__ import annotations

import math
import random
from collections import OrderedDict, deque

import anyio
from attrs import define, field, frozen

from ebonyhold.backends import CacheAction, CacheEvent, LoadReport
from ebonyhold.types import BackendName, Seconds, Tokens

BLOCK = 16

LATE: Seconds = 3.0
"""New work for a leaving engine that comes later than this breaks the promise."""


@frozen
class EngineShape:
    """How fast an engine is, and how late it speaks.

    Attributes:
        slots: Requests in its batch.
        step: Seconds of a step with an empty batch.
        step_each: Seconds that each request of the batch adds to a step.
        prefill_rate: Prompt tokens a second.
        chunk: The most prompt tokens that are read within one step.
        blocks: Blocks in its prefix cache.
        load_lag: Age of its load report, in seconds.
        event_lag: Age of its cache events, in seconds.
        event_loss: The part of its cache events that is lost.
    """

    slots: int = 16
    step: Seconds = 0.012
    step_each: Seconds = 0.0011
    prefill_rate: float = 9_000.0
    chunk: Tokens = 256
    blocks: int = 900
    load_lag: Seconds = 0.25
    event_lag: Seconds = 0.3
    event_loss: float = 0.02


@define(eq=False)
class Job:
    """One request inside an engine."""

    hashes: tuple[str, ...]
    prompt: Tokens
    answer: Tokens
    priority: int
    arrived: Seconds
    unread: Tokens = 0
    reused: Tokens = 0
    made: Tokens = 0
    first: Seconds = 0.0
    last: Seconds = 0.0
    failed: bool = False
    done: anyio.Event = field(factory=anyio.Event)


@frozen
class Moment:
    """The load at one time."""

    at: Seconds
    running: int
    queued: int
    token_rate: float


@define(eq=False)
class FakeEngine:
    """One engine; `run` is its task.

    Attributes:
        gaps: Where the times between tokens go, in seconds.
        dead: Whether it refuses connections.
        leaving_since: Since when it wants no new work.
        late_work: Requests that came long after that.
        emptied: How long it took to become empty, at each planned stop.
    """

    name: BackendName
    shape: EngineShape
    rng: random.Random
    gaps: list[Seconds]
    running: list[Job] = field(factory=list)
    waiting: list[Job] = field(factory=list)
    cache: OrderedDict[str, None] = field(factory=OrderedDict)
    events: deque[tuple[Seconds, CacheEvent]] = field(factory=deque)
    moments: deque[Moment] = field(factory=deque)
    sequence: int = 0
    token_rate: float = 0.0
    tokens: Tokens = 0
    work: anyio.Event = field(factory=anyio.Event)
    ended: anyio.Event = field(factory=anyio.Event)
    dead: bool = False
    boots: int = 1
    leaving_since: Seconds = math.inf
    late_work: int = 0
    emptied: list[Seconds] = field(factory=list)

    async def wait_empty(self) -> None:
        """Return when nothing runs or waits here."""
        while self.running or self.waiting:
            self.ended = anyio.Event()
            await self.ended.wait()

    def kill(self) -> None:
        """Die: every request in it fails, and the cache is gone."""
        self.dead = True
        for job in [*self.running, *self.waiting]:
            job.failed = True
            job.done.set()
        self.running.clear()
        self.waiting.clear()
        self.cache.clear()
        self.events.clear()
        self.moments.clear()
        self.sequence = 0

    def revive(self) -> None:
        """Come back empty, as another boot."""
        self.dead = False
        self.boots += 1
        self.leaving_since = math.inf

    def submit(self, job: Job) -> None:
        """Queue a request."""
        if anyio.current_time() > self.leaving_since + LATE:
            self.late_work += 1
        self.waiting.append(job)
        self.waiting.sort(key=lambda item: -item.priority)
        self.note()
        self.work.set()

    async def run(self) -> None:
        """Make step after step."""
        while True:
            if not self.running and not self.waiting:
                self.token_rate = 0.0
                self.note()
                self.work = anyio.Event()
                await self.work.wait()
            self.admit()
            read = self.read_prompts()
            shape = self.shape
            length = (
                shape.step
                + shape.step_each * len(self.running)
                + read / shape.prefill_rate
            )
            await anyio.sleep(length)
            self.make_tokens(length)

    def admit(self) -> None:
        """Fill the batch."""
        while self.waiting and len(self.running) < self.shape.slots:
            job = self.waiting.pop(0)
            held = 0
            for item in job.hashes:
                if item not in self.cache:
                    break
                self.cache.move_to_end(item)
                held += 1
            job.reused = min(held * BLOCK, job.prompt - 1)
            job.unread = job.prompt - job.reused
            self.running.append(job)
        self.note()

    def read_prompts(self) -> Tokens:
        """Read a chunk of the prompts in the batch, the oldest first."""
        left = self.shape.chunk
        for job in self.running:
            if job.unread and left:
                read = min(left, job.unread)
                job.unread -= read
                left -= read
                if not job.unread:
                    self.hold(job.hashes)
        return self.shape.chunk - left

    def make_tokens(self, length: Seconds) -> None:
        """Make one token for every request whose prompt is read."""
        now = anyio.current_time()
        made = 0
        ended = False
        for job in tuple(self.running):
            if job.unread:
                continue
            made += 1
            job.made += 1
            if job.made == 1:
                job.first = now
            else:
                self.gaps.append(now - job.last)
            job.last = now
            if job.made >= job.answer:
                ended = True
                job.done.set()
        self.tokens += made
        self.token_rate += 0.1 * (made / length - self.token_rate)
        if ended:
            self.ended.set()
            self.running = [job for job in self.running if job.made < job.answer]
            self.note()

    def hold(self, hashes: tuple[str, ...]) -> None:
        """Keep the blocks of a prompt, and evict the least recently used."""
        for item in hashes:
            if item in self.cache:
                self.cache.move_to_end(item)
            else:
                self.cache[item] = None
                self.tell(CacheAction.STORED, item)
        while len(self.cache) > self.shape.blocks:
            item, _ = self.cache.popitem(last=False)
            self.tell(CacheAction.REMOVED, item)

    def tell(self, action: CacheAction, item: str) -> None:
        """Emit a cache event, unless it is lost."""
        self.sequence += 1
        if self.rng.random() >= self.shape.event_loss:
            event = CacheEvent(self.sequence, action, item)
            self.events.append((anyio.current_time(), event))
            if len(self.events) > 20_000:
                self.events.popleft()

    def note(self) -> None:
        """Remember the load for the late report."""
        now = anyio.current_time()
        self.moments.append(
            Moment(now, len(self.running), len(self.waiting), self.token_rate)
        )
        late = now - self.shape.load_lag
        while len(self.moments) > 1 and self.moments[1].at <= late:
            self.moments.popleft()

    def report(self, sequence: int) -> LoadReport:
        """Return the load as it was a while ago."""
        late = anyio.current_time() - self.shape.load_lag
        seen = Moment(0.0, 0, 0, 0.0)
        for moment in self.moments:
            if moment.at > late:
                break
            seen = moment
        return LoadReport(
            f"boot-{self.boots}",
            sequence,
            seen.running,
            seen.queued,
            token_rate=seen.token_rate,
            leaving=self.leaving_since < late,
        )

    def news(self, after: int) -> list[CacheEvent]:
        """Return the cache events that have become visible."""
        late = anyio.current_time() - self.shape.event_lag
        found: list[CacheEvent] = []
        for at, event in reversed(self.events):
            if event.sequence <= after:
                break
            if at <= late:
                found.append(event)
        return found[::-1]
