"""Tests of the operators' interface over HTTP."""

from __future__ import annotations

import hashlib
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import attrs
import httpx
import pytest

from ebonyhold.exceptions import (
    BudgetError,
    UnavailableError,
    UnknownOutcomeError,
)
from ebonyhold.operators import OperatorsApp, Readiness
from tests.document.test_check import BASE, FEBRUARY, JANUARY
from tests.operators.fakes import KEY, Bench, make_bench

pytestmark = pytest.mark.anyio

HEADERS = {"authorization": f"Bearer {KEY}"}
STOP = {"starts": JANUARY, "ends": FEBRUARY, "backend": "e1"}


@pytest.fixture
def anyio_backend() -> str:
    return "trio"


@pytest.fixture
def bench(tmp_path: Path) -> Bench:
    return make_bench(tmp_path)


@pytest.fixture
async def client(bench: Bench) -> AsyncIterator[httpx.AsyncClient]:
    transport = httpx.ASGITransport(OperatorsApp(bench.context))
    async with httpx.AsyncClient(
        transport=transport, base_url="http://router", headers=HEADERS
    ) as found:
        yield found


async def apply(
    client: httpx.AsyncClient, text: str = BASE, base: int = 0
) -> httpx.Response:
    return await client.put(f"/v1/document?based_on={base}", content=text)


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        ("/healthz", "", 200),
        ("/readyz", "", 200),
        ("/v1/status", "", 401),
        ("/v1/status", "wrong", 401),
        ("/v1/status", "\x7f", 401),
        ("/metrics", "", 401),
        ("/nowhere", "", 401),
        ("/metrics", KEY, 200),
        ("/v1/status", KEY, 200),
        ("/nowhere", KEY, 404),
    ],
)
async def test_endpoints_require_a_key(
    client: httpx.AsyncClient, path: str, key: str, status: int
) -> None:
    """All paths except the health checks require a key, unknown paths included."""
    response = await client.get(path, headers={"authorization": f"Bearer {key}"})
    assert response.status_code == status


async def test_key_file_is_reloaded_without_a_restart(
    client: httpx.AsyncClient, bench: Bench
) -> None:
    """A leaked key must stop working as soon as it is replaced in the key file.

    While the file is missing or malformed, the old keys stay valid, so that
    replacing the file does not lock operators out.
    """
    path = bench.context.keys.path
    assert (await client.get("/v1/status")).status_code == 200
    path.unlink()
    assert (await client.get("/v1/status")).status_code == 200
    path.write_text("ana: nonsense\n")
    assert (await client.get("/v1/status")).status_code == 200
    path.write_text(f"ben: {hashlib.sha256(b'new').hexdigest()}  # since today\n")
    assert (await client.get("/v1/status")).status_code == 401


async def test_get_applied_document(client: httpx.AsyncClient) -> None:
    """Status 404 is sent before the first document and for an unknown version."""
    assert (await client.get("/v1/document")).status_code == 404
    assert (await apply(client)).json() == {"version": 1, "findings": []}
    shown = (await client.get("/v1/document")).json()
    assert (shown["version"], shown["document"]["fleet"]) == (1, "f")
    assert (await client.get("/v1/document?version=9")).status_code == 404


async def test_findings_have_line_and_column(client: httpx.AsyncClient) -> None:
    """Each finding has a line, a column and a path; a check reports usability."""
    response = await apply(client, BASE.replace("fleet: f", "fleet: 1"))
    assert response.status_code == 422
    finding = response.json()["error"]["detail"]["findings"][0]
    assert (finding["line"], finding["column"], finding["path"]) == (1, 8, "fleet")
    checked = await client.post("/v1/check", content=b"[")
    assert checked.json()["usable"] is False


async def test_lost_race_reports_what_changed(
    client: httpx.AsyncClient,
) -> None:
    """A change based on an outdated version must not undo a newer one.

    Two documents are based on version 1. The second to be applied is refused, and
    the refusal names what the first changed: the slots of e1.
    """
    await apply(client)
    slots = BASE.replace("domain: a, models: [m]", "domain: a, models: [m], slots: 9")
    assert (await apply(client, slots, 1)).status_code == 200
    response = await apply(
        client, BASE.replace("{model: m}", "{model: m}, {model: n}"), 1
    )
    assert response.status_code == 409
    detail = response.json()["error"]["detail"]
    assert detail == {"version": 2, "author": "ana", "changed": ["backends.e1.slots"]}


