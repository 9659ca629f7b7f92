"""Starts stand-ins and daemons as processes on loopback, for demos and benches.

Only experiments start processes; a daemon never does.
"""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from http import HTTPStatus
from pathlib import Path

import anyio
import httpx
import yaml
from attrs import define, evolve, field

from ebonyhold.document import Backend, BackendKind, Document, to_yaml
from ebonyhold.misc import free_port, sha256_hex
from ebonyhold.types import Seconds

OPERATOR_KEY = "demo-operator-key"
PEER_KEY = "k1:" + "5a" * 32
START_TIMEOUT: Seconds = 20.0
POLL: Seconds = 0.05
STOP_TIMEOUT: Seconds = 30.0
LOOPBACK = "127.0.0.1"
PLATFORM_KINDS = ("table", "objects", "members", "weights")


@define
class Child:
    """One process that this experiment started."""

    name: str
    address: str
    process: subprocess.Popen[bytes]
    log: Path

    @property
    def url(self) -> str:
        """The base URL of its HTTP interface."""
        return f"http://{self.address}"

    def kill(self) -> None:
        """End it without warning."""
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    def terminate(self) -> None:
        """Ask it to stop."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)

    def wait_or_kill(self) -> None:
        """Wait for its end, and end it if that takes too long."""
        try:
            self.process.wait(STOP_TIMEOUT)
        except subprocess.TimeoutExpired:
            self.kill()


@define
class Router(Child):
    """A daemon, with its other listeners."""

    operators: str = ""
    peers: str = ""
    domain: str = ""

    @property
    def operators_url(self) -> str:
        """The base URL of the operators' interface."""
        return f"http://{self.operators}"


@define
class LocalFleet:
    """All processes of one experiment.

    Attributes:
        folder: Where settings and logs go.
        document: The document with the addresses of the stand-ins.
        platform: The platform's stand-ins by kind.
        backends: The backend servers' stand-ins by name.
        routers: The daemons.
        reserved: Sockets that keep the routers' ports from other fleets.
    """

    folder: Path
    document: Document
    platform: dict[str, Child] = field(factory=dict)
    backends: dict[str, Child] = field(factory=dict)
    routers: list[Router] = field(factory=list)
    reserved: list[socket.socket] = field(factory=list)

    def reserve(self) -> str:
        """Return an address that no other fleet gets as long as this one runs.

        A router listens seconds after its settings were written.  The port stays
        bound here meanwhile, which keeps out all but those who share an address, as
        its listeners do.
        """
        bound = socket.socket()
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        address = (LOOPBACK, free_port())
        bound.bind(address)
        self.reserved.append(bound)
        return f"{LOOPBACK}:{address[1]}"

    def spawn(self, name: str, address: str, *arguments: str) -> Child:
        """Start one process whose output goes to a log of its own."""
        log = self.folder / f"{name}.log"
        with log.open("wb") as output:
            process = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                stdout=output,
                stderr=subprocess.STDOUT,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )
        return Child(name, address, process, log)

    def spawn_standin(self, name: str, kind: str, *options: str) -> Child:
        """Start one stand-in, whose address is known once it has printed its line.

        It takes a free port itself.  One that was looked for here could be another
        fleet's by then, and both would work with the same stand-in.
        """
        anywhere = f"{LOOPBACK}:0"
        return self.spawn(
            name, "", "ebonyhold.standins", kind, "--bind", anywhere, *options
        )

    def spawn_backend(self, backend: Backend, engine_options: tuple[str, ...]) -> Child:
        """Start the stand-in of a backend server."""
        if backend.kind is BackendKind.ENGINE:
            kind = "engine"
            models = ",".join(backend.models)
            options = [
                *engine_options,
                "--models",
                models,
                "--slots",
                str(backend.slots),
            ]
            if backend.checks_fencing:
                options.append("--checks-fencing")
        else:
            kind = "service"
            options = ["--honours-keys"] if self.honours_keys(backend) else []
        options += ["--name", backend.name]
        child = self.spawn_standin(backend.name, kind, *options)
        self.backends[backend.name] = child
        return child

    def honours_keys(self, backend: Backend) -> bool:
        """Tell whether a plain service runs each idempotency key once."""
        return any(
            route.honours_idempotency_key
            for route in self.document.services
            if route.service == backend.service
        )

    def spawn_router(self, name: str, domain: str) -> Router:
        """Start one daemon."""
        callers = self.reserve()
        operators = self.reserve()
        peers = self.reserve()
        path = self.folder / f"{name}.yaml"
        path.write_text(
            yaml.safe_dump(self.settings(name, domain, callers, operators, peers))
        )
        child = self.spawn(name, callers, "ebonyhold.daemon", "--config", str(path))
        router = Router(
            child.name, callers, child.process, child.log, operators, peers, domain
        )
        self.routers.append(router)
        return router

    def settings(
        self, name: str, domain: str, callers: str, operators: str, peers: str
    ) -> object:
        """Return a daemon's settings, as YAML would hold them."""
        (self.folder / "peer.keys").write_text(PEER_KEY + "\n")
        (self.folder / "operator.keys").write_text(f"demo:{sha256_hex(OPERATOR_KEY)}\n")
        return {
            "name": name,
            "domain": domain,
            "callers": {"bind": callers},
            "operators": {"bind": operators},
            "peers": peers,
            "platform": {
                kind: self.platform[kind].url
                for kind in ("table", "objects", "members", "weights")
            },
            "peer_keys": str(self.folder / "peer.keys"),
            "operator_keys": str(self.folder / "operator.keys"),
        }

    def register(self, router: Router) -> None:
        """Tell the membership stand-in of a router's VM."""
        entry = {
            "name": router.name,
            "address": router.peers,
            "domain": router.domain,
            "role": "entry",
            "state": "live",
        }
        url = f"{self.platform['members'].url}/members/{router.name}"
        httpx.put(url, json=entry).raise_for_status()

    async def start_platform(self) -> None:
        """Start the platform's stand-ins and wait until they answer."""
        for kind in PLATFORM_KINDS:
            self.platform[kind] = self.spawn_standin(kind, kind)
        for child in self.platform.values():
            await wait_for_line(child)

    async def start_backends(self, engine_options: tuple[str, ...] = ()) -> None:
        """Start a stand-in for each backend server of the document."""
        for item in self.document.backends:
            self.spawn_backend(item, engine_options)
        for child in self.backends.values():
            await wait_for_line(child)
        moved = [
            evolve(item, address=self.backends[item.name].address)
            for item in self.document.backends
        ]
        self.document = evolve(self.document, backends=tuple(moved))

    async def start_router(self, name: str, domain: str) -> Router:
        """Start one daemon and wait until it answers operators."""
        router = self.spawn_router(name, domain)
        self.register(router)
        await wait_for_answer(f"{router.operators_url}/healthz", router)
        return router

    async def apply(self) -> None:
        """Put the document in force and wait until each router serves it."""
        first = self.routers[0]
        async with httpx.AsyncClient(timeout=START_TIMEOUT) as client:
            response = await client.put(
                f"{first.operators_url}/v1/document?based_on=0",
                content=to_yaml(self.document).encode(),
                headers={"Authorization": f"Bearer {OPERATOR_KEY}"},
            )
        if response.status_code >= HTTPStatus.BAD_REQUEST:
            raise RuntimeError(f"the document was refused: {response.text}")
        for router in self.routers:
            await wait_for_answer(f"{router.operators_url}/readyz", router)

    def stop(self) -> None:
        """End every process, the daemons first and in order."""
        for router in self.routers:
            router.terminate()
        for router in self.routers:
            router.wait_or_kill()
        for child in (*self.backends.values(), *self.platform.values()):
            child.kill()
        for bound in self.reserved:
            bound.close()


