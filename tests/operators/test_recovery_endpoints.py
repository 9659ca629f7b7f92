"""Operators settle what recovery could not."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import httpx
import pytest

from ebonyhold.operators import OperatorsApp
from tests.operators.fakes import KEY, make_bench

pytestmark = pytest.mark.anyio

RUN = "/v1/recoveries/a.1/a.1~1~1"
OTHER = "/v1/recoveries/a.1/a.1~2~1"
BILL = "/v1/bills/w/q/ruling"


@pytest.fixture
def anyio_backend() -> str:
    return "trio"


@pytest.mark.parametrize(
    ("path", "value", "status"),
    [
        (RUN, {"charge": 40}, 200),
        (RUN, {"charge": 0}, 200),
        (RUN, {"charge": None}, 200),
        (RUN, {}, 400),
        (RUN, {"charge": -1}, 400),
        (RUN, {"charge": True}, 400),
        (RUN, {"charge": "40"}, 400),
        (OTHER, {"charge": 40}, 409),
        (BILL, {"ran": True}, 200),
        (BILL, {"ran": False}, 200),
        (BILL, {}, 400),
        (BILL, {"ran": 1}, 400),
    ],
)
async def test_settling(
    tmp_path: Path, path: str, value: dict[str, Any], status: int
) -> None:
    bench = make_bench(tmp_path)
    transport = httpx.ASGITransport(OperatorsApp(bench.context))
    headers = {"authorization": f"Bearer {KEY}"}
    async with httpx.AsyncClient(
        transport=transport, base_url="http://router", headers=headers
    ) as client:
        answer = await client.post(path, json=value)
        assert answer.status_code == status, answer.text
        left = (await client.get("/v1/recoveries")).json()["runs"]
    settled = path == RUN and status == 200
    assert [one["attempt"] for one in left] == ([] if settled else ["a.1~1~1"])
