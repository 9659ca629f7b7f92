"""Stand-ins for the cases of the second review: store, engines, consumers, routers.

Only the standard library is used. Everything listens on loopback addresses. The store
and the consumers run in the script's own process; routers are processes of their own,
started with the command of the deploy file. What the stand-ins speak is what the users'
pages PROTOCOL.md and DEPLOY.md say.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qsl

ROOT = Path(__file__).resolve().parents[2]

HOST = "127.0.0.1"
"""Where the store and the engines listen."""

STRIDE = 5
"""Tokens in one event of a stream."""

BEAT = 1.2
"""Seconds between two writes of an engine's entry (`heartbeat-ms`)."""

Headers = list[tuple[str, str]]


class CannotRun(Exception):
    """The case could not run, so that it shows nothing."""


def free_port(host: str = HOST) -> int:
    """Return a free port of a loopback address."""
    chooser = random.SystemRandom()
    while True:
        port = chooser.randrange(20_000, 32_000)
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            probe.bind((host, port))
            return port


@dataclass
class Message:
    """A request or an answer: its first line, its fields and its body."""

    first: str
    fields: Headers
    body: bytes = b""

    def value(self, name: str) -> str:
        """Return the first value of a field; empty if there is none."""
        for field_name, value in self.fields:
            if field_name == name:
                return value
        return ""


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read the head of a message; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw.decode("latin-1").rstrip("\r\n").split("\r\n")
    fields = []
    for line in lines:
        name, _, value = line.partition(":")
        fields.append((name.strip().lower(), value.strip()))
    return Message(first, fields)


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a request with its body, which has a length or chunks."""
    message = await read_head(reader)
    if message is None:
        return None
    if message.value("transfer-encoding") == "chunked":
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                break
            parts.append(part[:-2])
        message.body = b"".join(parts)
    else:
        length = int(message.value("content-length") or 0)
        message.body = await reader.readexactly(length)
    return message


def encode(status: int, fields: Headers, body: bytes) -> bytes:
    """Return the bytes of an answer with its length."""
    lines = [f"HTTP/1.1 {status} Answer"]
    lines += [f"{name}: {value}" for name, value in fields]
    lines += [f"content-length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Clock:
    """Seconds since the start of the case."""

    def __init__(self) -> None:
        self.began = time.monotonic()

    def now(self) -> float:
        """Return the time, rounded to milliseconds."""
        return round(time.monotonic() - self.began, 3)


class Record:
    """The file `record.txt`: what was sent, answered and run."""

    def __init__(self, folder: Path, clock: Clock) -> None:
        self.clock = clock
        self.file = (folder / "record.txt").open("w")

    def write(self, text: str) -> None:
        """Write one line with the time."""
        self.file.write(f"{self.clock.now():8.3f}  {text}\n")
        self.file.flush()


RowKey = tuple[str, str, str]


@dataclass
class Call:
    """A call of a router that writes: what the case may do to its answer."""

    router: str
    body: dict[str, Any]

    @property
    def removed(self) -> list[RowKey]:
        """The keys of the rows that it removes."""
        return [(r["table"], r["part"], r["key"]) for r in self.body.get("remove", ())]


class Store:
    """The platform's store: rows, transactions and the feed of changes.

    `late_by` decides for each write whether its answer is lost: it returns the seconds
    after which the write is carried out, if its condition still holds, or None for an
    ordinary answer. A channel on which an answer is lost delivers nothing further.
    """

    def __init__(self, clock: Clock, record: Record) -> None:
        self.clock, self.record = clock, record
        self.port = free_port()
        self.rows: dict[RowKey, tuple[int, str]] = {}
        self.changes: list[tuple[int, RowKey, str | None]] = []
        self.version = 0
        self.changed = asyncio.Event()
        self.late_by: Callable[[Call], float | None] = lambda call: None
        self.calls = 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen for calls."""
        await asyncio.start_server(self.serve, HOST, self.port)

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row as the operator or an engine does."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.apply([((table, "", key), text)])

    def drop(self, table: str, key: str) -> None:
        """Remove a row as the platform does."""
        self.apply([((table, "", key), None)])

    def value(self, key: RowKey) -> Any:
        """Return the decoded value of a row; None if there is none."""
        row = self.rows.get(key)
        return None if row is None else json.loads(base64.b64decode(row[1]))

    def apply(self, writes: list[tuple[RowKey, str | None]]) -> int:
        """Apply writes and removals as one transaction; return its version."""
        self.version += 1
        for key, text in writes:
            if text is None:
                if self.rows.pop(key, None) is None:
                    continue
            else:
                self.rows[key] = (self.version, text)
            self.changes.append((self.version, key, text))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the calls of one connection."""
        try:
            while (call := await read_message(reader)) is not None:
                self.calls += 1
                answer = await self.answer(call, writer)
                if answer is None:
                    # The answer is lost, and the channel delivers nothing further.
                    while await reader.read(65_536):
                        pass
                    return
                status, body = answer
                body.setdefault("version-number", self.version)
                body["now-ms"] = time.monotonic() * 1000
                kind = [("content-type", "application/json")]
                writer.write(encode(status, kind, json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            # At the end of a case, its event loop is closed before its channels.
            with contextlib.suppress(RuntimeError):
                writer.close()

    async def answer(
        self, call: Message, writer: asyncio.StreamWriter
    ) -> tuple[int, dict[str, Any]] | None:
        """Carry out one call; return None if its answer is lost."""
        _, target, _ = call.first.split(" ")
        path, _, query_text = target.partition("?")
        query = dict(parse_qsl(query_text, keep_blank_values=True))
        if path == "/ebonyhold/rows-tx":
            await asyncio.sleep(0.012)
            body = json.loads(call.body)
            router = str(writer.get_extra_info("peername")[0])
            late = self.late_by(Call(router, body))
            if late is None:
                return self.commit(body)
            task = asyncio.create_task(self.commit_late(body, late))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            return None
        if path == "/ebonyhold/rows-get":
            await asyncio.sleep(0.004)
            return self.get(query)
        if path == "/ebonyhold/rows-feed":
            return await self.feed(query)
        return 404, {}

    async def commit_late(self, body: dict[str, Any], late: float) -> None:
        """Carry out a write whose answer is lost, if its condition still holds then."""
        await asyncio.sleep(late)
        status, _ = self.commit(body)
        removed = [row["key"] for row in body.get("remove", ())]
        written = [row["key"] for row in body.get("writes", ())]
        self.record.write(
            f"store carries out a write of {late:.1f} s ago: status {status}, "
            f"writes {written}, removes {removed}"
        )

    def commit(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Carry out a transaction, if its conditions hold."""
        failed = False
        current = []
        for check in body.get("expected-revision", ()):
            key = (check["table"], check["part"], check["key"])
            version, text = self.rows.get(key, (0, ""))
            failed |= version != check["version-number"]
            if version:
                current.append(encode_row(key, version, text))
        if failed:
            return 412, {"rows": current}
        writes: list[tuple[RowKey, str | None]] = [
            ((row["table"], row["part"], row["key"]), row["value"])
            for row in body.get("writes", ())
        ]
        writes += [
            ((row["table"], row["part"], row["key"]), None)
            for row in body.get("remove", ())
        ]
        return 200, {"version-number": self.apply(writes)}

    def get(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        """Return the rows of a range."""
        low, high = query.get("from", ""), query.get("target", "\U0010ffff")
        limit = min(500, int(query.get("limit", "500")))
        found = [
            encode_row(key, version, text)
            for key, (version, text) in sorted(self.rows.items())
            if key[:2] == (query["table"], query.get("part", ""))
            and low <= key[2] < high
        ]
        return 200, {"rows": found[:limit], "truncated": len(found) > limit}

    async def feed(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        """Return the changes of a table after a version, as soon as there are some."""
        table, after = query["table"], int(query["after-revision"])
        until = time.monotonic() + int(query.get("wait-ms", "0")) / 1000
        while True:
            rows = [
                encode_row(key, version, text or "", deleted=text is None)
                for version, key, text in self.changes
                if key[0] == table and version > after
            ]
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": rows}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)


def encode_row(
    key: RowKey, version: int, text: str, deleted: bool = False
) -> dict[str, Any]:
    """Return a row as the store's answers hold it."""
    table, part, name = key
    row: dict[str, Any] = {"table": table, "part": part, "key": name}
    row.update({"version-number": version, "value": text})
    if deleted:
        row["deleted"] = True
    return row


def configuration(
    version: int = 1, prepaid: int = 10_000_000, **routes: dict[str, Any]
) -> dict[str, Any]:
    """Return a config with the given routes, by their names.

    Each has a host `NAME.example`, the prefix `/` and a service `NAME-engines`.
    """
    return {
        "version": version,
        "routes": [
            {
                "name": name,
                "host": f"{name}.example",
                "prefix": "/",
                "service": f"{name}-engines",
                **fields,
            }
            for name, fields in routes.items()
        ],
        "services": [
            {
                "name": f"{name}-engines",
                "connection-limit": 160,
                "health-path": "/health",
                "engine": {"stride": STRIDE, "slots": 128, "kv-cache-tokens": 500_000},
            }
            for name in routes
        ],
        "tenants": [{"name": "acme", "api-keys": ["key-acme"], "prepaid": prepaid}],
        "limits": {
            "header-bytes": 16_384,
            "body-bytes": 1_048_576,
            "header-timeout-ms": 3_000,
            "idle-timeout-ms": 10_000,
        },
    }


@dataclass
class Entry:
    """An engine's entry in the list of servers, and what writes it."""

    store: Store
    name: str
    service: str
    port: int
    state: str = "ready"
    sequence: int = 0
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    listed: bool = True

    async def beat(self) -> None:
        """Write the entry at intervals while the engine is listed."""
        while self.listed:
            self.write()
            await asyncio.sleep(BEAT)

    def write(self) -> None:
        """Write the entry."""
        self.sequence += 1
        self.store.put(
            "servers",
            self.name,
            {
                "service": self.service,
                "address": f"{HOST}:{self.port}",
                "zone": "zone-a",
                "version": "v1",
                "slots": 128,
                "state": self.state,
                "cold-remaining-ms": 0,
                "sequence": self.sequence,
                "born": self.born,
            },
        )

    def leave(self) -> None:
        """Remove the entry."""
        self.listed = False
        self.store.drop("servers", self.name)


class Link:
    """A link to a store or an engine: forwards channels, and can be cut or silenced.

    While it is cut, it carries nothing in either direction, and new channels are not
    made. What was sent meanwhile arrives when the cut has healed, also the end of a
    channel: packets that are lost are sent again. A channel that was silenced carries
    nothing any more and is not reset, while new ones work.
    """

    def __init__(self, target: int) -> None:
        self.target = target
        self.port = free_port()
        self.open = asyncio.Event()
        self.open.set()
        self.channels: set[object] = set()
        self.silent: set[object] = set()
        self.on_bytes: Callable[[bytes], None] = lambda data: None

    async def start(self) -> None:
        """Listen for channels."""
        await asyncio.start_server(self.serve, HOST, self.port)

    def silence(self) -> int:
        """Silence all open channels for good; return their number."""
        self.silent |= self.channels
        return len(self.silent)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one channel."""
        channel = object()
        self.channels.add(channel)
        try:
            await self.open.wait()
            far = await asyncio.open_connection(HOST, self.target)
            await asyncio.gather(
                self.forward(channel, reader, far[1], lambda data: self.on_bytes(data)),
                self.forward(channel, far[0], writer, lambda data: None),
            )
        except OSError:
            writer.close()
        finally:
            self.channels.discard(channel)

    async def forward(
        self,
        channel: object,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        on_bytes: Callable[[bytes], None],
    ) -> None:
        """Forward one direction of a channel to its end; a reset stays a reset."""
        try:
            while True:
                data = await reader.read(65_536)
                on_bytes(data)
                await self.open.wait()
                if channel in self.silent:
                    await asyncio.Event().wait()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
            writer.close()
        except ConnectionError:
            await self.open.wait()
            reset(writer)


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a channel so that its peer sees a reset."""
    raw = writer.get_extra_info("socket")
    if raw is not None and not writer.transport.is_closing():
        option = struct.pack("ii", 1, 0)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
    writer.transport.abort()


SETTINGS = """
node-name = "{name}"
role = "gateway"
machine-class = "frontend"
serves = ["frontend"]
ip-address = "{host}"
zone = "zone-a"
region = "region-a"
internal-ports = [{peers},{last}]
seeds = []
first-start = true
discovery = "platform"
entry = "virtual_ip"
heartbeat-ms = 1200
contracts = [
  "base","drain","config","cost","retry","recover","engine","stream","tenants",
  "platform"
]
[zones]
zone-a = "region-a"
[listen-addresses]
frontend = "{host}:{port}"
readiness = "{host}:{ready}"
[limits]
cpu-share = 0.537
cores = 2
memory-mb = 300
file-descriptors = 4100
link-mbps = 1000.0
disk-mb = 0
[bounds]
seed-lag-s = 3
reuse-after-s = 2
contact-ms = 3000
acknowledge-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = 8
loss-slack-ms = 200
configuration-ms = 2000
downgrade-slack-ms = 250
outer-bound-ms = 5000
revoke-when-partitioned = false
revoke-ms = 5000
retry-budget-ratio = 0.2
budget-window-s = 10
budget-extra-retries = 58
recovery-s = 12
pass-ms = 120
reuse-window-s = 7.4
settle_ms = 1500
[platform]
address = "{store}"
form = "table"
writes-per-s = 800
reads-per-s = 2000
transaction-ms = 8.0
part-writes-per-s = 150
row-bytes = 65536
across = false
history-s = 20
"""


class Router:
    """One router: its settings, and its current process."""

    def __init__(self, world: World, number: int, store_address: str) -> None:
        self.world, self.number = world, number
        self.name = f"frontend-a-{number}"
        self.host = f"127.{world.network}.1.{number + 1}"
        self.port = free_port(self.host)
        self.ready_port = self.port + 1
        self.process: subprocess.Popen[bytes] | None = None
        self.settings = world.folder / f"{self.name}.toml"
        self.settings.write_text(
            SETTINGS.format(
                name=self.name,
                host=self.host,
                port=self.port,
                ready=self.ready_port,
                peers=self.port + 2,
                last=self.port + 8,
                store=store_address,
            )
        )
        self.log = world.folder / f"{self.name}.log"

    def start(self) -> None:
        """Start the program of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["gateway"]["run"].split()
        inherited = ("PATH", "HOME", "LANG")
        kept = {name: os.environ[name] for name in inherited if name in os.environ}
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env={
                    **kept,
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "EBONYHOLD_NODE_FILE": str(self.settings),
                },
                stdout=output,
                stderr=output,
            )
        self.world.processes.append(self.process)
        self.world.record.write(f"{self.name} is started")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self.world.record.write(f"{self.name} gets {number.name}")

    async def ended(self) -> None:
        """Wait for the end of the process."""
        while self.process is not None and self.process.poll() is None:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        self.world.record.write(f"{self.name} has ended")

    async def is_ready(self) -> bool:
        """Ask once whether the router is ready."""
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.host, self.ready_port), 1.0
            )
            writer.write(b"GET /ebonyhold/readiness HTTP/1.1\r\nhost: a\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1.0)
            writer.close()
            return head is not None and " 200 " in head.first
        return False

    async def until_ready(self, seconds: float = 15.0) -> None:
        """Wait until the router is ready."""
        until = time.monotonic() + seconds
        while not await self.is_ready():
            if time.monotonic() > until:
                raise CannotRun(f"{self.name} was not ready in {seconds} s")
            await asyncio.sleep(0.1)
        self.world.record.write(f"{self.name} is ready")


@dataclass
class Answer:
    """What a consumer has got for one request.

    Attributes:
        request: The request's id.
        status: The status; 0 without an answer.
        fields: The fields of the answer.
        body: The body, as far as it came.
        whole: Whether the answer came to its end, by its length or its last chunk.
        sent_at: When the request was sent, in seconds since the start of the case.
        ended_at: When the answer ended.
        fault: How the connection failed; empty if it did not.
    """

    request: str
    status: int = 0
    fields: Headers = field(default_factory=list)
    body: bytes = b""
    whole: bool = False
    sent_at: float = 0.0
    ended_at: float = 0.0
    fault: str = ""

    @property
    def events(self) -> list[int]:
        """The ids of the complete events of a stream."""
        *parts, _ = self.body.split(b"\n\n")
        return [int(part.split()[1]) for part in parts if part.startswith(b"id:")]

    def field_value(self, name: str) -> str:
        """Return a field of the answer; empty if there is none."""
        return next((value for key, value in self.fields if key == name), "")


class World:
    """One run of a case: the record, the store, the routers, and their end."""

    def __init__(self, case: Path) -> None:
        self.clock = Clock()
        self.record = Record(case, self.clock)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.engine_log = self.folder / "engines.log"
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.processes: list[subprocess.Popen[bytes]] = []
        self.network = random.SystemRandom().randrange(2, 250)
        self.store = Store(self.clock, self.record)
        self.requests = 0
        self.record.write(f"trouble: {'yes' if self.trouble else 'no'}")

    def new_id(self) -> str:
        """Return the id of a new request."""
        self.requests += 1
        return f"{random.SystemRandom().getrandbits(40):010x}{self.requests:06x}"

    def start_engine(
        self, port: int, name: str, **options: float
    ) -> subprocess.Popen[bytes]:
        """Start an engine as a process of its own; see engine.py for the options."""
        program = Path(__file__).resolve().parent / "engine.py"
        command = [sys.executable, str(program), str(port), name, str(self.engine_log)]
        process = subprocess.Popen([*command, json.dumps(options)])
        self.processes.append(process)
        self.record.write(f"engine {name} is started at port {port}")
        return process

    def runs(self) -> list[dict[str, Any]]:
        """Return what the engines have noted, in order."""
        if not self.engine_log.exists():
            return []
        lines = self.engine_log.read_text().splitlines()
        return [json.loads(line) for line in lines]

    def record_runs(self) -> None:
        """Write what the engines have noted to the record."""
        for line in self.runs():
            at = line["at"] - self.clock.began
            more = {k: v for k, v in line.items() if k not in ("at", "engine", "what")}
            self.record.write(
                f"engine {line['engine']} at {at:.3f}: {line['what']} {more}"
            )

    async def ask(
        self,
        router: Router,
        route: str,
        fields: dict[str, str],
        *,
        method: str = "POST",
        path: str = "/a",
        body: bytes = b"abc",
        patience: float = 10.0,
        gap: float | None = None,
    ) -> Answer:
        """Send one request on a new channel, and return what came.

        Args:
            router: The router.
            route: The name of the route.
            fields: Further fields.
            method: The method.
            path: The path.
            body: The body.
            patience: After how many seconds the consumer leaves.
            gap: After how long a gap without bytes the consumer leaves.
        """
        answer = Answer(self.new_id())
        sent = {
            "host": f"{route}.example",
            "x-ebonyhold-request-id": answer.request,
            "x-ebonyhold-key": "key-acme",
            **fields,
        }
        if body or method == "POST":
            sent["content-length"] = str(len(body))
        lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in sent.items())]
        data = "\r\n".join([*lines, "", ""]).encode() + body
        answer.sent_at = self.clock.now()
        writer = None
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(router.host, router.port), 1.0
            )
            answer.sent_at = self.clock.now()
            writer.write(data)
            await asyncio.wait_for(
                self.read_answer(reader, answer, gap or patience), patience
            )
        except TimeoutError:
            answer.fault = "the consumer has left"
        except (ConnectionError, OSError, asyncio.IncompleteReadError) as error:
            answer.fault = f"{type(error).__name__}"
        finally:
            if writer is not None:
                writer.close()
        answer.ended_at = self.clock.now()
        return answer

    async def read_answer(
        self, reader: asyncio.StreamReader, answer: Answer, gap: float
    ) -> None:
        """Read an answer to its end, if it comes."""
        head = await asyncio.wait_for(read_head(reader), gap)
        if head is None:
            answer.fault = "closed without an answer"
            return
        answer.status = int(head.first.split(" ")[1])
        answer.fields = head.fields
        if head.value("transfer-encoding") == "chunked":
            while True:
                line = await asyncio.wait_for(reader.readline(), gap)
                if not line.strip():
                    answer.fault = "closed before the end of the answer"
                    return
                size = int(line.split(b";")[0], 16)
                part = await asyncio.wait_for(reader.readexactly(size + 2), gap)
                if not size:
                    answer.whole = True
                    return
                answer.body += part[:-2]
        else:
            length = int(head.value("content-length") or 0)
            answer.body = await asyncio.wait_for(reader.readexactly(length), gap)
            answer.whole = True

    def end(self) -> None:
        """End all processes that were started, and remove the temporary folder."""
        for process in self.processes:
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
        for process in self.processes:
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


Case = Callable[[World], Awaitable[bool]]


def main(case: Path, run: Case, limit: float = 110.0) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if it can't run.

    Args:
        case: The folder of the case.
        run: Returns whether the rule was broken.
        limit: Seconds after which the case is given up.
    """

    async def bounded(world: World) -> bool:
        # Channels that are still open at the end are no errors.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        return await asyncio.wait_for(run(world), limit)

    status = 2
    world = World(case)
    try:
        broken = asyncio.run(bounded(world))
        status = 1 if broken else 0
        world.record.write("the rule was broken" if broken else "the rule held")
    except (CannotRun, TimeoutError) as error:
        world.record.write(f"the case can't run: {error!r}")
    finally:
        world.end()
    print(f"{case.name}: exit {status}")
    sys.exit(status)
