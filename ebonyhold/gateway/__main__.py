"""Runs a gateway as ``python -m ebonyhold.gateway``."""

from __future__ import annotations

import logging
import sys

import anyio

from ebonyhold.exceptions import SettingsError
from ebonyhold.gateway import STANDARD_OUTPUT, Gateway, configure_output
from ebonyhold.platform import platform_peers

EXIT_SETTINGS = 2


def main() -> None:
    """Run one gateway until a signal stops it."""
    try:
        peers = platform_peers()
    except SettingsError as error:
        sys.stderr.write(f"{error.code}: {error}\n")
        sys.exit(EXIT_SETTINGS)
    settings = peers.settings
    handler = configure_output(settings.log_level, settings.name, STANDARD_OUTPUT)
    gateway = Gateway(peers)
    anyio.run(gateway.run)
    handler.flush()
    logging.shutdown()


if __name__ == "__main__":
    main()
