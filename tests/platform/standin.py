"""Stand-in for the platform: the store over HTTP and engines, in one process.

Run ``python -m tests.platform.standin PORT [DOMAINS [LINKS GATEWAYS]]``.  The store
listens on that port, a server of records on the next one, and the engines on those
after it, one for each letter of DOMAINS in the failure domain with that name; usually
three in ``a``.  With LINKS, the store also listens on a port for each of some gateways,
and lists the engines there at the ports of that gateway's links (see `LinkGrid`).
The records are the engines' runs, the requests that engines turned away and the store's
rows.  The store has the platform's published calls and a path, ``/operator``, by which
tests write rows as the operator does.
"""

from __future__ import annotations

import base64
import json
import sys
import time
import zlib
from collections.abc import Awaitable, Callable, Iterator
from contextlib import nullcontext
from functools import partial
from typing import Any
from urllib.parse import parse_qs, urlsplit

import anyio
from attrs import define, field, frozen

from ebonyhold.coordination import (
    Absent,
    AtVersion,
    Check,
    Delete,
    Put,
    Row,
    Transaction,
)
from ebonyhold.exceptions import ConflictError
from ebonyhold.forwarding import (
    CallerConnection,
    CallerLimits,
    CallerListener,
    RequestHead,
)
from ebonyhold.standins import RowHistory
from tests.platform.faulty_answers import FaultyAnswer, send_faulty
from tests.platform.kit import link_port
from tests.platform.places import FALL_TIME, NoPlaceError, Places
from tests.platform.unframed import UnframedAnswer

HOST = "127.0.0.1"
ENTRY_INTERVAL = 0.4
"""Seconds between two writes of an engine's entry in the list of servers."""

REPORT_TARGET = b"/ebonyhold/report"
"""Where an engine states its load; such a request has no identifier."""

EVENT_TOKENS = 5
"""Number of tokens in one event."""

EVENT_PAUSE = 0.02
"""Seconds before each event, unless the request's target sets another pause."""

FAULT_PERIOD = 15
"""Of this many requests, on average one runs but gets no answer, and one gets a broken
stream.
"""

LIMITS_TABLE = "test-limits"
"""The table in which tests write the limits that engines name."""

LEAVING_TABLE = "test-leaving"
"""The table in which tests write what engines state about leaving in their answers."""

REST_TABLE = "test-rest"
"""The table in which tests write for how long engines that shed ask for rest.

An engine with a row turns all requests away; with an empty text it names no time.
"""

RESTART_TABLE = "test-restart"
"""The table in which tests write a number, to restart an engine each time it grows."""

COLD_TABLE = "test-cold"
"""The table in which tests write until when engines are cold.

The time is one of the monotonic clock, in seconds.
"""

SILENT_TABLE = "test-silent"
"""The table in which tests write until when engines send nothing.

The time is one of the monotonic clock, in seconds.  A silent engine still accepts
connections and requests; afterwards it goes on where it was.
"""

SILENCE_CHECK = 0.1
"""Maximum seconds from the removal of its row until an engine goes on."""

BRITTLE_TABLE = "test-brittle"
"""The table in which tests write what engines state about being brittle."""

PLACES_TABLE = "test-places"
"""The table in which tests write how many requests an engine runs at once.

Engines without a row run any number, and are listed with `PLACES`.
"""

PLACES = 64

VERSIONS_TABLE = "test-versions"
"""The table in which tests write the software version of an engine's next start.

The engine takes a new name then, which ends with the version, unless ``SAME_NAME``
follows the version.
"""

FIRST_VERSION = "v1"

SAME_NAME = " same name"

STATE_TABLE = "test-state"
"""The table in which tests write the state with which an engine is listed.

Whatever it is, the engine serves on.
"""

FRAMING_TABLE = "test-framing"
"""The table in which tests write that an engine's answers end with their connection.

A broken one ends inside an event.
"""

FAULTY_TABLE = "test-faulty"
"""The table in which tests write how an engine's answers are faulty."""

STATEMENTS = (
    (b"server-limit", LIMITS_TABLE),
    (b"server-leaving", LEAVING_TABLE),
    (b"server-brittle", BRITTLE_TABLE),
)
"""The fields of all answers of an engine whose values tests write, with the tables."""

CRASH_DELAY = 0.05
"""Seconds from the start of a run that crashes its engine to the crash."""

