"""Tests of the endpoints that settle requests with an unknown outcome."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import httpx
import pytest

from ebonyhold.operators import OperatorsApp
from tests.operators.fakes import KEY, make_bench

pytestmark = pytest.mark.anyio

OPEN_ATTEMPT = "/v1/recoveries/a.1/a.1~1~1"
UNKNOWN_ATTEMPT = "/v1/recoveries/a.1/a.1~2~1"
BILL = "/v1/bills/w/q/ruling"


@pytest.fixture
def anyio_backend() -> str:
    return "trio"


@pytest.mark.parametrize(
    ("path", "value", "status"),
    [
        (OPEN_ATTEMPT, {"charge": 40}, 200),
        (OPEN_ATTEMPT, {"charge": 0}, 200),
        (OPEN_ATTEMPT, {"charge": None}, 200),
        (OPEN_ATTEMPT, {}, 400),
        (OPEN_ATTEMPT, {"charge": -1}, 400),
        (OPEN_ATTEMPT, {"charge": True}, 400),
        (OPEN_ATTEMPT, {"charge": "40"}, 400),
        (UNKNOWN_ATTEMPT, {"charge": 40}, 409),
        (BILL, {"ran": True}, 200),
        (BILL, {"ran": False}, 200),
        (BILL, {}, 400),
        (BILL, {"ran": 1}, 400),
    ],
)
async def test_settle_open_requests(
    tmp_path: Path, path: str, value: dict[str, Any], status: int
) -> None:
    """A valid charge settles the open attempt; invalid values are refused."""
    bench = make_bench(tmp_path)
    transport = httpx.ASGITransport(OperatorsApp(bench.context))
    headers = {"authorization": f"Bearer {KEY}"}
    async with httpx.AsyncClient(
        transport=transport, base_url="http://router", headers=headers
    ) as client:
        answer = await client.post(path, json=value)
        assert answer.status_code == status, answer.text
        remaining = (await client.get("/v1/recoveries")).json()["runs"]
    settled = path == OPEN_ATTEMPT and status == 200
    assert [one["attempt"] for one in remaining] == ([] if settled else ["a.1~1~1"])
