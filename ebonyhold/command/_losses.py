"""The command that counts lost requests from log files."""

from __future__ import annotations

import math
from pathlib import Path
from typing import Annotated

import typer

from ebonyhold.command._app import app


@app.command()
def losses(
    files: Annotated[list[Path], typer.Argument(help="Logs of all routers.")],
    at: Annotated[
        float, typer.Option(help="Read the lines of this many seconds only.")
    ] = math.inf,
) -> None:
    """Tell from logs where requests and tokens were lost.

    Lost requests are counted by cause, route, workspace and time; tokens by workspace.
    """
    from ebonyhold.gateway import find_losses, report_losses

    lines = [
        line for file in files for line in file.read_text(errors="replace").splitlines()
    ]
    for line in report_losses(find_losses(lines, at)):
        typer.echo(line)
