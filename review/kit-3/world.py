"""Stand-ins for the scripts of the cases: the platform, engines, consumers, machines.

Only the standard library is used, so nothing has to be built. The platform's store and
the engines follow PROTOCOL.md; what a page leaves open, they do as sound ones would.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HEAD_END = b"\r\n\r\n"
STATUS = {
    200: "OK",
    412: "Precondition Failed",
    421: "Misdirected Request",
    429: "Too Many Requests",
    503: "Service Unavailable",
    500: "Error",
    410: "Gone",
    404: "Not Found",
}


def now() -> float:
    """Return the time in seconds, by the steady clock."""
    return time.monotonic()


def free_ports(count: int, host: str = HOST) -> list[int]:
    """Return free ports; each was bound a moment ago."""
    held = [socket.create_server((host, 0)) for _ in range(count)]
    ports = [one.getsockname()[1] for one in held]
    for one in held:
        one.close()
    return ports


class Record:
    """Writes what happens to record.txt, with the time since the begin."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.began = now()

    def line(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{now() - self.began:8.3f} {text}\n")
        self.file.flush()

    def say(self, text: str) -> None:
        """Write one line, and print it."""
        self.line(text)
        print(text, flush=True)


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the fields of a message; raises at the end."""
    raw = (await reader.readuntil(HEAD_END)).decode("latin-1")
    first, *lines = raw.strip().split("\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return first, fields


async def read_body(reader: asyncio.StreamReader, fields: dict[str, str]) -> bytes:
    """Return the body of a request."""
    if "chunked" in fields.get("transfer-encoding", ""):
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return body
    return await reader.readexactly(int(fields.get("content-length", "0")))


def encode(status: int, fields: dict[str, str], body: bytes | None) -> bytes:
    """Encode an answer; without a body, its end is stated by chunks."""
    lines = [f"HTTP/1.1 {status} {STATUS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    if body is None:
        lines.append("transfer-encoding: chunked")
    else:
        lines.append(f"content-length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + (body or b"")


Key = tuple[str, str, str]


class Store:
    """The platform's store: rows, transactions and the feed of changes."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.rows: dict[Key, tuple[int, str]] = {}
        self.feed: list[tuple[int, Key, str | None]] = []
        self.version = 0
        self.changed = asyncio.Event()
        self.writes = 0
        self.lost = 0
        # Tells of a write whether it is done late and not answered: after how long.
        self.delay: Callable[[dict], float | None] = lambda call: None
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    def put(self, table: str, part: str, key: str, value: object) -> None:
        """Write a row as the operator or an engine does."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.apply([((table, part, key), text)])

    def drop(self, table: str, part: str, key: str) -> None:
        """Remove a row as an engine does."""
        self.apply([((table, part, key), None)])

    def apply(self, writes: list[tuple[Key, str | None]]) -> None:
        """Apply all writes of a transaction."""
        self.version += 1
        for key, value in writes:
            if value is None:
                if self.rows.pop(key, None) is None:
                    continue
            else:
                self.rows[key] = (self.version, value)
            self.feed.append((self.version, key, value))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one channel."""
        try:
            while True:
                first, fields = await read_head(reader)
                body = await read_body(reader, fields)
                _, target, _ = first.split(" ")
                answer = await self.answer(urlsplit(target), body)
                if answer is None:
                    # A channel on which an answer is lost delivers nothing further.
                    await asyncio.sleep(20)
                    return
                status, raw = answer
                raw.setdefault("version-number", self.version)
                raw["now-ms"] = int(now() * 1000)
                data = json.dumps(raw).encode()
                writer.write(encode(status, {"content-type": "application/json"}, data))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, url, body: bytes) -> tuple[int, dict] | None:
        """Return the answer to a call; None if it is lost."""
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/ebonyhold/rows-tx":
            call = json.loads(body)
            self.writes += 1
            late = self.delay(call)
            if late is not None:
                self.lost += 1
                asyncio.get_running_loop().call_later(late, self.perform_late, call)
                return None
            await asyncio.sleep(0.008)
            return self.transact(call)
        await asyncio.sleep(0.002)
        if url.path == "/ebonyhold/rows-get":
            return self.get(query)
        if url.path == "/ebonyhold/rows-feed":
            return await self.follow(query)
        return 404, {}

    def perform_late(self, call: dict) -> None:
        """Perform a call whose answer is lost, if its condition still holds."""
        status, _ = self.transact(call)
        removed = ["/".join(key_of(one)) for one in call["remove"]]
        self.record.line(f"store: late write done, {status}, removes {removed}")

    def transact(self, call: dict) -> tuple[int, dict]:
        """Apply a transaction, or return the rows that differ."""
        checks = call.get("expected-revision", [])
        for one in checks:
            if self.rows.get(key_of(one), (0, ""))[0] != one["version-number"]:
                found = [key_of(c) for c in checks if key_of(c) in self.rows]
                return 412, {"rows": [self.row(key) for key in found]}
        writes: list[tuple[Key, str | None]] = [
            (key_of(one), one["value"]) for one in call.get("writes", [])
        ]
        writes += [(key_of(one), None) for one in call.get("remove", [])]
        self.apply(writes)
        return 200, {"version-number": self.version}

    def row(self, key: Key) -> dict:
        """Return a row as calls do."""
        version, value = self.rows[key]
        names = dict(zip(("table", "part", "key"), key, strict=True))
        return {**names, "value": value, "version-number": version}

    def get(self, query: dict[str, str]) -> tuple[int, dict]:
        """Return the rows of a range."""
        table, part = query["table"], query.get("part", "")
        low, high = query.get("from", ""), query.get("target")
        keys = sorted(
            key
            for key in self.rows
            if key[:2] == (table, part)
            and key[2] >= low
            and (high is None or key[2] < high)
        )
        limit = min(500, int(query.get("limit", "500")))
        rows = [self.row(key) for key in keys[:limit]]
        return 200, {"rows": rows, "truncated": len(keys) > limit}

    async def follow(self, query: dict[str, str]) -> tuple[int, dict]:
        """Wait for changes of a table, and return them."""
        table, after = query["table"], int(query["after-revision"])
        ends = now() + int(query["wait-ms"]) / 1000
        while True:
            rows = []
            for version, key, value in self.feed:
                if version > after and key[0] == table:
                    names = dict(zip(("table", "part", "key"), key, strict=True))
                    row = {**names, "version-number": version}
                    if value is None:
                        row["deleted"] = True
                    else:
                        row["value"] = value
                    rows.append(row)
            if rows or now() >= ends:
                return 200, {"rows": rows}
            with suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), ends - now())


