"""The command that tells from logs what became of a request."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from ebonyhold.command._app import app

EXIT_UNKNOWN = 1


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
    story = explain_request(request, lines)
    if not story:
        typer.echo(f"no line names the request {request}", err=True)
        raise typer.Exit(EXIT_UNKNOWN)
    for line in story:
        typer.echo(line)
