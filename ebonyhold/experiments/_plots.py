"""Plots of results, as PNG files."""

from __future__ import annotations

import statistics
from collections.abc import Callable, Sequence
from pathlib import Path

import matplotlib as mpl
from attrs import frozen
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from ebonyhold.experiments._catalogue import Kind
from ebonyhold.experiments._compare import spread_of
from ebonyhold.experiments._panels import (
    COLOURS,
    STYLE,
    PlotData,
    dots,
    latency_panels,
    panels,
)
from ebonyhold.experiments._results import Result, group_results

MINUTE = 60.0


@frozen
class Plot:
    """A plot that a report may hold.

    Attributes:
        name: The file's name without its suffix.
        kind: The kind of scenario it is of.
        title: The heading above it.
        note: How to read it.
        draw: Draws it; returns None when there is nothing to show.
    """

    name: str
    kind: Kind
    title: str
    note: str
    draw: Callable[[PlotData], Figure | None]


PLOTS: list[Plot] = []
"""The registered plots, in the order of the report."""


def plot(
    name: str, kind: Kind, title: str, note: str
) -> Callable[
    [Callable[[PlotData], Figure | None]], Callable[[PlotData], Figure | None]
]:
    """Register how a plot is drawn."""

    def register(
        draw: Callable[[PlotData], Figure | None],
    ) -> Callable[[PlotData], Figure | None]:
        PLOTS.append(Plot(name, kind, title, note, draw))
        return draw

    return register


def draw_all(data: PlotData, folder: Path) -> list[tuple[Plot, Path]]:
    """Draw all plots that have something to show."""
    drawn: list[tuple[Plot, Path]] = []
    with mpl.rc_context(STYLE):
        for each in PLOTS:
            part = data.of_kind(each.kind)
            figure = each.draw(part) if part.results else None
            if figure is not None:
                path = folder / f"{each.name}.png"
                figure.savefig(path, metadata={"Software": None})
                drawn.append((each, path))
    return drawn


@plot(
    "refusals", Kind.MONEY, "False refusals and overspend",
    "False refusals: requests refused although the budget as a whole would have"
    " carried them. Dots are means over the seeds, bars their standard deviation.",
)  # fmt: skip
def draw_refusals(data: PlotData) -> Figure | None:
    """Draw false refusals and overspend by policy."""
    return dots(data, ("false_refusals", "overspend"))


@plot(
    "costs", Kind.MONEY, "What it costs",
    "Tokens in grants of dead or cut-off routers at the worst moment, and how much"
    " the policy writes to the table.",
)  # fmt: skip
def draw_costs(data: PlotData) -> Figure | None:
    """Draw stranded tokens and table writes by policy."""
    return dots(data, ("stranded", "writes"))


@plot(
    "stranded", Kind.MONEY, "Stranded tokens over time",
    "Mean over the seeds; only scenarios in which tokens strand at all. A router"
    " that is only cut off goes on spending its grants: that is why the line falls"
    " while the cut lasts.",
)  # fmt: skip
def draw_stranded(data: PlotData) -> Figure | None:
    """Draw stranded tokens over time."""
    groups = group_results(data.results)
    stranded = {
        each.key.scenario
        for each in data.results
        if any(sample.stranded for sample in each.samples)
    }
    scenarios = [name for name in data.scenarios if name in stranded]
    if not scenarios:
        return None

    def fill(ax: Axes, scenario: str) -> None:
        for index, policy in enumerate(data.policies):
            at, mean = mean_stranded(groups.get((scenario, policy), []))
            colour = COLOURS[index % len(COLOURS)]
            ax.plot(at, mean, color=colour, label=policy, linewidth=1.6)
        ax.set_xlabel("minutes")
        ax.set_ylabel("tokens")
        ax.set_ylim(bottom=0)
        ax.yaxis.set_major_formatter(lambda value, _: f"{value:,.0f}")

    return panels(scenarios, fill)


def mean_stranded(results: Sequence[Result]) -> tuple[list[float], list[float]]:
    """Return minutes, and the mean of stranded tokens over the seeds."""
    columns = list(zip(*(each.samples for each in results), strict=False))
    at = [column[0].at / MINUTE for column in columns]
    mean = [statistics.fmean(one.stranded for one in column) for column in columns]
    return at, mean


@plot(
    "latency", Kind.MONEY, "Latency that the money adds",
    "From a request's arrival to the word that its hold is granted, all seeds"
    " together. Further right is rarer: at 99, one request in a hundred waits"
    " longer. Lines that are covered by others show as a wider band.",
)  # fmt: skip
def draw_latency(data: PlotData) -> Figure | None:
    """Draw the percentiles of the latency that the money adds."""
    return latency_panels(data)


@plot(
    "goodput", Kind.CHOICE, "Goodput and refusals",
    "Goodput: requests a second whose first token and whose gaps met their targets;"
    " the dashed line is what was offered.",
)  # fmt: skip
def draw_goodput(data: PlotData) -> Figure | None:
    """Draw goodput and refusals by policy, with what was offered."""
    figure = dots(data, ("goodput", "refused"))
    ax = figure.axes[0]
    right = ax.get_xlim()[1]
    for row, scenario in enumerate(data.scenarios):
        of_it = [each for each in data.results if each.key.scenario == scenario]
        offered = spread_of(of_it, "offered")
        if offered is not None:
            right = max(right, offered.mean * 1.03)
            ax.vlines(
                offered.mean, row - 0.45, row + 0.45, color="black", linestyle="--"
            )
    ax.set_xlim(0, right)
    return figure


@plot(
    "first_token", Kind.CHOICE, "Time to the first token",
    "Live requests; each panel is a percentile.",
)  # fmt: skip
def draw_first_token(data: PlotData) -> Figure | None:
    """Draw the percentiles of the time to the first token."""
    return dots(data, ("first_p50", "first_p95", "first_p99"))


@plot(
    "first_token_percentiles", Kind.CHOICE, "Time to the first token, to the tail",
    "Live requests of all seeds together.",
)  # fmt: skip
def draw_first_token_percentiles(data: PlotData) -> Figure | None:
    """Draw the percentiles of the time to the first token."""
    return latency_panels(data)


@plot(
    "gaps", Kind.CHOICE, "Time between tokens",
    "All requests; each panel is a percentile.",
)  # fmt: skip
def draw_gaps(data: PlotData) -> Figure | None:
    """Draw the percentiles of the time between tokens."""
    return dots(data, ("gap_p50", "gap_p95", "gap_p99"))
