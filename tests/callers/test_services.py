"""Calls to plain services: passed through, and run at most once where it matters."""

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
    """Return a bench whose two services do the same."""
    bench = make_bench()
    for name in ("s0", "s1"):
        bench.servers[name].scripts = list(scripts)
    return bench


def calls(bench: Bench) -> int:
    """Return how many calls reached the services."""
    return sum(len(bench.servers[name].calls) for name in ("s0", "s1"))


async def test_a_booking_is_claimed_run_and_billed_before_its_answer() -> None:
    bench = with_scripts(BOOKED)
    heard = await bench.ask(
        "POST", "/services/booking/bookings", BOOKING, idempotency_key="k-1"
    )
    assert (heard.status, heard.body) == (201, b'{"slot": 7}')
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
async def test_a_booking_whose_answer_is_lost_runs_once(fault: str) -> None:
    """A booking reaches its service and the answer does not come back whole.

    The caller hears that the outcome is unknown, never "not run"; the booking is
    not sent again, and the record says that nobody knows.
    """
    bench = with_scripts(LOST[fault])
    heard = await bench.ask(
        "POST", "/services/booking/bookings", BOOKING, idempotency_key="k-1"
    )
    assert heard.error["code"] == "outcome_unknown"
    assert heard.error["outcome"] == "unknown"
    assert "not_run" not in heard.error
    assert calls(bench) == 1
    (outcome,) = bench.money.outcomes
    assert (outcome.state, outcome.charge) == (RequestState.UNKNOWN, 0)


@pytest.mark.parametrize("fault", LOST)
async def test_a_repeatable_call_is_repeated(fault: str) -> None:
    """A question for the stock loses its first answer; another server answers."""
    bench = with_scripts(LOST[fault], answers(200, b"12"))
    for name in ("s0", "s1"):
        bench.servers[name].scripts = [LOST[fault]]
    bench.app.retries.level = 5.0
    first = bench.app.backends.choose_service("booking")
    assert first is not None
    other = "s1" if first.backend.name == "s0" else "s0"
    bench.servers[other].scripts = [answers(200, b"12")]
    heard = await bench.ask("GET", "/services/booking/stock?wood=oak")
    assert (heard.status, heard.body) == (200, b"12")
    assert bench.money.log == []


@pytest.mark.parametrize("path", ["/stock", "/bookings"])
async def test_what_was_not_sent_goes_to_the_next_server(path: str) -> None:
    """One server refuses connections: nothing ran, so any call may go elsewhere."""
    bench = make_bench()
    bench.servers["s0"].scripts = [fails(httpx.ConnectError("refused"))]
    bench.servers["s1"].scripts = [BOOKED]
    method = "GET" if path == "/stock" else "POST"
    for _ in range(4):
        heard = await bench.ask(method, f"/services/booking{path}", BOOKING)
        assert heard.status == 201


async def test_no_server_at_all_is_not_run() -> None:
    bench = with_scripts(fails(httpx.ConnectError("refused")))
    heard = await bench.ask("POST", "/services/booking/bookings", BOOKING)
    assert heard.error["code"] == "no_backend"
    assert heard.error["not_run"] is True
    assert bench.money.outcomes[0].state is RequestState.NOT_RUN


@pytest.mark.parametrize(
    ("error", "code", "not_run"),
    [
        (ClaimUnavailableError("table down"), "claim_unavailable", True),
        (OutcomeUnknownError("running elsewhere"), "outcome_unknown", False),
    ],
)
async def test_a_claim_that_is_not_had(
    error: Exception, code: str, not_run: bool
) -> None:
    bench = with_scripts(BOOKED)
    bench.money.error = error
    heard = await bench.ask("POST", "/services/booking/bookings", BOOKING)
    assert heard.error["code"] == code
    assert heard.error.get("not_run", False) is not_run
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
async def test_a_retry_hears_the_kept_answer(
    kept: KeptAnswer, body: bytes, kind: str
) -> None:
    bench = with_scripts(BOOKED)
    row = RequestRow(
        RequestState.COMPLETE, RequestKind.BOOKING, "r", "a", "s0", "d", answer=kept
    )
    bench.money.replay = Replay(row, kept)
    heard = await bench.ask(
        "POST", "/services/booking/bookings", BOOKING, idempotency_key="k-1"
    )
    assert (heard.status, heard.body) == (201, body)
    assert heard.headers["content-type"] == kind
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


async def test_a_service_that_honours_keys_needs_no_claim() -> None:
    route = ServiceRoute("booking", RULES, honours_idempotency_key=True)
    bench = make_bench(make_document(services=(route,), engines=0))
    bench.servers["s0"].scripts = bench.servers["s1"].scripts = [BOOKED]
    path = "/services/booking/bookings"
    await bench.ask("POST", path, BOOKING, idempotency_key="k")
    await bench.ask("POST", path, BOOKING)
    assert [order.claim_needed for order in bench.money.orders] == [False, True]


async def test_headers_and_target_pass_through() -> None:
    """Hop-by-hop headers and the API key stay here; the rest goes through."""
    seen: list[httpx.Request] = []

    async def echo(engine: Engine, request: httpx.Request) -> httpx.Response:
        seen.append(request)
        headers = {"Connection": "x-inner", "X-Inner": "1", "ETag": "e", "TE": "t"}
        return httpx.Response(200, headers=headers, content=b"ok")

    bench = with_scripts(echo)
    heard = await bench.ask(
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
    assert heard.headers["etag"] == "e"
    assert "x-inner" not in heard.headers


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
    heard = await bench.ask("POST", path, body)
    assert heard.error["code"] == code
    assert heard.error["not_run"] is True
    assert calls(bench) == 0


async def test_servers_are_bounded() -> None:
    """Forty callers book at once at servers that take sixteen each.

    No server ever runs more than that; the others wait their turn, and all are
    answered.
    """
    bench = make_bench()
    running: dict[str, int] = {}
    most = 0

    async def slowly(engine: Engine, request: httpx.Request) -> httpx.Response:
        nonlocal most
        host = request.url.host
        running[host] = running.get(host, 0) + 1
        most = max(most, running[host])
        await anyio.sleep(0.1)
        running[host] -= 1
        return httpx.Response(201, content=b"{}")

    for name in ("s0", "s1"):
        bench.servers[name].scripts = [slowly]
    statuses: list[int] = []

    async def book() -> None:
        heard = await bench.ask("POST", "/services/booking/bookings", BOOKING)
        statuses.append(heard.status)

    async with anyio.create_task_group() as tasks:
        for _ in range(40):
            tasks.start_soon(book)
    assert statuses == [201] * 40
    assert most == 16


async def test_a_service_that_comes_back_is_used_again() -> None:
    """One server of a service is gone for a while and comes back; nobody polls it.

    Later the other one goes.  Callers are served by the first one again.
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
