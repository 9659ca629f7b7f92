"""Whole daemons on loopback: their stop, their pause and their doors."""

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
LONG = 90
SHORT = 8
PATIENCE = 30.0
POLL = 0.05
STOP_BOUND = UNREADY_GRACE + 30.0 + FILING_TIMEOUT


@pytest.fixture(scope="module")
def anyio_backend() -> str:
    return "asyncio"


@pytest.fixture(scope="module")
async def fleet(anyio_backend: str) -> AsyncIterator[LocalFleet]:
    """Two routers, one engine and one plain service, shared by all tests here."""
    document = load_document(EXAMPLE)
    backends = (document.backends[ENGINE], document.backends[SERVICE])
    async with local_fleet(
        evolve(document, backends=backends), 2, SLOW_ENGINE
    ) as running:
        yield running


@pytest.fixture
async def client() -> AsyncIterator[httpx.AsyncClient]:
    async with httpx.AsyncClient(trust_env=False, timeout=PATIENCE) as opened:
        yield opened


@frozen
class Rows:
    """The table's rows at one moment."""

    values: dict[str, Any]

    def incarnations(self, name: str) -> dict[str, RouterState]:
        """Return the state of each incarnation of a router."""
        prefix = f"{ROUTER_PREFIX}{name}."
        return {
            key.removeprefix(ROUTER_PREFIX): from_json(value, RouterRow).state
            for key, value in self.values.items()
            if key.startswith(prefix)
        }

    def held(self, name: str) -> int:
        """Return what all incarnations of a router still hold of all budgets."""
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


async def wait_rows(fleet: LocalFleet, wanted: Callable[[Rows], bool]) -> Rows:
    """Wait until the table's rows are as wanted."""
    with anyio.fail_after(PATIENCE):
        while True:
            rows = await read_rows(fleet)
            if wanted(rows):
                return rows
            await anyio.sleep(POLL)


async def wait_exit(router: Router, seconds: float) -> int:
    with anyio.fail_after(seconds):
        while True:
            code = router.process.poll()
            if code is not None:
                return code
            await anyio.sleep(POLL)


def job(key: str, tokens: int, wanted: Wanted = Wanted.STREAM) -> Job:
    return Job(WORKSPACE, wanted, key, MODEL, f"dry oak for {key}", tokens)


def long_answer(wanted: Job) -> str:
    """Return the whole answer of the slow engine, which is `LONG` tokens long."""
    messages = [{"role": "user", "content": wanted.prompt}]
    digest = prompt_digest(wanted.model, words_of(messages))
    return Answer(digest, LONG, LONG).text(LONG)


def callers_of(router: Router) -> Callers:
    return Callers([router.url], random.Random(3), lambda score: None)


async def call(client: httpx.AsyncClient, router: Router, wanted: Job) -> None:
    """Ask one router, and retry as the answers say; the answer must be right."""
    score = await callers_of(router).follow(client, wanted)
    assert score.answered, score
    assert not score.wrong, score


async def unlist(fleet: LocalFleet, client: httpx.AsyncClient, router: Router) -> None:
    """Take a router's VM off the platform's list, as the platform does in the end."""
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
async def test_both_doors_want_a_key(
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


async def test_stop_in_the_midst_of_a_stream(
    fleet: LocalFleet, client: httpx.AsyncClient
) -> None:
    """A rolling restart cuts an answer, or leaves its tokens in a grant.

    SIGTERM comes after the first token.  The caller gets the whole answer, its
    bill is filed, nothing stays held, and the process ends by itself.
    """
    router = await add_router(fleet, "entry-stop")
    await call(client, router, job("before-the-stop", SHORT, Wanted.WHOLE))
    started = anyio.Event()
    text: list[str] = []
    callers = callers_of(router)

    async def read() -> None:
        wanted = job("across-the-stop", LONG)
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
    await unlist(fleet, client, router)
    assert code == 0
    assert text[-1] == "[DONE]"
    parts = [
        choice["delta"].get("content") or ""
        for line in text[:-1]
        for choice in json.loads(line)["choices"]
    ]
    assert "".join(parts) == long_answer(job("across-the-stop", LONG))
    rows = await read_rows(fleet)
    for key in ("before-the-stop", "across-the-stop"):
        bill = rows.bill(key)
        assert bill is not None
        assert bill.state is RequestState.COMPLETE
    assert rows.held("entry-stop") == 0
    assert set(rows.incarnations("entry-stop").values()) == {RouterState.CLOSED}


async def test_paused_router_comes_back(
    fleet: LocalFleet, client: httpx.AsyncClient
) -> None:
    """A VM is paused, another router recovers it, and then it runs on.

    The platform misses it too and takes it off its list, until it is back.

    It still believes in its grants.  It must learn that it was sealed, take a
    new incarnation, and bill each request once, also one sent to it meanwhile.
    """
    paused, other = fleet.routers[:2]
    await call(client, paused, job("before-the-pause", SHORT, Wanted.WHOLE))
    before = set((await read_rows(fleet)).incarnations(paused.name))
    paused.process.send_signal(signal.SIGSTOP)
    try:
        await unlist(fleet, client, paused)
        await call(client, other, job("during-the-pause", SHORT, Wanted.WHOLE))
        rows = await wait_rows(
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
    await call(client, paused, job("before-the-pause", SHORT, Wanted.WHOLE))
    await call(client, paused, job("after-the-pause", SHORT, Wanted.WHOLE))
    await call(client, paused, job("booking-after", SHORT, Wanted.BOOKING))
    rows = await wait_rows(
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


async def test_stop_while_the_table_is_away_at_the_start(
    fleet: LocalFleet, client: httpx.AsyncClient
) -> None:
    """A router that waits for the table at its start has to be killed.

    It cannot register, so it never serves; the signal must end it all the same.
    """
    control = f"{fleet.platform['table'].url}/control"
    await switch(client, control, down=True)
    try:
        router = await fleet.start_router("entry-early", fleet.document.domains[0])
        ready = await client.get(f"{router.operators_url}/readyz")
        assert ready.status_code == HTTPStatus.SERVICE_UNAVAILABLE
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        status = await client.get(f"{router.operators_url}/v1/status", headers=headers)
        assert status.status_code == HTTPStatus.OK
        router.terminate()
        assert await wait_exit(router, PATIENCE) == 0
        await unlist(fleet, client, router)
    finally:
        await switch(client, control, down=False)


async def switch(client: httpx.AsyncClient, control: str, *, down: bool) -> None:
    response = await client.post(control, json={"down": down})
    response.raise_for_status()
