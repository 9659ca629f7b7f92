"""Whole daemons on loopback that are told to end while callers keep coming."""

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
    PATIENCE,
    SERVICE,
    STOP_BOUND,
    add_router,
    call,
    callers_of,
    client,
    job,
    read_rows,
    unlist,
    wait_exit,
)

__all__ = ["client"]

pytestmark = [pytest.mark.anyio, pytest.mark.soak]

SLOW_ENGINE = ("--step", "0.05", "--least", "90", "--most", "90")
EVERY: Seconds = 0.03
SHUT: Seconds = 0.6
"""How long before its exit a process may turn connections away: it closes its
sockets, waits for what crosses, and then Python itself takes a while to end."""

FIRST: Seconds = 0.5
LATE: Seconds = 2.8
"""A second signal while streams are waited for."""


@pytest.fixture(scope="module")
def anyio_backend() -> str:
    return "asyncio"


@pytest.fixture(scope="module")
async def fleet(anyio_backend: str) -> AsyncIterator[LocalFleet]:
    """One router, one engine and one plain service, shared by all tests here."""
    document = load_document(EXAMPLE)
    backends = (document.backends[ENGINE], document.backends[SERVICE])
    limits = evolve(document.limits, drain=6.0)
    async with local_fleet(
        evolve(document, backends=backends, limits=limits), 1, SLOW_ENGINE
    ) as running:
        yield running


spawn = LocalFleet.spawn


def spawn_failing(fleet: LocalFleet, name: str, address: str, *rest: str) -> Child:
    """Start the daemon that fails on demand, in the place of the real one."""
    return spawn(fleet, name, address, "tests.daemon.failing_daemon", *rest[1:])


@define
class Heard:
    """What callers heard while a router stopped.

    Attributes:
        counts: How many answers of each status, both kinds of connections.
        wrong: Answers that are neither whole nor a refusal of what didn't run.
        shut: When there was no connection or no answer.
    """

    counts: dict[int, int] = field(factory=dict)
    wrong: list[str] = field(factory=list)
    shut: list[tuple[Seconds, str]] = field(factory=list)

    def note(self, response: httpx.Response) -> None:
        """Note one answer."""
        status = response.status_code
        self.counts[status] = self.counts.get(status, 0) + 1
        if status == HTTPStatus.SERVICE_UNAVAILABLE:
            error = response.json()["error"]
            if not error.get("not_run") or "retry-after" not in response.headers:
                self.wrong.append(response.text)
        elif status != HTTPStatus.OK:
            self.wrong.append(response.text)


async def keep_asking(router: Router, heard: Heard, *, kept: bool) -> None:
    """Ask for the models until the process is gone."""
    callers = callers_of(router)
    headers = callers.headers(job("models", 1))
    limits = httpx.Limits(max_keepalive_connections=1 if kept else 0)
    async with httpx.AsyncClient(
        trust_env=False, timeout=PATIENCE, limits=limits
    ) as asking:
        while router.process.poll() is None:
            try:
                heard.note(await asking.get(f"{router.url}/v1/models", headers=headers))
            except httpx.TransportError as error:
                heard.shut.append((anyio.current_time(), repr(error)))
            await anyio.sleep(EVERY)


async def stream(router: Router, asking: httpx.AsyncClient, key: str) -> str:
    """Stream a long answer and return its last line."""
    callers = callers_of(router)
    wanted = job(key, 90)
    last = ""
    async with asking.stream(
        "POST",
        f"{router.url}/v1/chat/completions",
        json=callers.chat_body(wanted, stream=True),
        headers=callers.headers(wanted),
    ) as response:
        async for line in response.aiter_lines():
            last = line or last
    return last


WAYS = {
    "SIGTERM": ((FIRST, signal.SIGTERM),),
    "SIGINT": ((FIRST, signal.SIGINT),),
    "second signal in the grace": ((FIRST, signal.SIGTERM), (0.5, signal.SIGTERM)),
    "second signal later": ((FIRST, signal.SIGTERM), (LATE, signal.SIGINT)),
    "SIGHUP before SIGTERM": ((FIRST, signal.SIGHUP), (FIRST, signal.SIGTERM)),
    "a part that fails": ((FIRST, signal.SIGUSR1),),
    "SIGHUP in the stop": ((FIRST, signal.SIGTERM), (FIRST, signal.SIGHUP)),
}


