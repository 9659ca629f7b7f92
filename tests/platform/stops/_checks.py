"""The promises of a planned stop, checked from the callers' and the engines' side."""

from __future__ import annotations

from collections.abc import Sequence

from tests.platform.kit import (
    GRACE,
    LATE_AFTER,
    LOSS_SLACK,
    Fault,
    Life,
    Seen,
    Try,
    at_the_end,
    find_life,
    was_crossing,
    was_endless,
)
from tests.platform.stops._cases import Case, Trouble
from tests.platform.stops._findings import Broken, Evidence, Promise
from tests.platform.stops._money import judge_money

TOLD_AFTER = 0.2
"""Seconds after the signal from which each answer says that it is the last."""

QUICK = 0.1
"""Seconds that an engine takes for a request that ends in a moment."""

IDLE_END = 4.0
"""Seconds after the signal in which a process with nothing open ends."""

SIGTERM_CODE = -15
PROMISES = (429, 503)


def judge(case: Case, evidence: Evidence) -> list[Broken]:
    """Return the promises that were broken."""
    broken: list[Broken] = []
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
        told = story(one, life)
        broken += [
            Broken(fault.promise, f"{one.request} {fault.text} ({told})")
            for fault in faults
        ]
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


def judge_end(life: Life, case: Case) -> list[Broken]:
    """Return what was broken of a process's end."""
    took = life.exited_at - life.asked_at
    name = f"vm-{life.vm}"
    if not life.asked_at:
        return [Broken(Promise.END, f"{name} ended unasked with code {life.code}")]
    # The interpreter has no handler before the program's first line.
    unborn = life.code == SIGTERM_CODE and not life.logged
    faults = []
    if life.code != 0 and not unborn:
        faults.append(f"{name} ended with code {life.code}, {took:.2f} s after SIGTERM")
    if took > GRACE:
        faults.append(f"{name} lived {took:.2f} s after SIGTERM")
    if (life.idle or not case.callers) and took > IDLE_END:
        faults.append(f"{name} took {took:.2f} s to end with nothing open")
    return [Broken(Promise.END, fault) for fault in faults]


def judge_try(one: Try, life: Life, runs: Sequence[Seen]) -> list[Broken]:
    """Return what was broken of one request."""
    if not one.status:
        return judge_unanswered(one, life, runs)
    faults = judge_answer(one, life, runs)
    if one.fault:
        if not was_endless(one, life, runs):
            faults.append(f"was cut ({one.fault}) after {len(one.events)} events")
    elif one.status == 200 and len(one.events) != one.length.events:
        faults.append(f"ended early: {one.events}")
    return [Broken(Promise.ANSWER, fault) for fault in faults]


def judge_answer(one: Try, life: Life, runs: Sequence[Seen]) -> list[str]:
    """Return what was broken of an answer that came, at least in part."""
    faults = []
    if not one.right:
        faults.append("got the answer to another request")
    if one.status in PROMISES:
        if runs:
            faults.append(f"was refused as not run ({one.status}), and ran")
        if not one.retry_after:
            faults.append(f"got {one.status} without Retry-After")
    elif one.status != 200 and (one.sent_at or one.status != 408):
        faults.append(f"got {one.status}")
    if one.events != list(range(1, len(one.events) + 1)):
        faults.append(f"got events {one.events}")
    if len(runs) > 1:
        faults.append(f"ran {len(runs)} times")
    stopping = 0 < life.asked_at <= one.head_at - TOLD_AFTER
    # An answer behind which another one is due is not the last, and the end of one that
    # is cut says what `close` would have said.
    if stopping and one.whole and not one.close and not one.followed:
        faults.append("was not told to close")
    return faults


def judge_taking(one: Try, life: Life) -> list[Broken]:
    """Return what was broken of a request that has no price and ends in a moment.

    A process that refused all would keep the other promises, and serve nobody.
    """
    quick = not one.length.events and one.length.pause <= QUICK
    early = 0 < life.asked_at <= one.sent_at <= life.asked_at + LATE_AFTER
    if quick and early and one.status in PROMISES:
        return [Broken(Promise.TAKEN, f"was refused ({one.status}) with time left")]
    return []


def judge_unanswered(one: Try, life: Life, runs: Sequence[Seen]) -> list[Broken]:
    """Return what was broken of a request without an answer."""
    if not one.fault:
        return []
    if runs:
        cut = not was_endless(one, life, runs)
        return [Broken(Promise.ANSWER, "ran and was not answered")] if cut else []
    if was_crossing(one):
        return []
    # A process that closes a connection with bytes that it has not read resets it.  So
    # an orderly end, later than any crossing, follows a whole reading.
    read = one.fault == Fault.ENDED and one.sent_at > 0
    if read and one.ended_at - one.sent_at > LOSS_SLACK:
        return [Broken(Promise.ANSWER, "was read and not answered")]
    if at_the_end(one, life):
        return []
    return [Broken(Promise.DOOR, f"met a closed door: {one.fault}")]