RESTART_DELAY = 0.8
"""Seconds after a crash until the engine accepts connections again."""

CRASHING_PART = "dead"
"""A part of a prompt with this prefix crashes each engine that writes on it."""

PART_CRASH_DELAY = 0.08
"""Seconds from the start of a run with such a part to the crash."""

PART_CRASH_TIME = 3.0
"""Seconds after such a crash until the engine accepts connections again."""

REQUEST_ID = "x-ebonyhold-request-id"
NOT_RUN = (b"x-ebonyhold-not-executed", b"1")
NO_ANSWER = 0
BROKEN_STREAM = 1
JSON = [(b"content-type", b"application/json")]


@frozen
class Script:
    """The answer that a request's target prescribes, as ``/chat/a?events=9&sound=1``.

    Attributes:
        events: Number of events in the answer; None for as many as the request's
            maximum number of tokens allows.
        pause: Seconds before each event, or before an answer that is one body.
        per_run: Number of events after which each run breaks off; None for no such.
        fault_free: Whether the engine must not inject a fault.
        crashes: Whether the run crashes its engine.
        queued: Whether the run waits until no other such run is in progress.
    """

    events: int | None = None
    pause: float = EVENT_PAUSE
    per_run: int | None = None
    fault_free: bool = False
    crashes: bool = False
    queued: bool = False

    @classmethod
    def from_target(cls, target: str) -> Script:
        """Decode the query of a target; absent parameters get the defaults."""
        query = {name: v[0] for name, v in parse_qs(urlsplit(target).query).items()}
        events, per_run = query.get("events"), query.get("per_run")
        return cls(
            None if events is None else int(events),
            float(query.get("pause", EVENT_PAUSE)),
            None if per_run is None else int(per_run),
            "sound" in query,
            "crash" in query,
            "queued" in query,
        )


def has_fault(request_id: str) -> bool:
    """Return whether a request's id makes an engine inject a fault.

    The engine injects none if the target has ``sound``.
    """
    return zlib.crc32(request_id.encode()) % FAULT_PERIOD in (NO_ANSWER, BROKEN_STREAM)


def has_crashing_part(fields: dict[str, str]) -> bool:
    """Return whether a request's prompt has a part that crashes engines.

    The last part, which no other request has, never does.
    """
    parts = fields.get("x-ebonyhold-prompt-prefix", "").split(",")
    return any(part.startswith(CRASHING_PART) for part in parts[:-1])


def row_key(raw: dict[str, Any]) -> str:
    """Return the key of a row, written ``table/part/rest``."""
    return f"{raw['table']}/{raw['part']}/{raw['key']}"


