"""The daemon ``ebonyholdd``, which runs one router per process."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated

import anyio
import typer

from ebonyhold.daemon._daemon import Daemon
from ebonyhold.daemon._servers import check_listener
from ebonyhold.exceptions import SettingsError
from ebonyhold.logs import configure_logs
from ebonyhold.settings import load_settings
from ebonyhold.tracing import configure_tracing
from ebonyhold.version import __version__

__all__ = ["Daemon", "main", "serve"]

EXIT_SETTINGS = 2
EXIT_FAILED = 1


def serve(
    config: Annotated[Path, typer.Option(help="The daemon's settings file.")],
) -> None:
    """Run one ebonyhold router until a signal stops it."""
    try:
        settings = load_settings(config)
        check_listener("callers", settings.callers)
        check_listener("operators", settings.operators)
        daemon = Daemon(settings)
        router = daemon.network.membership.own_update.router
        configure_logs(settings.log_level, router)
        provider = configure_tracing(settings.tracing, router)
    except SettingsError as error:
        typer.echo(f"ebonyholdd {__version__}: {error.code}: {error}", err=True)
        sys.exit(EXIT_SETTINGS)
    anyio.run(daemon.run)
    if provider is not None:
        provider.shutdown()
    if daemon.background.failure is not None:
        # The error is already logged. Printing a traceback here would delay the
        # exit by most of a second, with the listeners already closed.
        sys.exit(EXIT_FAILED)


def main() -> None:
    """Parse the command line and run the daemon."""
    typer.run(serve)
