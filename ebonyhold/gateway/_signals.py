"""The signals of a gateway, also in the last moments of its process."""

from __future__ import annotations

import signal
from collections.abc import AsyncIterator, Iterator
from contextlib import contextmanager

import anyio

WATCHED = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


@contextmanager
def watched_signals() -> Iterator[AsyncIterator[signal.Signals]]:
    """Receive signals; those that come after the end of this change nothing.

    Between the end of the event loop and that of the interpreter none of its handlers
    stands any more, and a signal that comes then, as a second one of an operator, would
    end an orderly stop with an error's status.
    """
    try:
        with anyio.open_signal_receiver(*WATCHED) as signals:
            yield signals
    except Exception:
        # Whoever watches starts again, and until then a signal has its usual effect.
        raise
    except BaseException:
        ignore_signals()
        raise


def ignore_signals() -> None:
    """Let signals pass without effect from here on."""
    for number in WATCHED:
        signal.signal(number, signal.SIG_IGN)
