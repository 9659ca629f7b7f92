"""Exit codes, and errors as the command line shows them."""

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

errors = Console(stderr=True, highlight=False, soft_wrap=True)


class ExitCode(IntEnum):
    """What the command's exit code tells a script."""

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
"""The exit codes of refusals; any other is `ExitCode.FAILED`."""


def exit_code_of(error: EbonyholdError) -> ExitCode:
    """Return the exit code of an error."""
    if isinstance(error, UnreachableError):
        return ExitCode.UNREACHABLE
    if isinstance(error, UnansweredError):
        return ExitCode.UNKNOWN_OUTCOME
    if isinstance(error, RemoteError):
        return REMOTE_EXITS.get(error.remote_code, ExitCode.FAILED)
    return ExitCode.FAILED


def explain(error: EbonyholdError) -> None:
    """Write an error and what it tells beyond its message."""
    code = error.remote_code if isinstance(error, RemoteError) else error.code
    errors.print(f"error: {error} [{code}]", markup=False)
    detail = error.detail if isinstance(error, RemoteError) else {}
    for path in detail.get("changed", ()):
        errors.print(f"  changed meanwhile: {path}", markup=False)
    for each in detail.get("findings", ()):
        line = "  {line}:{column} {path}: {message} [{code}]".format(**each)
        errors.print(line, markup=False)


def reports_errors(
    command: Callable[Parameters, Result],
) -> Callable[Parameters, Result]:
    """Make a command explain its errors and exit with their code."""

    @functools.wraps(command)
    def wrapped(*args: Parameters.args, **kwargs: Parameters.kwargs) -> Result:
        try:
            return command(*args, **kwargs)
        except EbonyholdError as error:
            explain(error)
            raise typer.Exit(exit_code_of(error)) from error

    return wrapped
