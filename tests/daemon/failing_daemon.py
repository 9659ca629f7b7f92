"""A daemon whose upkeep task fails when SIGUSR1 arrives."""

from __future__ import annotations

import signal

import anyio

from ebonyhold.daemon import main
from ebonyhold.money import Upkeep


async def fail(self: Upkeep) -> None:
    """Wait for SIGUSR1 instead of doing the upkeep, then raise an error."""
    with anyio.open_signal_receiver(signal.SIGUSR1) as signals:
        async for number in signals:
            raise RuntimeError(f"the test requested a fault by {number.name}")


if __name__ == "__main__":
    Upkeep.run = fail  # type: ignore[method-assign]
    main()
