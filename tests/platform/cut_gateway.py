"""A gateway that can be cut off from others, with all gateways running this program.

Run as ``python -m tests.platform.cut_gateway VMS``, with the names of the VMs to cut
off, separated by commas.  From SIGUSR1 to SIGUSR2 no message passes between these and
the other ones.
"""

from __future__ import annotations

import os
import signal
import sys
from pathlib import Path
from typing import Any

import anyio

from ebonyhold.exceptions import BackendLostError
from ebonyhold.gateway.__main__ import main
from ebonyhold.gateway._transfers import CONNECT_TIMEOUT, GatewayPeers


def cut_off(vms: list[str]) -> None:
    """Let signals cut some VMs off from the others."""
    own = Path(os.environ["EBONYHOLD_NODE_FILE"]).stem
    is_cut = False
    send = GatewayPeers.send

    def switch(number: int, frame: object) -> None:
        nonlocal is_cut
        is_cut = number == signal.SIGUSR1

    async def send_if_open(self: GatewayPeers, peer: str, *message: Any) -> Any:
        if is_cut and (own in vms) != (peer in vms):
            await anyio.sleep(CONNECT_TIMEOUT)
            raise BackendLostError("cut off")
        return await send(self, peer, *message)

    signal.signal(signal.SIGUSR1, switch)
    signal.signal(signal.SIGUSR2, switch)
    GatewayPeers.send = send_if_open  # type: ignore[method-assign,assignment]


if __name__ == "__main__":
    cut_off(sys.argv[1].split(","))
    main()
