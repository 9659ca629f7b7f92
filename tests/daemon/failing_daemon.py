"""The daemon with a part that fails as soon as SIGUSR1 comes."""

from __future__ import annotations

import signal

import anyio

from ebonyhold.daemon import main
from ebonyhold.money import Upkeep


async def fail(self: Upkeep) -> None:
    """Fail at the signal, in the place of the part's own work."""
    with anyio.open_signal_receiver(signal.SIGUSR1) as signals:
        async for number in signals:
            raise RuntimeError(f"a fault was asked for by {number.name}")


if __name__ == "__main__":
    Upkeep.run = fail  # type: ignore[method-assign]
    main()
