"""Daemon processes on loopback that are stopped while callers send requests."""

from __future__ import annotations

import signal
from collections.abc import AsyncIterator
from http import HTTPStatus

import anyio
import httpx
import pytest
from attrs import define, evolve, field

from ebonyhold.coordination import RequestState, RouterState
from ebonyhold.document import load_document
from ebonyhold.experiments import _local_fleet
from ebonyhold.experiments._callers import Wanted
from ebonyhold.experiments._local_fleet import Child, LocalFleet, Router, local_fleet
from ebonyhold.misc import free_port
from ebonyhold.types import Seconds
from tests.daemon.test_live import (
    ENGINE,
    EXAMPLE,
    SERVICE,
    STOP_BOUND,
    TIMEOUT,
    add_router,
    call,
    callers_of,
    client,
    job,
    read_rows,
    remove_member,
    wait_exit,
)

__all__ = ["client"]

pytestmark = [pytest.mark.anyio, pytest.mark.soak]

SLOW_ENGINE = ("--step", "0.05", "--least", "90", "--most", "90")
REQUEST_INTERVAL: Seconds = 0.03
CLOSED_TIME: Seconds = 0.6
"""How long before its exit a process may refuse connections.

It closes its listening sockets, waits for late requests, and then Python needs some
time to exit.
"""

FIRST: Seconds = 0.5
LATE: Seconds = 2.8
"""Delay of a second signal that arrives while the stop waits for streams."""


@pytest.fixture(scope="module")
def anyio_backend() -> str:
    return "asyncio"


@pytest.fixture(scope="module")
async def fleet(anyio_backend: str) -> AsyncIterator[LocalFleet]:
    """One router, one engine and one plain service, shared by the module's tests."""
    document = load_document(EXAMPLE)
    backends = (document.backends[ENGINE], document.backends[SERVICE])
    limits = evolve(document.limits, drain=6.0)
    async with local_fleet(
        evolve(document, backends=backends, limits=limits), 1, SLOW_ENGINE
    ) as running:
        yield running


spawn = LocalFleet.spawn


def spawn_failing(fleet: LocalFleet, name: str, address: str, *rest: str) -> Child:
    """Start a daemon whose upkeep task fails at SIGUSR1, in place of the real one."""
    return spawn(fleet, name, address, "tests.daemon.failing_daemon", *rest[1:])


@define
class Responses:
    """The answers to all requests that were sent while a router stopped.

    Attributes:
        counts: Number of answers by HTTP status, on new and kept connections.
        wrong: Bodies of answers that are neither 200 nor a refusal as not run with a
            retry-after header.
        unanswered: Time and error of each request that got no connection or no answer.
    """

    counts: dict[int, int] = field(factory=dict)
    wrong: list[str] = field(factory=list)
    unanswered: list[tuple[Seconds, str]] = field(factory=list)

    def record(self, response: httpx.Response) -> None:
        """Count one answer, and keep its body if it is wrong."""
        status = response.status_code
        self.counts[status] = self.counts.get(status, 0) + 1
        if status == HTTPStatus.SERVICE_UNAVAILABLE:
            error = response.json()["error"]
            if not error.get("not_run") or "retry-after" not in response.headers:
                self.wrong.append(response.text)
        elif status != HTTPStatus.OK:
            self.wrong.append(response.text)


async def keep_requesting(router: Router, responses: Responses, *, kept: bool) -> None:
    """Request the model list until the process has exited.

    Args:
        router: The router.
        responses: Receives the answers.
        kept: Whether to keep the connection between requests.
    """
    callers = callers_of(router)
    headers = callers.headers(job("models", 1))
    limits = httpx.Limits(max_keepalive_connections=1 if kept else 0)
    async with httpx.AsyncClient(
        trust_env=False, timeout=TIMEOUT, limits=limits
    ) as http:
        while router.process.poll() is None:
            try:
                responses.record(
                    await http.get(f"{router.url}/v1/models", headers=headers)
                )
            except httpx.TransportError as error:
                responses.unanswered.append((anyio.current_time(), repr(error)))
            await anyio.sleep(REQUEST_INTERVAL)


async def stream(router: Router, http: httpx.AsyncClient, key: str) -> str:
    """Stream a long answer and return its last non-empty line."""
    callers = callers_of(router)
    wanted = job(key, 90)
    last = ""
    async with http.stream(
        "POST",
        f"{router.url}/v1/chat/completions",
        json=callers.chat_body(wanted, stream=True),
        headers=callers.headers(wanted),
    ) as response:
        async for line in response.aiter_lines():
            last = line or last
    return last


