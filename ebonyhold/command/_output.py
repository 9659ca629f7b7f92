"""Output of results as tables or as JSON."""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from datetime import UTC, datetime
from typing import Any

from rich.console import Console
from rich.table import Table

from ebonyhold.command._options import OutputForm

MIN_WIDTH = 132
"""Minimum width in characters of output that does not go to a terminal."""


def console() -> Console:
    """Return a console for standard output.

    It is at least `MIN_WIDTH` wide if standard output is not a terminal.
    """
    output = Console(highlight=False)
    if not output.is_terminal:
        output.width = max(output.width, MIN_WIDTH)
    return output


def write_json(value: Any) -> None:
    """Print a value as indented JSON."""
    print(json.dumps(value, indent=2))


def write_rows(
    form: OutputForm,
    whole: Any,
    rows: Sequence[Mapping[str, Any]],
    columns: Mapping[str, str],
    empty: str,
) -> None:
    """Print a result as a table or as JSON.

    Args:
        form: The output format.
        whole: The value that is printed as JSON.
        rows: The rows of the table; a missing value leaves the cell empty.
        columns: The table's columns: the key of their values in the rows, and their
            headings.
        empty: The text that is printed instead of a table without rows.
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
    """Return the text of a table cell."""
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
    """Return a time in seconds since the epoch as UTC text, or a dash for 0."""
    if not seconds:
        return "-"
    return datetime.fromtimestamp(seconds, UTC).strftime("%Y-%m-%d %H:%M:%S UTC")
