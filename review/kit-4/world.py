"""Small stand-ins for the platform, in one process, and gateways as others.

They follow the platform's pages: a store with rows, transactions and feeds, engines
that register in it, and clients. They need the standard library alone, so nothing is
built for them.
"""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GRACE = 8.0
HEARTBEAT = 1.2
CONTRACTS = ",".join(
    f'"{name}"'
    for name in (
        *("base", "drain", "config", "cost", "retry", "recover"),
        *("engine", "stream", "tenants", "platform"),
    )
)
ids = itertools.count(1)


def now() -> float:
    """Return the time of the steady clock, in seconds."""
    return time.monotonic()


class Record:
    """What was sent, answered and run, written to a file at the end."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "record.txt"
        self.began = now()
        self.lines: list[tuple[float, str]] = []

    def add(self, text: str, at: float | None = None) -> None:
        """Add a line, with its time."""
        self.lines.append(((now() if at is None else at) - self.began, text))

    def write(self) -> None:
        """Write the file."""
        lines = [f"{at:8.3f} {text}" for at, text in sorted(self.lines)]
        self.path.write_text("\n".join(lines) + "\n")


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict, bytes] | None:
    """Read a request or an answer with a length; None at the end of the connection."""
    head = await read_head(reader)
    if head is None:
        return None
    line, fields = head
    length = int(fields.get("content-length", "0"))
    return line, fields, await reader.readexactly(length) if length else b""


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict] | None:
    """Read the head of a message; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    line, *rest = raw.decode("latin-1").split("\r\n")
    fields = {}
    for item in rest:
        name, found, value = item.partition(":")
        if found:
            fields[name.strip().lower()] = value.strip()
    return line, fields