@define(eq=False)
class StoreApp:
    """Serves the store's calls from rows in memory.

    Attributes:
        history: The rows and their changes.
        addresses: The addresses at which engines are listed, if they are not their own.
    """

    history: RowHistory = field(factory=RowHistory)
    addresses: dict[str, str] = field(factory=dict)

    async def serve(
        self, connection: CallerConnection, head: RequestHead, body: bytes
    ) -> None:
        """Answer one call, with the version and the time of the store."""
        url = urlsplit(head.target.decode())
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        calls: dict[str, Callable[[], Awaitable[tuple[int, Any]]]] = {
            "/ebonyhold/rows-tx": lambda: self.commit(json.loads(body)),
            "/ebonyhold/rows-get": lambda: self.get(query),
            "/ebonyhold/rows-feed": lambda: self.feed(query),
            "/operator": lambda: self.write(json.loads(body)),
        }
        status, answer = await calls[url.path]()
        answer["version-number"] = answer.get("version-number", self.history.version)
        answer["now-ms"] = time.monotonic() * 1000
        await connection.answer(status, JSON, json.dumps(answer).encode())

    async def commit(self, raw: dict[str, Any]) -> tuple[int, Any]:
        """Apply a transaction; if a check fails, return 412 and the checked rows."""
        checks: list[Check] = []
        for item in raw["expected-revision"]:
            version = item["version-number"]
            checks.append(
                AtVersion(row_key(item), version) if version else Absent(row_key(item))
            )
        writes = [
            Put(row_key(item), json.loads(base64.b64decode(item["value"])))
            for item in raw["writes"]
        ]
        removals = [Delete(row_key(item)) for item in raw["remove"]]
        try:
            version = self.history.apply(
                Transaction(tuple(checks), (*writes, *removals))
            )
        except ConflictError as error:
            rows = [self.encode_row(row) for row in error.rows if isinstance(row, Row)]
            return 412, {"rows": rows}
        return 200, {"version-number": version}

    def encode_row(self, row: Row) -> dict[str, Any]:
        """Encode a row as the store's calls return it."""
        table, part, key = row.key.split("/", 2)
        value = self.encode_value(table, key, json.dumps(row.value).encode())
        address = {"table": table, "part": part, "key": key}
        return {**address, "value": value, "version-number": row.version}

    def encode_value(self, table: str, key: str, value: bytes) -> str:
        """Encode a row's value, with the address at which an engine is listed here.

        A value that was written as ``{"base64": …}`` has these bytes.
        """
        if value.startswith(b'{"base64":'):
            return str(json.loads(value)["base64"])
        if table == "servers" and key in self.addresses and value:
            entry = {**json.loads(value), "address": self.addresses[key]}
            value = json.dumps(entry).encode()
        return base64.b64encode(value).decode()

    async def write(self, raw: dict[str, Any]) -> tuple[int, Any]:
        """Write a row as the operator or a server does, or remove it, or write many."""
        for key, value in raw.get("rows", {}).items():
            self.history.apply(Transaction((), (Put(key, value),)))
        if "key" in raw:
            key = raw["key"]
            write = Delete(key) if raw.get("delete") else Put(key, raw["value"])
            self.history.apply(Transaction((), (write,)))
        return 200, {}

    async def get(self, query: dict[str, str]) -> tuple[int, Any]:
        """Return the rows of a range of keys, up to the limit, in order."""
        prefix = f"{query['table']}/{query.get('part', '')}/"
        low, high = query.get("from", ""), query.get("target", "\x7f" * 4)
        rows = [
            row
            for key, row in sorted(self.history.rows.items())
            if key.startswith(prefix) and low <= key[len(prefix) :] < high
        ]
        limit = int(query.get("limit", "500"))
        encoded = [self.encode_row(row) for row in rows[:limit]]
        return 200, {"rows": encoded, "truncated": len(rows) > limit}

    async def feed(self, query: dict[str, str]) -> tuple[int, Any]:
        """Wait for changes of a table and return them; none if the wait ends before."""
        table, after = query["table"], int(query["after-revision"])
        with anyio.move_on_after(int(query["wait-ms"]) / 1000):
            while not self.since(table, after):
                await self.history.changed.wait()
        return 200, {"rows": self.since(table, after)}

    def since(self, table: str, after: int) -> list[dict[str, Any]]:
        """Return the changes of a table after a version."""
        return [
            {
                "table": table,
                "part": "",
                "key": raw.key,
                "version-number": raw.version,
                "value": self.encode_value(table, raw.key, raw.value),
                "deleted": raw.deleted,
            }
            for name, raw in self.history.feed
            if name == table and raw.version > after
        ]


@define(eq=False)
class Run:
    """A run of a request at an engine, with times of the monotonic clock in seconds.

    Attributes:
        request_id: The request's id.
        target: The request's target.
        workspace: The workspace that the gateway named; empty if none.
        prompt: The length of the prompt in tokens.
        engine: The engine's name.
        started_at: When the run started.
        ended_at: When the engine finished or noticed that the connection was closed; 0
            before that.
        sent: Number of events sent.
    """

    request_id: str
    target: str
    workspace: str
    prompt: int
    engine: str
    started_at: float = field(factory=time.monotonic)
    ended_at: float = 0.0
    sent: int = 0

    def to_list(self) -> list[Any]:
        """Return the fields in the order of a record of this run."""
        records = [self.request_id, self.target, self.workspace, self.prompt]
        return [*records, self.started_at, self.ended_at, self.sent, self.engine]


