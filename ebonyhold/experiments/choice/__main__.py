"""Prints the comparison as a table in Markdown."""

from __future__ import annotations

import argparse
import statistics
from collections.abc import Callable, Sequence

from ebonyhold.coordination import choice_policies
from ebonyhold.experiments.choice import Figures, Load, deployments, run_once

HEAD = (
    "| Deployment | Load | Policy | First token p50/p95/p99 ms | Gap p50/p95/p99 ms "
    "| Goodput/s | Refused % | Reuse % | Imbalance |\n"
    "| --- | --- | --- | --- | --- | --- | --- | --- | --- |"
)


SCENARIO_HEAD = " Resumed | Cut | Late work | Empty after s |"


def mean(runs: Sequence[Figures], get: Callable[[Figures], float]) -> float:
    """Return the mean of one figure over the seeds."""
    return statistics.fmean(get(run) for run in runs)


def spread(runs: Sequence[Figures], get: Callable[[Figures], float]) -> float:
    """Return the standard deviation of one figure over the seeds."""
    return statistics.stdev(get(run) for run in runs) if len(runs) > 1 else 0.0


def trio_of(runs: Sequence[Figures], get: Callable[[Figures], Sequence[float]]) -> str:
    """Return the three percentiles in milliseconds, p95 with its deviation."""
    p50 = mean(runs, lambda run: get(run)[0]) * 1000
    p95 = mean(runs, lambda run: get(run)[1]) * 1000
    p99 = mean(runs, lambda run: get(run)[2]) * 1000
    deviation = spread(runs, lambda run: get(run)[1]) * 1000
    return f"{p50:.0f} / {p95:.0f}±{deviation:.0f} / {p99:.0f}"


def line(deployment: str, load: Load, policy: str, runs: Sequence[Figures]) -> str:
    """Return one line of the table."""
    cells = (
        deployment,
        f"{load.factor:g}",
        policy,
        trio_of(runs, lambda run: run.first),
        trio_of(runs, lambda run: run.gap),
        f"{mean(runs, lambda run: run.goodput):.2f}"
        f"±{spread(runs, lambda run: run.goodput):.2f}"
        f" of {mean(runs, lambda run: run.offered):.1f}",
        f"{mean(runs, lambda run: run.refused) * 100:.1f}",
        f"{mean(runs, lambda run: run.reuse) * 100:.1f}",
        f"{mean(runs, lambda run: run.imbalance):.2f}",
    )
    return "| " + " | ".join(cells) + " |"


def scenario_cells(runs: Sequence[Figures]) -> str:
    """Return what a scenario adds to a line."""
    cells = (
        f"{sum(run.resumed for run in runs)}",
        f"{sum(run.cut for run in runs)}",
        f"{sum(run.late_work for run in runs)}",
        f"{max(run.emptied for run in runs):.1f}",
    )
    return " " + " | ".join(cells) + " |"


def main() -> None:
    """Run all combinations that were asked for."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--policies", nargs="*", default=list(choice_policies))
    parser.add_argument("--deployments", nargs="*", default=list(deployments))
    parser.add_argument("--loads", nargs="*", type=float, default=[0.7, 0.9])
    parser.add_argument("--scenarios", nargs="*", default=["normal"])
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--length", type=float, default=40.0)
    options = parser.parse_args()
    first, second = HEAD.split("\n")
    if options.scenarios != ["normal"]:
        first = f"| Scenario {first}{SCENARIO_HEAD}"
        second += " --- | --- | --- | --- | --- |"
    print(first, second, sep="\n")
    for name in options.deployments:
        for factor in options.loads:
            load = Load(factor, options.length)
            for policy in options.policies:
                for scenario in options.scenarios:
                    runs = [
                        run_once(
                            deployments[name], policy, load, seed, scenario=scenario
                        )
                        for seed in range(1, options.seeds + 1)
                    ]
                    text = line(name, load, policy, runs)
                    if options.scenarios != ["normal"]:
                        text = f"| {scenario} {text}{scenario_cells(runs)}"
                    print(text, flush=True)


if __name__ == "__main__":
    main()
