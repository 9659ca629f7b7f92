"""Commands that put or delete one part of the document in force."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated
from urllib.parse import quote

import typer

from ebonyhold.command._app import add_group
from ebonyhold.command._document import BasedOn, Wait, finish_change, read_file
from ebonyhold.command._exits import reports_errors
from ebonyhold.command._options import DEFAULT_SERVER, Key, Output, OutputForm, Server
from ebonyhold.operators import OperatorsClient

parts = typer.Typer(no_args_is_help=True, help="Single parts of the document.")
add_group("part", parts)

Section = Annotated[
    str,
    typer.Argument(help="workspaces, models, services, backends or stops."),
]
Name = Annotated[str, typer.Argument(help="The part's name in that section.")]


@parts.command("put")
@reports_errors
def put_part(
    section: Section,
    name: Name,
    file: Annotated[Path, typer.Argument(help="The part, as YAML.")],
    based_on: BasedOn = None,
    wait: Wait = 0.0,
    server: Server = DEFAULT_SERVER,
    key: Key = "",
    output: Output = OutputForm.TABLE,
) -> None:
    """Add or replace one part; all else stays as it is in force."""
    body = read_file(file)
    with OperatorsClient(server, key) as client:
        path, query = part_path(section, name), base_query(based_on)
        answer = client.call("PUT", path, query=query, body=body)
        finish_change(client, answer, wait, output)


@parts.command("delete")
@reports_errors
def delete_part(
    section: Section,
    name: Name,
    based_on: BasedOn = None,
    wait: Wait = 0.0,
    server: Server = DEFAULT_SERVER,
    key: Key = "",
    output: Output = OutputForm.TABLE,
) -> None:
    """Remove one part; all else stays as it is in force."""
    with OperatorsClient(server, key) as client:
        path, query = part_path(section, name), base_query(based_on)
        answer = client.call("DELETE", path, query=query)
        finish_change(client, answer, wait, output)


def part_path(section: str, name: str) -> str:
    """Return the URL path of a part; slashes in its name stay."""
    return f"/v1/parts/{quote(section, safe='')}/{quote(name)}"


def base_query(based_on: int | None) -> dict[str, str] | None:
    """Return the query that names the base version, or None without one.

    Without a base version, the router retries the change a few times on the version
    in force if another operator publishes meanwhile.
    """
    return None if based_on is None else {"based_on": str(based_on)}
