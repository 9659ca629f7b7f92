"""The promises, checked from what callers and engines saw."""

from __future__ import annotations

import signal
from collections import Counter
from collections.abc import Mapping, Sequence

from tests.platform.soak._callers import Outcome
from tests.platform.soak._world import EVENT_TOKENS, WORKSPACES, Gateway

SETTLED = 4.0
"""Seconds after the last trouble from which requests must be served again."""


ASKED = (0, -signal.SIGKILL, -signal.SIGTERM)
"""Exit statuses of processes that were told to end, the last one of those that had not
begun to wait for signals yet."""

FAILURES = ('"task failed"', '"process failed"', "Traceback (most recent")
"""What a log says only of a fault of our own."""


def judge(
    outcomes: Sequence[Outcome], ran: Sequence[str], healed_at: float
) -> list[str]:
    """Return the promises that were broken.

    Args:
        outcomes: What callers saw.
        ran: The request of each run that an engine began.
        healed_at: When the last trouble ended.
    """
    runs = Counter(ran)
    broken: list[str] = []
    for outcome in outcomes:
        broken += judge_one(outcome, runs[outcome.request])
    broken += judge_money(outcomes, runs)
    late = [o for o in outcomes if o.ended_at > healed_at + SETTLED]
    if not any(o.status == 200 and o.workspace == "vast" for o in late):
        broken.append(f"nothing served after the troubles: {len(late)} asked")
    return broken


def judge_processes(gateways: Sequence[Gateway]) -> list[str]:
    """Return the ends that nobody asked for, and the failures of tasks."""
    broken: list[str] = []
    for gateway in gateways:
        name = f"vm-{gateway.number}"
        odd = [end for end in gateway.ends if end not in ASKED]
        broken += [f"{name} ended by itself with status {end}" for end in odd]
        lines = gateway.log.read_text(errors="replace").splitlines()
        told = [line for line in lines if any(mark in line for mark in FAILURES)]
        broken += [f"{name} logged {line[:400]}" for line in told]
    return broken


def judge_money(outcomes: Sequence[Outcome], runs: Mapping[str, int]) -> list[str]:
    """Return the workspaces that got more than they had prepaid."""
    spent = dict.fromkeys(WORKSPACES, 0)
    for outcome in outcomes:
        if runs.get(outcome.request) and outcome.expected:
            tokens = outcome.prompt + EVENT_TOKENS * len(outcome.events)
            spent[outcome.workspace] += tokens
    return [
        f"{name} spent {tokens} of {WORKSPACES[name]}"
        for name, tokens in spent.items()
        if tokens > WORKSPACES[name]
    ]


def judge_one(outcome: Outcome, runs: int) -> list[str]:
    """Return what was broken of one request."""
    name = outcome.request
    broken = []
    if outcome.status in (429, 503) and runs:
        broken.append(f"{name} was refused as not run, and ran")
    if not outcome.expected and runs > 1:
        broken.append(f"{name} must not be repeated, and ran {runs} times")
    if outcome.status and not outcome.right:
        broken.append(f"{name} got the answer to another request")
    if outcome.status == 200 and outcome.expected:
        wanted = list(range(1, len(outcome.events) + 1))
        if outcome.events != wanted:
            broken.append(f"{name} got events {outcome.events}")
        if outcome.whole and len(outcome.events) != outcome.expected:
            broken.append(f"{name} ended early: {outcome.events}")
    return broken
