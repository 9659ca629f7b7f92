"""Calls to plain services: forwarding, bills, and calls that run at most once."""

from __future__ import annotations

import base64

import anyio
import httpx
import pytest

from ebonyhold.coordination import (
    KeptAnswer,
    RequestKind,
    RequestRow,
    RequestState,
)
from ebonyhold.document import ServiceRoute
from ebonyhold.exceptions import ClaimUnavailableError, OutcomeUnknownError
from ebonyhold.money import Replay
from tests.backends.kit import Engine, Script, answers, fails
from tests.callers.kit import RULES, Bench, make_bench, make_document

pytestmark = pytest.mark.anyio
BOOKED = answers(201, b'{"slot": 7}', content_type="application/json")
TRACE = "1" * 32
BOOKING = b'{"slot": 7}'


def with_scripts(*scripts: Script) -> Bench:
    """Return a bench with the same scripts at both servers of the plain service."""
    bench = make_bench()
    for name in ("s0", "s1"):
        bench.servers[name].scripts = list(scripts)
    return bench


def calls(bench: Bench) -> int:
    """Return the number of calls that reached the service's servers."""
    return sum(len(bench.servers[name].calls) for name in ("s0", "s1"))


async def test_booking_is_claimed_and_billed_before_answer() -> None:
    bench = with_scripts(BOOKED)
    response = await bench.ask(
        "POST", "/services/booking/bookings", BOOKING, idempotency_key="k-1"
    )
    assert (response.status, response.body) == (201, b'{"slot": 7}')
    (order,) = bench.money.orders
    assert (order.request, order.keyed, order.claim_needed) == ("k-1", True, True)
    assert (order.kind, order.hold) == (RequestKind.BOOKING, 5)
    (outcome,) = bench.money.outcomes
    assert (outcome.state, outcome.charge) == (RequestState.COMPLETE, 5)
    assert outcome.answer == KeptAnswer(201, "application/json", '{"slot": 7}')
    assert bench.money.log[-1] == "finish 2"


LOST: dict[str, Script] = {
    "reset": fails(httpx.ReadError("reset")),
    "half an answer": fails(httpx.RemoteProtocolError("closed early")),
    "no answer in time": fails(httpx.ReadTimeout("slow")),
    "answer to another request": answers(201, BOOKING, X_Attempt_Id="another"),
    "oversized answer": answers(201, b"x" * 5000),
}


@pytest.mark.parametrize("fault", LOST)
async def test_booking_with_lost_answer_runs_once(fault: str) -> None:
    """A booking reaches its service, and its answer is lost or invalid.

    The caller is refused with an unknown outcome, never with "not run".  The booking
    is not sent again, and its recorded state is unknown.
    """
    bench = with_scripts(LOST[fault])
    response = await bench.ask(
        "POST", "/services/booking/bookings", BOOKING, idempotency_key="k-1"
    )
    assert response.error["code"] == "outcome_unknown"
    assert response.error["outcome"] == "unknown"
    assert "not_run" not in response.error
    assert calls(bench) == 1
    (outcome,) = bench.money.outcomes
    assert (outcome.state, outcome.charge) == (RequestState.UNKNOWN, 0)


@pytest.mark.parametrize("fault", LOST)
async def test_repeatable_call_is_repeated(fault: str) -> None:
    """The first answer to a repeatable call is lost; another server answers."""
    bench = with_scripts(LOST[fault], answers(200, b"12"))
    for name in ("s0", "s1"):
        bench.servers[name].scripts = [LOST[fault]]
    bench.app.retries.level = 5.0
    first = bench.app.backends.choose_service("booking")
    assert first is not None
    other = "s1" if first.backend.name == "s0" else "s0"
    bench.servers[other].scripts = [answers(200, b"12")]
    response = await bench.ask("GET", "/services/booking/stock?wood=oak")
    assert (response.status, response.body) == (200, b"12")
    assert bench.money.log == []


@pytest.mark.parametrize("path", ["/stock", "/bookings"])
async def test_unsent_call_goes_to_next_server(path: str) -> None:
    """If the connection fails, the call did not run and may go to another server."""
    bench = make_bench()
    bench.servers["s0"].scripts = [fails(httpx.ConnectError("refused"))]
    bench.servers["s1"].scripts = [BOOKED]
    method = "GET" if path == "/stock" else "POST"
    for _ in range(4):
        response = await bench.ask(method, f"/services/booking{path}", BOOKING)
        assert response.status == 201


async def test_all_servers_unreachable() -> None:
    bench = with_scripts(fails(httpx.ConnectError("refused")))
    response = await bench.ask("POST", "/services/booking/bookings", BOOKING)
    assert response.error["code"] == "no_backend"
    assert response.error["not_run"] is True
    assert bench.money.outcomes[0].state is RequestState.NOT_RUN


@pytest.mark.parametrize(
    ("error", "code", "not_run"),
    [
        (ClaimUnavailableError("table down"), "claim_unavailable", True),
        (OutcomeUnknownError("running elsewhere"), "outcome_unknown", False),
    ],
)
async def test_claim_fails(error: Exception, code: str, not_run: bool) -> None:
    bench = with_scripts(BOOKED)
    bench.money.error = error
    response = await bench.ask("POST", "/services/booking/bookings", BOOKING)
    assert response.error["code"] == code
    assert response.error.get("not_run", False) is not_run
    assert calls(bench) == 0


