"""Commands to settle runs and bills whose outcome recovery could not find out."""

from __future__ import annotations

from typing import Annotated
from urllib.parse import quote

import typer

from ebonyhold.command._app import add_group
from ebonyhold.command._exits import reports_errors
from ebonyhold.command._money import Workspace, bills
from ebonyhold.command._options import DEFAULT_SERVER, Key, Output, OutputForm, Server
from ebonyhold.command._output import write_rows
from ebonyhold.operators import OperatorsClient
from ebonyhold.types import Json

RUN_COLUMNS = {
    "router": "Router",
    "workspace": "Workspace",
    "request": "Request",
    "attempt": "Attempt",
    "backend": "Backend server",
    "hold": "Hold",
}
SETTLED_COLUMNS = {"attempt": "Attempt", "charge": "Charge"}
RULED_COLUMNS = {"request": "Request", "ran": "Ran"}

recoveries = typer.Typer(
    no_args_is_help=True, help="Runs of dead routers that nobody can tell about."
)
add_group("recovery", recoveries)


@recoveries.command("list")
@reports_errors
def list_runs(
    server: Server = DEFAULT_SERVER,
    key: Key = "",
    output: Output = OutputForm.TABLE,
) -> None:
    """Try all sealed routers again, and list what still waits."""
    with OperatorsClient(server, key) as client:
        answer = client.call("GET", "/v1/recoveries")
    write_rows(output, answer, answer["runs"], RUN_COLUMNS, "nothing waits")


@recoveries.command("settle")
@reports_errors
def settle(
    router: Annotated[str, typer.Argument(help="The sealed incarnation.")],
    attempt: Annotated[str, typer.Argument(help="The run's attempt.")],
    charge: Annotated[
        int | None, typer.Option(help="What it cost, in tokens.", min=0)
    ] = None,
    not_run: Annotated[
        bool, typer.Option("--not-run", help="It certainly did not run.")
    ] = False,
    server: Server = DEFAULT_SERVER,
    key: Key = "",
    output: Output = OutputForm.TABLE,
) -> None:
    """Settle a run on your word: what it cost, or that it did not run."""
    if (charge is None) is not not_run:
        raise typer.BadParameter("give either --charge or --not-run")
    path = f"/v1/recoveries/{quote(router, safe='')}/{quote(attempt, safe='')}"
    value: Json = {"charge": charge}
    with OperatorsClient(server, key) as client:
        answer = client.call("POST", path, value=value)
    write_rows(output, answer, [answer], SETTLED_COLUMNS, "")


@bills.command("rule")
@reports_errors
def rule(
    workspace: Workspace,
    request: Annotated[str, typer.Argument(help="A bill of unknown outcome.")],
    ran: Annotated[
        bool, typer.Option("--ran/--not-run", help="Whether the request ran.")
    ],
    server: Server = DEFAULT_SERVER,
    key: Key = "",
    output: Output = OutputForm.TABLE,
) -> None:
    """Settle a bill of unknown outcome on your word; not run gives it back."""
    path = f"/v1/bills/{quote(workspace, safe='')}/{quote(request, safe='')}/ruling"
    with OperatorsClient(server, key) as client:
        answer = client.call("POST", path, value={"ran": ran})
    write_rows(output, answer, [answer], RULED_COLUMNS, "")
