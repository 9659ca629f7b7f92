"""Decision logic of the routers, without I/O and without a clock of its own.

The functions take and return typed messages, rows and transactions.
Nothing here imports a web server, a client or another package of ebonyhold.

The public names are listed in ``__init__.pyi`` and imported on first use, so a program
that uses a few of them does not load them all.
"""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach_stub(__name__, __file__)
