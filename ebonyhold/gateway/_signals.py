"""Signal handling of a gateway, from the start of its process to its exit."""

from __future__ import annotations

import signal
from collections.abc import AsyncIterator, Iterator
from contextlib import contextmanager

import anyio

WATCHED = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def block_signals() -> None:
    """Block signals until `watched_signals` receives them.

    Otherwise a signal between the process's first line and the event loop's handlers
    would end it with an error status, where an orderly stop is due. Threads that are
    started earlier would receive such signals; there are none.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, WATCHED)


@contextmanager
def watched_signals() -> Iterator[AsyncIterator[signal.Signals]]:
    """Receive signals; ignore those that arrive after this has ended.

    Between the end of the event loop and that of the interpreter its handlers are gone.
    A second signal of an operator would then end an orderly stop with an error status.
    """
    try:
        with anyio.open_signal_receiver(*WATCHED) as signals:
            signal.pthread_sigmask(signal.SIG_UNBLOCK, WATCHED)
            yield signals
    except Exception:
        # The caller starts to watch again; until then a signal has its default effect.
        raise
    except BaseException:
        ignore_signals()
        raise


def ignore_signals() -> None:
    """Ignore the watched signals from now on."""
    for number in WATCHED:
        signal.signal(number, signal.SIG_IGN)
