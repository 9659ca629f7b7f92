"""The root application of the command-line tool; other modules add commands."""

from __future__ import annotations

from typing import Annotated

import typer

from ebonyhold.version import __version__

EPILOG = (
    "Exit codes: 0 done; 1 findings or failure; 2 usage; 3 another operator was"
    " faster; 4 unreachable, nothing happened; 5 the outcome is unknown."
)

app = typer.Typer(
    name="ebonyhold",
    no_args_is_help=True,
    epilog=EPILOG,
    pretty_exceptions_enable=False,
    add_completion=True,
)


def add_group(name: str, group: typer.Typer) -> None:
    """Add a group of commands, called as ``ebonyhold NAME COMMAND``."""
    app.add_typer(group, name=name)


def show_version(wanted: bool) -> None:
    """Print the version and exit, if the option is given."""
    if wanted:
        typer.echo(__version__)
        raise typer.Exit


@app.callback()
def root(
    version: Annotated[
        bool,
        typer.Option(
            "--version", callback=show_version, is_eager=True, help="Show the version."
        ),
    ] = False,
) -> None:
    """Drive a fleet of ebonyhold routers."""
