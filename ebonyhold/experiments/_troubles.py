"""What may go wrong in a trial: each trouble strikes again and again."""

from __future__ import annotations

import random
import signal
import time
from collections.abc import Awaitable, Callable
from datetime import UTC, datetime, timedelta
from http import HTTPStatus

import httpx
from attrs import define, field

from ebonyhold.experiments._evidence import (
    AcceptedVersion,
    StopRecord,
    VersionSighting,
)
from ebonyhold.experiments._local_fleet import OPERATOR_KEY, Child, LocalFleet
from ebonyhold.types import Seconds

STREAM_FAULTS = ("die", "half", "malformed", "doubled", "skipped", "crossed")
LOSSES = ("lose_answers", "lose_requests")
TABLE_FAULTS = ("lose_answers", "lose_requests", "late", "throttled")
MOST_TOKENS_BEFORE = 6
OVERSHOOT = 30
EARLY = 0.02
"""The part of the requests after which a router counts as only just started."""

REBOOT_CHANCE = 0.2
STOP_LENGTH = timedelta(seconds=20)
STOP_GRACE: Seconds = 5.0
OUTAGE: Seconds = 1.5
SLOWNESS: Seconds = 0.8
FREEZE: Seconds = 10.0
OPERATOR_HEADERS = {"Authorization": f"Bearer {OPERATOR_KEY}"}


@define
class Strikes:
    """What the troubles of one trial need, and what they note.

    Attributes:
        fleet: The processes.
        client: Reaches their control endpoints.
        chance: Chooses whom to strike.
        progress: The part of the requests that has ended.
        killed: Whether a router was ended.
        stops: The planned stops.
        accepted: The versions that were accepted on the way.
        sightings: The versions that the routers said were in force.
        down_since: When the table was last taken down or up; 0 before.
        frozen_at: When a router was paused; 0 before.
    """

    fleet: LocalFleet
    client: httpx.AsyncClient
    chance: random.Random
    progress: float = 0.0
    killed: bool = False
    stops: list[StopRecord] = field(factory=list)
    accepted: list[AcceptedVersion] = field(factory=list)
    sightings: list[VersionSighting] = field(factory=list)
    down_since: float = 0.0
    frozen_at: float = 0.0

    @property
    def engines(self) -> list[Child]:
        """The engines' stand-ins."""
        backends = self.fleet.backends
        return [child for name, child in backends.items() if is_engine(name)]

    @property
    def services(self) -> list[Child]:
        """The plain services' stand-ins."""
        backends = self.fleet.backends
        return [child for name, child in backends.items() if not is_engine(name)]

    async def control(self, child: Child, **switches: object) -> None:
        """Set fault switches of a stand-in."""
        reply = await self.client.post(f"{child.url}/control", json=switches)
        reply.raise_for_status()


def is_engine(name: str) -> bool:
    """Tell an engine from a plain service by its name in the examples."""
    return name.startswith("engine")


Trouble = Callable[[Strikes], Awaitable[None]]
TROUBLES: dict[str, Trouble] = {}


def trouble(name: str) -> Callable[[Trouble], Trouble]:
    """Register a trouble."""

    def register(strike: Trouble) -> Trouble:
        TROUBLES[name] = strike
        return strike

    return register


@trouble("streams")
async def spoil_stream(strikes: Strikes) -> None:
    """Spoil the next answer of an engine."""
    after = strikes.chance.randint(0, MOST_TOKENS_BEFORE)
    fault = {"kind": strikes.chance.choice(STREAM_FAULTS), "after": after}
    await strikes.control(strikes.chance.choice(strikes.engines), stream=fault)


@trouble("overshoot")
async def overshoot(strikes: Strikes) -> None:
    """Let an engine run beyond the bound."""
    engine = strikes.chance.choice(strikes.engines)
    await strikes.control(engine, overshoot={"tokens": OVERSHOOT})


@trouble("reboot")
async def reboot(strikes: Strikes) -> None:
    """Restart an engine now and then: it forgets what it ran."""
    if strikes.chance.random() < REBOOT_CHANCE:
        await strikes.control(strikes.chance.choice(strikes.engines), reboot=True)


@trouble("services")
async def lose_booking(strikes: Strikes) -> None:
    """Lose the next booking, or the answer to it."""
    service = strikes.chance.choice(strikes.services)
    await strikes.control(service, **{strikes.chance.choice(LOSSES): 1})


