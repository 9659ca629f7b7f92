"""Writing results as tables or as JSON."""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from datetime import UTC, datetime
from typing import Any

from rich.console import Console
from rich.table import Table

from ebonyhold.command._options import OutputForm

NARROWEST = 132
"""Columns of a table that does not go to a terminal."""


def console() -> Console:
    """Return the console for results."""
    found = Console(highlight=False)
    if not found.is_terminal:
        found.width = max(found.width, NARROWEST)
    return found


def write_json(value: Any) -> None:
    """Write a value as JSON."""
    print(json.dumps(value, indent=2))


def write_rows(
    form: OutputForm,
    whole: Any,
    rows: Sequence[Mapping[str, Any]],
    columns: Mapping[str, str],
    empty: str,
) -> None:
    """Write a result.

    Args:
        form: A table or JSON.
        whole: What JSON shows.
        rows: What the table shows.
        columns: The table's columns: the key in a row, then the heading.
        empty: What to write in place of a table without rows.
    """
    if form is OutputForm.JSON:
        write_json(whole)
        return
    if not rows:
        console().print(empty, markup=False)
        return
    table = Table()
    for heading in columns.values():
        table.add_column(heading, overflow="fold")
    for row in rows:
        table.add_row(*(render_cell(row.get(key, "")) for key in columns))
    console().print(table)


def render_cell(value: Any) -> str:
    """Write one value of a table."""
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, int):
        return f"{value:,}"
    if isinstance(value, float):
        return f"{value:.1f}"
    if isinstance(value, list | tuple):
        return ", ".join(str(each) for each in value)
    return str(value).replace("[", r"\[")


def render_time(seconds: float) -> str:
    """Write a point in time, or a dash for none."""
    if not seconds:
        return "-"
    return datetime.fromtimestamp(seconds, UTC).strftime("%Y-%m-%d %H:%M:%S UTC")
