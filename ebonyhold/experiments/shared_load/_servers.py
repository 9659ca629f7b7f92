"""A model of a server that generates text."""

from __future__ import annotations

import heapq
from collections import OrderedDict, deque
from collections.abc import Callable, Sequence

from attrs import define, field

from ebonyhold.experiments.shared_load._load import Arrival, Deployment
from ebonyhold.types import Seconds, Tokens

CHUNK: Tokens = 2_048
"""Prompt tokens that a server reads between two steps."""

FULL_STEP = 2.0
"""How many times as long as the shortest step one with all slots in use is."""


@define(eq=False)
class Job:
    """A request at a server.

    Attributes:
        arrival: The request.
        on_first: Called at its first event.
        on_end: Called at its end.
        unread: Prompt tokens that are not read yet.
        first_at: The time of its first event, in seconds; None before it.
    """

    arrival: Arrival
    on_first: Callable[[], None]
    on_end: Callable[[], None]
    unread: Tokens = 0
    first_at: Seconds | None = None

    @property
    def parts(self) -> tuple[tuple[str, Tokens], ...]:
        """The prompt parts that it shares with others, with their tokens."""
        return self.arrival.request.prompt_parts[:-1]


@define(eq=False)
class Server:
    """A server: a queue, prompts that are being read, and answers being written.

    Each step reads up to CHUNK prompt tokens, in the order of arrival, and writes one
    token of each answer. Shared parts stay in memory until it is needed; the least
    recently used one is evicted first.

    Attributes:
        deployment: The deployment.
        at: Runs a function at a time, in seconds.
        slowness: By how much all steps take longer.
        noise: By how much they do at the moment.
        queue: Requests that wait for a slot or for memory.
        reading: Requests whose prompts are being read.
        writing: The step in which each request ends, as a heap.
        held: Memory used by requests but for shared parts, in tokens.
        cache: The shared parts with their sizes, the least recently used one first.
        uses: Number of requests that use each shared part.
        steps: Number of steps.
        busy: Whether a step is scheduled.
        read: Prompt tokens read.
        again: Of these, shared ones that were read when they had been read before.
        known: The shared parts that were ever read here.
    """

    deployment: Deployment
    at: Callable[[Seconds, Callable[[Seconds], None]], None]
    slowness: float = 1.0
    noise: float = 1.0
    queue: deque[Job] = field(factory=deque)
    reading: deque[Job] = field(factory=deque)
    writing: list[tuple[int, int, Job]] = field(factory=list)
    held: Tokens = 0
    cache: OrderedDict[str, Tokens] = field(factory=OrderedDict)
    uses: dict[str, int] = field(factory=dict)
    steps: int = 0
    busy: bool = False
    read: Tokens = 0
    again: Tokens = 0

    @property
    def unread(self) -> Tokens:
        """Prompt tokens that wait here, the queue's without shared parts."""
        queued = sum(job.arrival.kind.own for job in self.queue)
        return queued + sum(job.unread for job in self.reading)

    @property
    def requests(self) -> int:
        """Number of requests here."""
        return len(self.queue) + len(self.reading) + len(self.writing)

    def missing(self, parts: Sequence[tuple[str, Tokens]]) -> list[tuple[str, Tokens]]:
        """Return the shared parts that are not in memory, or follow one that is not."""
        for place, (name, _) in enumerate(parts):
            if name not in self.cache:
                return list(parts[place:])
        return []

    def submit(self, job: Job, now: Seconds) -> None:
        """Queue a request."""
        self.queue.append(job)
        if not self.busy:
            self.busy = True
            self.step(now)

    def admit(self) -> None:
        """Give waiting requests their slots and memory, in order of arrival."""
        service = self.deployment.service
        while self.queue:
            job = self.queue[0]
            kind = job.arrival.kind
            size = kind.own + kind.output
            missing = self.missing(job.parts)
            again = sum(tokens for _, tokens in missing)
            if len(self.reading) + len(self.writing) >= service.slots:
                return
            if not self.make_room(size + again, job.parts):
                return
            self.queue.popleft()
            self.held += size
            job.unread = kind.own + again
            self.again += again
            self.cache.update(missing)
            # Parts that others follow are evicted after them.
            for name, _ in reversed(job.parts):
                self.uses[name] = self.uses.get(name, 0) + 1
                self.cache.move_to_end(name)
            self.reading.append(job)

    def make_room(self, needed: Tokens, parts: Sequence[tuple[str, Tokens]]) -> bool:
        """Evict shared parts that are not in use; return whether there is room."""
        room = self.deployment.service.memory - self.held - sum(self.cache.values())
        if room >= needed:
            return True
        kept = {name for name, _ in parts}
        for name in list(self.cache):
            if room >= needed:
                break
            if name not in kept and not self.uses.get(name):
                room += self.cache.pop(name)
        return room >= needed

    def step(self, now: Seconds) -> None:
        """Read a chunk of the prompts and write a token of each answer."""
        self.admit()
        if not self.reading and not self.writing:
            self.busy = False
            return
        left, done = CHUNK, []
        for job in self.reading:
            taken = min(left, job.unread)
            job.unread -= taken
            left -= taken
            if job.unread:
                break
            done.append(job)
        taken = CHUNK - left
        self.read += taken
        share = len(self.writing) / self.deployment.service.slots
        length = self.deployment.step * (1.0 + (FULL_STEP - 1.0) * share)
        length += taken / self.deployment.reading
        self.at(
            now + length * self.slowness * self.noise,
            lambda then: self.finish(done, then),
        )

    def finish(self, done: list[Job], now: Seconds) -> None:
        """End a step, and begin the next one."""
        self.steps += 1
        for job in done:
            self.reading.popleft()
            job.first_at = now
            job.on_first()
            end = self.steps + job.arrival.kind.output
            heapq.heappush(self.writing, (end, id(job), job))
        while self.writing and self.writing[0][0] <= self.steps:
            job = heapq.heappop(self.writing)[2]
            kind = job.arrival.kind
            self.held -= kind.own + kind.output
            for name, _ in job.parts:
                self.uses[name] -= 1
            job.on_end()
        self.step(now)
