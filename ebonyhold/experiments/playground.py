"""A fleet on loopback to try the command-line tool on, until it is interrupted."""

from __future__ import annotations

import signal
import sys
from pathlib import Path

import anyio
from rich.console import Console

from ebonyhold.document import load_document
from ebonyhold.experiments._callers import KEY_PREFIX
from ebonyhold.experiments._local_fleet import OPERATOR_KEY, LocalFleet, local_fleet

EXAMPLE = Path(__file__).parents[2] / "examples" / "lenha-serrana.yaml"
ROUTERS = 3


def instructions(fleet: LocalFleet) -> str:
    """Return what to type in another terminal."""
    router = fleet.routers[0]
    workspace = fleet.document.workspaces[0].name
    return "\n".join(
        (
            f"export EBONYHOLD_SERVER={router.operators_url}",
            f"export EBONYHOLD_KEY={OPERATOR_KEY}",
            f"export CALLERS={router.url}",
            f"export CALLER_KEY={KEY_PREFIX}{workspace}",
        )
    )


async def run(console: Console) -> None:
    """Run three routers and their stand-ins until interrupted."""
    async with local_fleet(load_document(EXAMPLE), ROUTERS) as fleet:
        console.print("In another terminal, with the virtual environment active:\n")
        console.print(instructions(fleet), markup=False, soft_wrap=True)
        console.print("\nStop with Ctrl-C.")
        await anyio.sleep_forever()


def main() -> int:
    """Run the playground."""
    # Without this the processes that it started would outlive it.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    try:
        anyio.run(run, Console())
    except KeyboardInterrupt:
        return 0
    return 0


if __name__ == "__main__":
    sys.exit(main())
