"""Commands that run scenarios with several policies and compare the results."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TimeElapsedColumn

from ebonyhold.command._app import add_group
from ebonyhold.command._exits import ExitCode, error_console, reports_errors
from ebonyhold.command._options import Output, OutputForm
from ebonyhold.command._output import console, write_json, write_rows

if TYPE_CHECKING:
    from ebonyhold.experiments._results import Finished
    from ebonyhold.experiments._runs import Wish

DEFAULT_SEEDS = (1, 2, 3)

LIST_COLUMNS = {
    "name": "Scenario",
    "kind": "Kind",
    "deployment": "Deployment",
    "summary": "What happens",
    "policies": "Policies",
}

COMPARE_COLUMNS = {
    "scenario": "Scenario",
    "policy": "Policy",
    "figure": "Figure",
    "before": "First",
    "after": "Second",
    "difference": "Difference",
    "mark": "Beyond the spread",
}

group = typer.Typer(
    no_args_is_help=True, help="Compare policies on scenarios; needs no fleet."
)
add_group("experiment", group)

Names = Annotated[
    list[str], typer.Argument(help="Scenarios by name, or YAML files of your own.")
]
Policies = Annotated[
    list[str] | None, typer.Option("--policy", help="A policy; all by default.")
]
Seeds = Annotated[
    list[int] | None, typer.Option("--seed", help="A seed; 1, 2 and 3 by default.")
]
Out = Annotated[Path, typer.Option(help="The directory for the results.")]
Live = Annotated[
    bool,
    typer.Option("--live", help="Allow scenarios that start daemons on loopback."),
]
Folder = Annotated[Path, typer.Argument(help="A directory that `run` has written.")]

# Each command imports benches, HDR histograms and matplotlib only when it runs: they
# are slow to import, and `ebonyhold --help` must stay fast.


@group.command("list")
@reports_errors
def list_scenarios(output: Output = OutputForm.TABLE) -> None:
    """List the scenarios, and the policies that each can compare."""
    from ebonyhold.experiments._catalogue import catalogue, policies_of

    rows = [
        {
            "name": spec.name,
            "kind": spec.kind.value,
            "deployment": spec.deployment.value,
            "summary": spec.summary,
            "policies": list(policies_of(spec.kind)),
        }
        for spec in catalogue()
    ]
    write_rows(output, rows, rows, LIST_COLUMNS, "no scenario")


@group.command()
@reports_errors
def run(
    scenarios: Names,
    policy: Policies = None,
    seed: Seeds = None,
    out: Out = Path("results"),
    live: Live = False,
) -> None:
    """Run scenarios; the same seed gives the same bytes, but with --live."""
    from ebonyhold.experiments._catalogue import Kind, find_scenario
    from ebonyhold.experiments._results import write_results
    from ebonyhold.experiments._runs import make_wishes

    specs = [find_scenario(name) for name in dict.fromkeys(scenarios)]
    live_names = [spec.name for spec in specs if spec.kind is Kind.LIVE]
    if live_names and not live:
        error_console.print(f"error: {', '.join(live_names)}: add --live", markup=False)
        raise typer.Exit(ExitCode.USAGE)
    seeds = list(dict.fromkeys(seed or DEFAULT_SEEDS))
    wishes = make_wishes(specs, policy or [], seeds)
    make_folder(out)
    done: list[Finished] = []
    try:
        run_with_progress(wishes, done)
    finally:
        # If a run fails or is interrupted, the results of the finished runs are kept.
        write_results(out, done)
    console().print(f"{len(done)} runs are in {out}", markup=False)
    violations = [line for each in done for line in each.result.broken]
    for line in violations:
        error_console.print(f"broken promise: {line}", markup=False)
    if violations:
        raise typer.Exit(ExitCode.FAILED)


@group.command()
@reports_errors
def compare(first: Folder, second: Folder, output: Output = OutputForm.TABLE) -> None:
    """Show how the figures of two directories differ."""
    from ebonyhold.experiments._compare import compare_results, describe_difference
    from ebonyhold.experiments._results import read_results

    found = compare_results(read_results(first), read_results(second))
    rows = [describe_difference(each) for each in found]
    empty = "no difference, or no scenario and policy that both have"
    write_rows(output, rows, rows, COMPARE_COLUMNS, empty)


@group.command()
@reports_errors
def report(folder: Folder, output: Output = OutputForm.TABLE) -> None:
    """Write a page of HTML and its plots into the directory of the results."""
    try:
        from ebonyhold.experiments._report import write_report
    except ModuleNotFoundError as error:
        if (error.name or "").partition(".")[0] != "matplotlib":
            raise
        # Installations for daemons lack matplotlib: it is not in requirements/run.in.
        error_console.print("error: plots need matplotlib: pip install matplotlib")
        raise typer.Exit(ExitCode.FAILED) from error

    written = [str(path) for path in write_report(folder)]
    if output is OutputForm.JSON:
        write_json(written)
        return
    for path in written:
        console().print(path, markup=False)


def make_folder(out: Path) -> None:
    """Create the results' directory; if that fails, exit with a usage error."""
    try:
        out.mkdir(parents=True, exist_ok=True)
    except OSError as error:
        error_console.print(f"error: {out}: {error.strerror}", markup=False)
        raise typer.Exit(ExitCode.USAGE) from error


def run_with_progress(wishes: list[Wish], done: list[Finished]) -> None:
    """Run scenarios one after the other, with a progress bar on standard error.

    Args:
        wishes: The runs to do.
        done: Each finished run is appended here, so that none is lost on a failure.
    """
    from ebonyhold.experiments._runs import run_wish

    columns = (
        "[progress.description]{task.description}",
        BarColumn(),
        MofNCompleteColumn(),
        TimeElapsedColumn(),
    )
    with Progress(*columns, console=error_console) as progress:
        task = progress.add_task("", total=len(wishes))
        for wish in wishes:
            progress.update(task, description=str(wish.key))
            done.append(run_wish(wish))
            progress.advance(task)
