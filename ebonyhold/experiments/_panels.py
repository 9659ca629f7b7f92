"""The forms that plots of results have in common: rows of dots, and panels."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from attrs import define, field
from hdrh.histogram import HdrHistogram
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from ebonyhold.experiments._catalogue import Kind
from ebonyhold.experiments._compare import spread_of
from ebonyhold.experiments._measures import MEASURES
from ebonyhold.experiments._results import MICROSECONDS, Result, group_results

COLOURS = ("#0072B2", "#D55E00", "#009E73", "#CC79A7", "#E69F00", "#56B4E9", "#444444")
"""Colours that people with colour blindness can tell apart (Okabe and Ito)."""

MARKERS = ("o", "s", "^", "D", "v", "P", "X")

STYLE: dict[Any, Any] = {
    "font.size": 10,
    "axes.spines.top": False,
    "axes.spines.right": False,
    "axes.grid": True,
    "grid.color": "#dddddd",
    "grid.linewidth": 0.6,
    "axes.axisbelow": True,
    "axes.titlesize": 11,
    "axes.titleweight": "bold",
    "axes.titlelocation": "left",
    "figure.constrained_layout.use": True,
    "savefig.dpi": 130,
}

WIDTH = 9.0
"""Inches."""

FLAT_WIDTH = 0.25
"""The width of a panel that only shows zeros, as a part of another's."""

PANEL_COLUMNS = 2
PERCENTILES = (50, 75, 90, 95, 98, 99, 99.5, 99.9)
TICKS = (50, 75, 90, 95, 99, 99.9)
THICKEST = 4.0
THINNEST = 1.4
"""Lines get thinner, so that those that later ones cover can still be seen."""


@define
class PlotData:
    """What plots are made of.

    Attributes:
        results: All results.
        histograms: Latencies by the tag of their run.
    """

    results: Sequence[Result]
    histograms: Mapping[str, HdrHistogram] = field(factory=dict)

    def of_kind(self, kind: Kind) -> PlotData:
        """Return the part of one kind of scenario."""
        chosen = [each for each in self.results if each.kind is kind]
        return PlotData(chosen, self.histograms)

    @property
    def scenarios(self) -> list[str]:
        """The scenarios, in the order of the results."""
        return list(dict.fromkeys(each.key.scenario for each in self.results))

    @property
    def policies(self) -> list[str]:
        """The policies, in the order of the results."""
        return list(dict.fromkeys(each.key.policy for each in self.results))


def dots(data: PlotData, names: Sequence[str]) -> Figure:
    """Draw figures as dots: a row for each scenario, a colour for each policy."""
    rows = len(data.scenarios)
    height = 1.3 + 0.13 * rows * max(len(data.policies), 2)
    figure = Figure(figsize=(WIDTH, height))
    widths = [1.0 if any_value(data, name) else FLAT_WIDTH for name in names]
    grid = figure.subplots(
        1, len(names), sharey=True, squeeze=False, width_ratios=widths
    )
    axes = grid[0]
    for ax, name in zip(axes, names, strict=True):
        dots_of(ax, data, name)
    axes[0].set_yticks(range(rows), data.scenarios)
    axes[0].set_ylim(rows - 0.5, -0.5)
    add_legend(figure, axes[0])
    return figure


def any_value(data: PlotData, name: str) -> bool:
    """Whether a figure is other than 0 in any run."""
    return any(each.value(name) for each in data.results)