def key_of(raw: dict) -> Key:
    """Return the key of a row in a call."""
    return raw["table"], raw.get("part", ""), raw["key"]


Answer = Callable[["Run", asyncio.StreamWriter], Awaitable[bool]]


class Run:
    """One request at an engine."""

    def __init__(self, engine: str, first: str, fields: dict[str, str]) -> None:
        self.engine = engine
        self.method, self.target, _ = first.split(" ")
        self.fields = fields
        self.request = fields.get("x-ebonyhold-request-id", "")
        self.arrived_at = now()
        self.ended_at = 0.0
        self.left = False

    def identity(self) -> dict[str, str]:
        """Return the fields of an answer that is the engine's own."""
        return {
            "x-ebonyhold-request-id": self.request,
            "x-ebonyhold-response-stamp": f"{self.engine}.{self.request}",
        }


class Engine:
    """An engine; `answer` writes what it answers, and returns whether it keeps on."""

    def __init__(self, store: Store, name: str, service: str, answer: Answer) -> None:
        self.store, self.name, self.service, self.answer = store, name, service, answer
        self.born = int(time.time() * 1000)
        self.runs: list[Run] = []
        self.turned_away: list[Run] = []
        self.slots = 16
        self.zone = "a"
        self.port = 0
        self.beat = 0

    async def start(self) -> None:
        """Listen on a free port, and write the entry at intervals."""
        server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]
        self.write_entry()
        asyncio.get_running_loop().create_task(self.beats())

    def write_entry(self) -> None:
        """Write the entry in the store."""
        self.beat += 1
        self.store.put(
            "servers",
            "",
            self.name,
            {
                "service": self.service,
                "address": f"{HOST}:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": "ready",
                "cold-remaining-ms": 0,
                "sequence": self.beat,
                "born": self.born,
            },
        )

    async def beats(self) -> None:
        """Write the entry about every heartbeat-ms."""
        while True:
            await asyncio.sleep(1.2)
            self.write_entry()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one channel, one request at a time."""
        try:
            while True:
                first, fields = await read_head(reader)
                await read_body(reader, fields)
                if "/ebonyhold/report" in first or "/health" in first:
                    writer.write(encode(200, {}, b"{}"))
                    continue
                if fields.get("x-ebonyhold-expect-instance", self.name) != self.name:
                    writer.write(encode(421, {}, b""))
                    continue
                run = Run(self.name, first, fields)
                work = asyncio.ensure_future(self.answer(run, writer))
                gone = asyncio.ensure_future(self.until_left(reader))
                try:
                    await asyncio.wait(
                        {work, gone}, return_when=asyncio.FIRST_COMPLETED
                    )
                    if not work.done():
                        # Engines drop a request when its channel closes.
                        run.left = True
                        work.cancel()
                        return
                    if not work.result():
                        return
                finally:
                    run.ended_at = now()
                    gone.cancel()
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def until_left(self, reader: asyncio.StreamReader) -> None:
        """Return when the other side has closed the channel."""
        while not reader.at_eof() and reader.exception() is None:  # noqa: ASYNC110
            await asyncio.sleep(0.01)


class Machine:
    """A machine of the system, with the program of the deploy file."""

    def __init__(
        self, record: Record, folder: Path, number: int, store: int, bounds: dict
    ) -> None:
        self.record, self.number, self.folder = record, number, folder
        self.name = f"frontend-a-{number}"
        # Metrics have a fixed port, so each machine has an address of its own.
        base = os.getpid()
        self.address = f"127.{1 + base % 250}.{1 + base // 250 % 250}.{number + 10}"
        self.process: subprocess.Popen[bytes] | None = None
        ports = free_ports(3, self.address)
        self.port, self.ready_port, self.peers = ports
        self.log = folder / f"{self.name}.log"
        lines = "\n".join(f"{name} = {value}" for name, value in bounds.items())
        self.settings = folder / f"{self.name}.toml"
        self.settings.write_text(f"""
