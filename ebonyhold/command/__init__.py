"""The command-line tool ``ebonyhold``.

Other packages can add their own commands with `add_group`.
"""

from ebonyhold.command import _document as _document
from ebonyhold.command import _experiment as _experiment
from ebonyhold.command import _explain as _explain
from ebonyhold.command import _fleet as _fleet
from ebonyhold.command import _losses as _losses
from ebonyhold.command import _money as _money
from ebonyhold.command import _parts as _parts
from ebonyhold.command import _recovery as _recovery
from ebonyhold.command._app import add_group, app
from ebonyhold.command._exits import ExitCode

__all__ = ["ExitCode", "add_group", "app", "main"]


def main() -> None:
    """Run the command-line tool."""
    app()
