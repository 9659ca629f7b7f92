"""Commands for budgets and bills."""

from __future__ import annotations

from typing import Annotated
from urllib.parse import quote
from uuid import uuid4

import typer

from ebonyhold.command._app import add_group
from ebonyhold.command._exits import ExitCode, error_console, reports_errors
from ebonyhold.command._options import DEFAULT_SERVER, Key, Output, OutputForm, Server
from ebonyhold.command._output import render_time, write_rows
from ebonyhold.operators import OperatorsClient
from ebonyhold.types import Json

BUDGET_COLUMNS = {
    "workspace": "Workspace",
    "prepaid": "Prepaid",
    "outstanding": "Granted",
    "spent": "Spent",
    "remaining": "Remaining",
}
BILL_COLUMNS = {
    "request": "Request",
    "state": "State",
    "kind": "Kind",
    "charge": "Charge",
    "prompt_tokens": "Prompt",
    "completion_tokens": "Answer",
    "backend": "Backend server",
    "when": "Filed",
}
DISCREPANCY_COLUMNS = {
    "workspace": "Workspace",
    "finding": "Finding",
    "expected": "Expected",
    "found": "Found",
}

budgets = typer.Typer(no_args_is_help=True, help="Prepaid token budgets.")
bills = typer.Typer(no_args_is_help=True, help="Bills.")
add_group("budget", budgets)
add_group("bill", bills)

Workspace = Annotated[str, typer.Argument(help="The workspace.")]
AnyWorkspace = Annotated[str, typer.Argument(help="A workspace; by default all.")]
Amount = Annotated[int, typer.Argument(help="How much, in tokens.", min=1)]
RepeatKey = Annotated[
    str,
    typer.Option(
        help="Makes it idempotent: after an unknown outcome, repeat the command"
        " with the key that it printed."
    ),
]


@budgets.command("show")
@reports_errors
def show_budgets(
    workspace: AnyWorkspace = "",
    server: Server = DEFAULT_SERVER,
    key: Key = "",
    output: Output = OutputForm.TABLE,
) -> None:
    """Show budgets as the table has them."""
    query = {"workspace": workspace} if workspace else None
    with OperatorsClient(server, key) as client:
        answer = client.call("GET", "/v1/budgets", query=query)
    write_rows(output, answer, answer["budgets"], BUDGET_COLUMNS, "no workspaces")


@budgets.command("top-up")
@reports_errors
def top_up(
    workspace: Workspace,
    amount: Amount,
    repeat_key: RepeatKey = "",
    server: Server = DEFAULT_SERVER,
    key: Key = "",
    output: Output = OutputForm.TABLE,
) -> None:
    """Add prepaid tokens."""
    value: Json = {"key": announce_key(repeat_key), "amount": amount}
    with OperatorsClient(server, key) as client:
        path = f"/v1/budgets/{quote(workspace, safe='')}/top-ups"
        answer = client.call("POST", path, value=value)
    write_rows(output, answer, [answer], BUDGET_COLUMNS, "")


@budgets.command("refund")
@reports_errors
def refund(
    workspace: Workspace,
    request: Annotated[str, typer.Argument(help="The billed request.")],
    amount: Amount,
    repeat_key: RepeatKey = "",
    server: Server = DEFAULT_SERVER,
    key: Key = "",
    output: Output = OutputForm.TABLE,
) -> None:
    """Give billed tokens back."""
    name = announce_key(repeat_key)
    value: Json = {"key": name, "request": request, "amount": amount}
    with OperatorsClient(server, key) as client:
        path = f"/v1/budgets/{quote(workspace, safe='')}/refunds"
        answer = client.call("POST", path, value=value)
    write_rows(output, answer, [answer], BUDGET_COLUMNS, "")


@bills.command("list")
@reports_errors
def list_bills(
    workspace: Workspace,
    limit: Annotated[int, typer.Option(help="How many.")] = 100,
    after: Annotated[str, typer.Option(help="Begin behind this request.")] = "",
    server: Server = DEFAULT_SERVER,
    key: Key = "",
    output: Output = OutputForm.TABLE,
) -> None:
    """List a workspace's bills."""
    query = {"workspace": workspace, "limit": str(limit), "after": after}
    with OperatorsClient(server, key) as client:
        answer = client.call("GET", "/v1/bills", query=query)
    rows = [each | {"when": render_time(each["filed_at"])} for each in answer["bills"]]
    write_rows(output, answer, rows, BILL_COLUMNS, "no bills")


@bills.command("verify")
@reports_errors
def verify_bills(
    workspace: AnyWorkspace = "",
    server: Server = DEFAULT_SERVER,
    key: Key = "",
    output: Output = OutputForm.TABLE,
) -> None:
    """Check that bills, budgets and grants add up."""
    query = {"workspace": workspace} if workspace else None
    with OperatorsClient(server, key) as client:
        answer = client.call("GET", "/v1/bills/verify", query=query)
    found = answer["discrepancies"]
    empty = f"bills, grants and budgets of {answer['workspaces']} workspaces add up"
    write_rows(output, answer, found, DISCREPANCY_COLUMNS, empty)
    if found:
        raise typer.Exit(ExitCode.FAILED)


def announce_key(repeat_key: str) -> str:
    """Return the given repeat key, or print and return a new one.

    An answer can be lost after the tokens were added. The operator then needs the
    same key to repeat the command, so a new key is printed before the call.
    """
    name = repeat_key or uuid4().hex
    if not repeat_key:
        error_console.print(f"to repeat this change safely: --repeat-key {name}")
    return name
