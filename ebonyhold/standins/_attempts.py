"""What an engine is asked for, and how far it has come with each attempt."""

from __future__ import annotations

from enum import Enum

from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream
from attrs import define, frozen

from ebonyhold.standins._answers import LEAST_TOKENS, MOST_TOKENS, Answer
from ebonyhold.types import AttemptId, Seconds


class AttemptState(Enum):
    """How far an attempt has come."""

    QUEUED = "queued"
    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    NEVER_RAN = "never_ran"


@frozen
class EngineProfile:
    """How an engine behaves.

    Attributes:
        name: Its name in the records.
        models: The models that are loaded at the start.
        adapters: The adapters that are loaded.
        slots: Streams in one batch.
        queue: Attempts that may wait for a slot.
        step: The time of one step of an empty batch, in seconds.
        step_each: What each stream adds to a step, in seconds.
        prefill_rate: Prompt tokens a second, those cached left out.
        blocks: Blocks of the prefix cache.
        load_lag: How old the reported load is, in seconds.
        event_lag: How late cache events come, in seconds.
        event_gap: The part of the cache events that is lost.
        checks_fencing: Whether it refuses orders with an old fencing number.
        load_time: How long an order to load a model takes, in seconds.
        least: The shortest answer, in tokens.
        most: The longest answer, in tokens.
        seed: Of the losses.
    """

    name: str = "engine"
    models: tuple[str, ...] = ("assistant",)
    adapters: tuple[str, ...] = ()
    slots: int = 16
    queue: int = 256
    step: Seconds = 0.008
    step_each: Seconds = 0.0005
    prefill_rate: float = 20_000.0
    blocks: int = 2048
    load_lag: Seconds = 0.2
    event_lag: Seconds = 0.2
    event_gap: float = 0.02
    checks_fencing: bool = False
    load_time: Seconds = 0.5
    least: int = LEAST_TOKENS
    most: int = MOST_TOKENS
    seed: int = 1


@frozen
class Job:
    """What an attempt asks for."""

    attempt: AttemptId
    model: str
    words: tuple[str, ...]
    digest: str
    max_tokens: int
    priority: int = 0
    resumed: int = 0
    traceparent: str = ""


@define(eq=False)
class Attempt:
    """One attempt inside the engine.

    Attributes:
        completed: Tokens of the whole answer so far, resumed ones included.
        limit: Where the answer ends.
        prompt_tokens: Prompt tokens run; 0 while it waits.
        cached: Of those, how many came from the cache.
        sent: Whether the whole answer left the engine.
        tokens: Where the indices of its tokens go.
    """

    job: Job
    boot: str
    answer: Answer
    limit: int
    arrived_at: float
    tokens: MemoryObjectSendStream[int]
    output: MemoryObjectReceiveStream[int]
    state: AttemptState = AttemptState.QUEUED
    completed: int = 0
    prompt_tokens: int = 0
    cached: int = 0
    sent: bool = False
    ended_at: float = 0.0

    @property
    def finish_reason(self) -> str:
        """Why the answer ended, in the words of the protocol."""
        return "stop" if self.limit >= self.answer.length else "length"

    @property
    def alive(self) -> bool:
        """Whether it waits or runs."""
        return self.state in (AttemptState.QUEUED, AttemptState.RUNNING)

    def end(self, state: AttemptState, at: float) -> None:
        """End it, once."""
        if self.alive:
            self.state = state
            self.ended_at = at
            self.tokens.close()