def encode(status: int, fields: dict[str, str], body: bytes) -> bytes:
    """Return the bytes of an answer."""
    lines = [f"HTTP/1.1 {status} x"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    lines += [f"content-length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class Store:
    """The platform's store. Each gateway calls it at a port of its own.

    `before` is asked about each call, and returns None, or the number of seconds after
    which the call is performed without an answer: the answer is lost, and the channel
    delivers nothing further.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.rows: dict[tuple[str, str, str], tuple[bytes, int]] = {}
        self.feed: list[tuple[str, str, str, int, bytes, bool]] = []
        self.version = 1
        self.changed = asyncio.Event()
        self.before = lambda gateway, path, query, body: None
        self.calls: list[tuple[float, int, str]] = []
        self.open: dict[int, set[asyncio.Event]] = {}
        self.hushed: set[asyncio.Event] = set()

    def apply(self, writes: dict, removals: list) -> int:
        """Write and remove rows as one change; return its version."""
        self.version += 1
        for key, value in writes.items():
            self.rows[key] = (value, self.version)
            self.feed.append((*key, self.version, value, False))
        for key in removals:
            if self.rows.pop(key, None) is not None:
                self.feed.append((*key, self.version, b"", True))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return self.version

    def put(self, table: str, key: str, value: object) -> int:
        """Write a row with an empty part, as the operator and engines do."""
        return self.apply({(table, "", key): json.dumps(value).encode()}, [])

    def remove(self, table: str, key: str) -> int:
        """Remove a row with an empty part."""
        return self.apply({}, [(table, "", key)])

    @staticmethod
    def row(key: tuple, value: bytes, version: int) -> dict:
        """Return a row as calls return it."""
        return {
            "table": key[0],
            "part": key[1],
            "key": key[2],
            "value": base64.b64encode(value).decode(),
            "version-number": version,
        }

    def transact(self, body: bytes) -> tuple[int, dict]:
        """Perform a transaction, if its conditions hold."""
        raw = json.loads(body)
        checked = []
        failed = False
        for item in raw.get("expected-revision", ()):
            key = (item["table"], item["part"], item["key"])
            found = self.rows.get(key)
            failed |= (found[1] if found else 0) != item["version-number"]
            if found:
                checked.append(self.row(key, *found))
        if failed:
            return 412, {"rows": checked}
        writes = {
            (w["table"], w["part"], w["key"]): base64.b64decode(w["value"])
            for w in raw.get("writes", ())
        }
        removals = [(r["table"], r["part"], r["key"]) for r in raw.get("remove", ())]
        return 200, {"version-number": self.apply(writes, removals)}

    def get(self, query: dict) -> tuple[int, dict]:
        """Return the rows of a range of keys."""
        low, high = query.get("from", ""), query.get("target")
        found = [
            self.row(key, *self.rows[key])
            for key in sorted(self.rows)
            if key[0] == query["table"]
            and key[1] == query.get("part", "")
            and low <= key[2]
            and (high is None or key[2] < high)
        ]
        limit = int(query.get("limit", "500"))
        return 200, {"rows": found[:limit], "truncated": len(found) > limit}

    async def changes(self, query: dict) -> tuple[int, dict]:
        """Return the changes of a table after a version; wait for one."""
        after, table = int(query["after-revision"]), query["table"]
        end = now() + int(query["wait-ms"]) / 1000

        def since() -> list[dict]:
            """Return the changes so far."""
            return [
                {**self.row(entry[:3], entry[4], entry[3]), "deleted": entry[5]}
                for entry in self.feed
                if entry[0] == table and entry[3] > after
            ]

        while not since() and now() < end:
            try:
                await asyncio.wait_for(self.changed.wait(), end - now())
            except TimeoutError:
                break
        return 200, {"rows": since()}

    async def perform(self, path: str, query: dict, body: bytes) -> bytes:
        """Perform a call; return the answer."""
        if path == "/ebonyhold/rows-tx":
            await asyncio.sleep(0.008)
            status, answer = self.transact(body)
        elif path == "/ebonyhold/rows-get":
            await asyncio.sleep(0.004)
            status, answer = self.get(query)
        elif path == "/ebonyhold/rows-feed":
            status, answer = await self.changes(query)
        else:
            status, answer = 404, {}
        answer.setdefault("version-number", self.version)
        answer["now-ms"] = now() * 1000
        fields = {"content-type": "application/json"}
        return encode(status, fields, json.dumps(answer).encode())

    def hush(self, gateway: int) -> int:
        """Make the open channels of a gateway silent for good; new ones work."""
        silent = set(self.open.get(gateway, ()))
        self.hushed |= silent
        for event in silent:
            event.set()
        return len(silent)

    async def listen(self, gateway: int, host: str, port: int) -> asyncio.Server:
        """Listen at the port of one gateway."""

        async def serve(reader, writer) -> None:
            """Serve one connection."""
            silent = asyncio.Event()
            self.open.setdefault(gateway, set()).add(silent)
            try:
                await self.serve(gateway, reader, writer, silent)
            except (ConnectionError, asyncio.IncompleteReadError):
                pass
            finally:
                self.open[gateway].discard(silent)
                self.hushed.discard(silent)
                writer.close()

        return await asyncio.start_server(serve, host, port)

    async def serve(self, gateway, reader, writer, silent) -> None:
        """Serve one connection."""
        while True:
            message = await read_message(reader)
            if message is None:
                return
            line, _, body = message
            if silent in self.hushed:
                # The bytes never arrive.
                continue
            url = urlsplit(line.split(" ")[1])
            query = {n: v[0] for n, v in parse_qs(url.query).items()}
            self.calls.append((now(), gateway, f"{url.path} {query.get('table', '')}"))
            lost = self.before(gateway, url.path, query, body)
            if lost is not None:
                if url.path == "/ebonyhold/rows-tx":
                    asyncio.get_running_loop().call_later(
                        lost, lambda body=body: self.transact(body)
                    )
                # Nothing further is delivered on this channel.
                await reader.read()
                return
            answer = await self.perform(url.path, query, body)
            if silent in self.hushed:
                continue
            writer.write(answer)
            await writer.drain()


class Engine:
    """An engine: streams on `stream` targets, one body on others.

    A target names the answer: ``/s/x?events=9&pause=0.02`` or ``/b/x?work=0.05``.
    """

    def __init__(self, store: Store, name: str, service: str, host: str, port: int):
        self.store, self.name, self.service = store, name, service
        self.address = (host, port)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs: list[dict] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.beat: asyncio.Task | None = None

    def entry(self, state: str = "ready") -> dict:
        """Return the entry in the list of servers."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": "a",
            "version": "1",
            "slots": 128,
            "state": state,
            "cold-remaining-ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def start(self) -> None:
        """Start it."""
        self.server = await asyncio.start_server(self.serve, *self.address)
        self.beat = asyncio.create_task(self.keep_listed())

    async def keep_listed(self) -> None:
        """Write the entry at intervals until cancelled."""
        while True:
            self.store.put("servers", self.name, self.entry())
            await asyncio.sleep(HEARTBEAT)

    def unlist(self) -> None:
        """Remove the entry, as engines do that never report draining."""
        if self.beat is not None:
            self.beat.cancel()
        self.store.remove("servers", self.name)

    def exit(self) -> None:
        """End the process: its listener and all its channels."""
        if self.beat is not None:
            self.beat.cancel()
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer) -> None:
        """Serve one connection."""
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                if not await self.answer(reader, writer, *message):
                    return
        except ConnectionError:
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, reader, writer, line, fields, body) -> bool:
        """Answer one request; return whether the channel is kept."""
        request = fields.get("x-ebonyhold-request-id", "")
        identity = {"x-ebonyhold-request-id": request}
        url = urlsplit(line.split(" ")[1])
        if url.path.startswith("/ebonyhold/"):
            report = {"waiting-count": 0, "running-count": 0}
            writer.write(encode(200, {}, json.dumps(report).encode()))
            return True
        if fields.get("x-ebonyhold-expect-instance", self.name) != self.name:
            writer.write(encode(421, identity, b""))
            return True
        query = {n: v[0] for n, v in parse_qs(url.query).items()}
        run = {
            "request": request,
            "tenant": fields.get("x-ebonyhold-tenant", ""),
            "engine": self.name,
            "at": now(),
            "end": 0.0,
            "sent": 0,
            "whole": False,
        }
        self.runs.append(run)
        gone = asyncio.create_task(reader.read(1)) if "events" in query else None
        stamp = dict(identity)
        stamp["x-ebonyhold-response-stamp"] = f"{self.name}.{len(self.runs)}"
        try:
            if gone is None:
                await asyncio.sleep(float(query.get("work", "0.02")))
                writer.write(encode(200, stamp, b"x" * 800))
                await writer.drain()
                run["whole"] = True
                return True
            lines = ["HTTP/1.1 200 x", "content-type: text/event-stream"]
            lines += [f"{name}: {value}" for name, value in stamp.items()]
            lines += ["transfer-encoding: chunked", "", ""]
            writer.write("\r\n".join(lines).encode())
            first = int(fields.get("last-event-id", "0")) + 1
            last, pause = int(query["events"]), float(query.get("pause", "0.02"))
            for number in range(first, last + 1):
                done, _ = await asyncio.wait({gone}, timeout=pause)
                if done:
                    return False
                piece = f"id: {number}\ndata: {'t' * 55}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))
                await writer.drain()
                run["sent"] += 1
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            run["whole"] = True
            # The channel is not kept, as the pages allow now and then.
            return False
        finally:
            run["end"] = now()
            if gone is not None:
                gone.cancel()


