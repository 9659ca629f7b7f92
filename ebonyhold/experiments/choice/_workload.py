"""What callers ask: conversations of a few workspaces, and weekly sheets."""

from __future__ import annotations

import random
from collections.abc import Iterator

from attrs import frozen

from ebonyhold.types import Seconds, Tokens, WorkspaceName

BLOCK = 16
WEIGHTS = (30, 20, 15, 8, 6, 5, 5, 4, 4, 3)
"""Ten workspaces, three of them large."""

TURNS = (1, 6)
THINK: Seconds = 4.0
SHEET_SHARE = 0.04
"""The part of the sessions that are a long sheet instead of a conversation."""

SYSTEM_BLOCKS = (24, 56)
"""Blocks of a workspace's own system prompt."""


@frozen
class Ask:
    """One request.

    Attributes:
        at: When it arrives, in seconds from the start.
        workspace: Whose it is.
        hashes: Its prompt's blocks.
        prompt: The prompt, in tokens.
        answer: The answer, in tokens.
        live: Whether somebody waits for it.
    """

    at: Seconds
    workspace: WorkspaceName
    hashes: tuple[str, ...]
    prompt: Tokens
    answer: Tokens
    live: bool = True


def asks(rng: random.Random, rate: float, length: Seconds) -> list[Ask]:
    """Return all requests of a run, in the order of their arrival.

    Args:
        rng: The source of chance.
        rate: Requests a second, on average.
        length: The length of the run, in seconds.
    """
    systems = [rng.randint(*SYSTEM_BLOCKS) for _ in WEIGHTS]
    mean_turns = sum(TURNS) / 2 * (1 - SHEET_SHARE) + SHEET_SHARE
    found: list[Ask] = []
    at = -THINK * mean_turns
    session = 0
    while at < length:
        at += rng.expovariate(rate / mean_turns)
        session += 1
        owner = rng.choices(range(len(WEIGHTS)), WEIGHTS)[0]
        found.extend(session_asks(rng, at, session, owner, systems[owner]))
    inside = [ask for ask in found if 0 <= ask.at < length]
    return sorted(inside, key=lambda ask: ask.at)


def session_asks(
    rng: random.Random, at: Seconds, session: int, owner: int, system: int
) -> Iterator[Ask]:
    """Give the requests of one session."""
    workspace = f"w{owner}"
    shared = tuple(f"{workspace}/{index}" for index in range(system))
    if rng.random() < SHEET_SHARE:
        own = tuple(f"s{session}/{index}" for index in range(rng.randint(60, 140)))
        prompt = (len(shared) + len(own)) * BLOCK + rng.randint(1, BLOCK)
        yield Ask(at, workspace, shared + own, prompt, rng.randint(200, 500), False)
        return
    history = 0
    for _ in range(rng.randint(*TURNS)):
        history += rng.randint(1, 8)
        own = tuple(f"s{session}/{index}" for index in range(history))
        prompt = (len(shared) + history) * BLOCK + rng.randint(1, BLOCK)
        answer = rng.randint(20, 140)
        yield Ask(at, workspace, shared + own, prompt, answer)
        history += answer // BLOCK
        at += rng.expovariate(1 / THINK) + answer * 0.04
