"""Exit codes and error output of the command-line tool."""

from __future__ import annotations

import functools
from collections.abc import Callable
from enum import IntEnum
from typing import ParamSpec, TypeVar

import typer
from rich.console import Console

from ebonyhold.exceptions import EbonyholdError
from ebonyhold.operators import RemoteError, UnansweredError, UnreachableError

Parameters = ParamSpec("Parameters")
Result = TypeVar("Result")

error_console = Console(stderr=True, highlight=False, soft_wrap=True)


class ExitCode(IntEnum):
    """Exit codes of the commands; their meanings are in `_app.EPILOG`."""

    OK = 0
    FAILED = 1
    USAGE = 2
    LOST_RACE = 3
    UNREACHABLE = 4
    UNKNOWN_OUTCOME = 5


REMOTE_EXITS = {
    "lost_race": ExitCode.LOST_RACE,
    "platform_unavailable": ExitCode.UNREACHABLE,
    "platform_throttled": ExitCode.UNREACHABLE,
    "platform_outcome_unknown": ExitCode.UNKNOWN_OUTCOME,
}
"""Exit codes by the router's error code; `ExitCode.FAILED` for codes not listed."""


def exit_code_of(error: EbonyholdError) -> ExitCode:
    """Return the exit code for an error, `ExitCode.FAILED` by default."""
    if isinstance(error, UnreachableError):
        return ExitCode.UNREACHABLE
    if isinstance(error, UnansweredError):
        return ExitCode.UNKNOWN_OUTCOME
    if isinstance(error, RemoteError):
        return REMOTE_EXITS.get(error.remote_code, ExitCode.FAILED)
    return ExitCode.FAILED


def print_error(error: EbonyholdError) -> None:
    """Print an error to standard error, with the changes and findings in its detail."""
    code = error.remote_code if isinstance(error, RemoteError) else error.code
    error_console.print(f"error: {error} [{code}]", markup=False)
    detail = error.detail if isinstance(error, RemoteError) else {}
    for path in detail.get("changed", ()):
        error_console.print(f"  changed meanwhile: {path}", markup=False)
    for each in detail.get("findings", ()):
        line = "  {line}:{column} {path}: {message} [{code}]".format(**each)
        error_console.print(line, markup=False)


def reports_errors(
    command: Callable[Parameters, Result],
) -> Callable[Parameters, Result]:
    """Decorate a command to print an `EbonyholdError` and exit with its exit code."""

    @functools.wraps(command)
    def wrapped(*args: Parameters.args, **kwargs: Parameters.kwargs) -> Result:
        try:
            return command(*args, **kwargs)
        except EbonyholdError as error:
            print_error(error)
            raise typer.Exit(exit_code_of(error)) from error

    return wrapped
