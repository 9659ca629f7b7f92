"""Commands that check, publish and show the fleet document."""

from __future__ import annotations

import time
from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated, Any

import attrs
import typer

from ebonyhold.command._app import app
from ebonyhold.command._exits import ExitCode, error_console, reports_errors
from ebonyhold.command._options import DEFAULT_SERVER, Key, Output, OutputForm, Server
from ebonyhold.command._output import console, render_time, write_json, write_rows
from ebonyhold.document import check_bytes, plain_to_yaml
from ebonyhold.document import schema as document_schema
from ebonyhold.operators import OperatorsClient

FINDING_COLUMNS = {
    "line": "Line",
    "column": "Column",
    "severity": "Severity",
    "code": "Code",
    "path": "Path",
    "message": "Message",
}

POLL_INTERVAL = 0.5
"""Seconds between two requests for the routers' versions."""

File = Annotated[Path, typer.Argument(help="The document, as YAML.")]
BasedOn = Annotated[
    int | None,
    typer.Option(
        help="The version your change is based on; by default the one in force."
    ),
]
Wait = Annotated[
    float,
    typer.Option(help="Wait up to so many seconds until each router has it."),
]


@app.command()
@reports_errors
def check(file: File, output: Output = OutputForm.TABLE) -> None:
    """Check a document and show all findings; needs no router."""
    result = check_bytes(read_file(file), datetime.now(UTC))
    rows = [
        attrs.asdict(each) | {"severity": each.severity.value}
        for each in result.findings
    ]
    usable = result.document is not None
    whole = {"usable": usable, "findings": rows}
    write_rows(output, whole, rows, FINDING_COLUMNS, f"{file}: no findings")
    if not usable:
        raise typer.Exit(ExitCode.FAILED)


@app.command()
def schema() -> None:
    """Print the JSON Schema of the document."""
    write_json(document_schema())


@app.command()
@reports_errors
def apply(
    file: File,
    based_on: BasedOn = None,
    wait: Wait = 0.0,
    server: Server = DEFAULT_SERVER,
    key: Key = "",
    output: Output = OutputForm.TABLE,
) -> None:
    """Put a document into force, if nobody else was faster."""
    body = read_file(file)
    with OperatorsClient(server, key) as client:
        query = {"based_on": str(base_version(client, based_on))}
        answer = client.call("PUT", "/v1/document", query=query, body=body)
        finish_change(client, answer, wait, output)


@app.command()
@reports_errors
def rollback(
    version: Annotated[int, typer.Argument(help="The version whose content returns.")],
    based_on: BasedOn = None,
    wait: Wait = 0.0,
    server: Server = DEFAULT_SERVER,
    key: Key = "",
    output: Output = OutputForm.TABLE,
) -> None:
    """Put an older version's content into force, as a new version."""
    with OperatorsClient(server, key) as client:
        base = base_version(client, based_on)
        query = {"version": str(version), "based_on": str(base)}
        answer = client.call("POST", "/v1/rollback", query=query)
        finish_change(client, answer, wait, output)


@app.command()
@reports_errors
def show(
    version: Annotated[
        int, typer.Option(help="A version; by default the one in force.")
    ] = 0,
    server: Server = DEFAULT_SERVER,
    key: Key = "",
    output: Output = OutputForm.TABLE,
) -> None:
    """Print the document in force, as YAML or JSON."""
    with OperatorsClient(server, key) as client:
        query = {"version": str(version)} if version else None
        answer = client.call("GET", "/v1/document", query=query)
    if output is OutputForm.JSON:
        write_json(answer)
        return
    text = plain_to_yaml(answer["document"])
    print(f"# version {answer['version']}\n{text}", end="")


@app.command()
@reports_errors
def history(
    limit: Annotated[int, typer.Option(help="How many versions.")] = 20,
    server: Server = DEFAULT_SERVER,
    key: Key = "",
    output: Output = OutputForm.TABLE,
) -> None:
    """List the newest versions."""
    with OperatorsClient(server, key) as client:
        answer = client.call("GET", "/v1/history", query={"limit": str(limit)})
    rows = [each | {"when": render_time(each["at"])} for each in answer["versions"]]
    columns = {"version": "Version", "when": "Accepted", "author": "Operator"}
    write_rows(output, answer, rows, columns, "no version yet")


def read_file(file: Path) -> bytes:
    """Return a file's bytes; if it cannot be read, exit with a usage error."""
    try:
        return file.read_bytes()
    except OSError as error:
        error_console.print(f"error: {file}: {error.strerror}", markup=False)
        raise typer.Exit(ExitCode.USAGE) from error


def base_version(client: OperatorsClient, based_on: int | None) -> int:
    """Return the version to base a change on: the given one or the one in force."""
    if based_on is not None:
        return based_on
    return int(client.call("GET", "/v1/status")["version"])


def finish_change(
    client: OperatorsClient, answer: dict[str, Any], wait: float, output: OutputForm
) -> None:
    """Print an accepted version; if `wait` is above 0, first wait for the routers.

    Exits with `ExitCode.FAILED` if a router lacks the version after `wait` seconds.
    """
    version = int(answer["version"])
    lacking: list[str] = []
    if wait > 0:
        lacking = wait_for_routers(client, version, wait)
    if output is OutputForm.JSON:
        write_json(answer | {"lacking": lacking})
    else:
        console().print(f"version {version} is accepted")
        for each in answer.get("findings", ()):
            console().print(f"  {each['path']}: {each['message']}", markup=False)
        for router in lacking:
            console().print(f"  not yet in force at {router}", markup=False)
    if lacking:
        raise typer.Exit(ExitCode.FAILED)


def wait_for_routers(client: OperatorsClient, version: int, wait: float) -> list[str]:
    """Poll the status until each router has a version or `wait` seconds have passed.

    Returns:
        The routers that still lack the version, as `describe_lacking` returns them.
    """
    deadline = time.monotonic() + wait
    while True:
        lacking = describe_lacking(client.call("GET", "/v1/status"), version)
        if not lacking or time.monotonic() >= deadline:
            return lacking
        time.sleep(POLL_INTERVAL)


def describe_lacking(status: dict[str, Any], version: int) -> list[str]:
    """Return a text for each router with an older version, unless its state is gone."""
    return [
        f"{each['router']} (has {each.get('version', 0)}, {each['state']})"
        for each in status["routers"]
        if each["state"] != "gone" and each.get("version", 0) < version
    ]
