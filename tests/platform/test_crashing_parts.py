"""Parts of prompts that crash the engines that write answers on them."""

from __future__ import annotations

import random
from collections import Counter
from pathlib import Path

import anyio
import httpx
import pytest

from tests.platform.fleet import CONTACT_TIME, running_gateways, wait_until_ready
from tests.platform.kit import Gateway, configuration
from tests.platform.soak._run import SoakRun
from tests.platform.standin import RESTART_TABLE

pytestmark = pytest.mark.anyio

FLEET = 5
"""Number of gateways."""

ENGINES = "a" * 14
"""The failure domains of the engines."""

ALLOWED_CRASHES = 5
"""Number of crashes after which the platform expects that a part is known."""

MAX_LATE_RUNS = 3
"""Number of runs that it allows later than `CONTACT_TIME` after them."""

BAD_PAUSE = 0.4
"""Seconds between two requests with a part that crashes engines."""

BAD_FOR = 16.0
"""Seconds for which they are sent."""

SOUND_RATE = 50.0
"""Sound requests per second."""

SESSIONS = 200
"""Number of sound parts that few requests share."""

WHOLE = 0.97
"""Share of the usual sound answers that callers get once the parts are known."""

EVENTS = "events=3&pause=0.03&sound=1"


@pytest.fixture
def anyio_backend() -> str:
    """Run on asyncio, as the gateways do."""
    return "asyncio"


async def ask(gateway: Gateway, path: str, parts: str) -> int:
    """Ask for a stream; return its status, or 0 if it is not whole."""
    name = path.rpartition("/")[2]
    headers = {
        "host": "chat.example",
        "x-ebonyhold-request-id": name,
        "x-ebonyhold-key": "key-vast",
        "x-ebonyhold-deadline-milliseconds": "4000",
        "x-ebonyhold-prompt-prefix": f"{parts},{name}:50",
    }
    url = f"http://{gateway.address}:{gateway.port}{path}?{EVENTS}"
    async with httpx.AsyncClient(verify=False) as client:
        try:
            answer = await client.post(url, headers=headers, content=name.encode())
        except httpx.TransportError:
            return 0
    whole = answer.status_code != 200 or "data: end" in answer.text
    return answer.status_code if whole else 0


async def send_bad(
    soak: SoakRun, rng: random.Random, part: str, parts: str, statuses: list[int]
) -> None:
    """Send requests with a part that crashes engines, no two alike."""
    number = 0

    async def one(gateway: Gateway, path: str) -> None:
        statuses.append(await ask(gateway, path, parts))

    async with anyio.create_task_group() as tasks:
        while True:
            number += 1
            gateway = rng.choice(soak.gateways)
            tasks.start_soon(one, gateway, f"/chat/{part}-{number}")
            await anyio.sleep(BAD_PAUSE * rng.uniform(0.5, 1.5))


async def send_sound(
    soak: SoakRun, rng: random.Random, statuses: list[tuple[float, int]]
) -> None:
    """Send sound requests that share their first part, and their second with few."""
    number = 0

    async def one(gateway: Gateway, path: str, parts: str) -> None:
        sent_at = anyio.current_time()
        statuses.append((sent_at, await ask(gateway, path, parts)))

    async with anyio.create_task_group() as tasks:
        while True:
            number += 1
            session = rng.randrange(SESSIONS)
            parts = f"common:800,shared:300,s{session}:200"
            gateway = rng.choice(soak.gateways)
            tasks.start_soon(one, gateway, f"/chat/sound-{number}", parts)
            await anyio.sleep(1 / SOUND_RATE)


def share_whole(
    statuses: list[tuple[float, int]], after: float, before: float
) -> float:
    """Return the share of the sound requests sent in some time that were answered."""
    found = [status == 200 for at, status in statuses if after <= at < before]
    return sum(found) / len(found)


PARTS = [
    pytest.param(111, {"dead": "common:800,dead:300,shared:200"}, id="in the middle"),
    pytest.param(112, {"dead": "dead:800,shared:300,common:200"}, id="first"),
    pytest.param(
        113,
        {
            "dead-1": "common:800,shared:300,dead-1:200",
            "dead-2": "common:800,shared:300,dead-2:200",
        },
        id="two at once",
    ),
]


@pytest.mark.parametrize(("seed", "bad"), PARTS)
async def test_part_that_crashed_five_servers_reaches_few_more(
    tmp_path: Path, seed: int, bad: dict[str, str]
) -> None:
    """Guards against a part of prompts that crashes servers in ever new requests."""
    rng, statuses = random.Random(seed), list[tuple[float, int]]()
    bad_statuses: list[int] = []
    async with running_gateways(tmp_path, FLEET, configuration(), ENGINES) as soak:
        await wait_until_ready(soak)
        await anyio.sleep(2.0)
        async with anyio.create_task_group() as tasks:
            began = anyio.current_time()
            tasks.start_soon(send_sound, soak, rng, statuses)
            await anyio.sleep(4.0)
            for part, parts in bad.items():
                tasks.start_soon(send_bad, soak, rng, part, parts, bad_statuses)
            await anyio.sleep(BAD_FOR)
            ended = anyio.current_time()
            tasks.cancel_scope.cancel()
        records = await soak.engine_records()
    late: Counter[str] = Counter()
    known = 0.0
    for part in bad:
        runs = sorted(
            run[4] for run in records["runs"] if run[1].startswith(f"/chat/{part}-")
        )
        bound = runs[:ALLOWED_CRASHES][-1] + CONTACT_TIME
        late[part] = sum(at > bound for at in runs)
        known = max(known, bound + CONTACT_TIME)
    assert bad_statuses[-1] == 400
    usual = share_whole(statuses, began, began + 4.0)
    assert max(late.values()) <= MAX_LATE_RUNS, late
    assert not [status for _, status in statuses if status == 400]
    assert share_whole(statuses, known, ended - 1.0) >= WHOLE * usual


ENDS = 12
"""Number of engines that end for another reason, up to three at a time."""


async def test_part_that_all_requests_share_is_not_accused_of_other_ends(
    tmp_path: Path,
) -> None:
    """Guards against refusing what everybody asks for while racks and engines end."""
    rng, statuses = random.Random(114), list[tuple[float, int]]()
    async with running_gateways(tmp_path, FLEET, configuration(), ENGINES) as soak:
        await wait_until_ready(soak)
        async with anyio.create_task_group() as tasks:
            began = anyio.current_time()
            tasks.start_soon(send_sound, soak, rng, statuses)
            await anyio.sleep(3.0)
            ended = 0
            while ended < ENDS:
                for engine in rng.sample(range(len(ENGINES)), rng.randint(1, 3)):
                    ended += 1
                    await soak.write(f"{RESTART_TABLE}//i-{engine}", f"{ended}")
                await anyio.sleep(0.8)
            after = anyio.current_time()
            await anyio.sleep(4.0)
            tasks.cancel_scope.cancel()
    usual = share_whole(statuses, began, began + 3.0)
    assert not [status for _, status in statuses if status == 400]
    assert share_whole(statuses, after + 1.0, after + 3.0) >= WHOLE * usual
