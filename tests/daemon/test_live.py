"""Daemon processes on loopback: stop, pause, and authentication."""

from __future__ import annotations

import json
import random
import signal
from collections.abc import AsyncIterator, Callable
from http import HTTPStatus
from pathlib import Path
from typing import Any

import anyio
import httpx
import pytest
from attrs import evolve, frozen

from ebonyhold.coordination import (
    GRANT_PREFIX,
    ROUTER_PREFIX,
    GrantRow,
    RequestRow,
    RequestState,
    RouterRow,
    RouterState,
    from_json,
    request_key,
)
from ebonyhold.daemon._lifecycle import FILING_TIMEOUT, UNREADY_GRACE
from ebonyhold.document import load_document
from ebonyhold.experiments._callers import Callers, Job, Wanted
from ebonyhold.experiments._local_fleet import (
    OPERATOR_KEY,
    LocalFleet,
    Router,
    local_fleet,
    wait_for_answer,
)
from ebonyhold.experiments.checker import fetch_engines, fetch_rows, fetch_services
from ebonyhold.standins._answers import Answer, prompt_digest, words_of

pytestmark = pytest.mark.anyio

EXAMPLE = Path(__file__).parents[2] / "examples" / "lenha-serrana.yaml"
ENGINE = 0
SERVICE = 6
WORKSPACE = "newcomers"
MODEL = "hearth-8b"
SLOW_ENGINE = ("--step", "0.03", "--least", "90", "--most", "90")
LONG_TOKENS = 90
SHORT_TOKENS = 8
TIMEOUT = 30.0
POLL_INTERVAL = 0.05
STOP_BOUND = UNREADY_GRACE + 30.0 + FILING_TIMEOUT


@pytest.fixture(scope="module")
def anyio_backend() -> str:
    return "asyncio"


@pytest.fixture(scope="module")
async def fleet(anyio_backend: str) -> AsyncIterator[LocalFleet]:
    """Two routers, one engine and one plain service, shared by the module's tests."""
    document = load_document(EXAMPLE)
    backends = (document.backends[ENGINE], document.backends[SERVICE])
    async with local_fleet(
        evolve(document, backends=backends), 2, SLOW_ENGINE
    ) as running:
        yield running


@pytest.fixture
async def client() -> AsyncIterator[httpx.AsyncClient]:
    async with httpx.AsyncClient(trust_env=False, timeout=TIMEOUT) as opened:
        yield opened


@frozen
class Rows:
    """The rows of the table as read at one time."""

    values: dict[str, Any]

    def incarnations(self, name: str) -> dict[str, RouterState]:
        """Return the state of each incarnation of the router with this name."""
        prefix = f"{ROUTER_PREFIX}{name}."
        return {
            key.removeprefix(ROUTER_PREFIX): from_json(value, RouterRow).state
            for key, value in self.values.items()
            if key.startswith(prefix)
        }

    def held(self, name: str) -> int:
        """Return the tokens left in the grants of all incarnations of a router.

        Tokens that are held for requests are included.
        """
        grants = [
            from_json(value, GrantRow)
            for key, value in self.values.items()
            if key.startswith(f"{GRANT_PREFIX}{name}.")
        ]
        return sum(
            one.drawn
            + one.transferred_in
            - one.returned
            - one.billed
            - one.transferred_out
            for one in grants
        )

    def bill(self, key: str) -> RequestRow | None:
        value = self.values.get(request_key(WORKSPACE, key))
        return None if value is None else from_json(value, RequestRow)


async def read_rows(fleet: LocalFleet) -> Rows:
    rows = await anyio.to_thread.run_sync(fetch_rows, fleet.platform["table"].url)
    return Rows({row.key: row.value for row in rows})


async def wait_for_rows(fleet: LocalFleet, condition: Callable[[Rows], bool]) -> Rows:
    """Wait until the condition holds for the table's rows, and return these rows."""
    with anyio.fail_after(TIMEOUT):
        while True:
            rows = await read_rows(fleet)
            if condition(rows):
                return rows
            await anyio.sleep(POLL_INTERVAL)


async def wait_exit(router: Router, seconds: float) -> int:
    with anyio.fail_after(seconds):
        while True:
            code = router.process.poll()
            if code is not None:
                return code
            await anyio.sleep(POLL_INTERVAL)


def job(key: str, tokens: int, wanted: Wanted = Wanted.STREAM) -> Job:
    return Job(WORKSPACE, wanted, key, MODEL, f"dry oak for {key}", tokens)


def long_answer(wanted: Job) -> str:
    """Return the slow engine's whole answer, which has `LONG_TOKENS` tokens."""
    messages = [{"role": "user", "content": wanted.prompt}]
    digest = prompt_digest(wanted.model, words_of(messages))
    return Answer(digest, LONG_TOKENS, LONG_TOKENS).text(LONG_TOKENS)


def callers_of(router: Router) -> Callers:
    return Callers([router.url], random.Random(3), lambda score: None)


async def call(client: httpx.AsyncClient, router: Router, wanted: Job) -> None:
    """Send a job to one router, retry as its answers direct, and check the result."""
    score = await callers_of(router).follow(client, wanted)
    assert score.answered, score
    assert not score.wrong, score


async def remove_member(
    fleet: LocalFleet, client: httpx.AsyncClient, router: Router
) -> None:
    """Remove a router from the platform's list, as the platform does after its end."""
    url = f"{fleet.platform['members'].url}/members/{router.name}"
    (await client.delete(url)).raise_for_status()


async def add_router(fleet: LocalFleet, name: str) -> Router:
    router = await fleet.start_router(name, fleet.document.domains[0])
    await wait_for_answer(f"{router.operators_url}/readyz", router)
    return router


