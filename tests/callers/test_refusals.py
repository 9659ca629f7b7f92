"""Refusals: their JSON form, their codes, and the generated page docs/ERRORS.md."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from ebonyhold import exceptions
from ebonyhold.callers import codes, refusal_for
from ebonyhold.callers.errors_page import page
from tests.callers.kit import make_bench

PAGE = Path(__file__).parents[2] / "docs" / "ERRORS.md"
GOOD: dict[str, Any] = {
    "model": "assistant",
    "messages": [{"role": "user", "content": "x"}],
}


def test_page_and_code_are_equal() -> None:
    assert PAGE.read_text(encoding="utf-8") == page()


@pytest.mark.parametrize(
    ("error", "code", "not_run"),
    [
        (exceptions.BudgetExhaustedError("x"), "budget_exhausted", True),
        (exceptions.BudgetUnreachableError("x"), "budget_unreachable", True),
        (exceptions.KeyReusedError("x"), "idempotency_key_reused", True),
        (exceptions.ClaimUnavailableError("x"), "claim_unavailable", True),
        (exceptions.OutcomeUnknownError("x"), "outcome_unknown", False),
        (exceptions.ThrottledError("x"), "platform_unavailable", True),
        (exceptions.SealedError("x"), "router_sealed", True),
        (exceptions.UnknownOutcomeError("x"), "internal", False),
        (exceptions.BackendError("x", ran=True), "backend_failed", False),
        (RuntimeError("a secret"), "internal", False),
    ],
)
def test_errors_become_refusals(error: Exception, code: str, not_run: bool) -> None:
    refusal = refusal_for(error)
    value = json.loads(json.dumps(refusal.value("r-1")))["error"]
    assert value["code"] == code in codes
    assert value.get("not_run", False) is not_run
    assert value.get("outcome") == (None if not_run else "unknown")
    assert value["request_id"] == "r-1"
    assert {"message", "type", "param"} <= value.keys()
    assert "secret" not in value["message"]


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("body", "code", "param"),
    [
        (b"", "body_malformed", None),
        (b"[]", "body_malformed", None),
        (b"{half", "body_malformed", None),
        (b"[" * 100_000, "body_malformed", None),
        (b"\xff\xfe", "body_malformed", None),
        ({"model": 7}, "parameter_invalid", "model"),
        ({"model": "other"}, "model_unknown", "model"),
        ({"messages": []}, "parameter_invalid", "messages"),
        ({"messages": ["x"]}, "parameter_invalid", "messages"),
        ({"max_tokens": 0}, "parameter_invalid", "max_tokens"),
        ({"max_tokens": True}, "parameter_invalid", "max_tokens"),
        ({"max_tokens": 9999}, "parameter_invalid", "max_tokens"),
        (
            {"max_completion_tokens": "many"},
            "parameter_invalid",
            "max_completion_tokens",
        ),
        ({"stream": "yes"}, "parameter_invalid", "stream"),
        ({"stream_options": []}, None, None),
        ({"stream_options": 3}, "parameter_invalid", "stream_options"),
        ({"n": 2}, "parameter_invalid", "n"),
    ],
)
async def test_bodies(
    body: bytes | dict[str, Any], code: str | None, param: str | None
) -> None:
    bench = make_bench()
    if isinstance(body, dict):
        body = json.dumps({**GOOD, **body}).encode()
    response = await bench.ask("POST", "/v1/chat/completions", body)
    if code is None:
        assert response.status == 200
        return
    assert (response.error["code"], response.error["param"]) == (code, param)
    assert response.error["not_run"] is True
    assert bench.money.orders == []


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("method", "path", "headers", "status", "code"),
    [
        ("GET", "/v1/models", {"key": ""}, 401, "key_missing"),
        ("GET", "/v1/models", {"key": "wrong"}, 401, "key_unknown"),
        ("GET", "/v1/models", {"key": "\u00ff"}, 401, "key_unknown"),
        ("GET", "/nowhere", {}, 404, "not_found"),
        ("PUT", "/v1/models", {}, 405, "method_not_allowed"),
        (
            "GET",
            "/v1/models",
            {"idempotency_key": "a/b"},
            400,
            "idempotency_key_invalid",
        ),
        (
            "GET",
            "/v1/models",
            {"idempotency_key": "k" * 129},
            400,
            "idempotency_key_invalid",
        ),
    ],
)
async def test_requests(
    method: str, path: str, headers: dict[str, Any], status: int, code: str
) -> None:
    response = await make_bench().ask(method, path, **headers)
    assert (response.status, response.error["code"]) == (status, code)


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("headers", "param"),
    [
        ({"x_priority": "urgent"}, "X-Priority"),
        ({"x_deadline_ms": "soon"}, "X-Deadline-Ms"),
        ({"x_deadline_ms": "-5"}, "X-Deadline-Ms"),
    ],
)
async def test_headers(headers: dict[str, Any], param: str) -> None:
    response = await make_bench().chat(**headers)
    assert response.error["param"] == param


@pytest.mark.anyio
@pytest.mark.parametrize("reason", ["stopping", "no version", "stale"])
async def test_router_refuses_all_requests(reason: str) -> None:
    bench = make_bench()
    if reason == "stopping":
        bench.app.stopping = True
    elif reason == "no version":
        bench.app.fleet.version = 0
    else:
        bench.app.may_serve = lambda: False
    response = await bench.chat()
    assert response.status == 503
    assert response.error["not_run"] is True
    assert "retry-after" in response.headers


@pytest.mark.anyio
async def test_models() -> None:
    response = await make_bench().ask("GET", "/v1/models")
    assert [item["id"] for item in json.loads(response.body)["data"]] == ["assistant"]
