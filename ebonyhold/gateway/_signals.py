"""Signal handling of a gateway, from the start of its process to its exit."""

from __future__ import annotations

import signal
from collections.abc import AsyncIterator, Iterator
from contextlib import contextmanager

import anyio

WATCHED = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def block_signals() -> None:
    """Block signals until `watched_signals` receives them.

    Otherwise a signal that arrives before the event loop has its handlers would end the
    process with an error status instead of an orderly stop. No thread may be started
    earlier, since it would still receive such signals.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, WATCHED)


@contextmanager
def watched_signals() -> Iterator[AsyncIterator[signal.Signals]]:
    """Receive the watched signals; once cancelled, ignore them.

    The task is cancelled when the process ends. The event loop's handlers are gone
    before the interpreter exits, and another signal in between would end an orderly
    stop with an error status.
    """
    try:
        with anyio.open_signal_receiver(*WATCHED) as signals:
            signal.pthread_sigmask(signal.SIG_UNBLOCK, WATCHED)
            yield signals
    except Exception:
        # The supervisor starts the signal task again.
        # Until then, a signal ends the process.
        raise
    except BaseException:
        ignore_signals()
        raise


def ignore_signals() -> None:
    """Ignore the watched signals from now on."""
    for number in WATCHED:
        signal.signal(number, signal.SIG_IGN)