node-name = "{self.name}"
role = "gateway"
machine-class = "frontend"
serves = ["frontend"]
ip-address = "{self.address}"
zone = "a"
region = "r"
internal-ports = [{self.peers},{self.peers}]
first-start = true
discovery = "platform"
entry = "virtual_ip"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream",
             "tenants","platform"]
[zones]
a = "r"
[listen-addresses]
frontend = "{self.address}:{self.port}"
readiness = "{self.address}:{self.ready_port}"
[limits]
cpu-share = 0.537
cores = 2
memory-mb = 300
file-descriptors = 4100
link-mbps = 1000.0
[bounds]
{lines}
[platform]
address = "{HOST}:{store}"
form = "table"
writes-per-s = 800
reads-per-s = 2000
transaction-ms = 8.0
part-writes-per-s = 150
row-bytes = 65536
history-s = 20
""")

    def start(self) -> None:
        """Start the program as the deploy file says."""
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                ["python3", "-m", "ebonyhold.gateway"],
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "EBONYHOLD_NODE_FILE": str(self.settings),
                },
                stdout=output,
                stderr=output,
            )
        self.record.line(f"{self.name}: started")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.record.line(f"{self.name}: {number.name}")
            self.process.send_signal(number)

    async def until_exit(self, limit: float) -> None:
        """Wait for the end of the process; kill it after a limit."""
        assert self.process is not None
        ends = now() + limit
        while self.process.poll() is None:
            if now() > ends:
                self.signal(signal.SIGKILL)
                ends += 100
            await asyncio.sleep(0.01)
        self.record.line(f"{self.name}: ended with {self.process.returncode}")

    async def is_ready(self) -> bool:
        """Return whether the machine answers the question for readiness with 200."""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.address, self.ready_port), 1
            )
        except (TimeoutError, OSError):
            return False
        try:
            writer.write(b"GET /ebonyhold/readiness HTTP/1.1\r\nhost: a\r\n\r\n")
            first, _ = await asyncio.wait_for(read_head(reader), 1)
            return " 200" in first
        except (TimeoutError, asyncio.IncompleteReadError, OSError):
            return False
        finally:
            writer.close()

    async def until_ready(self, limit: float = 20) -> None:
        """Wait until the machine is ready."""
        ends = now() + limit
        while not await self.is_ready():
            if now() > ends:
                raise CannotRunError(f"{self.name} is not ready")
            await asyncio.sleep(0.05)
        self.record.line(f"{self.name}: ready")


class CannotRunError(Exception):
    """The case could not run."""


class Reply:
    """What a consumer got."""

    def __init__(self) -> None:
        self.status = 0
        self.fields: dict[str, str] = {}
        self.body = b""
        self.whole = False
        self.sent_at = now()
        self.ended_at = 0.0

    @property
    def served(self) -> bool:
        """Whether it is a whole success of an engine."""
        good = 200 <= self.status < 300 and "x-ebonyhold-response-stamp" in self.fields
        return good and self.whole


async def ask(machine: Machine, head: list[str], body: bytes, limit: float) -> Reply:
    """Send one request on a new channel, and return what came."""
    reply = Reply()
    writer = None
    try:
        async with asyncio.timeout(limit):
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    machine.address, machine.port
                )
            text = "\r\n".join([*head, f"content-length: {len(body)}", "", ""])
            writer.write(text.encode() + body)
            first, reply.fields = await read_head(reader)
            reply.status = int(first.split(" ")[1])
            if "chunked" in reply.fields.get("transfer-encoding", ""):
                while size := int((await reader.readline()) or b"x", 16):
                    reply.body += await reader.readexactly(size)
                    await reader.readline()
            else:
                size = int(reply.fields.get("content-length", "0"))
                reply.body = await reader.readexactly(size)
            reply.whole = True
    except (OSError, ValueError, asyncio.IncompleteReadError, TimeoutError):
        pass
    finally:
        reply.ended_at = now()
        if writer is not None:
            writer.close()
    return reply


BOUNDS = {
    "seed-lag-s": 3,
    "reuse-after-s": 2,
    "contact-ms": 3000,
    "acknowledge-ms": 4000,
    "catch-up-s": 4,
    "drain-ms": 2000,
    "grace-s": 8,
    "loss-slack-ms": 200,
    "configuration-ms": 2000,
    "downgrade-slack-ms": 250,
    "outer-bound-ms": 5000,
    "retry-budget-ratio": 0.2,
    "budget-window-s": 10,
    "budget-extra-retries": 58,
    "recovery-s": 12,
    "pass-ms": 120,
    "reuse-window-s": 7.4,
    "settle_ms": 1500,
}
"""The bounds of the sheet of lenha-serrana."""


async def play(case, record: Record, temporary: str, trouble: bool) -> bool:
    """Play a case, and leave the channels that are open at its end without a word."""
    held = await case(record, Path(temporary), trouble)
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    return held


def run_case(
    folder: Path, case: Callable[[Record, Path, bool], Awaitable[bool]]
) -> None:
    """Run a case, end what it started, and exit with its result.

    The case gets the record, a temporary folder and whether the disruption is on, and
    returns whether the rule held.
    """
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    machines: list[Machine] = []
    original = Machine.__init__

    def keep(self: Machine, *args: object) -> None:
        original(self, *args)  # type: ignore[arg-type]
        machines.append(self)

    Machine.__init__ = keep  # type: ignore[method-assign]
    status = 2
    with tempfile.TemporaryDirectory() as temporary:
        try:
            status = 0 if asyncio.run(play(case, record, temporary, trouble)) else 1
        except CannotRunError as error:
            record.say(f"cannot run: {error}")
        finally:
            for machine in machines:
                if machine.process is not None:
                    machine.process.kill()
                    machine.process.wait()
            if os.environ.get("KEEP_LOGS"):
                for machine in machines:
                    Path(os.environ["KEEP_LOGS"], machine.log.name).write_bytes(
                        machine.log.read_bytes()
                    )
    record.say({0: "the rule held", 1: "the rule was broken"}.get(status, "not run"))
    sys.exit(status)


def new_id() -> str:
    """Return a new identifier of a request."""
    return f"{random.getrandbits(64):016x}"