@define(eq=False)
class EngineApp:
    """An engine: it answers ``/book/`` targets with one body, others with a stream.

    Attributes:
        name: Its name in the list of servers.
        runs: The records of all engines' runs.
        started_at: When its process started, in milliseconds since the epoch.
        crash: Ends its process: all connections and the listener.
        stated: Returns what its answers state by a table of this module, as text; None
            for nothing.
        declined: The records of all requests that engines turned away: the request's
            id, the engine's name and the time.
        cold_until: Returns until when it is cold, by the monotonic clock.
        queued: The target and the arrival of each request that may have to wait for
            others.
        domain: Its failure domain.
        queue: Lets one of the queued runs proceed at a time.
        places: Its places.
        falls: When engines have fallen, with their names.
        down_for: For how many seconds it is down after its process has ended.
        version: The version of its software.
        running: Number of requests that it runs.
    """

    name: str
    runs: list[Run]
    started_at: int = field(factory=lambda: int(time.time() * 1000))
    crash: Callable[[], None] = lambda: None
    stated: Callable[[str], str | None] = lambda table: None
    declined: list[tuple[str, str, float]] = field(factory=list)
    queued: list[tuple[str, float]] = field(factory=list)
    cold_until: Callable[[], float] = lambda: 0.0
    domain: str = "a"
    queue: anyio.Lock = field(factory=anyio.Lock)
    places: Places = field(factory=Places)
    falls: list[tuple[str, float]] = field(factory=list)
    down_for: float = RESTART_DELAY
    version: str = FIRST_VERSION
    running: int = 0

    def __attrs_post_init__(self) -> None:
        self.places = Places(self.place_count, self.turn_away_limit, self.fall)

    def place_count(self) -> int | None:
        """Return how many requests it runs at once; None for any number."""
        stated = self.stated(PLACES_TABLE)
        return None if stated is None else int(stated)

    def turn_away_limit(self) -> int | None:
        """Return how many requests it may turn away in a second; None for any."""
        stated = self.stated(BRITTLE_TABLE) or ""
        return int(stated) if stated.isdigit() else None

    async def wait_while_silent(self) -> None:
        """Return when it may send something."""
        while (left := self.silent_for()) > 0:  # noqa: ASYNC110 - its end is a time
            await anyio.sleep(min(left, SILENCE_CHECK))

    def silent_for(self) -> float:
        """Return for how many seconds it sends nothing; not above 0 if it sends."""
        return float(self.stated(SILENT_TABLE) or 0) - time.monotonic()

    def fall(self) -> None:
        """End its process because it had to turn too many requests away."""
        self.falls.append((self.name, time.monotonic()))
        self.down_for = FALL_TIME
        self.crash()

    async def serve(
        self, connection: CallerConnection, head: RequestHead, body: bytes
    ) -> None:
        """Run one request, or turn it away.

        With 421 if it names another engine, and with 503 while this engine sheds.
        """
        fields = {name.decode(): value.decode() for name, value in head.headers}
        if head.target == REPORT_TARGET:
            await self.wait_while_silent()
            report = {
                "waiting-count": 0,
                "running-count": self.running,
                "born": self.started_at,
            }
            await connection.answer(200, JSON, json.dumps(report).encode())
            return
        identity = self.identity(fields)
        if fields["x-ebonyhold-expect-instance"] != self.name:
            await self.wait_while_silent()
            await connection.answer(421, identity, b"")
            return
        rest = self.stated(REST_TABLE)
        if rest is not None:
            self.declined.append((fields[REQUEST_ID], self.name, time.monotonic()))
            asked = [(b"retry-after", rest.encode())] if rest else []
            await self.wait_while_silent()
            await connection.answer(503, [*identity, NOT_RUN, *asked], b"")
            return
        target = head.target.decode()
        queued = Script.from_target(target).queued
        if queued:
            self.queued.append((target, time.monotonic()))
        try:
            async with self.places.take(), self.queue if queued else nullcontext():
                self.running += 1
                try:
                    await self.run(connection, head, fields, body)
                finally:
                    self.running -= 1
        except NoPlaceError:
            self.declined.append((fields[REQUEST_ID], self.name, time.monotonic()))
            await self.wait_while_silent()
            await connection.answer(503, [*identity, NOT_RUN], b"")

    def identity(self, fields: dict[str, str]) -> list[tuple[bytes, bytes]]:
        """Return the fields that each answer to a request has."""
        identity = [(b"x-ebonyhold-request-id", fields[REQUEST_ID].encode())]
        for name, table in STATEMENTS:
            if stated := self.stated(table):
                identity.append((name, stated.encode()))
        return identity

    async def run(
        self,
        connection: CallerConnection,
        head: RequestHead,
        fields: dict[str, str],
        body: bytes,
    ) -> None:
        """Run a request as its target prescribes.

        With the fault `NO_ANSWER` the connection is closed without an answer.  Neither
        a resumed stream nor a target with ``sound`` gets this fault.
        """
        request_id, identity = fields[REQUEST_ID], self.identity(fields)
        prompt, _, max_tokens = fields.get("x-ebonyhold-token-counts", "0,0").partition(
            ","
        )
        workspace = fields.get("x-ebonyhold-tenant", "")
        target = head.target.decode()
        run = Run(request_id, target, workspace, int(prompt), self.name)
        self.runs.append(run)
        resumes = "last-event-id" in fields
        first = int(fields.get("last-event-id", "0")) + 1
        script = Script.from_target(target)
        fault = zlib.crc32(request_id.encode()) % FAULT_PERIOD
        try:
            if has_crashing_part(fields):
                await anyio.sleep(PART_CRASH_DELAY)
                self.down_for = PART_CRASH_TIME
                self.crash()
                await anyio.sleep_forever()
            if script.crashes:
                await anyio.sleep(CRASH_DELAY)
                self.crash()
                await anyio.sleep_forever()
            if fault == NO_ANSWER and not resumes and not script.fault_free:
                await connection.close()
                return
            proof = [*identity, (b"x-ebonyhold-response-stamp", self.name.encode())]
            if faulty := self.stated(FAULTY_TABLE):
                await send_faulty(connection, FaultyAnswer(faulty), proof)
            unframed = UnframedAnswer(connection) if self.ends_by_close() else None
            if "/book/" in target:
                await anyio.sleep(script.pause)
                await self.wait_while_silent()
                if unframed is None:
                    await connection.answer(200, proof, body)
                    return
                await unframed.begin(proof)
                await unframed.send(body)
                await unframed.end()
                return
            fields_sent = [*proof, (b"content-type", b"text/event-stream")]
            await self.wait_while_silent()
            if unframed is None:
                await connection.stream.send(connection.head(200, fields_sent))
            else:
                await unframed.begin(fields_sent)
            events = script.events
            last = int(max_tokens) // EVENT_TOKENS if events is None else events
            numbers = range(first, last + 1)
            await self.stream(unframed or connection, run, numbers, fault)
        finally:
            run.ended_at = time.monotonic()

    def ends_by_close(self) -> bool:
        """Return whether its answers end with their connection."""
        return self.stated(FRAMING_TABLE) is not None

    async def stream(
        self,
        answer: CallerConnection | UnframedAnswer,
        run: Run,
        numbers: range,
        fault: int,
    ) -> None:
        """Send the events of an answer.

        With the fault `BROKEN_STREAM` the connection is closed before event 3 or, if
        the answer ends with its connection, inside of it.  Neither a stream that starts
        at event 3 or later nor one whose target has ``sound`` gets this fault.
        """
        script = Script.from_target(run.target)
        for number in numbers:
            await anyio.sleep(script.pause)
            await self.wait_while_silent()
            if run.sent == script.per_run:
                await answer.close()
                return
            if (
                fault == BROKEN_STREAM
                and number == 3 > numbers.start
                and not script.fault_free
            ):
                if isinstance(answer, UnframedAnswer):
                    await answer.send(b"id: 3\ndata: ")
                    await answer.end()
                else:
                    await answer.close()
                return
            end = "end" if number == numbers.stop - 1 else "more"
            event = f"id: {number}\ndata: {end}\nversion: {self.version}\n\n"
            await answer.send(event.encode())
            run.sent += 1
        await answer.end()

    def entry(self, port: int, sequence: int) -> dict[str, Any]:
        """Return the engine's entry in the list of servers."""
        return {
            "service": "models",
            "address": f"{HOST}:{port}",
            "zone": self.domain,
            "version": self.version,
            "slots": self.place_count() or PLACES,
            "state": self.stated(STATE_TABLE) or "ready",
            "cold-remaining-ms": max(
                0, round((self.cold_until() - time.monotonic()) * 1000)
            ),
            "sequence": sequence,
            "born": self.started_at,
        }


