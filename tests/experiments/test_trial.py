"""Trials on real processes: troubles strike, and the checker finds nothing broken."""

from __future__ import annotations

import random

import anyio
import httpx
import pytest

from ebonyhold.experiments._callers import Job, Wanted
from ebonyhold.experiments._witness import Witnesses
from ebonyhold.experiments.checker import CallerOutcome
from ebonyhold.experiments.trial import run_trial
from ebonyhold.standins import Engine
from ebonyhold.standins.http import (
    BookingService,
    engine_app,
    running,
    service_app,
)

TROUBLES = (
    (),
    ("overshoot", "reboot"),
    ("services", "table"),
    ("objects", "table", "kill"),
    ("objects", "table", "early"),
    ("outage",),
    ("stop",),
    ("freeze",),
    ("slow",),
)


@pytest.mark.soak
@pytest.mark.parametrize("troubles", TROUBLES, ids="-".join)
def test_no_promise_is_broken(troubles: tuple[str, ...]) -> None:
    verdict = anyio.run(run_trial, 300, troubles, 7)
    assert [str(one) for one in verdict.broken] == []


@pytest.mark.soak
def test_small_budgets_are_not_overspent() -> None:
    """Every workspace runs dry while the table loses answers and a router dies."""
    verdict = anyio.run(run_trial, 300, ("table", "kill"), 7, 2000)
    assert [str(one) for one in verdict.broken] == []
    assert "budget_exhausted" in verdict.codes


@pytest.mark.parametrize(
    ("fault", "outcome", "tokens"),
    [
        (None, CallerOutcome.WHOLE, 6),
        ("die", CallerOutcome.CUT, 3),
        ("half", CallerOutcome.CUT, 3),
    ],
)
def test_witness_of_a_stream(
    fault: str | None, outcome: CallerOutcome, tokens: int
) -> None:
    async def test() -> None:
        async with running(engine_app(Engine())) as url:
            if fault:
                async with httpx.AsyncClient(trust_env=False) as client:
                    switch = {"stream": {"kind": fault, "after": 3}}
                    await client.post(f"{url}/control", json=switch)
            witnesses = Witnesses([url], random.Random(1))
            job = Job("oak", Wanted.STREAM, "k1", "assistant", "is it dry", 6)
            await witnesses.run([job], 1)
        first = witnesses.records[0]
        assert first.outcome is outcome
        assert len(first.received.split()) == tokens
        assert first.expected.startswith(first.received)
        assert witnesses.records[-1].outcome is CallerOutcome.WHOLE

    anyio.run(test)


def test_witness_of_a_refusal() -> None:
    async def test() -> None:
        async with running(service_app(BookingService())) as url:
            witnesses = Witnesses([url], random.Random(1))
            job = Job("oak", Wanted.BOOKING, "k1", "assistant", "3 logs", 6)
            await witnesses.run([job], 1)
        (record,) = witnesses.records
        assert record.outcome is CallerOutcome.REFUSED
        assert witnesses.codes == ["http_404"]

    anyio.run(test)
