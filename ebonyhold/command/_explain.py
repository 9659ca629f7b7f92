"""The command that shows from log files how a request was handled."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from ebonyhold.command._app import app

EXIT_NOT_FOUND = 1
"""Exit code if no log line names the request."""


@app.command()
def explain(
    request: Annotated[str, typer.Argument(help="The request's identifier.")],
    files: Annotated[list[Path], typer.Argument(help="Logs of one or more routers.")],
) -> None:
    """Tell from logs what became of a request, and what the router believed."""
    from ebonyhold.gateway import explain as explain_request

    lines = [
        line for file in files for line in file.read_text(errors="replace").splitlines()
    ]
    explanation = explain_request(request, lines)
    if not explanation:
        typer.echo(f"no line names the request {request}", err=True)
        raise typer.Exit(EXIT_NOT_FOUND)
    for line in explanation:
        typer.echo(line)
