"""Running one scenario with one policy and one seed, by registered kinds."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Iterator, Mapping, Sequence

import anyio
import trio
import trio.testing
from attrs import evolve, frozen

from ebonyhold.document import Policy
from ebonyhold.experiments._catalogue import (
    UNDISTURBED,
    DeploymentName,
    Fault,
    Kind,
    ScenarioSpec,
    UnknownPolicyError,
    policies_of,
)
from ebonyhold.experiments._memory_fleet import MemoryFleet
from ebonyhold.experiments._money_scenarios import Event, Scenario, Traffic, compose
from ebonyhold.experiments._results import Finished, Result, RunKey, Sample, measured
from ebonyhold.experiments._schedule import fixed_schedule
from ebonyhold.experiments.checker import CallerOutcome
from ebonyhold.experiments.choice import Load, deployments, run_once
from ebonyhold.experiments.money_policies import Slot, Trial, percentile
from ebonyhold.experiments.trial import run_trial
from ebonyhold.money import MoneyOptions, verify_bills
from ebonyhold.types import Seconds, Tokens, WorkspaceName

SAMPLE_EVERY: Seconds = 10.0

CHOICE_DEPLOYMENTS = {
    DeploymentName.LENHA: "lenha",
    DeploymentName.BAGMATI: "bagmati",
}


@frozen
class Wish:
    """One run that is wanted."""

    spec: ScenarioSpec
    policy: str
    seed: int

    @property
    def key(self) -> RunKey:
        """What it is a run of."""
        return RunKey(self.spec.name, self.policy, self.seed)


Runner = Callable[[Wish], Finished]

RUNNERS: dict[Kind, Runner] = {}
"""The registered runners by the kind of scenario."""


def runs(kind: Kind) -> Callable[[Runner], Runner]:
    """Register the runner of a kind of scenario."""

    def register(runner: Runner) -> Runner:
        RUNNERS[kind] = runner
        return runner

    return register


def make_wishes(
    specs: Sequence[ScenarioSpec], policies: Sequence[str], seeds: Sequence[int]
) -> list[Wish]:
    """Return all runs; with no policies, those of each scenario's kind.

    Raises:
        UnknownPolicyError: A policy fits none of the scenarios, or none of the
            policies fits a scenario, which would then be left out in silence.
    """
    kinds = {spec.kind for spec in specs}
    known = {name for kind in kinds for name in policies_of(kind)}
    strange = [name for name in policies if name not in known]
    if strange:
        words = ", ".join(sorted(known))
        raise UnknownPolicyError(f"{', '.join(strange)}: known are {words}")
    for spec in specs:
        fitting = policies_of(spec.kind)
        if policies and not set(policies) & set(fitting):
            raise UnknownPolicyError(f"{spec.name} compares {', '.join(fitting)}")
    return [
        Wish(spec, policy, seed)
        for spec in specs
        for policy in policies_of(spec.kind)
        if not policies or policy in policies
        for seed in seeds
    ]


def run_wish(wish: Wish) -> Finished:
    """Run one scenario with one policy and one seed."""
    return RUNNERS[wish.spec.kind](wish)


@runs(Kind.MONEY)
def run_money(wish: Wish) -> Finished:
    """Play a money scenario on the virtual clock."""
    made = money_scenario(wish.spec, wish.seed)
    document = evolve(Policy(), grants=wish.policy)
    samples: list[Sample] = []
    found: list[Finished] = []

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            trial = Trial(MemoryFleet(tasks, document, MoneyOptions()), made)
            tasks.start_soon(watch, trial, samples)
            await trial.play()
            wrong = await verify_bills(trial.fleet.table)
            found.append(money_result(wish, trial, samples, len(wrong)))
            tasks.cancel_scope.cancel()

    with fixed_schedule(str(wish.key)):
        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return found[0]


def money_scenario(spec: ScenarioSpec, seed: int) -> Scenario:
    """Make the history of requests and events that a file describes."""
    load = spec.load
    weights = {each.name: each.share for each in load.workspaces}
    traffic = tuple(
        Traffic(each.start, each.end, each.rate, weights, each.routers)
        for each in load.stretches
    )
    made = compose(random.Random(f"{spec.name}/{seed}"), traffic, load.plenty)
    events = [
        event for fault in spec.faults for event in money_events(fault, made.prepaid)
    ]
    events.sort(key=lambda event: event.at)
    return evolve(made, events=tuple(events))


def money_events(
    fault: Fault, prepaid: Mapping[WorkspaceName, Tokens]
) -> Iterator[Event]:
    """Give the events of one fault: a top-up is one for each workspace."""
    if fault.what != "top_up":
        yield Event(fault.at, fault.what, router=fault.router)
        return
    for name, tokens in prepaid.items():
        amount = int(tokens * fault.part)
        yield Event(fault.at, fault.what, workspace=name, amount=amount)


async def watch(trial: Trial, samples: list[Sample]) -> None:
    """Note now and then what lies in grants."""
    origin = anyio.current_time()
    while True:
        await anyio.sleep(SAMPLE_EVERY)
        grants = [(slot, available(slot)) for slot in trial.slots]
        lost = sum(tokens for slot, tokens in grants if slot.cut or not slot.up)
        at = round(anyio.current_time() - origin, 3)
        samples.append(Sample(at, sum(tokens for _, tokens in grants), lost))


def available(slot: Slot) -> Tokens:
    """Return the tokens that lie unused in a router's grants."""
    grants = slot.grant_manager.grants.values()
    return sum(grant.ledger.available for grant in grants)


