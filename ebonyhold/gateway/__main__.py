"""Entry point of ``python -m ebonyhold.gateway``."""

from __future__ import annotations

import logging
import os
import sys
import time

# The time is read before the imports, which take most of the startup. The previous
# process on this VM has ended by now, so the time from here on is not counted as its
# running time.
BEGAN_AT = time.monotonic()

import anyio  # noqa: E402

from ebonyhold.exceptions import SettingsError  # noqa: E402
from ebonyhold.gateway import (  # noqa: E402
    STANDARD_OUTPUT,
    Gateway,
    block_signals,
    configure_output,
)
from ebonyhold.platform import platform_adapter  # noqa: E402

EXIT_SETTINGS = 2


def main() -> None:
    """Run one gateway and exit with its status, or with 2 for invalid settings."""
    block_signals()
    try:
        peers = platform_adapter()
    except SettingsError as error:
        sys.stderr.write(f"{error.code}: {error}\n")
        sys.exit(EXIT_SETTINGS)
    settings = peers.settings
    handler = configure_output(settings.log_level, settings.name, STANDARD_OUTPUT)
    gateway = Gateway(peers, BEGAN_AT)
    status = anyio.run(gateway.run)
    handler.flush()
    logging.shutdown()
    # The teardown of the interpreter would take some time, in which callers that the
    # load balancer still sends here find no listener.
    os._exit(status)


if __name__ == "__main__":
    main()