class Gateway:
    """One VM: its settings file and its process, which the deploy file names."""

    def __init__(self, number: int, host: str, port: int, store: tuple, folder: Path):
        self.number, self.host, self.port = number, host, port
        self.folder = folder
        self.process: subprocess.Popen | None = None
        self.settings = folder / f"vm-{number}.toml"
        self.log = folder / f"vm-{number}.log"
        self.settings.write_text(
            f"""node-name = "frontend-a-{number}"
role = "gateway"
machine-class = "frontend"
serves = ["frontend"]
ip-address = "{host}"
zone = "a"
region = "r"
internal-ports = [{port + 2},{port + 8}]
first-start = true
discovery = "platform"
entry = "virtual_ip"
heartbeat-ms = 1200
contracts = [{CONTRACTS}]
[zones]
a = "r"
[listen-addresses]
frontend = "{host}:{port}"
readiness = "{host}:{port + 1}"
[limits]
cpu-share = 0.537
cores = 2
memory-mb = 300
file-descriptors = 4100
link-mbps = 1000.0
disk-mb = 0
[bounds]
reuse-after-s = 2
contact-ms = 3000
drain-ms = 2000
grace-s = 8
loss-slack-ms = 200
configuration-ms = 2000
retry-budget-ratio = 0.2
budget-window-s = 10
budget-extra-retries = 58
recovery-s = 12
settle_ms = 1500
[platform]
address = "{store[0]}:{store[1]}"
form = "table"
writes-per-s = 800
reads-per-s = 2000
transaction-ms = 8.0
history-s = 20
"""
        )

    def start(self) -> None:
        """Start it."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["gateway"]["run"].split()
        names = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in names if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["EBONYHOLD_NODE_FILE"] = str(self.settings)
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=env, stdout=output, stderr=output
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def wait(self) -> int:
        """Wait until the process has exited; return its status."""
        if self.process is None:
            return 0
        return await asyncio.to_thread(self.process.wait)

    async def is_ready(self) -> bool:
        """Return whether the readiness check succeeds."""
        try:
            reader, writer = await asyncio.open_connection(self.host, self.port + 1)
        except OSError:
            return False
        writer.write(b"GET /ebonyhold/readiness HTTP/1.1\r\nhost: a\r\n\r\n")
        message = await read_message(reader)
        writer.close()
        return message is not None and " 200 " in message[0]

    async def until_ready(self, timeout: float = 15.0) -> bool:
        """Wait until the readiness check succeeds."""
        end = now() + timeout
        while now() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False


class Channel:
    """A consumer's channel to a gateway; requests go one after the other."""

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def open(self) -> bool:
        """Connect; return whether that succeeded within a second."""
        try:
            self.reader, self.writer = await asyncio.wait_for(
                asyncio.open_connection(self.gateway.host, self.gateway.port), 1.0
            )
        except (OSError, TimeoutError):
            return False
        return True

    def close(self) -> None:
        """Close the channel."""
        if self.writer is not None:
            self.writer.close()

    async def ask(
        self,
        target: str,
        *,
        host: str = "chat.example",
        key: str = "key-acme",
        prompt: int = 0,
        output: int = 0,
        deadline_ms: int = 5000,
        method: str = "POST",
    ) -> dict:
        """Send a request; return what came of it."""
        request = f"{next(ids):06x}{random.getrandbits(40):010x}"
        found = {
            "request": request,
            "vm": self.gateway.number,
            "sent": now(),
            "status": 0,
            "events": 0,
            "whole": False,
            "close": False,
            "stamp": "",
        }
        lines = [f"{method} {target} HTTP/1.1", f"host: {host}"]
        lines.append(f"x-ebonyhold-request-id: {request}")
        lines.append(f"x-ebonyhold-key: {key}")
        lines.append(f"x-ebonyhold-deadline-milliseconds: {deadline_ms}")
        if prompt:
            lines.append("x-ebonyhold-model: m")
            lines.append(f"x-ebonyhold-token-counts: {prompt},{output}")
            lines.append(f"x-ebonyhold-prompt-prefix: {request}:{prompt}")
        lines += ["content-length: 3", "", "abc"]
        try:
            self.writer.write("\r\n".join(lines).encode())
            await self.writer.drain()
            found["sent"] = now()
            await asyncio.wait_for(self.read(found), deadline_ms / 1000 + 1.0)
        except TimeoutError:
            found["fault"] = "no end in time"
        except (ConnectionError, asyncio.IncompleteReadError) as error:
            found["fault"] = type(error).__name__
        found["end"] = now()
        return found

    async def read(self, found: dict) -> None:
        """Read the answer, and store what it was."""
        head = await read_head(self.reader)
        if head is None:
            found["fault"] = "closed"
            return
        line, fields = head
        found["status"] = int(line.split(" ")[1])
        found["close"] = "close" in fields.get("connection", "")
        found["stamp"] = fields.get("x-ebonyhold-response-stamp", "")
        if "content-length" in fields:
            await self.reader.readexactly(int(fields["content-length"]))
            found["whole"] = True
            return
        text = b""
        while True:
            size = int((await self.reader.readuntil(b"\r\n")).strip(), 16)
            text += await self.reader.readexactly(size)
            await self.reader.readexactly(2)
            found["events"] = text.count(b"\n\n")
            if not size:
                found["whole"] = True
                return


