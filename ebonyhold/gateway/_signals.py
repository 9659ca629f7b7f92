"""The signals of a gateway, also in the last moments of its process."""

from __future__ import annotations

import signal
from collections.abc import AsyncIterator, Iterator
from contextlib import contextmanager

import anyio

WATCHED = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


@contextmanager
def watched_signals() -> Iterator[AsyncIterator[signal.Signals]]:
    """Receive signals; those that come after the end of this wait for ever.

    Between the end of the event loop and that of the interpreter no handler stands any
    more, and a signal that comes then, as a second one of an operator, would end an
    orderly stop with an error's status.  The process has one thread, so blocking them
    in it keeps them all.
    """
    with anyio.open_signal_receiver(*WATCHED) as signals:
        signal.pthread_sigmask(signal.SIG_UNBLOCK, WATCHED)
        try:
            yield signals
        finally:
            signal.pthread_sigmask(signal.SIG_BLOCK, WATCHED)
