"""One page of HTML that shows the results of a directory."""

from __future__ import annotations

import base64
from collections.abc import Iterable, Iterator, Sequence
from html import escape
from pathlib import Path

from ebonyhold.experiments._catalogue import Kind
from ebonyhold.experiments._compare import Spread, spread_of
from ebonyhold.experiments._measures import MEASURES
from ebonyhold.experiments._panels import PlotData
from ebonyhold.experiments._plots import Plot, draw_all
from ebonyhold.experiments._results import (
    Result,
    group_results,
    read_histograms,
    read_results,
)

PAGE = "report.html"

TITLES = {
    Kind.MONEY: "Grant policies",
    Kind.CHOICE: "Choice policies",
    Kind.LIVE: "Live trials",
}

COLUMNS = {
    Kind.MONEY: (
        "requests", "refused", "false_refusals", "false_tokens", "overspend",
        "stranded", "idle", "added_p50", "added_p95", "writes", "discrepancies",
    ),
    Kind.CHOICE: (
        "offered", "goodput", "refused", "first_p50", "first_p95", "first_p99",
        "gap_p95", "reuse", "imbalance", "resumed", "cut", "late_work", "emptied",
    ),
    Kind.LIVE: ("tries", "whole", "not_run", "other_refusals", "cut",
                "promises_broken"),
}  # fmt: skip
"""The figures in the table of each kind."""

STYLE = """
body { font: 15px/1.5 system-ui, sans-serif; color: #222; max-width: 76rem;
  margin: 2rem auto; padding: 0 1rem; }
h1 { margin-bottom: 0; } h2 { margin-top: 2.5rem; border-bottom: 2px solid #0072B2; }
p.note { color: #555; max-width: 50rem; }
p.good, p.bad { padding: .6rem 1rem; border-left: 5px solid #009E73;
  background: #eef8f4; }
p.bad { border-color: #D55E00; background: #fdf1ea; }
img { max-width: 100%; height: auto; }
div.wide { overflow-x: auto; }
table { border-collapse: collapse; font-size: 13px; }
th, td { padding: .25rem .6rem; text-align: right; white-space: nowrap; }
th { background: #f2f5f8; vertical-align: bottom; white-space: normal; }
th:first-child, td:first-child, th.name, td.name { text-align: left; }
tr.first td { border-top: 1px solid #bbb; }
td.best { font-weight: 600; color: #00694c; }
span.dev { color: #888; font-size: 11px; }
"""


def write_report(folder: Path) -> list[Path]:
    """Write the page and its plots.

    Returns:
        The files that were written.

    Raises:
        ResultsError: The directory holds no usable results.
    """
    results = read_results(folder)
    data = PlotData(results, read_histograms(folder))
    plots = draw_all(data, folder)
    page = folder / PAGE
    page.write_text("\n".join(render_page(data, plots)) + "\n", encoding="utf-8")
    return [page, *(path for _, path in plots)]


def render_page(data: PlotData, plots: Sequence[tuple[Plot, Path]]) -> Iterator[str]:
    """Give the lines of the page."""
    seeds = sorted({each.key.seed for each in data.results})
    yield '<!DOCTYPE html><html lang="en"><head><meta charset="utf-8">'
    yield f"<title>ebonyhold experiment</title><style>{STYLE}</style></head><body>"
    yield "<h1>ebonyhold experiment</h1>"
    yield (
        f'<p class="note">{len(data.results)} runs of {len(data.scenarios)} scenarios;'
        f" seeds {', '.join(map(str, seeds))}. Figures are means over the seeds, ±"
        " their standard deviation; the best of a scenario is green where the seeds"
        " allow to tell.</p>"
    )
    for kind in Kind:
        part = data.of_kind(kind)
        if part.results:
            yield from render_kind(kind, part, plots)
    yield "</body></html>"


