"""Makes the order in which trio runs its tasks depend on a seed alone."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from trio._core import _run as scheduler


@contextmanager
def fixed_schedule(seed: str) -> Iterator[None]:
    """Run tasks in an order that the seed decides.

    Trio shuffles the tasks that are ready in the same moment, with a source of
    chance that differs in each process: the same run would then end with other
    figures.  Its own hook for Hypothesis sorts them by age and shuffles them
    with a seeded source; this is that hook.  No public interface does it.
    """
    before = scheduler._ALLOW_DETERMINISTIC_SCHEDULING
    state = scheduler._r.getstate()
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[misc]
    scheduler._r.seed(seed)
    try:
        yield
    finally:
        scheduler._ALLOW_DETERMINISTIC_SCHEDULING = before  # type: ignore[misc]
        scheduler._r.setstate(state)