def money_result(
    wish: Wish, trial: Trial, samples: Sequence[Sample], wrong: int
) -> Finished:
    """Return what a money run came to."""
    arrivals = trial.scenario.arrivals
    asked = sum(one.charge for one in arrivals)
    figures = measured(
        requests=len(arrivals),
        refused=trial.refused / max(len(arrivals), 1),
        false_refusals=trial.false_refusals / max(len(arrivals), 1),
        false_tokens=trial.false_tokens / max(asked, 1),
        overspend=trial.overspend,
        stranded=max((one.stranded for one in samples), default=0),
        idle=sum(one.idle for one in samples) / max(len(samples), 1),
        added_p50=percentile(trial.latencies, 0.5),
        added_p95=percentile(trial.latencies, 0.95),
        writes=trial.counter.rows / max(trial.ended_at, 1.0),
        discrepancies=wrong,
    )
    result = Result(
        wish.key, Kind.MONEY, wish.spec.deployment.value, figures, tuple(samples)
    )
    return Finished(result, tuple(trial.latencies))


@runs(Kind.CHOICE)
def run_choice(wish: Wish) -> Finished:
    """Play a choice scenario on the virtual clock."""
    load = wish.spec.load
    faults = [fault.what for fault in wish.spec.faults]
    deployment = deployments[CHOICE_DEPLOYMENTS[wish.spec.deployment]]
    with fixed_schedule(str(wish.key)):
        got = run_once(
            deployment,
            wish.policy,
            Load(load.factor, load.length),
            wish.seed,
            scenario=faults[0] if faults else UNDISTURBED,
        )
    figures = measured(
        refused=got.refused,
        goodput=got.goodput,
        offered=got.offered,
        first_p50=got.first[0],
        first_p95=got.first[1],
        first_p99=got.first[2],
        gap_p50=got.gap[0],
        gap_p95=got.gap[1],
        gap_p99=got.gap[2],
        reuse=got.reuse,
        imbalance=got.imbalance,
        resumed=got.resumed,
        cut=got.cut,
        late_work=got.late_work,
        emptied=got.emptied,
    )
    result = Result(wish.key, Kind.CHOICE, wish.spec.deployment.value, figures)
    return Finished(result, got.firsts)


@runs(Kind.LIVE)
def run_live(wish: Wish) -> Finished:
    """Run real daemons on loopback, and let the checker judge them."""
    troubles = [fault.what for fault in wish.spec.faults]
    verdict = anyio.run(run_trial, wish.spec.load.requests, troubles, wish.seed)
    callers = verdict.evidence.callers
    outcomes = Counter(one.outcome for one in callers)
    figures = measured(
        tries=len(callers),
        whole=outcomes[CallerOutcome.WHOLE],
        not_run=outcomes[CallerOutcome.NOT_RUN],
        other_refusals=outcomes[CallerOutcome.REFUSED],
        cut=outcomes[CallerOutcome.CUT],
        promises_broken=len(verdict.broken),
    )
    deployment = wish.spec.deployment.value
    broken = tuple(str(one) for one in verdict.broken)
    return Finished(Result(wish.key, Kind.LIVE, deployment, figures, broken=broken))
