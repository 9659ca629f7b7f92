"""Commands for the fleet's status and for planned stops."""

from __future__ import annotations

from typing import Annotated, Any
from urllib.parse import quote

import typer

from ebonyhold.command._app import add_group, app
from ebonyhold.command._exits import reports_errors
from ebonyhold.command._options import DEFAULT_SERVER, Key, Output, OutputForm, Server
from ebonyhold.command._output import console, write_json, write_rows
from ebonyhold.operators import OperatorsClient

ROUTER_COLUMNS = {
    "router": "Router",
    "domain": "Domain",
    "state": "State",
    "version": "Version",
    "confirmed": "Confirmed",
    "in_flight": "In flight",
    "held": "Grants held",
    "stranded": "Stranded",
}
BACKEND_COLUMNS = {
    "backend": "Backend server",
    "domain": "Domain",
    "state": "State",
    "in_flight": "In flight",
    "held_by": "Held by",
}
STOP_COLUMNS = {
    "name": "Stop",
    "target": "Of",
    "starts": "Starts",
    "ends": "Ends",
    "empty": "Empty",
}

stops = typer.Typer(no_args_is_help=True, help="Planned stops.")
add_group("stop", stops)

Name = Annotated[str, typer.Argument(help="The stop's name.")]


@app.command()
@reports_errors
def status(
    server: Server = DEFAULT_SERVER, key: Key = "", output: Output = OutputForm.TABLE
) -> None:
    """Show each router and backend server."""
    with OperatorsClient(server, key) as client:
        answer = client.call("GET", "/v1/status")
    if output is OutputForm.JSON:
        write_json(answer)
        return
    stale_note = ", not confirmed for too long" if answer["stale"] else ""
    console().print(f"configuration version {answer['version']}{stale_note}")
    routers = [router_row(each) for each in answer["routers"]]
    write_rows(output, None, routers, ROUTER_COLUMNS, "no routers known")
    backends = [{"in_flight": 0} | each for each in answer["backends"]]
    write_rows(output, None, backends, BACKEND_COLUMNS, "no backend servers known")


def router_row(router: dict[str, Any]) -> dict[str, Any]:
    """Return a router's table row.

    It has the sum of the tokens in its grants and the age of its last confirmation.
    """
    grants = router.get("grants", ())
    held = sum(each["available"] + each.get("held", 0) for each in grants)
    age = router.get("confirmed_age", -1.0)
    numbers = {"in_flight": 0, "stranded": 0} | router
    confirmed = f"{age:.0f}s ago" if age >= 0 else "never"
    return numbers | {"held": held, "confirmed": confirmed}


@stops.command("plan")
@reports_errors
def plan_stop(
    name: Name,
    starts: Annotated[str, typer.Option(help="When, as ISO 8601 with a time zone.")],
    ends: Annotated[str, typer.Option(help="Until when, likewise.")],
    backend: Annotated[str, typer.Option(help="The backend server.")] = "",
    domain: Annotated[str, typer.Option(help="Or the failure domain.")] = "",
    server: Server = DEFAULT_SERVER,
    key: Key = "",
    output: Output = OutputForm.TABLE,
) -> None:
    """Plan a stop, or move the one of that name."""
    value = {"starts": starts, "ends": ends, "backend": backend, "domain": domain}
    with OperatorsClient(server, key) as client:
        answer = client.call("PUT", f"/v1/stops/{quote(name, safe='')}", value=value)
    show_stop_change(answer, f"stop {name} is planned", output)


@stops.command("cancel")
@reports_errors
def cancel_stop(
    name: Name,
    server: Server = DEFAULT_SERVER,
    key: Key = "",
    output: Output = OutputForm.TABLE,
) -> None:
    """Cancel a planned stop."""
    with OperatorsClient(server, key) as client:
        answer = client.call("DELETE", f"/v1/stops/{quote(name, safe='')}")
    show_stop_change(answer, f"stop {name} is cancelled", output)


@stops.command("list")
@reports_errors
def list_stops(
    server: Server = DEFAULT_SERVER, key: Key = "", output: Output = OutputForm.TABLE
) -> None:
    """List planned stops, and what still holds the servers."""
    with OperatorsClient(server, key) as client:
        answer = client.call("GET", "/v1/stops")
    rows = [stop_row(each, answer["backends"]) for each in answer["stops"]]
    write_rows(output, answer, rows, STOP_COLUMNS, "no planned stops")


def stop_row(stop: dict[str, Any], backends: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a stop's table row, with the requests in flight at its servers."""
    backend, domain = stop.get("backend", ""), stop.get("domain", "")
    affected = [
        each
        for each in backends
        if each["backend"] == backend or (domain and each["domain"] == domain)
    ]
    in_flight = sum(each.get("in_flight", 0) for each in affected)
    routers = sorted({name for each in affected for name in each.get("held_by", ())})
    empty = f"{in_flight} in flight at {', '.join(routers)}" if in_flight else "yes"
    return stop | {"target": backend or f"domain {domain}", "empty": empty}


def show_stop_change(answer: dict[str, Any], done: str, output: OutputForm) -> None:
    """Print that a stop was changed, and the findings of the document's check."""
    if output is OutputForm.JSON:
        write_json(answer)
        return
    console().print(f"{done}, version {answer['version']}", markup=False)
    for each in answer["findings"]:
        console().print(f"  {each['path']}: {each['message']}", markup=False)
