"""Fault soak of streams while engines turn from one software version to another."""

from tests.platform.versions._run import run_seed

__all__ = ["run_seed"]
