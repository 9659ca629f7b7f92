"""Runs the daemon as ``python -m ebonyhold.daemon``."""

from ebonyhold.daemon import main

main()
