"""HTTP listeners of the daemon, which load changed certificates while they serve."""

from __future__ import annotations

import logging
import ssl
from pathlib import Path

import anyio
from anyio.abc import TaskStatus
from attrs import define
from hypercorn.config import Config

from ebonyhold.daemon._connections import AsgiApp, ConnectionServer, RequestCounter
from ebonyhold.exceptions import SettingsError
from ebonyhold.settings import Listener, TlsSettings
from ebonyhold.types import Seconds

logger = logging.getLogger(__name__)

CERTIFICATE_POLL: Seconds = 1.0
"""Time between a listener's checks for changed certificate files."""

KEEP_ALIVE: Seconds = 75.0
"""Maximum time for which a connection waits for the complete headers of a request.

It also limits headers that arrive byte by byte, but not bodies that arrive slowly.
"""

GRACE: Seconds = 5.0
"""Maximum time for answers in progress once the listener is stopped.

The listening sockets stay open during this time.
"""


class ReloadingConfig(Config):
    """A hypercorn configuration whose handshakes use the newest TLS context.

    Each certificate and key are loaded into a new context, which replaces the old one
    only if they match. A pair that doesn't match would leave an existing context with
    a certificate and no key, and every handshake would fail until the next check.

    Attributes:
        context: The context that new handshakes use; None without TLS.
    """

    def __init__(self) -> None:
        super().__init__()
        self.context: ssl.SSLContext | None = None

    def create_ssl_context(self) -> ssl.SSLContext | None:
        """Return the context in which handshakes start; None without TLS."""
        self.context = super().create_ssl_context()
        if self.context is not None:
            self.context.sni_callback = self.use_newest_context
        return self.context

    def use_newest_context(
        self, connection: ssl.SSLObject, name: str | None, first: ssl.SSLContext
    ) -> None:
        """Continue a handshake with the newest context, whatever the server name.

        Args:
            connection: The connection of the handshake.
            name: The server name that the client sent, if any; not used.
            first: The context in which the handshake started.
        """
        connection.context = self.context or first

    def reload(self) -> None:
        """Load the files into a new context, and use it for new handshakes.

        Raises:
            OSError: A file cannot be read, or the pair does not match
                (``ssl.SSLError`` is an ``OSError``).
        """
        self.context = super().create_ssl_context()


def listener_config(listener: Listener) -> ReloadingConfig:
    """Return hypercorn's configuration for a listener's settings."""
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
            # Without this setting clients aren't asked for a certificate, although
            # the operator has set an authority to keep out unknown clients.
            config.verify_mode = ssl.VerifyMode.CERT_REQUIRED
    return config


def check_listener(name: str, listener: Listener) -> None:
    """Check before the start that a listener's certificate can be used.

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
        config: The configuration that reloads its context.
        tls: The names of the files.
        mtimes: The modification times of the loaded files, in nanoseconds; empty
            if they are unknown.
    """

    config: ReloadingConfig
    tls: TlsSettings
    mtimes: tuple[int, ...] = ()

    def reload_if_changed(self) -> bool:
        """Load the files if one has changed; return whether a new context is in use.

        The two files are replaced one after the other, so a check in between may find
        a pair that doesn't match. The failure is logged, the old context stays in use,
        and the next check tries again.
        """
        mtimes = self.read_mtimes()
        if mtimes == self.mtimes or self.config.context is None:
            return False
        try:
            self.config.reload()
        except OSError as error:
            logger.warning("certificate not loaded", extra={"error": str(error)})
            return False
        self.mtimes = mtimes
        return True

    def read_mtimes(self) -> tuple[int, ...]:
        """Return the modification times; empty if one cannot be read."""
        names = (self.tls.certificate, self.tls.key, self.tls.authority)
        try:
            return tuple(Path(name).stat().st_mtime_ns for name in names if name)
        except OSError:
            return ()

    async def run(self) -> None:
        """Load changed files at each `CERTIFICATE_POLL` until cancelled."""
        while True:
            await anyio.sleep(CERTIFICATE_POLL)
            if self.reload_if_changed():
                logger.info("certificate reloaded")


async def serve_listener(
    app: AsgiApp,
    listener: Listener,
    stop: anyio.Event,
    requests: RequestCounter | None = None,
    *,
    task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an ASGI app until `stop` is set, then close the listener.

    Args:
        app: The application.
        listener: The address to bind and the certificate.
        stop: Ends the listener; answers in progress may take `GRACE` more seconds.
        requests: Counts the requests of all listeners that close together; by
            default the listener closes on its own.
        task_status: Reported as started once the listener accepts connections.

    Raises:
        OSError: The address is in use, or a certificate cannot be used.
    """
    config = listener_config(listener)
    server = ConnectionServer(app, config, requests or RequestCounter())
    async with anyio.create_task_group() as tasks:
        try:
            await server.listen()
            if listener.tls is not None:
                watch = CertificateWatch(config, listener.tls)
                watch.mtimes = watch.read_mtimes()
                tasks.start_soon(watch.run)
            task_status.started()
            await stop.wait()
            await server.close(GRACE)
        finally:
            server.stop_listening()
            with anyio.CancelScope(shield=True):
                await server.abort()
        tasks.cancel_scope.cancel()
