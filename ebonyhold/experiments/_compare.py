"""How the figures of two sets of results differ, against the seeds' spread."""

from __future__ import annotations

import statistics
from collections.abc import Iterable, Iterator

from attrs import frozen

from ebonyhold.experiments._measures import MEASURES
from ebonyhold.experiments._results import Result, group_results

ALIKE = 1e-9
"""Differences up to this are rounding."""


@frozen
class Spread:
    """A figure over the seeds: mean and standard deviation."""

    mean: float
    deviation: float
    seeds: int


@frozen
class Difference:
    """One figure of one scenario and policy that differs.

    Attributes:
        scenario: The scenario.
        policy: The policy.
        figure: The figure's name in `MEASURES`.
        before: The first results' figure.
        after: The second results' figure.
    """

    scenario: str
    policy: str
    figure: str
    before: Spread
    after: Spread

    @property
    def change(self) -> float:
        """The second mean less the first."""
        return self.after.mean - self.before.mean

    @property
    def beyond_spread(self) -> bool:
        """Whether the means differ by more than the seeds do among themselves."""
        spread = max(self.before.deviation, self.after.deviation)
        return abs(self.change) > spread


def spread_of(results: Iterable[Result], figure: str) -> Spread | None:
    """Return a figure over the seeds; None when no run measured it."""
    values = [each.value(figure) for each in results]
    known = [value for value in values if value is not None]
    if not known:
        return None
    deviation = statistics.stdev(known) if len(known) > 1 else 0.0
    return Spread(statistics.fmean(known), deviation, len(known))


def compare_results(
    first: Iterable[Result], second: Iterable[Result]
) -> list[Difference]:
    """Return the figures that differ, of all scenarios and policies in both.

    Seeds that both have are compared; where they share none, all of them.
    """
    before = group_results(first)
    after = group_results(second)
    return [
        difference
        for key in before
        if key in after
        for difference in compare_groups(key, *same_seeds(before[key], after[key]))
    ]


def same_seeds(
    before: list[Result], after: list[Result]
) -> tuple[list[Result], list[Result]]:
    """Return the runs of the seeds that both have, or all where they share none.

    Another seed is another load: its difference says nothing about a policy.
    """
    shared = {each.key.seed for each in before} & {each.key.seed for each in after}
    if not shared:
        return before, after
    return (
        [each for each in before if each.key.seed in shared],
        [each for each in after if each.key.seed in shared],
    )


def compare_groups(
    key: tuple[str, str], before: list[Result], after: list[Result]
) -> Iterator[Difference]:
    """Compare all figures of one scenario and policy."""
    for figure in MEASURES:
        old = spread_of(before, figure)
        new = spread_of(after, figure)
        if old is None or new is None:
            continue
        difference = Difference(*key, figure, old, new)
        if abs(difference.change) > ALIKE:
            yield difference


def describe_difference(difference: Difference) -> dict[str, str]:
    """Return the cells of a difference's row."""
    measure = MEASURES[difference.figure]
    sign = "+" if difference.change > 0 else ""
    return {
        "scenario": difference.scenario,
        "policy": difference.policy,
        "figure": measure.label,
        "before": show_spread(difference.figure, difference.before),
        "after": show_spread(difference.figure, difference.after),
        "difference": sign + measure.show(difference.change),
        "mark": judge(difference),
    }


def show_spread(figure: str, spread: Spread) -> str:
    """Write a mean and its deviation, and how many seeds they are over."""
    measure = MEASURES[figure]
    deviation = measure.number(spread.deviation)
    return f"{measure.show(spread.mean)} ±{deviation} ({spread.seeds})"


def judge(difference: Difference) -> str:
    """Say whether a difference counts, and which way it goes."""
    if min(difference.before.seeds, difference.after.seeds) == 1:
        return "one seed only"
    if not difference.beyond_spread:
        return ""
    less_is_better = MEASURES[difference.figure].less_is_better
    if less_is_better is None:
        return "yes"
    return "better" if (difference.change < 0) == less_is_better else "worse"