@asynccontextmanager
async def local_fleet(
    document: Document, routers: int, engine_options: tuple[str, ...] = ()
) -> AsyncIterator[LocalFleet]:
    """Run stand-ins and daemons on loopback until the block ends.

    Args:
        document: The document; its backend servers are moved to free ports.
        routers: How many daemons, spread over the failure domains.
        engine_options: Further options of the engines' stand-ins.
    """
    with tempfile.TemporaryDirectory(prefix="ebonyhold-") as folder:
        fleet = LocalFleet(Path(folder), document)
        try:
            await fleet.start_platform()
            await fleet.start_backends(engine_options)
            for number in range(routers):
                domain = document.domains[number % len(document.domains)]
                await fleet.start_router(f"entry-{number + 1}", domain)
            await fleet.apply()
            yield fleet
        finally:
            with anyio.CancelScope(shield=True):
                await anyio.to_thread.run_sync(fleet.stop)


async def wait_for_line(child: Child) -> None:
    """Wait until a stand-in has printed where it listens, and note its address.

    Raises:
        RuntimeError: It ended, or said nothing in time.
    """
    with anyio.move_on_after(START_TIMEOUT):
        while child.process.poll() is None:
            first, ended, _ = child.log.read_bytes().partition(b"\n")
            # What a process prints that fails is no line of this form.
            with suppress(ValueError, LookupError, TypeError):
                if ended:
                    child.address = json.loads(first)["listening"]
                    return
            await anyio.sleep(POLL)
    raise RuntimeError(f"{child.name} did not start: {child.log.read_text()[-2000:]}")


async def wait_for_answer(url: str, child: Child) -> None:
    """Wait until a health endpoint answers 200.

    Raises:
        RuntimeError: The process ended, or did not answer so in time.
    """
    async with httpx.AsyncClient() as client:
        with anyio.move_on_after(START_TIMEOUT):
            while child.process.poll() is None:
                with suppress(httpx.TransportError):
                    if (await client.get(url)).status_code == HTTPStatus.OK:
                        return
                await anyio.sleep(POLL)
    raise RuntimeError(f"{child.name} is not ready: {child.log.read_text()[-2000:]}")