def render_kind(
    kind: Kind, data: PlotData, plots: Sequence[tuple[Plot, Path]]
) -> Iterator[str]:
    """Give the lines of one kind of scenario."""
    yield f"<h2>{TITLES[kind]}</h2>"
    yield from render_verdict(kind, data.results)
    for each, path in plots:
        if each.kind is kind:
            yield f"<h3>{escape(each.title)}</h3>"
            yield f'<p class="note">{escape(each.note)}</p>'
            yield f'<img alt="{escape(each.title)}" src="{inline(path)}">'
    yield "<h3>All figures</h3>"
    yield from render_table(kind, data)


def inline(path: Path) -> str:
    """Return a PNG as a data URL."""
    return "data:image/png;base64," + base64.b64encode(path.read_bytes()).decode()


def render_verdict(kind: Kind, results: Sequence[Result]) -> Iterator[str]:
    """Say whether a promise was broken."""
    if kind is Kind.MONEY:
        over = [each for each in results if each.value("overspend")]
        wrong = [each for each in results if each.value("discrepancies")]
        yield verdict(over, "No workspace overspent in any run", "Overspend")
        yield verdict(wrong, "All rows add up in every run", "Rows do not add up")
    if kind is Kind.LIVE:
        broken = [each for each in results if each.broken]
        yield verdict(broken, "The checker found no broken promise", "Broken promises")
        for line in (line for each in broken for line in each.broken):
            yield f"<p>{escape(line)}</p>"


def verdict(bad: Sequence[Result], good_words: str, bad_words: str) -> str:
    """Return one line of praise or blame."""
    if not bad:
        return f'<p class="good">{good_words}.</p>'
    names = ", ".join(str(each.key) for each in bad)
    return f'<p class="bad">{bad_words} in {len(bad)} runs: {escape(names)}.</p>'


def render_table(kind: Kind, data: PlotData) -> Iterator[str]:
    """Give the lines of the table of all figures."""
    columns = COLUMNS[kind]
    groups = group_results(data.results)
    heads = "".join(f"<th>{escape(MEASURES[name].heading)}</th>" for name in columns)
    yield '<div class="wide"><table><tr><th>Scenario</th><th class="name">Policy</th>'
    yield f"{heads}</tr>"
    for scenario in data.scenarios:
        policies = [name for name in data.policies if (scenario, name) in groups]
        rows = {name: row_of(groups[scenario, name], columns) for name in policies}
        for index, policy in enumerate(policies):
            first = ' class="first"' if index == 0 else ""
            shown = escape(scenario) if index == 0 else ""
            yield f'<tr{first}><td>{shown}</td><td class="name">{escape(policy)}</td>'
            for place, name in enumerate(columns):
                column = [rows[each][place] for each in policies]
                yield render_cell(name, rows[policy][place], column)
            yield "</tr>"
    yield "</table></div>"


def row_of(results: Iterable[Result], columns: Sequence[str]) -> list[Spread | None]:
    """Return a row of the table."""
    runs = list(results)
    return [spread_of(runs, name) for name in columns]


def render_cell(name: str, spread: Spread | None, column: list[Spread | None]) -> str:
    """Return a cell of the table; the best of its scenario is marked."""
    if spread is None:
        return "<td></td>"
    measure = MEASURES[name]
    best = ' class="best"' if is_best(name, spread, column) else ""
    deviation = ""
    if spread.deviation:
        amount = measure.number(spread.deviation)
        deviation = f' <span class="dev">±{amount}</span>'
    return f"<td{best}>{measure.number(spread.mean)}{deviation}</td>"


def is_best(name: str, spread: Spread, column: list[Spread | None]) -> bool:
    """Whether a figure is the best, and another is worse by more than the spread."""
    less_is_better = MEASURES[name].less_is_better
    known = [each for each in column if each is not None]
    if less_is_better is None or len(known) == 1:
        return False
    sign = 1 if less_is_better else -1
    if sign * spread.mean > min(sign * each.mean for each in known):
        return False
    return any(
        abs(each.mean - spread.mean) > max(each.deviation, spread.deviation)
        for each in known
    )
