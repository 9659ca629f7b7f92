"""The promises of a planned stop, checked from the callers' and the engines' side."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence
from typing import Any

from attrs import field, frozen

from tests.platform.kit import (
    EVENT_TOKENS,
    GRACE,
    LATE_AFTER,
    LOSS_SLACK,
    Fault,
    Life,
    Seen,
    Try,
    at_the_end,
    find_life,
    read_runs,
    was_crossing,
    was_endless,
)
from tests.platform.stops._cases import Case, Trouble

TOLD_AFTER = 0.2
"""Seconds after the signal from which each answer says that it is the last."""

QUICK = 0.1
"""Seconds that an engine takes for a request that ends in a moment."""

IDLE_END = 4.0
"""Seconds after the signal in which a process with nothing open ends."""

SIGTERM_CODE = -15
PROMISES = (429, 503)


@frozen
class Evidence:
    """What callers, processes, engines and the store have to say of a case."""

    tries: Sequence[Try]
    lives: Sequence[Life]
    runs: Mapping[str, list[Seen]]
    rows: Mapping[str, Any] = field(factory=dict)

    @classmethod
    def of(
        cls, tries: Sequence[Try], lives: Sequence[Life], witness: Mapping[str, Any]
    ) -> Evidence:
        """Read what the witness tells."""
        return cls(tries, lives, read_runs(witness), witness["rows"])


def judge(case: Case, evidence: Evidence) -> list[str]:
    """Return the promises that were broken."""
    broken: list[str] = []
    for ended in evidence.lives:
        broken += judge_end(ended, case)
    for one in evidence.tries:
        moment = one.connected_at or one.ended_at
        life = find_life(evidence.lives, one.vm, moment)
        if life is None:
            # The VM has no process, so nobody can answer.
            continue
        faults = judge_try(one, life, evidence.runs.get(one.request, []))
        if case.trouble is not Trouble.STARTING:
            faults += judge_taking(one, life)
        broken += [f"{one.request} {fault} ({story(one, life)})" for fault in faults]
    return broken + judge_money(evidence, case)


def story(one: Try, life: Life) -> str:
    """Tell the order of what happened to a request, in seconds after the signal."""
    zero = life.asked_at or life.started_at
    moments = {
        "asked": one.asked_at,
        "connected": one.connected_at,
        "sent": one.sent_at,
        "head": one.head_at,
        "ended": one.ended_at,
        "exit": life.exited_at,
    }
    parts = [f"{name} {at - zero:.2f}" for name, at in moments.items() if at]
    return f"{one.style.name.lower()} {one.length.events} events, {', '.join(parts)}"


def judge_end(life: Life, case: Case) -> list[str]:
    """Return what was broken of a process's end."""
    took = life.exited_at - life.asked_at
    name = f"vm-{life.vm}"
    if not life.asked_at:
        return [f"{name} ended unasked with code {life.code}"]
    # The interpreter has no handler before the program's first line.
    unborn = life.code == SIGTERM_CODE and not life.logged
    broken = []
    if life.code != 0 and not unborn:
        broken.append(f"{name} ended with code {life.code}, {took:.2f} s after SIGTERM")
    if took > GRACE:
        broken.append(f"{name} lived {took:.2f} s after SIGTERM")
    if (life.idle or not case.callers) and took > IDLE_END:
        broken.append(f"{name} took {took:.2f} s to end with nothing open")
    return broken


def judge_try(one: Try, life: Life, runs: Sequence[Seen]) -> list[str]:
    """Return what was broken of one request."""
    if not one.status:
        return judge_unanswered(one, life, runs)
    broken = judge_answer(one, life, runs)
    if one.fault:
        if not was_endless(one, life, runs):
            broken.append(f"was cut ({one.fault}) after {len(one.events)} events")
    elif one.status == 200 and len(one.events) != one.length.events:
        broken.append(f"ended early: {one.events}")
    return broken


def judge_answer(one: Try, life: Life, runs: Sequence[Seen]) -> list[str]:
    """Return what was broken of an answer that came, at least in part."""
    broken = []
    if not one.right:
        broken.append("got the answer to another request")
    if one.status in PROMISES:
        if runs:
            broken.append(f"was refused as not run ({one.status}), and ran")
        if not one.retry_after:
            broken.append(f"got {one.status} without Retry-After")
    elif one.status != 200 and (one.sent_at or one.status != 408):
        broken.append(f"got {one.status}")
    if one.events != list(range(1, len(one.events) + 1)):
        broken.append(f"got events {one.events}")
    if len(runs) > 1:
        broken.append(f"ran {len(runs)} times")
    told = not life.asked_at or one.head_at < life.asked_at + TOLD_AFTER or one.close
    if not told:
        broken.append("was not told to close")
    return broken


def judge_taking(one: Try, life: Life) -> list[str]:
    """Return what was broken of a request that has no price and ends in a moment.

    A process that refused all would keep the other promises, and serve nobody.
    """
    quick = not one.length.events and one.length.pause <= QUICK
    early = 0 < life.asked_at <= one.sent_at <= life.asked_at + LATE_AFTER
    if quick and early and one.status in PROMISES:
        return [f"was refused ({one.status}) with time left"]
    return []


def judge_unanswered(one: Try, life: Life, runs: Sequence[Seen]) -> list[str]:
    """Return what was broken of a request without an answer."""
    if not one.fault:
        return []
    if runs:
        return [] if was_endless(one, life, runs) else ["ran and was not answered"]
    if was_crossing(one):
        return []
    if at_the_end(one, life):
        # A process that closes a connection with bytes that it has not read resets
        # it.  So an orderly end, later than any crossing, follows a whole reading.
        read = one.fault == Fault.ENDED and one.sent_at
        if read and one.ended_at - one.sent_at > LOSS_SLACK:
            return ["was read and not answered"]
        return []
    return [f"met a closed door: {one.fault}"]


def judge_money(evidence: Evidence, case: Case) -> list[str]:
    """Return what budgets and grants have wrong after all processes ended."""
    least: Counter[str] = Counter()
    most: Counter[str] = Counter()
    for one in evidence.tries:
        runs = evidence.runs.get(one.request)
        if runs and one.prompt and one.length.events:
            sent = max(run.sent for run in runs)
            least[one.workspace] += one.prompt + EVENT_TOKENS * len(one.events)
            most[one.workspace] += one.prompt + EVENT_TOKENS * sent
    reachable = case.trouble is not Trouble.SILENT
    broken = []
    for key, value in evidence.rows.items():
        table, workspace, *rest = key.split("/")
        if table != "prepaid":
            continue
        if rest == ["budget"]:
            budget = value.get("budget", {})
            spent, out = budget.get("spent", 0), budget.get("outstanding", 0)
            low = least[workspace] if reachable else 0
            if not low <= spent <= most[workspace]:
                served = f"{least[workspace]} to {most[workspace]}"
                broken.append(f"{workspace} spent {spent}, and was served {served}")
            if reachable and out:
                broken.append(f"{workspace} has {out} tokens out after all stops")
        elif reachable and tokens_left(value):
            broken.append(f"{key} holds {tokens_left(value)} tokens")
    if reachable and case.priced and least.total() and not evidence.rows:
        broken.append("there are no rows of budgets")
    return broken


def tokens_left(grant: Mapping[str, int]) -> int:
    """Return the tokens that are out in a grant, by its row."""
    came = grant.get("drawn", 0) + grant.get("transferred_in", 0)
    went = [grant.get(n, 0) for n in ("transferred_out", "returned", "billed")]
    return came - sum(went)
