"""Command-line options that several commands have."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated, TypeAlias

import typer


class OutputForm(StrEnum):
    """Output formats of a command's result."""

    TABLE = "table"
    JSON = "json"


Server: TypeAlias = Annotated[
    str,
    typer.Option(
        envvar="EBONYHOLD_SERVER",
        help="Base URL of any router's operators' interface.",
    ),
]

Key: TypeAlias = Annotated[
    str,
    typer.Option(
        envvar="EBONYHOLD_KEY",
        help="Your operator's key; the environment variable keeps it out of ps.",
        show_default=False,
    ),
]

Output: TypeAlias = Annotated[
    OutputForm,
    typer.Option(help="A table for people, or JSON for programs."),
]

DEFAULT_SERVER = "http://127.0.0.1:7001"
