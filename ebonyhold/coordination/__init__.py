"""Coordination parts: pure decisions, without I/O or a clock of their own.

Every part takes typed messages and returns typed messages or transactions.
Nothing here imports a web server, a client or another package of ebonyhold.

The parts are listed in ``__init__.pyi`` and imported when they are first asked for: a
program that uses a few of them does not wait for all.
"""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach_stub(__name__, __file__)