@trouble("table")
async def disturb_table(strikes: Strikes) -> None:
    """Lose, delay or refuse a write of the table."""
    table = strikes.fleet.platform["table"]
    fault = {strikes.chance.choice(TABLE_FAULTS): 1}
    await strikes.control(table, flush=True, **fault)


@trouble("objects")
async def disturb_objects(strikes: Strikes) -> None:
    """Lose a write of the object store."""
    objects = strikes.fleet.platform["objects"]
    await strikes.control(objects, **{strikes.chance.choice(LOSSES): 1})


@trouble("outage")
async def take_table_down(strikes: Strikes) -> None:
    """Take the table down for a while, and up again for as long."""
    now = time.monotonic()
    if now < strikes.down_since + OUTAGE:
        return
    strikes.down_since = now
    table = strikes.fleet.platform["table"]
    is_down = strikes.chance.random() < 0.5
    await strikes.control(table, down=is_down)


@trouble("kill")
async def kill_router(strikes: Strikes) -> None:
    """End one router without warning, a third into the trial."""
    if strikes.progress > 1 / 3 and not strikes.killed:
        strikes.killed = True
        strikes.fleet.routers[0].kill()


@trouble("early")
async def kill_early(strikes: Strikes) -> None:
    """End one router without warning, within its first answers."""
    if strikes.progress > EARLY and not strikes.killed:
        strikes.killed = True
        strikes.fleet.routers[0].kill()


@trouble("freeze")
async def freeze_router(strikes: Strikes) -> None:
    """Pause one router for longer than its peers believe in it, then let it go on.

    It still believes that it holds its grants, and goes on with its streams.
    """
    now = time.monotonic()
    process = strikes.fleet.routers[1].process
    if strikes.frozen_at and now > strikes.frozen_at + FREEZE:
        process.send_signal(signal.SIGCONT)
    elif not strikes.frozen_at and strikes.progress > 1 / 4:
        strikes.frozen_at = now
        process.send_signal(signal.SIGSTOP)


@trouble("slow")
async def slow_table(strikes: Strikes) -> None:
    """Make the table slow for a while, and fast again."""
    is_slow = strikes.chance.random() < 0.5
    delay = SLOWNESS if is_slow else 0.0
    await strikes.control(strikes.fleet.platform["table"], answer_slow=delay)


@trouble("stop")
async def plan_stop(strikes: Strikes) -> None:
    """Plan the stop of one engine, a quarter into the trial."""
    if strikes.stops or strikes.progress < 1 / 4:
        return
    engine = strikes.engines[-1]
    now = datetime.now(UTC)
    stop = {
        "backend": engine.name,
        "starts": now.isoformat(),
        "ends": (now + STOP_LENGTH).isoformat(),
    }
    url = strikes.fleet.routers[-1].operators_url
    reply = await strikes.client.put(
        f"{url}/v1/stops/trial", json=stop, headers=OPERATOR_HEADERS
    )
    if reply.status_code != HTTPStatus.OK:
        # The table may be out of reach; the operator tries again soon.
        return
    version = int(reply.json()["version"])
    strikes.accepted.append(AcceptedVersion(version, time.time()))
    end = (now + STOP_LENGTH).timestamp()
    strikes.stops.append(StopRecord(engine.name, time.time(), end, STOP_GRACE))


async def sight_versions(strikes: Strikes) -> None:
    """Note the version in force at each router that answers."""
    for router in strikes.fleet.routers:
        url = f"{router.operators_url}/v1/status"
        try:
            reply = await strikes.client.get(url, headers=OPERATOR_HEADERS)
            version = int(reply.json()["version"])
        except (httpx.HTTPError, ValueError, KeyError):
            continue
        strikes.sightings.append(VersionSighting(router.name, version, time.time()))


async def calm(strikes: Strikes) -> None:
    """End all troubles, so that the fleet can settle."""
    if strikes.frozen_at:
        strikes.fleet.routers[1].process.send_signal(signal.SIGCONT)
    switches: dict[str, object] = {"down": False, "flush": True, "answer_slow": 0.0}
    switches |= dict.fromkeys((*TABLE_FAULTS,), 0)
    backends = strikes.fleet.backends.values()
    for child in (*backends, *strikes.fleet.platform.values()):
        await strikes.control(child, **switches)
