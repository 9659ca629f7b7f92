"""Prints the comparison as a table in Markdown."""

from __future__ import annotations

import argparse
import logging
import statistics
from collections.abc import Sequence

from ebonyhold.experiments.shared_load import DEPLOYMENTS, Figures, run

POLICIES = ("current", "new", "complete")
FLEETS = (6, 23, 90, 131, 195, 330)


def cell(runs: Sequence[Figures]) -> str:
    """Return the figures of one policy on several seeds."""
    late = "/".join(
        f"{statistics.fmean(one.late[kind] for one in runs) * 100:.1f}"
        for kind in runs[0].late
    )
    again = statistics.fmean(one.again for one in runs)
    busy = statistics.fmean(one.busiest for one in runs)
    return f"{late}, {again:.0f}, {busy:.2f}"


def main() -> None:
    """Run all combinations that were asked for."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--deployments", nargs="*", choices=list(DEPLOYMENTS), default=["A", "B"]
    )
    parser.add_argument("--routers", nargs="*", type=int, default=list(FLEETS))
    parser.add_argument("--policies", nargs="*", default=list(POLICIES))
    parser.add_argument("--seeds", nargs="*", type=int, default=[1])
    parser.add_argument("--length", type=float, default=12.0)
    parser.add_argument("--load", type=float, default=1.0)
    parser.add_argument("--slow", nargs="*", type=int, default=[0])
    options = parser.parse_args()
    logging.disable()
    print(
        "Late first events in % (long/medium/short), shared tokens read per request, "
        "busiest server against the mean.\n"
    )
    print("| Deployment | Slow servers | Routers |", " | ".join(options.policies), "|")
    print("| --- | --- | --- |", " | ".join("---" for _ in options.policies), "|")
    for name in options.deployments:
        for slow in options.slow:
            for routers in options.routers:
                cells = [
                    cell(
                        [
                            run(
                                DEPLOYMENTS[name],
                                policy,
                                routers,
                                seed,
                                options.length,
                                options.load,
                                slow,
                            )
                            for seed in options.seeds
                        ]
                    )
                    for policy in options.policies
                ]
                print(
                    f"| {name} | {slow} | {routers} |",
                    " | ".join(cells),
                    "|",
                    flush=True,
                )


if __name__ == "__main__":
    main()
