"""The command that counts lost requests from log files."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from ebonyhold.command._app import app


@app.command()
def losses(
    files: Annotated[list[Path], typer.Argument(help="Logs of all routers.")],
) -> None:
    """Tell from logs where requests were lost: by cause, route, workspace and time."""
    from ebonyhold.gateway import find_losses, report_losses

    lines = [
        line for file in files for line in file.read_text(errors="replace").splitlines()
    ]
    for line in report_losses(find_losses(lines)):
        typer.echo(line)
