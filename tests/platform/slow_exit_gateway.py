"""A gateway whose interpreter takes long to end.

Run as ``python -m tests.platform.slow_exit_gateway``.
"""

from __future__ import annotations

import atexit
import time

from ebonyhold.gateway.__main__ import main

TEARDOWN_TIME = 1.0
"""Seconds that the interpreter takes, as on a machine with little processor time."""

if __name__ == "__main__":
    atexit.register(time.sleep, TEARDOWN_TIME)
    main()