def dots_of(ax: Axes, data: PlotData, name: str) -> None:
    """Draw one figure's dots, with the deviation over the seeds as a bar."""
    measure = MEASURES[name]
    groups = group_results(data.results)
    step = 0.75 / max(len(data.policies), 1)
    for index, policy in enumerate(data.policies):
        shift = (index - (len(data.policies) - 1) / 2) * step
        for row, scenario in enumerate(data.scenarios):
            spread = spread_of(groups.get((scenario, policy), []), name)
            if spread is None:
                continue
            mean = spread.mean * measure.scale
            ax.errorbar(
                mean,
                row + shift,
                xerr=[[min(spread.deviation * measure.scale, mean)],
                      [spread.deviation * measure.scale]],
                color=COLOURS[index % len(COLOURS)],
                marker=MARKERS[index % len(MARKERS)],
                markersize=5,
                linewidth=1.2,
                label=policy if row == 0 else None,
            )  # fmt: skip
    for row in range(1, len(data.scenarios)):
        ax.axhline(row - 0.5, color="#bbbbbb", linewidth=0.6)
    ax.grid(axis="y", visible=False)
    ax.set_title(measure.label)
    ax.set_xlabel(measure.unit)
    ax.xaxis.set_major_formatter(lambda value, _: f"{value:,.6g}")
    ax.locator_params(axis="x", nbins=5)
    if any_value(data, name):
        ax.set_xlim(left=-0.02 * ax.get_xlim()[1])
    else:
        ax.set_xlim(-1, 1)
        ax.set_xticks([0])
        ax.set_xlabel("0 in every run")


def add_legend(figure: Figure, ax: Axes) -> None:
    """Put one legend for all panels below the figure."""
    handles, labels = ax.get_legend_handles_labels()
    figure.legend(handles, labels, loc="outside lower center", ncols=5, frameon=False)


def thickness(index: int, count: int) -> float:
    """Return the width of one of several lines, the first being the thickest."""
    return THICKEST - (THICKEST - THINNEST) * index / max(count - 1, 1)


def panels(
    scenarios: Sequence[str],
    fill: Callable[[Axes, str], None],
    *,
    sharey: bool = False,
) -> Figure:
    """Draw a panel for each scenario."""
    columns = min(PANEL_COLUMNS, len(scenarios))
    rows = -(-len(scenarios) // columns)
    figure = Figure(figsize=(WIDTH, 0.8 + 2.3 * rows))
    grid = figure.subplots(rows, columns, squeeze=False, sharey=sharey)
    places = list(grid.flat)
    for ax, scenario in zip(places, scenarios, strict=False):
        fill(ax, scenario)
        ax.set_title(scenario)
    for ax in places[len(scenarios) :]:
        ax.set_visible(False)
    add_legend(figure, places[0])
    return figure


def latency_panels(data: PlotData) -> Figure | None:
    """Draw the percentiles of the latency, a panel for each scenario."""
    groups = group_results(data.results)

    def fill(ax: Axes, scenario: str) -> None:
        for index, policy in enumerate(data.policies):
            merged = merge(data, groups.get((scenario, policy), []))
            if merged is None:
                continue
            values = [merged.get_value_at_percentile(each) for each in PERCENTILES]
            ax.plot(
                [nines(each) for each in PERCENTILES],
                [max(value / (MICROSECONDS / 1000), 0.001) for value in values],
                color=COLOURS[index % len(COLOURS)],
                label=policy,
                linewidth=thickness(index, len(data.policies)),
            )
        ax.set_yscale("log")
        ax.yaxis.set_major_formatter(lambda value, _: f"{value:,g}")
        ax.set_ylabel("ms")
        ax.set_xticks([nines(each) for each in TICKS], [f"{each:g}" for each in TICKS])
        ax.set_xlabel("percentile")

    if not any(str(each.key) in data.histograms for each in data.results):
        return None
    return panels(data.scenarios, fill, sharey=True)


def nines(percentile: float) -> float:
    """Spread percentiles so that the rare ones can be told apart.

    >>> [round(nines(each), 2) for each in (50, 90, 99)]
    [0.0, 0.95, 2.0]
    """
    part = percentile / 100
    odds = part / (1 - part)
    return math.log10(odds)


def merge(data: PlotData, results: Sequence[Result]) -> HdrHistogram | None:
    """Add up the histograms of the seeds."""
    found = [
        data.histograms[str(each.key)]
        for each in results
        if str(each.key) in data.histograms
    ]
    if not found:
        return None
    merged = HdrHistogram(1, found[0].highest_trackable_value, 3)
    for each in found:
        merged.add(each)
    return merged