async def test_history_and_rollback(client: httpx.AsyncClient) -> None:
    """A rollback publishes the old document as a new version, shown in the history."""
    await apply(client)
    await apply(client, BASE.replace("fleet: f", "fleet: g"), 1)
    response = await client.post("/v1/rollback?version=1&based_on=2")
    assert response.json()["version"] == 3
    assert (await client.get("/v1/document")).json()["document"]["fleet"] == "f"
    versions = (await client.get("/v1/history?limit=2")).json()["versions"]
    assert [each["version"] for each in versions] == [3, 2]


async def test_stops_are_planned_moved_and_cancelled(client: httpx.AsyncClient) -> None:
    """Each change of a stop is a new version; the stop's times are shown in UTC."""
    await apply(client)
    assert (await client.put("/v1/stops/x", json=STOP)).json()["version"] == 2
    moved = STOP | {"ends": "2027-01-02T00:00:00+05:45"}
    assert (await client.put("/v1/stops/x", json=moved)).json()["version"] == 3
    stops = (await client.get("/v1/stops")).json()["stops"]
    assert [(each["name"], each["ends"]) for each in stops] == [
        ("x", "2027-01-01T18:15:00Z")
    ]
    assert (await client.delete("/v1/stops/x")).json()["version"] == 4
    assert (await client.delete("/v1/stops/x")).status_code == 404


async def test_one_part_is_changed(client: httpx.AsyncClient) -> None:
    """A part is added or removed without sending the whole document.

    The findings of the changed document are returned.
    """
    await apply(client)
    body = f"keys: [{{id: k, sha256: {'b' * 64}}}]\nprepaid: 7\n"
    put = await client.put("/v1/parts/workspaces/new", content=body)
    assert put.json() == {"version": 2, "findings": []}
    model = await client.put("/v1/parts/models/a/b", content="priority: 3")
    assert model.json()["findings"][0]["code"] == "unused"
    changed = await client.put("/v1/parts/workspaces/w", content=f"name: w\n{body}")
    assert changed.json()["error"]["detail"]["findings"][0]["code"] == "duplicate_name"
    document = (await client.get("/v1/document")).json()["document"]
    assert [each["name"] for each in document["workspaces"]] == ["w", "new"]
    assert (await client.delete("/v1/parts/workspaces/w")).json()["version"] == 4


@pytest.mark.parametrize(
    ("method", "path", "body", "status"),
    [
        ("PUT", "workspaces/w", b"keys: [", 422),
        ("PUT", "workspaces/w", b"", 422),
        ("PUT", "workspaces/w", b"[1]", 422),
        ("PUT", "workspaces/w", b"name: v\nkeys: []", 422),
        ("PUT", "workspaces/a%20b", b"keys: []", 422),
        ("PUT", "workspaces/w", b"\xff", 400),
        ("PUT", "workspaces/w?based_on=7", b"keys: []", 409),
        ("PUT", "limits/x", b"{}", 404),
        ("DELETE", "workspaces/nobody", b"", 404),
        ("DELETE", "models/m", b"", 422),
        ("DELETE", "models/m?based_on=x", b"", 400),
    ],
)
async def test_invalid_part_is_refused(
    client: httpx.AsyncClient, method: str, path: str, body: bytes, status: int
) -> None:
    """Malformed, misnamed or outdated parts and unknown names are refused."""
    await apply(client)
    response = await client.request(method, f"/v1/parts/{path}", content=body)
    assert response.status_code == status


@pytest.mark.parametrize(
    ("change", "status"),
    [
        ({"starts": "soon"}, 422),
        ({"starts": "2027-01-01"}, 422),
        ({"starts": 5}, 422),
        ({"odd": 5}, 422),
        ({"backend": "e9"}, 422),
        ({"backend": "e1", "domain": "a"}, 422),
        ({"ends": JANUARY}, 422),
    ],
)
async def test_invalid_stop_is_refused(
    client: httpx.AsyncClient, change: dict[str, Any], status: int
) -> None:
    """A stop with bad times, unknown fields or a wrong target is refused."""
    await apply(client)
    response = await client.put("/v1/stops/x", json=STOP | change)
    assert response.status_code == status


async def test_stop_is_published_again_after_a_conflict(
    client: httpx.AsyncClient, bench: Bench
) -> None:
    """A planned stop must not be refused because another version was accepted.

    Another router publishes version 2, which this router has not read yet. The
    commit of the stop conflicts and is repeated on top of version 2.
    """
    await apply(client)
    other = make_bench(bench.context.keys.path.parent).context.configuration
    other.table, other.store = bench.table, bench.context.configuration.store
    await other.refresh()
    assert other.document is not None
    await other.publish(attrs.evolve(other.document, fleet="g"), 1, "ben")
    assert (await client.put("/v1/stops/x", json=STOP)).json()["version"] == 3
    document = (await client.get("/v1/document")).json()["document"]
    assert (document["fleet"], document["stops"][0]["name"]) == ("g", "x")