@pytest.mark.parametrize(
    "headers",
    [{}, {"Authorization": "Bearer wrong"}, {"Authorization": f"Basic {OPERATOR_KEY}"}],
    ids=["none", "wrong", "other-scheme"],
)
async def test_both_listeners_require_a_key(
    fleet: LocalFleet, client: httpx.AsyncClient, headers: dict[str, str]
) -> None:
    router = fleet.routers[0]
    for method, url in [
        ("GET", f"{router.operators_url}/v1/status"),
        ("GET", f"{router.operators_url}/v1/budgets"),
        ("PUT", f"{router.operators_url}/v1/document?based_on=1"),
        ("POST", f"{router.url}/v1/chat/completions"),
        ("POST", f"{router.url}/services/bookings/bookings"),
    ]:
        response = await client.request(method, url, headers=headers)
        assert response.status_code == HTTPStatus.UNAUTHORIZED, url


async def test_stop_during_a_stream(
    fleet: LocalFleet, client: httpx.AsyncClient
) -> None:
    """Guards against a rolling restart that cuts an answer or leaves tokens in a grant.

    SIGTERM arrives after the first token. The caller gets the whole answer, its bill
    is filed, nothing stays held, and the process exits with 0.
    """
    router = await add_router(fleet, "entry-stop")
    await call(client, router, job("before-the-stop", SHORT_TOKENS, Wanted.WHOLE))
    started = anyio.Event()
    text: list[str] = []
    callers = callers_of(router)

    async def read() -> None:
        wanted = job("across-the-stop", LONG_TOKENS)
        async with client.stream(
            "POST",
            f"{router.url}/v1/chat/completions",
            json=callers.chat_body(wanted, stream=True),
            headers=callers.headers(wanted),
        ) as response:
            async for line in response.aiter_lines():
                if not line.startswith("data: "):
                    continue
                text.append(line.removeprefix("data: "))
                started.set()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(read)
        await started.wait()
        router.terminate()
        code = await wait_exit(router, STOP_BOUND)
    await remove_member(fleet, client, router)
    assert code == 0
    assert text[-1] == "[DONE]"
    parts = [
        choice["delta"].get("content") or ""
        for line in text[:-1]
        for choice in json.loads(line)["choices"]
    ]
    assert "".join(parts) == long_answer(job("across-the-stop", LONG_TOKENS))
    rows = await read_rows(fleet)
    for key in ("before-the-stop", "across-the-stop"):
        bill = rows.bill(key)
        assert bill is not None
        assert bill.state is RequestState.COMPLETE
    assert rows.held("entry-stop") == 0
    assert set(rows.incarnations("entry-stop").values()) == {RouterState.CLOSED}


async def test_paused_router_resumes(
    fleet: LocalFleet, client: httpx.AsyncClient
) -> None:
    """Guards against a resumed router that goes on with an incarnation that was sealed.

    A router's process is paused, the platform removes the router from the list, and
    another router recovers its incarnation. The resumed process still has the state of
    its grants. It must find that the incarnation was sealed, start a new one, and bill
    each request once.
    """
    paused, other = fleet.routers[:2]
    await call(client, paused, job("before-the-pause", SHORT_TOKENS, Wanted.WHOLE))
    before = set((await read_rows(fleet)).incarnations(paused.name))
    paused.process.send_signal(signal.SIGSTOP)
    try:
        await remove_member(fleet, client, paused)
        await call(client, other, job("during-the-pause", SHORT_TOKENS, Wanted.WHOLE))
        rows = await wait_for_rows(
            fleet,
            lambda rows: all(
                rows.incarnations(paused.name)[one] is RouterState.CLOSED
                for one in before
            ),
        )
        assert rows.held(paused.name) == 0
    finally:
        paused.process.send_signal(signal.SIGCONT)
        fleet.register(paused)
    await call(client, paused, job("before-the-pause", SHORT_TOKENS, Wanted.WHOLE))
    await call(client, paused, job("after-the-pause", SHORT_TOKENS, Wanted.WHOLE))
    await call(client, paused, job("booking-after", SHORT_TOKENS, Wanted.BOOKING))
    rows = await wait_for_rows(
        fleet,
        lambda rows: all(
            (bill := rows.bill(key)) is not None and bill.state is RequestState.COMPLETE
            for key in ("before-the-pause", "after-the-pause", "booking-after")
        ),
    )
    after = rows.incarnations(paused.name)
    assert [after[one] for one in set(after) - before] == [RouterState.OPEN]
    ran = fetch_services((fleet.backends["booking-1"].url,))
    assert len(ran) == 1
    attempts = {one.attempt for one in fetch_engines((fleet.backends["engine-1"].url,))}
    bill = rows.bill("before-the-pause")
    assert bill is not None
    assert bill.attempt in attempts


async def test_stop_while_the_start_waits_for_the_table(
    fleet: LocalFleet, client: httpx.AsyncClient
) -> None:
    """Guards against a router that ignores signals while its start waits for the table.

    The router answers operators but can't register. A signal must end the process.
    """
    control = f"{fleet.platform['table'].url}/control"
    await set_down(client, control, down=True)
    try:
        router = await fleet.start_router("entry-early", fleet.document.domains[0])
        ready = await client.get(f"{router.operators_url}/readyz")
        assert ready.status_code == HTTPStatus.SERVICE_UNAVAILABLE
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        status = await client.get(f"{router.operators_url}/v1/status", headers=headers)
        assert status.status_code == HTTPStatus.OK
        router.terminate()
        assert await wait_exit(router, TIMEOUT) == 0
        await remove_member(fleet, client, router)
    finally:
        await set_down(client, control, down=False)


async def set_down(client: httpx.AsyncClient, control: str, *, down: bool) -> None:
    response = await client.post(control, json={"down": down})
    response.raise_for_status()
