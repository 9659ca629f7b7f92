"""The page of models: what each guard is for, with the trace that shows it."""

from __future__ import annotations

from functools import cache

from ebonyhold.models._checking import FAMILIES, Family, Guard, Result, Trace, check

GUARD_STATES = (500, 4_000, 32_000)
"""How far a model without a guard is explored, until a trace is found.

The search is breadth first, so a trace found in a part is a shortest one.
"""

HEAD = """# Models of the core protocols

This page is written by `python -m ebonyhold.models`, and a test compares it with
what the checker finds now. Each model is a small specification in
`ebonyhold/models/`; [minicheck](https://pypi.org/project/minicheck/) explores all
its states breadth first, so each trace is a shortest one. For each guard the
model is built once without it, and the checker must find the trace below: that is
the reason for the guard, and the proof that the check is not vacuous.

`make model` explores wider bounds. `tests/models/test_replay.py` drives the
functions of `ebonyhold.coordination` along the edges of the models' graphs and
compares the rows of the table with the model's state, so that the two cannot
drift apart.

The checker was judged by reading its safety check: a plain breadth-first search
in Python without dependencies, three-valued answers (a search cut short proves
nothing, but a trace found stands). It keeps every state in memory and has no
symmetry reduction, which bounds a check to some millions of states. It is pinned
in `requirements/dev.txt`.

## What the models leave out

- Time. A belief may end and a lapse may come at any moment; a pause is that
  nothing happens in between. How clocks are kept from mattering is in
  `ebonyhold/coordination/_leases.py`.
- Engines that restart and forget which attempts were closed. A router that is
  paused between its intent and its dispatch for as long as sealing, recovery and
  an engine's restart take may then run an attempt that was settled as not run:
  the trace is that of *close attempts at the engine* below. No budget is
  exceeded by it and nothing is billed twice, but the operator pays those tokens.
  Plain services are not concerned: an open intent there is settled as unknown.
- A router that starts while the table is away takes the newest copy in the
  object store if the document's policy says so. That copy may lack the newest
  version; the model covers the strict policy.
"""


@cache
def check_whole(name: str) -> Result[object]:
    """Check a protocol with all its guards, in small bounds."""
    return check(FAMILIES[name].build("", False))


@cache
def find_trace(name: str, guard: str) -> Trace[object] | None:
    """Return the trace that shows what a guard is for, or None if there is none."""
    family = FAMILIES[name]
    wanted = next(one.breaks for one in family.guards if one.name == guard)
    model = family.build(guard, False)
    for limit in GUARD_STATES:
        for trace in check(model, limit).broken:
            if trace.invariant == wanted:
                return trace
    return None


def render_page() -> str:
    """Return the whole page."""
    return HEAD + "".join(render_family(family) for family in FAMILIES.values())


def render_family(family: Family) -> str:
    """Return the section of one protocol."""
    states = check_whole(family.name).states
    text = f"\n## {family.title}\n\nModel `{family.name}`, {states} states.\n"
    return text + "".join(render_guard(family, guard) for guard in family.guards)


def render_guard(family: Family, guard: Guard) -> str:
    """Return what one guard is for."""
    trace = find_trace(family.name, guard.name)
    labels = trace.labels if trace else ()
    steps = "".join(f"{number}. {label}\n" for number, label in enumerate(labels, 1))
    return (
        f"\n### Guard: {guard.name}\n\n"
        f"Without it {guard.why}.\n"
        f"Broken then: *{guard.breaks}*.\n\n{steps}"
    )