async def test_budgets(client: httpx.AsyncClient, bench: Bench) -> None:
    """A top-up repeated with its key adds once; budgets and bills can be read."""
    await apply(client)
    body = {"key": "k1", "amount": 5}
    for _ in range(2):
        answer = await client.post("/v1/budgets/w/top-ups", json=body)
        assert answer.json()["prepaid"] == 5
    assert (await client.get("/v1/budgets")).json()["budgets"][0]["remaining"] == 5
    bills = (await client.get("/v1/bills?workspace=w")).json()["bills"]
    assert (bills[0]["request"], bills[0]["charge"]) == ("q1", 12)
    assert (await client.get("/v1/bills/verify")).json()["discrepancies"] == []


@pytest.mark.parametrize(
    ("path", "body", "status"),
    [
        ("nobody/top-ups", {"key": "k", "amount": 5}, 404),
        ("w/top-ups", {"key": "k", "amount": 0}, 400),
        ("w/top-ups", {"key": "k", "amount": -5}, 400),
        ("w/top-ups", {"key": "k", "amount": 1.5}, 400),
        ("w/top-ups", {"key": "k", "amount": True}, 400),
        ("w/top-ups", {"key": "", "amount": 5}, 400),
        ("w/top-ups", {"key": "a/b", "amount": 5}, 400),
        ("w/top-ups", {"key": "k" * 129, "amount": 5}, 400),
        ("w/top-ups", [1], 400),
        ("w/refunds", {"key": "k", "amount": 5}, 400),
    ],
)
async def test_invalid_top_up_or_refund_is_refused(
    client: httpx.AsyncClient, path: str, body: Any, status: int
) -> None:
    """An unknown workspace, a bad amount or a bad key is refused."""
    await apply(client)
    response = await client.post(f"/v1/budgets/{path}", json=body)
    assert response.status_code == status


@pytest.mark.parametrize(
    ("error", "status", "code"),
    [
        (UnavailableError("down"), 503, "platform_unavailable"),
        (UnknownOutcomeError("no answer"), 504, "platform_outcome_unknown"),
        (BudgetError("too much"), 409, "budget"),
    ],
)
async def test_errors_have_status_and_code(
    client: httpx.AsyncClient, bench: Bench, error: Any, status: int, code: str
) -> None:
    """Each error class has its own HTTP status and error code."""
    await apply(client)
    bench.accounts.error = error
    response = await client.get("/v1/budgets")
    assert (response.status_code, response.json()["error"]["code"]) == (status, code)


@pytest.mark.parametrize(
    ("method", "path", "content", "status"),
    [
        ("PUT", "/v1/document", b"fleet: f", 400),
        ("PUT", "/v1/document?based_on=x", b"fleet: f", 400),
        ("PUT", "/v1/stops/x", b"{" * 20_000, 422),
        ("POST", "/v1/budgets/w/refunds", b"{" * 20_000, 400),
        ("PUT", "/v1/stops/x", b" " * 70_000, 413),
        ("GET", "/v1/bills", b"", 400),
        ("GET", "/v1/bills?workspace=w&limit=-1", b"", 400),
        ("POST", "/v1/status", b"", 404),
    ],
)
async def test_malformed_request_is_refused(
    client: httpx.AsyncClient, method: str, path: str, content: bytes, status: int
) -> None:
    """Bad queries, deeply nested or oversized bodies and wrong methods are refused."""
    response = await client.request(method, path, content=content)
    assert response.status_code == status


async def test_readiness_reports_reasons(
    client: httpx.AsyncClient, bench: Bench
) -> None:
    """A router that cannot take requests answers 503 with the reasons."""
    bench.status.ready = Readiness(False, ("no document",))
    response = await client.get("/readyz")
    assert response.status_code == 503
    assert response.json() == {"ready": False, "reasons": ["no document"]}


async def test_unexpected_error_is_answered_without_its_text(
    client: httpx.AsyncClient, bench: Bench
) -> None:
    """The text of an unexpected exception may be secret and is not sent."""
    bench.accounts.error = RuntimeError("secret")  # type: ignore[assignment]
    await apply(client)
    response = await client.get("/v1/budgets")
    assert response.status_code == 500
    assert "secret" not in response.text