async def renew_entry(store: StoreApp, engine: EngineApp, port: int) -> None:
    """Write an engine's entry to the list of servers at intervals until cancelled."""
    sequence = 0
    while True:
        sequence += 1
        put = Put(f"servers//{engine.name}", engine.entry(port, sequence))
        store.history.apply(Transaction((), (put,)))
        await anyio.sleep(ENTRY_INTERVAL)


def stated_by(store: StoreApp, engine: str, table: str) -> str | None:
    """Return what a test has written for an engine into a table; None if nothing."""
    row = store.history.rows.get(f"{table}//{engine}")
    return str(row.value) if row is not None and row.value is not None else None


def turn_to_next_version(store: StoreApp, engine: EngineApp) -> None:
    """Let an engine that starts run the version that a test has written for it."""
    asked = engine.stated(VERSIONS_TABLE) or engine.version
    version = asked.removesuffix(SAME_NAME)
    if version != engine.version and not asked.endswith(SAME_NAME):
        store.history.apply(Transaction((), (Delete(f"servers//{engine.name}"),)))
        engine.name = f"{engine.name}-{version}"
    engine.version = version


def cold_until(store: StoreApp, engine: str) -> float:
    """Return until when a test has made an engine cold; 0 if it never was."""
    row = store.history.rows.get(f"{COLD_TABLE}//{engine}")
    return float(str(row.value)) if row is not None else 0.0