async def ask_once(gateway: Gateway, target: str, **options) -> dict:
    """Send one request on a channel of its own."""
    channel = Channel(gateway)
    if not await channel.open():
        return {
            "request": "",
            "sent": now(),
            "end": now(),
            "status": 0,
            "events": 0,
            "whole": False,
            "fault": "not connected",
            "vm": gateway.number,
        }
    found = await channel.ask(target, **options)
    channel.close()
    return found


def free_ports(host: str, count: int) -> int:
    """Return the first of some consecutive free ports."""
    while True:
        first = random.SystemRandom().randrange(20_000, 31_000)
        try:
            for port in range(first, first + count):
                socket.create_server((host, port)).close()
        except OSError:
            continue
        return first


class World:
    """The stand-ins and the gateways of one script."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.temporary = Path(tempfile.mkdtemp(prefix="ebonyhold-review-"))
        self.store = Store(self.record)
        self.engines: list[Engine] = []
        self.gateways: list[Gateway] = []
        self.servers: list[asyncio.Server] = []
        rng = random.SystemRandom()
        self.net = f"127.{rng.randrange(2, 250)}.{rng.randrange(1, 250)}"

    async def add_gateways(self, count: int) -> None:
        """Create gateways, each with a port of the store."""
        for number in range(1, count + 1):
            host = f"{self.net}.{number + 10}"
            port = free_ports(host, 9)
            store_port = free_ports("127.0.0.1", 1)
            self.servers.append(
                await self.store.listen(number, "127.0.0.1", store_port)
            )
            address = ("127.0.0.1", store_port)
            self.gateways.append(Gateway(number, host, port, address, self.temporary))

    async def add_engines(self, service: str, count: int) -> list[Engine]:
        """Start engines of a service."""
        added = []
        for number in range(1, count + 1):
            host = f"{self.net}.{100 + len(self.engines)}"
            engine = Engine(
                self.store, f"i-{service}-{number}", service, host, free_ports(host, 1)
            )
            await engine.start()
            self.engines.append(engine)
            added.append(engine)
        return added

    def configure(self, prepaid: int | None, version: int = 10) -> None:
        """Write the config: a route of chats, one of bookings, a tenant."""
        stream = {
            "host": "chat.example",
            "service": "models",
            "kind": "streaming",
            "timeout-ms": 15000,
            "target-latency-ms": 400,
            "target-gap-ms": 400,
            "max-attempts": 2,
            "resume-streams": True,
            "sticky-sessions": True,
            "priority": 2,
        }
        book = {
            "host": "book.example",
            "service": "desk",
            "kind": "unsafe",
            "timeout-ms": 1500,
            "target-latency-ms": 200,
            "max-attempts": 1,
            "priority": 2,
        }
        tenant = {"name": "acme", "api-keys": ["key-acme"]}
        if prepaid is not None:
            tenant["prepaid"] = prepaid
        self.store.put(
            "op",
            "config",
            {
                "version": version,
                "routes": [
                    {"name": "chat", "prefix": "/s/", **stream},
                    {"name": "book", "prefix": "/b/", **book},
                ],
                "services": [
                    {
                        "name": "models",
                        "connection-limit": 630,
                        "engine": {"stride": 5, "slots": 128},
                    },
                    {"name": "desk", "connection-limit": 110},
                ],
                "tenants": [tenant],
                "limits": {
                    "header-bytes": 16384,
                    "body-bytes": 4194304,
                    "header-timeout-ms": 3000,
                    "idle-timeout-ms": 15000,
                },
            },
        )

    async def start_gateways(self) -> bool:
        """Start all gateways; return whether all got ready."""
        for gateway in self.gateways:
            gateway.start()
        ready = [await gateway.until_ready() for gateway in self.gateways]
        return all(ready)

    @property
    def runs(self) -> list[dict]:
        """All runs at the engines."""
        return [run for engine in self.engines for run in engine.runs]

    def grep(self, gateway: Gateway, text: str) -> list[str]:
        """Return the lines of a gateway's log with a text."""
        lines = gateway.log.read_text(errors="replace").splitlines()
        return [line for line in lines if text in line]

    async def end(self) -> None:
        """End all that was started, and write the record."""
        for gateway in self.gateways:
            gateway.send(signal.SIGKILL)
            await gateway.wait()
        for engine in self.engines:
            engine.exit()
        for server in self.servers:
            server.close()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.temporary, ignore_errors=True)
        else:
            print("logs in", self.temporary)
        self.record.write()


def run_case(folder: str, main) -> None:
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 if it failed."""

    async def whole() -> int:
        """Run the case and end all that was started."""
        world = World(Path(folder))
        world.record.add(f"trouble: {TROUBLE}")
        try:
            async with asyncio.timeout(112):
                return await main(world)
        except Exception as error:
            world.record.add(f"could not run: {error!r}")
            print(f"could not run: {error!r}", file=sys.stderr)
            if os.environ.get("KEEP_LOGS"):
                raise
            return 2
        finally:
            await world.end()

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    sys.exit(asyncio.run(whole()))