@pytest.mark.parametrize("way", WAYS.values(), ids=WAYS)
async def test_callers_while_a_process_ends(
    fleet: LocalFleet,
    client: httpx.AsyncClient,
    monkeypatch: pytest.MonkeyPatch,
    way: tuple[tuple[Seconds, signal.Signals], ...],
) -> None:
    """Every request to a process that ends is answered or refused as not run.

    Callers on new and on kept connections ask all the time, and a stream is under
    way.  There is an answer to each of them until shortly before the exit, and the
    stream ends whole, or with an explicit error where a second signal ends it.
    """
    name = f"entry-{len(fleet.routers) + 1}"
    fails = signal.SIGUSR1 in {number for _, number in way}
    if fails:
        monkeypatch.setattr(LocalFleet, "spawn", spawn_failing)
    router = await add_router(fleet, name)
    await call(client, router, job(f"warm-{name}", 8, Wanted.WHOLE))
    heard = Heard()
    ends: list[str] = []

    async def read() -> None:
        ends.append(await stream(router, client, f"stream-{name}"))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(read)
        for kept in (True, False):

            async def ask(kept: bool = kept) -> None:
                await keep_asking(router, heard, kept=kept)

            tasks.start_soon(ask)
        for wait, number in way:
            await anyio.sleep(wait)
            router.process.send_signal(number)
        code = await wait_exit(router, STOP_BOUND)
        ended = anyio.current_time()
    await unlist(fleet, client, router)
    early = [(ended - at, what) for at, what in heard.shut if ended - at > SHUT]
    assert code == int(fails)
    assert heard.wrong == []
    assert early == []
    assert heard.counts[HTTPStatus.OK] > 0
    hurried = sum(number is not signal.SIGHUP for _, number in way) > 1
    assert ends[0].startswith("data: {") if hurried else ends == ["data: [DONE]"]


async def test_the_callers_port_is_taken(
    fleet: LocalFleet, client: httpx.AsyncClient, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A router whose callers' port is taken leaves its row for others to recover.

    It has registered by then.  It ends by itself with an error, and closes its
    incarnation like any router that stops.
    """
    other = fleet.routers[0]
    ports = iter([other.address.rpartition(":")[2]])
    monkeypatch.setattr(
        _local_fleet, "free_port", lambda: int(next(ports, "0")) or free_port()
    )
    name = f"entry-{len(fleet.routers) + 1}"
    router = fleet.spawn_router(name, fleet.document.domains[0])
    fleet.register(router)
    code = await wait_exit(router, PATIENCE)
    await unlist(fleet, client, router)
    assert code == 1
    assert "Address already in use" in router.log.read_text()
    rows = await read_rows(fleet)
    assert set(rows.incarnations(name).values()) == {RouterState.CLOSED}
    answer = await client.get(f"{other.operators_url}/readyz")
    assert answer.status_code == HTTPStatus.OK


async def test_a_second_signal_leaves_no_money_behind(
    fleet: LocalFleet, client: httpx.AsyncClient
) -> None:
    """A whole answer is under way when an operator signals twice.

    It needs some seconds more and gets them, its bill is filed before the grants go
    back, and the router closes its incarnation with nothing held.
    """
    name = f"entry-{len(fleet.routers) + 1}"
    router = await add_router(fleet, name)
    await call(client, router, job(f"warm-{name}", 8, Wanted.WHOLE))
    key = f"whole-{name}"
    callers = callers_of(router)
    wanted = job(key, 90, Wanted.WHOLE)
    heard: list[httpx.Response] = []

    async def ask() -> None:
        body = callers.chat_body(wanted, stream=False)
        url = f"{router.url}/v1/chat/completions"
        heard.append(await client.post(url, json=body, headers=callers.headers(wanted)))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(ask)
        for _ in range(2):
            await anyio.sleep(FIRST)
            router.terminate()
        code = await wait_exit(router, PATIENCE)
    await unlist(fleet, client, router)
    assert code == 0
    assert heard[0].status_code == HTTPStatus.OK
    rows = await read_rows(fleet)
    assert rows.held(name) == 0
    assert set(rows.incarnations(name).values()) == {RouterState.CLOSED}
    bill = rows.bill(key)
    assert bill is not None
    assert bill.state is RequestState.COMPLETE
    assert bill.charge > 0