async def restart_when_asked(store: StoreApp, engine: EngineApp) -> None:
    """End an engine's process when a test asks for it."""
    asked = engine.stated(RESTART_TABLE)
    while engine.stated(RESTART_TABLE) == asked:
        await store.history.changed.wait()
    engine.crash()


async def run_engine(store: StoreApp, engine: EngineApp, port: int) -> None:
    """Run an engine, and restart it after each crash, until cancelled."""
    while True:
        async with anyio.create_task_group() as tasks:
            engine.crash = tasks.cancel_scope.cancel
            listener = CallerListener(engine.serve, CallerLimits)
            tasks.start_soon(listener.run, (HOST, port), tasks)
            tasks.start_soon(renew_entry, store, engine, port)
            tasks.start_soon(restart_when_asked, store, engine)
        await anyio.sleep(engine.down_for)
        engine.down_for = RESTART_DELAY
        engine.places.restart()
        engine.started_at = int(time.time() * 1000)
        turn_to_next_version(store, engine)


def linked_stores(
    store: StoreApp, engines: int, base: int, gateways: int
) -> Iterator[tuple[int, StoreApp]]:
    """Yield the port and the store that each gateway of a grid of links uses."""
    for gateway in range(gateways):
        ports = [
            link_port(base, gateways, engines, gateway, engine)
            for engine in range(engines)
        ]
        addresses = {f"i-{n}": f"{HOST}:{port}" for n, port in enumerate(ports)}
        yield base + gateway, StoreApp(store.history, addresses)


async def main(port: int, domains: str, links: int = 0, gateways: int = 0) -> None:
    """Serve the store, the records and some engines until the process is killed.

    Args:
        port: The store's port; the ports after it are for the records and the engines.
        domains: The failure domain of each engine, one letter each.
        links: The first port of the links between gateways and engines.
        gateways: How many gateways have links; 0 if all use the engines' own ports.
    """
    store = StoreApp()
    runs: list[Run] = []
    declined: list[tuple[str, str, float]] = []
    queued: list[tuple[str, float]] = []
    falls: list[tuple[str, float]] = []

    async def serve_records(
        connection: CallerConnection, head: RequestHead, body: bytes
    ) -> None:
        rows = {key: row.value for key, row in store.history.rows.items()}
        records = [run.to_list() for run in runs]
        found = {
            "runs": records,
            "rows": rows,
            "declined": declined,
            "queued": queued,
            "falls": falls,
        }
        answer = json.dumps(found).encode()
        await connection.answer(200, JSON, answer)

    async with anyio.create_task_group() as tasks:
        limits = CallerLimits
        listener = CallerListener(store.serve, limits)
        tasks.start_soon(listener.run, (HOST, port), tasks)
        for own_port, own in linked_stores(store, len(domains), links, gateways):
            own_listener = CallerListener(own.serve, limits)
            tasks.start_soon(own_listener.run, (HOST, own_port), tasks)
        records_listener = CallerListener(serve_records, limits)
        tasks.start_soon(records_listener.run, (HOST, port + 1), tasks)
        for number, domain in enumerate(domains):
            engine = EngineApp(f"i-{number}", runs, domain=domain)
            engine.stated = partial(stated_by, store, engine.name)
            engine.declined, engine.queued = declined, queued
            engine.falls = falls
            engine.cold_until = partial(cold_until, store, engine.name)
            tasks.start_soon(run_engine, store, engine, port + 2 + number)


if __name__ == "__main__":
    first, *more = sys.argv[1:]
    grid = [int(number) for number in more[1:]] or [0, 0]
    anyio.run(main, int(first), more[0] if more else "aaa", grid[0], grid[1])
