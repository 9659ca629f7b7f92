"""The promises, checked from what callers, engines and processes show."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from attrs import field, frozen

from tests.platform.kit import (
    EVENT_TOKENS,
    GRACE,
    LOSS_SLACK,
    WORKSPACES,
    Fault,
    Life,
    Seen,
    Try,
    find_life,
    was_crossing,
    was_endless,
)
from tests.platform.standin import has_fate

SETTLED = 4.0
"""Seconds after the last trouble from which requests must be served again."""

CONTACT = 3.0
"""Seconds without unplanned trouble before a request that a stop must not lose."""

PATIENCE = 5.0
"""Seconds that a gateway has for a request."""

SIGTERM_CODE = -15


@frozen
class Hurt:
    """An unplanned trouble of a VM or of its path to the store.

    Attributes:
        paused: Whether the process stood still.
    """

    vm: int
    began_at: float
    ended_at: float
    paused: bool = False

    def meets(self, vm: int, began: float, ended: float) -> bool:
        """Tell whether it concerns a VM in some time."""
        return self.vm == vm and self.began_at <= ended and self.ended_at >= began


@frozen
class Evidence:
    """What is known of a seed.

    Attributes:
        tries: What callers saw.
        runs: The runs of each request, as engines saw them.
        lives: All processes that there were.
        hurts: The unplanned troubles.
        healed_at: When the last trouble ended.
    """

    tries: Sequence[Try]
    runs: Mapping[str, list[Seen]]
    lives: Sequence[Life]
    hurts: Sequence[Hurt] = field(factory=list)
    healed_at: float = 0.0


def judge(evidence: Evidence) -> list[str]:
    """Return the promises that were broken."""
    broken: list[str] = []
    for one in evidence.tries:
        runs = evidence.runs.get(one.request, [])
        broken += judge_one(one, len(runs))
        broken += judge_stopped(one, runs, evidence)
    for life in evidence.lives:
        broken += judge_end(life, evidence.hurts)
    broken += judge_money(evidence.tries, evidence.runs)
    late = [o for o in evidence.tries if o.ended_at > evidence.healed_at + SETTLED]
    if not any(o.status == 200 and o.workspace == "vast" for o in late):
        broken.append(f"nothing served after the troubles: {len(late)} asked")
    return broken


def judge_money(tries: Sequence[Try], runs: Mapping[str, Sequence[Seen]]) -> list[str]:
    """Return the workspaces that got more than they had prepaid."""
    spent = dict.fromkeys(WORKSPACES, 0)
    for one in tries:
        if runs.get(one.request) and one.length.events:
            tokens = one.prompt + EVENT_TOKENS * len(one.events)
            spent[one.workspace] += tokens
    return [
        f"{name} spent {tokens} of {WORKSPACES[name]}"
        for name, tokens in spent.items()
        if tokens > WORKSPACES[name]
    ]


def judge_one(one: Try, runs: int) -> list[str]:
    """Return what was broken of one request."""
    name, expected = one.request, one.length.events
    broken = []
    if one.status in (429, 503) and runs:
        broken.append(f"{name} was refused as not run, and ran")
    if not expected and runs > 1:
        broken.append(f"{name} must not be repeated, and ran {runs} times")
    if one.status and not one.right:
        broken.append(f"{name} got the answer to another request")
    if one.status == 200 and expected:
        wanted = list(range(1, len(one.events) + 1))
        if one.events != wanted:
            broken.append(f"{name} got events {one.events}")
        if one.whole and len(one.events) != expected:
            broken.append(f"{name} ended early: {one.events}")
    return broken


def judge_end(life: Life, hurts: Sequence[Hurt]) -> list[str]:
    """Return what was broken of a process's end."""
    name = f"vm-{life.vm}"
    if not life.exited_at:
        return []
    if not life.asked_at:
        if life.killed:
            return []
        return [f"{name} ended unasked with code {life.code}"]
    took = life.exited_at - life.asked_at
    if life.killed:
        pauses = [hurt for hurt in hurts if hurt.paused]
        span = (life.vm, life.asked_at, life.exited_at)
        late = took >= GRACE and not any(pause.meets(*span) for pause in pauses)
        return [f"{name} lived {took:.2f} s after SIGTERM"] if late else []
    # The interpreter has no handler before the program's first line.
    unborn = life.code == SIGTERM_CODE and not life.logged
    if life.code == 0 or unborn:
        return []
    return [f"{name} ended with code {life.code}, {took:.2f} s after SIGTERM"]


def judge_stopped(one: Try, runs: Sequence[Seen], evidence: Evidence) -> list[str]:
    """Return what a planned stop left without an answer, with no other trouble."""
    life = find_life(evidence.lives, one.vm, one.connected_at)
    if life is None or life.killed or not 0 < life.asked_at <= one.ended_at:
        return []
    if not one.sent_at or one.fault not in (Fault.ENDED, Fault.RESET):
        return []
    if has_fate(one.request) or one.ended_at - one.sent_at >= PATIENCE:
        return []
    since = min(one.sent_at, life.asked_at) - CONTACT
    if any(hurt.meets(one.vm, since, one.ended_at) for hurt in evidence.hurts):
        return []
    moments = (one.sent_at, one.ended_at, life.exited_at or life.asked_at)
    sent, ended, gone = (moment - life.asked_at for moment in moments)
    story = f"sent {sent:.2f}, ended {ended:.2f}, exit {gone:.2f} s after SIGTERM"
    if runs:
        cut = not was_endless(one, life, runs)
        return [f"{one.request} ran and was cut by a stop: {story}"] if cut else []
    # Bytes that nobody read reset a connection, so an orderly end follows a reading.
    read = one.fault == Fault.ENDED and one.ended_at - one.sent_at > LOSS_SLACK
    if read and not was_crossing(one):
        return [f"{one.request} was read and not answered at a stop: {story}"]
    return []