SIGNAL_SEQUENCES = {
    "SIGTERM": ((FIRST, signal.SIGTERM),),
    "SIGINT": ((FIRST, signal.SIGINT),),
    "second signal in the grace": ((FIRST, signal.SIGTERM), (0.5, signal.SIGTERM)),
    "second signal later": ((FIRST, signal.SIGTERM), (LATE, signal.SIGINT)),
    "SIGHUP before SIGTERM": ((FIRST, signal.SIGHUP), (FIRST, signal.SIGTERM)),
    "a part that fails": ((FIRST, signal.SIGUSR1),),
    "SIGHUP in the stop": ((FIRST, signal.SIGTERM), (FIRST, signal.SIGHUP)),
}


@pytest.mark.parametrize("sequence", SIGNAL_SEQUENCES.values(), ids=SIGNAL_SEQUENCES)
async def test_callers_while_a_process_ends(
    fleet: LocalFleet,
    client: httpx.AsyncClient,
    monkeypatch: pytest.MonkeyPatch,
    sequence: tuple[tuple[Seconds, signal.Signals], ...],
) -> None:
    """Guards against requests to a stopping process that get no answer.

    Callers on new and kept connections send requests all the time, and a stream is in
    progress. Until `CLOSED_TIME` before the exit each request is answered or refused
    as not run. The stream ends whole, or with an error event if a second signal ends
    it.
    """
    name = f"entry-{len(fleet.routers) + 1}"
    fails = signal.SIGUSR1 in {number for _, number in sequence}
    if fails:
        monkeypatch.setattr(LocalFleet, "spawn", spawn_failing)
    router = await add_router(fleet, name)
    await call(client, router, job(f"warm-{name}", 8, Wanted.WHOLE))
    responses = Responses()
    ends: list[str] = []

    async def read() -> None:
        ends.append(await stream(router, client, f"stream-{name}"))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(read)
        for kept in (True, False):

            async def ask(kept: bool = kept) -> None:
                await keep_requesting(router, responses, kept=kept)

            tasks.start_soon(ask)
        for wait, number in sequence:
            await anyio.sleep(wait)
            router.process.send_signal(number)
        code = await wait_exit(router, STOP_BOUND)
        ended = anyio.current_time()
    await remove_member(fleet, client, router)
    too_early = [
        (ended - at, what)
        for at, what in responses.unanswered
        if ended - at > CLOSED_TIME
    ]
    assert code == int(fails)
    assert responses.wrong == []
    assert too_early == []
    assert responses.counts[HTTPStatus.OK] > 0
    hurried = sum(number is not signal.SIGHUP for _, number in sequence) > 1
    assert ends[0].startswith("data: {") if hurried else ends == ["data: [DONE]"]


async def test_callers_port_is_in_use(
    fleet: LocalFleet, client: httpx.AsyncClient, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a failed start that leaves the router's row open.

    The router has registered when it finds that the callers' port is in use. It exits
    with an error and closes its incarnation like any router that stops.
    """
    other = fleet.routers[0]
    ports = iter([other.address.rpartition(":")[2]])
    monkeypatch.setattr(
        _local_fleet, "free_port", lambda: int(next(ports, "0")) or free_port()
    )
    name = f"entry-{len(fleet.routers) + 1}"
    router = fleet.spawn_router(name, fleet.document.domains[0])
    fleet.register(router)
    code = await wait_exit(router, TIMEOUT)
    await remove_member(fleet, client, router)
    assert code == 1
    assert "Address already in use" in router.log.read_text()
    rows = await read_rows(fleet)
    assert set(rows.incarnations(name).values()) == {RouterState.CLOSED}
    answer = await client.get(f"{other.operators_url}/readyz")
    assert answer.status_code == HTTPStatus.OK


async def test_second_signal_returns_all_tokens(
    fleet: LocalFleet, client: httpx.AsyncClient
) -> None:
    """Guards against tokens that stay held after a second signal.

    An answer that isn't streamed is in progress and needs some seconds more, which it
    gets. Its bill is filed before the grants are returned, and the router closes its
    incarnation with nothing held.
    """
    name = f"entry-{len(fleet.routers) + 1}"
    router = await add_router(fleet, name)
    await call(client, router, job(f"warm-{name}", 8, Wanted.WHOLE))
    key = f"whole-{name}"
    callers = callers_of(router)
    wanted = job(key, 90, Wanted.WHOLE)
    responses: list[httpx.Response] = []

    async def ask() -> None:
        body = callers.chat_body(wanted, stream=False)
        url = f"{router.url}/v1/chat/completions"
        responses.append(
            await client.post(url, json=body, headers=callers.headers(wanted))
        )

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(ask)
        for _ in range(2):
            await anyio.sleep(FIRST)
            router.terminate()
        code = await wait_exit(router, TIMEOUT)
    await remove_member(fleet, client, router)
    assert code == 0
    assert responses[0].status_code == HTTPStatus.OK
    rows = await read_rows(fleet)
    assert rows.held(name) == 0
    assert set(rows.incarnations(name).values()) == {RouterState.CLOSED}
    bill = rows.bill(key)
    assert bill is not None
    assert bill.state is RequestState.COMPLETE
    assert bill.charge > 0
