"""Ejection of servers that fail together with many requests at once."""

from __future__ import annotations

import pytest

from ebonyhold.coordination import EjectionPolicy, Ejector

SERVERS = {f"i-{number}": "a" for number in range(1, 7)}


@pytest.mark.parametrize("failures", [4, 8, 40])
def test_failures_during_an_ejection_do_not_lengthen_it(failures: int) -> None:
    """A server that was silent for a second must not stay ejected for several."""
    ejector = Ejector(EjectionPolicy(errors=4, first_duration=0.5, max_duration=4.0))
    for number in range(failures):
        # Requests that were sent before the server fell silent time out one by one.
        ejector.failed("i-1", 10.0 + 0.01 * number)
    assert ejector.ejected(SERVERS, 10.4) == {"i-1"}
    assert ejector.ejected(SERVERS, 10.6) == frozenset()


def test_failure_after_an_ejection_doubles_it() -> None:
    """A server that goes on failing must be tried less often."""
    ejector = Ejector(EjectionPolicy(errors=2, first_duration=0.5, max_duration=4.0))
    for now in (10.0, 10.0, 10.6):
        ejector.failed("i-1", now)
    assert ejector.ejected(SERVERS, 11.5) == {"i-1"}
    assert ejector.ejected(SERVERS, 11.7) == frozenset()
