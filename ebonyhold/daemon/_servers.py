"""HTTP listeners of the daemon, with certificates that reload while they serve."""

from __future__ import annotations

import logging
import ssl
from pathlib import Path

import anyio
from anyio.abc import TaskStatus
from attrs import define
from hypercorn.config import Config

from ebonyhold.daemon._door import AsgiApp, Door, Visits
from ebonyhold.exceptions import SettingsError
from ebonyhold.settings import Listener, TlsSettings
from ebonyhold.types import Seconds

logger = logging.getLogger(__name__)

CERTIFICATE_POLL: Seconds = 1.0
"""How often a listener looks whether its certificate files changed."""

KEEP_ALIVE: Seconds = 75.0
"""How long a connection without a whole request is kept, trickled headers included."""

GRACE: Seconds = 5.0
"""How long answers under way may take after the stop; the listener is open so long."""


class ReloadingConfig(Config):
    """A hypercorn configuration whose handshakes use the newest TLS context.

    A pair that does not match would leave the context it is loaded into with a
    certificate and no key: every handshake would fail until the next look.  So
    each pair gets a context of its own, and takes over only when it is whole.

    Attributes:
        context: The context that new handshakes use.
    """

    def __init__(self) -> None:
        super().__init__()
        self.context: ssl.SSLContext | None = None

    def create_ssl_context(self) -> ssl.SSLContext | None:
        """Make the context that hypercorn starts each handshake with."""
        self.context = super().create_ssl_context()
        if self.context is not None:
            self.context.sni_callback = self.use_newest
        return self.context

    def use_newest(
        self, connection: ssl.SSLObject, name: str | None, first: ssl.SSLContext
    ) -> None:
        """Let a handshake go on with the newest context, with a name or without."""
        connection.context = self.context or first

    def reload(self) -> None:
        """Load the files into a new context, and use that if they are whole.

        Raises:
            OSError: A file cannot be read, or the pair does not match
                (``ssl.SSLError`` is an ``OSError``).
        """
        self.context = super().create_ssl_context()


def listener_config(listener: Listener) -> ReloadingConfig:
    """Translate a listener's settings for hypercorn."""
    config = ReloadingConfig()
    config.bind = [listener.bind]
    config.keep_alive_timeout = KEEP_ALIVE
    config.read_timeout = None
    config.accesslog = None
    config.errorlog = logging.getLogger("hypercorn.error")
    config.include_server_header = False
    if listener.tls is not None:
        config.certfile = listener.tls.certificate
        config.keyfile = listener.tls.key
        if listener.tls.authority:
            config.ca_certs = listener.tls.authority
            # An authority without this is loaded and then asks nobody for
            # anything: whoever has set it believes that strangers cannot connect.
            config.verify_mode = ssl.VerifyMode.CERT_REQUIRED
    return config


def check_listener(name: str, listener: Listener) -> None:
    """Find out before the start whether a listener's certificate can be used.

    Raises:
        SettingsError: A file is missing, or the pair does not match.
    """
    try:
        listener_config(listener).create_ssl_context()
    except OSError as error:
        raise SettingsError(f"{name}.tls: {error}") from error


@define
class CertificateWatch:
    """Loads a listener's certificate again when its files change.

    Attributes:
        config: The configuration whose context is refreshed.
        tls: The files.
        stamps: The modification times last seen, in nanoseconds.
    """

    config: ReloadingConfig
    tls: TlsSettings
    stamps: tuple[int, ...] = ()

    def look(self) -> bool:
        """Reload if a file changed; return whether it did.

        The two files are replaced one after the other, so a look in between
        sees a pair that does not match: loading fails, the old context stays
        in use, and the next look tries again.
        """
        stamps = self.read_stamps()
        if stamps == self.stamps or self.config.context is None:
            return False
        try:
            self.config.reload()
        except OSError as error:
            logger.warning("certificate not loaded", extra={"error": str(error)})
            return False
        self.stamps = stamps
        return True

    def read_stamps(self) -> tuple[int, ...]:
        """Return the modification times; empty while a file is missing."""
        names = (self.tls.certificate, self.tls.key, self.tls.authority)
        try:
            return tuple(Path(name).stat().st_mtime_ns for name in names if name)
        except OSError:
            return ()

    async def run(self) -> None:
        """Look now and then until cancelled."""
        while True:
            await anyio.sleep(CERTIFICATE_POLL)
            if self.look():
                logger.info("certificate reloaded")


async def serve_listener(
    app: AsgiApp,
    listener: Listener,
    stop: anyio.Event,
    visits: Visits | None = None,
    *,
    task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an ASGI app until the event is set.

    Args:
        app: The application.
        listener: Where to bind, and with which certificate.
        stop: Ends the listener; answers under way get `GRACE` seconds.
        visits: Counts the requests of all listeners that close together.
        task_status: Started once the listener takes connections.

    Raises:
        OSError: The address is taken, or a certificate cannot be used.
    """
    config = listener_config(listener)
    door = Door(app, config, visits or Visits())
    async with anyio.create_task_group() as tasks:
        try:
            await door.open()
            if listener.tls is not None:
                watch = CertificateWatch(config, listener.tls)
                watch.stamps = watch.read_stamps()
                tasks.start_soon(watch.run)
            task_status.started()
            await stop.wait()
            await door.close(GRACE)
        finally:
            door.shut()
            with anyio.CancelScope(shield=True):
                await door.cut()
        tasks.cancel_scope.cancel()