@pytest.mark.parametrize(
    ("kept", "body", "kind"),
    [
        (KeptAnswer(201, "text/plain", "ja"), b"ja", "text/plain"),
        (
            KeptAnswer(201, "base64:image/png", base64.b64encode(b"\xff\x00").decode()),
            b"\xff\x00",
            "image/png",
        ),
    ],
)
async def test_retry_gets_stored_answer(
    kept: KeptAnswer, body: bytes, kind: str
) -> None:
    bench = with_scripts(BOOKED)
    row = RequestRow(
        RequestState.COMPLETE, RequestKind.BOOKING, "r", "a", "s0", "d", answer=kept
    )
    bench.money.replay = Replay(row, kept)
    response = await bench.ask(
        "POST", "/services/booking/bookings", BOOKING, idempotency_key="k-1"
    )
    assert (response.status, response.body) == (201, body)
    assert response.headers["content-type"] == kind
    assert calls(bench) == 0
    assert bench.money.outcomes == []


@pytest.mark.parametrize(
    ("method", "path", "free", "needed", "price"),
    [
        ("GET", "/stock", True, False, 0),
        ("GET", "/stock/oak", True, False, 0),
        ("GET", "/paid", False, False, 3),
        ("POST", "/bookings", False, True, 5),
        ("POST", "/stock", False, True, 0),
        ("PATCH", "/else", False, True, 0),
    ],
)
async def test_rules(
    method: str, path: str, free: bool, needed: bool, price: int
) -> None:
    bench = with_scripts(answers(200, b"ok"))
    await bench.ask(method, f"/services/booking{path}")
    assert calls(bench) == 1
    if free:
        assert bench.money.orders == []
        return
    assert bench.money.orders[0].claim_needed is needed
    assert bench.money.outcomes[0].charge == price


async def test_no_claim_if_service_honours_keys() -> None:
    route = ServiceRoute("booking", RULES, honours_idempotency_key=True)
    bench = make_bench(make_document(services=(route,), engines=0))
    bench.servers["s0"].scripts = bench.servers["s1"].scripts = [BOOKED]
    path = "/services/booking/bookings"
    await bench.ask("POST", path, BOOKING, idempotency_key="k")
    await bench.ask("POST", path, BOOKING)
    assert [order.claim_needed for order in bench.money.orders] == [False, True]


async def test_headers_and_target_are_forwarded() -> None:
    """Hop-by-hop headers and the API key are not forwarded; all else is."""
    seen: list[httpx.Request] = []

    async def echo(engine: Engine, request: httpx.Request) -> httpx.Response:
        seen.append(request)
        headers = {"Connection": "x-inner", "X-Inner": "1", "ETag": "e", "TE": "t"}
        return httpx.Response(200, headers=headers, content=b"ok")

    bench = with_scripts(echo)
    response = await bench.ask(
        "GET",
        "/services/booking/stock/a%2Fb?x=1&y=%20",
        connection="x-mine, close",
        x_mine="secret hop",
        accept="text/plain",
        traceparent=f"00-{TRACE}-{'2' * 16}-01",
    )
    (request,) = seen
    assert request.url.raw_path == b"/stock/a%2Fb?x=1&y=%20"
    names = set(request.headers)
    assert {"accept", "x-attempt-id"} <= names
    assert TRACE in request.headers["traceparent"]
    assert not {"authorization", "x-mine", "te"} & names
    assert response.headers["etag"] == "e"
    assert "x-inner" not in response.headers


@pytest.mark.parametrize(
    ("path", "body", "code"),
    [
        ("/services/other/x", b"", "service_unknown"),
        ("/services/booking/stock/../bookings", b"", "parameter_invalid"),
        ("/services/booking/bookings", b"x" * 5000, "body_too_large"),
    ],
)
async def test_refused_before_anything_is_sent(
    path: str, body: bytes, code: str
) -> None:
    bench = with_scripts(BOOKED)
    response = await bench.ask("POST", path, body)
    assert response.error["code"] == code
    assert response.error["not_run"] is True
    assert calls(bench) == 0


async def test_concurrency_per_server_is_limited() -> None:
    """Forty callers book at once at two servers with 16 slots each.

    No server runs more than 16 calls at once; the others wait, and all are
    answered.
    """
    bench = make_bench()
    running: dict[str, int] = {}
    max_running = 0

    async def slowly(engine: Engine, request: httpx.Request) -> httpx.Response:
        nonlocal max_running
        host = request.url.host
        running[host] = running.get(host, 0) + 1
        max_running = max(max_running, running[host])
        await anyio.sleep(0.1)
        running[host] -= 1
        return httpx.Response(201, content=b"{}")

    for name in ("s0", "s1"):
        bench.servers[name].scripts = [slowly]
    statuses: list[int] = []

    async def book() -> None:
        response = await bench.ask("POST", "/services/booking/bookings", BOOKING)
        statuses.append(response.status)

    async with anyio.create_task_group() as tasks:
        for _ in range(40):
            tasks.start_soon(book)
    assert statuses == [201] * 40
    assert max_running == 16


async def test_reachable_server_is_used_again() -> None:
    """One of two servers of a service is unreachable for a while.

    After 10 seconds it is reachable again and the other one is not.  Services aren't
    polled, but calls must be sent to the first server again.
    """
    bench = make_bench()
    gone = fails(httpx.ConnectError("refused"))
    bench.servers["s0"].scripts, bench.servers["s1"].scripts = [gone], [BOOKED]
    path = "/services/booking/bookings"
    for _ in range(6):
        assert (await bench.ask("POST", path, BOOKING)).status == 201
    bench.servers["s0"].scripts, bench.servers["s1"].scripts = [BOOKED], [gone]
    await anyio.sleep(10.0)
    for _ in range(6):
        assert (await bench.ask("POST", path, BOOKING)).status == 201
    assert calls(bench) > 6
