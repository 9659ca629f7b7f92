"""An HTTP transport with one connection pool per backend server."""

from __future__ import annotations

import ssl

import httpx
from attrs import define, field

MAX_IDLE_CONNECTIONS = 64
"""The maximum number of idle connections to one server; further ones are closed."""

IDLE_TIMEOUT = 60.0
"""How long an idle connection is kept open, in seconds."""


@define(eq=False)
class PooledByServer(httpx.AsyncBaseTransport):
    """Sends each request through the connection pool of its server.

    In a single pool each request would search the connections of all servers, so
    its cost would grow with the number of open streams.

    Attributes:
        pools: The pools by scheme, host and port.
        context: The TLS context, created for the first pool with ``https``.
    """

    pools: dict[tuple[str, str, int | None], httpx.AsyncHTTPTransport] = field(
        factory=dict
    )
    context: ssl.SSLContext | None = None

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send one request through its server's pool, which is created if needed."""
        url = request.url
        key = (url.scheme, url.host, url.port)
        pool = self.pools.get(key)
        if pool is None:
            pool = self.pools[key] = self.make_pool(url.scheme)
        return await pool.handle_async_request(request)

    def make_pool(self, scheme: str) -> httpx.AsyncHTTPTransport:
        """Return a new pool; the first one for ``https`` loads the CA certificates."""
        if scheme == "https" and self.context is None:
            self.context = ssl.create_default_context()
        return httpx.AsyncHTTPTransport(
            verify=self.context
            if scheme == "https" and self.context
            else NO_CERTIFICATES,
            limits=httpx.Limits(
                max_connections=None,
                max_keepalive_connections=MAX_IDLE_CONNECTIONS,
                keepalive_expiry=IDLE_TIMEOUT,
            ),
        )

    async def aclose(self) -> None:
        """Close all pools and their connections."""
        for pool in self.pools.values():
            await pool.aclose()
        self.pools.clear()


NO_CERTIFICATES = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
"""A context without CA certificates, for pools of connections without TLS.

Loading certificates takes time, and these pools do not use them.
"""
