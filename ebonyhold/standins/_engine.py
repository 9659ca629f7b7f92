"""A model engine in memory: one continuous batch with a finite token rate."""

from __future__ import annotations

import math
import random
import time
from collections import deque
from collections.abc import Callable

import anyio
from attrs import define, field, frozen

from ebonyhold.standins._answers import Answer
from ebonyhold.standins._attempts import Attempt, AttemptState, EngineProfile, Job
from ebonyhold.standins._cache import PrefixCache
from ebonyhold.standins._records import EngineRecord, EngineRecords, OrderRecord
from ebonyhold.types import AttemptId, BackendName, Seconds

BOOT_DIGITS = 8
KEPT_REPORTS = 4096


class EngineRefusal(Exception):
    """The engine does not run an attempt; `status` is the HTTP status."""

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


@frozen
class LoadReport:
    """The load as it was at one moment."""

    at: Seconds
    sequence: int
    running: int
    queued: int
    free_blocks: int


@define
class Engine:
    """The engine; `run` must run beside whoever submits.

    Attributes:
        profile: How it behaves.
        clock: Gives the time of the records, in seconds since the epoch.
        boot: Changes when it restarts; it has then forgotten all attempts.
        attempts: The attempts of this boot.
        tombstones: Attempts that were closed before they came.
        waiting: Attempts without a slot.
        running: The batch.
        history: All attempts of all boots.
        orders: All orders.
        fencing: The largest fencing number seen, by model.
        overshoot: How many tokens beyond their bound the next answers run.
        overshoot_count: How many answers do.
        slowdown: Multiplies the time of each step.
        tokens_run: Tokens made so far.
    """

    profile: EngineProfile = field(factory=EngineProfile)
    clock: Callable[[], float] = time.time
    boot: str = ""
    attempts: dict[AttemptId, Attempt] = field(factory=dict)
    tombstones: set[AttemptId] = field(factory=set)
    waiting: list[Attempt] = field(factory=list)
    running: list[Attempt] = field(factory=list)
    history: list[Attempt] = field(factory=list)
    orders: list[OrderRecord] = field(factory=list)
    fencing: dict[str, int] = field(factory=dict)
    models: set[str] = field(factory=set)
    loading: dict[str, Seconds] = field(factory=dict)
    role: str = "both"
    leaving: bool = False
    overshoot: int = 0
    overshoot_count: int = 0
    slowdown: float = 1.0
    tokens_run: int = 0
    reports: deque[LoadReport] = field(factory=lambda: deque(maxlen=KEPT_REPORTS))
    sequence: int = 0
    chance: random.Random = field(factory=random.Random)
    cache: PrefixCache = field(init=False)
    work: anyio.Event = field(factory=anyio.Event)

    def __attrs_post_init__(self) -> None:
        """Start the first boot."""
        self.restart()

    def restart(self) -> None:
        """Forget everything but the records, and take a new boot identifier."""
        profile = self.profile
        for attempt in self.attempts.values():
            attempt.end(self.state_if_cut(attempt), self.clock())
        self.boot = random.randbytes(BOOT_DIGITS // 2).hex()
        self.attempts.clear()
        self.tombstones.clear()
        self.waiting.clear()
        self.running.clear()
        self.models = set(profile.models)
        self.loading.clear()
        self.chance = random.Random(profile.seed)
        self.cache = PrefixCache(
            profile.blocks,
            profile.event_lag,
            profile.event_gap,
            self.chance,
        )

    def submit(self, job: Job) -> Attempt:
        """Queue an attempt.

        Raises:
            EngineRefusal: The attempt is closed or known, the model is not
                loaded, or the queue is full; it does not run.
        """
        self.check(job)
        answer = Answer(job.digest, self.profile.least, self.profile.most)
        tokens, output = anyio.create_memory_object_stream[int](math.inf)
        attempt = Attempt(
            job,
            self.boot,
            answer,
            self.limit(job, answer),
            self.clock(),
            tokens,
            output,
            completed=job.resumed,
        )
        self.attempts[job.attempt] = attempt
        self.history.append(attempt)
        self.waiting.append(attempt)
        self.report()
        self.work.set()
        return attempt

    def check(self, job: Job) -> None:
        """Refuse what must not run.

        Raises:
            EngineRefusal: It must not.
        """
        if job.attempt in self.tombstones or job.attempt in self.attempts:
            raise EngineRefusal(409, "the attempt is closed or known")
        if job.model not in self.loaded():
            raise EngineRefusal(404, "the model is not loaded")
        if len(self.waiting) >= self.profile.queue:
            raise EngineRefusal(503, "the queue is full")

    def limit(self, job: Job, answer: Answer) -> int:
        """Return where an answer ends, an overshoot included."""
        if self.overshoot_count > 0:
            self.overshoot_count -= 1
            return job.max_tokens + self.overshoot
        return min(answer.length, job.max_tokens)

    def loaded(self) -> set[str]:
        """Return the models that are loaded by now."""
        now = anyio.current_time()
        for model, ready_at in list(self.loading.items()):
            if ready_at <= now:
                del self.loading[model]
                self.models.add(model)
        return self.models

    async def run(self) -> None:
        """Run the batch for ever."""
        while True:
            if not self.running and not self.waiting:
                self.work = anyio.Event()
                await self.work.wait()
            await self.run_step()

    async def run_step(self) -> None:
        """Admit what fits, then make one token for each stream."""
        prefill = self.admit()
        profile = self.profile
        duration = profile.step + profile.step_each * len(self.running) + prefill
        await anyio.sleep(duration * self.slowdown)
        for attempt in list(self.running):
            self.advance(attempt)
        self.report()

    def admit(self) -> Seconds:
        """Fill free slots, highest priority first; return the prefill's time."""
        self.waiting.sort(key=lambda attempt: -attempt.job.priority)
        prefill = 0.0
        while self.waiting and len(self.running) < self.profile.slots:
            attempt = self.waiting.pop(0)
            self.running.append(attempt)
            prefill += self.prefill(attempt)
        return prefill

    def prefill(self, attempt: Attempt) -> Seconds:
        """Run a prompt through; return how long that takes, in seconds."""
        words = attempt.job.words
        attempt.state = AttemptState.RUNNING
        attempt.prompt_tokens = len(words)
        attempt.cached = self.cache.cached_tokens(words)
        self.cache.store(words, anyio.current_time())
        fresh = len(words) - attempt.cached + attempt.job.resumed
        return fresh / self.profile.prefill_rate

    def advance(self, attempt: Attempt) -> None:
        """Make the next token of a stream, or end it."""
        if not attempt.alive:
            return
        if attempt.completed < attempt.limit:
            attempt.tokens.send_nowait(attempt.completed)
            attempt.completed += 1
            self.tokens_run += 1
        if attempt.completed >= attempt.limit:
            attempt.end(AttemptState.FINISHED, self.clock())
            self.running.remove(attempt)

    def close(self, attempt_id: AttemptId) -> Attempt | None:
        """Cancel an attempt, or make sure that it never runs; idempotent."""
        attempt = self.attempts.get(attempt_id)
        if attempt is None:
            self.tombstones.add(attempt_id)
        else:
            self.cancel(attempt)
        return attempt

    def cancel(self, attempt: Attempt) -> None:
        """Stop an attempt, if it still waits or runs."""
        if not attempt.alive:
            return
        attempt.end(self.state_if_cut(attempt), self.clock())
        for place in (self.waiting, self.running):
            if attempt in place:
                place.remove(attempt)
        self.report()

    def state_if_cut(self, attempt: Attempt) -> AttemptState:
        """Return how an attempt counts that is stopped now."""
        if attempt.state is AttemptState.QUEUED:
            return AttemptState.NEVER_RAN
        return AttemptState.CANCELLED

    def order(self, order: str, model: str, fencing: int) -> bool:
        """Carry out an order, and tell whether it was accepted."""
        latest = self.fencing.get(model, 0)
        accepted = not (self.profile.checks_fencing and fencing < latest)
        self.orders.append(
            OrderRecord(
                self.profile.name, order, model, fencing, accepted, self.clock()
            )
        )
        if accepted:
            self.fencing[model] = max(latest, fencing)
            self.obey(order, model)
        return accepted

    def obey(self, order: str, model: str) -> None:
        """Carry out an accepted order."""
        if order == "load" and model not in self.models:
            self.loading[model] = anyio.current_time() + self.profile.load_time
        elif order == "unload":
            self.models.discard(model)
            self.loading.pop(model, None)
        elif order == "role":
            self.role = model

    def report(self) -> None:
        """Note the load, to be reported after the lag."""
        self.sequence += 1
        self.reports.append(
            LoadReport(
                anyio.current_time(),
                self.sequence,
                len(self.running),
                len(self.waiting),
                self.profile.blocks - len(self.cache.held),
            )
        )

    def visible_load(self) -> LoadReport:
        """Return the load as the lag lets it be seen."""
        seen_at = anyio.current_time() - self.profile.load_lag
        visible = LoadReport(seen_at, 0, 0, 0, self.profile.blocks)
        while self.reports and self.reports[0].at <= seen_at:
            visible = self.reports.popleft()
        if visible.sequence:
            self.reports.appendleft(visible)
        return visible

    @property
    def token_rate(self) -> float:
        """Tokens a second of a full batch."""
        profile = self.profile
        return profile.slots / (profile.step + profile.step_each * profile.slots)

    def record(self, attempt: Attempt) -> EngineRecord:
        """Say what an attempt ran."""
        job = attempt.job
        name: BackendName = self.profile.name
        return EngineRecord(
            name,
            attempt.boot,
            job.attempt,
            job.traceparent,
            job.digest,
            attempt.prompt_tokens,
            attempt.completed,
            job.resumed,
            job.max_tokens,
            attempt.state.value,
            attempt.sent,
            attempt.arrived_at,
            attempt.ended_at,
        )

    def records(self) -> EngineRecords:
        """Say what all attempts of all boots ran."""
        attempts = tuple(self.record(attempt) for attempt in self.history)
        return EngineRecords(attempts, tuple(self.orders))
