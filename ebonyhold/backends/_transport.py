"""One pool of connections for each backend server."""

from __future__ import annotations

import ssl

import httpx
from attrs import define, field

KEEP_ALIVE = 64
"""Idle connections that are kept for one server."""

IDLE_FOR = 60.0
"""How long an idle connection is kept, in seconds."""


@define(eq=False)
class PooledByServer(httpx.AsyncBaseTransport):
    """Carries each request through its server's own pool.

    With one pool for all, each request looks at every connection there is, so
    that its cost grows with the streams that are open elsewhere.

    Attributes:
        pools: The pools by scheme, host and port.
    """

    pools: dict[tuple[str, str, int | None], httpx.AsyncHTTPTransport] = field(
        factory=dict
    )
    context: ssl.SSLContext | None = None

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Carry one request."""
        url = request.url
        key = (url.scheme, url.host, url.port)
        pool = self.pools.get(key)
        if pool is None:
            pool = self.pools[key] = self.make_pool(url.scheme)
        return await pool.handle_async_request(request)

    def make_pool(self, scheme: str) -> httpx.AsyncHTTPTransport:
        """Return an empty pool; the certificates are read once, and if needed."""
        if scheme == "https" and self.context is None:
            self.context = ssl.create_default_context()
        return httpx.AsyncHTTPTransport(
            verify=self.context if scheme == "https" and self.context else PLAIN,
            limits=httpx.Limits(
                max_connections=None,
                max_keepalive_connections=KEEP_ALIVE,
                keepalive_expiry=IDLE_FOR,
            ),
        )

    async def aclose(self) -> None:
        """Close every pool."""
        for pool in self.pools.values():
            await pool.aclose()
        self.pools.clear()


PLAIN = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
"""Trusts nobody; it stands where no TLS is spoken."""
