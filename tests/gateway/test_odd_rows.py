"""One odd row in a table of the store costs that row alone."""

from __future__ import annotations

import base64
import json
import time
from typing import Any
from urllib.parse import parse_qs, urlsplit

import pytest

from ebonyhold.coordination import CrashRecords
from ebonyhold.forwarding import BackendTable, Outbound, WholeAnswer
from ebonyhold.gateway import GatewayPeers, Observations, Watcher
from ebonyhold.gateway._version_rows import VersionRows
from ebonyhold.platform import StoreClient
from tests.platform.test_store import answer, client
from tests.virtual import anyio_backend

pytestmark = pytest.mark.anyio
__all__ = ["anyio_backend"]

UNREADABLE = {
    "empty": b"",
    "not JSON": b"{",
    "not UTF-8": b'{"router": "\xff"}',
    "nested": b"[" * 100_000,
    "nested in an object": b'{"crashes":' + b'{"losses":' * 30_000,
    "number of 5,000 digits": b'{"link_rate": ' + b"9" * 5_000 + b"}",
    "infinite number": b'{"link_rate": 1e999, "versions": 1e999, "crashes": 1e999}',
    "text": b'"x"',
    "null": b"null",
}
"""Values that no router writes, by what is odd."""

unreadable = pytest.mark.parametrize("odd", UNREADABLE.values(), ids=[*UNREADABLE])


def store_with(rows: dict[str, bytes]) -> StoreClient:
    """Return a client of a store with some rows, by key."""

    def encode(key: str) -> dict[str, Any]:
        table, part, rest = key.split("/", 2)
        value = base64.b64encode(rows[key]).decode()
        place = {"table": table, "part": part, "key": rest}
        return {**place, "value": value, "version-number": 1}

    def handle(request: Outbound) -> WholeAnswer:
        target = urlsplit(request.target.decode())
        now = {"version-number": 2, "now-ms": 1000}
        if target.path.endswith("/rows-tx"):
            for item in json.loads(request.body)["writes"]:
                key = f"{item['table']}/{item['part']}/{item['key']}"
                rows[key] = base64.b64decode(item["value"])
            return answer(200, now)
        query = {name: values[0] for name, values in parse_qs(target.query).items()}
        start = f"{query['table']}/{query.get('part', '')}/{query.get('from', '')}"
        prefix = f"{query['table']}/{query.get('part', '')}/"
        found = [
            encode(key)
            for key in sorted(rows)
            if key.startswith(prefix) and key >= start
        ]
        return answer(200, {**now, "rows": found})

    return client(handle)


def observations(store: StoreClient) -> Observations:
    """Return the observations of a router."""
    peers = GatewayPeers(dict)
    return Observations(
        store, "vm-1", CrashRecords(), BackendTable(), lambda: 3, lambda: True, peers
    )


def loss(at: float) -> dict[str, Any]:
    """Return a lost request as a row states it."""
    return {"request": "x", "run": {"server": "i-1", "started_at": 1}, "at": at}


@unreadable
async def test_odd_observations_hide_no_others(odd: bytes) -> None:
    """The reader of observations ended at the same row each time it was restarted."""
    good = json.dumps({"crashes": {"losses": [loss(time.time())]}}).encode()
    store = store_with({"observations//vm-2": odd, "observations//vm-3": good})
    read = observations(store)
    await Watcher(store, "observations", read.merge_rows, read.merge_rows).step()
    assert read.crashes.depth("x") == 1


@unreadable
async def test_odd_versions_hide_no_others(odd: bytes) -> None:
    """After a row of versions that cannot be read, unknown streams were refused."""
    rows = {"versions//a": odd, "versions//svc": b'{"versions": ["v1"]}'}
    servers = BackendTable()
    servers.versions.is_complete = False
    await VersionRows(store_with(rows), "vm-1", lambda: (), servers).read()
    assert servers.versions.is_complete
    assert [*servers.versions.in_play("svc")] == ["v1"]
