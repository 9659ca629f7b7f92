"""Starts stand-ins and daemons as processes on loopback, for demos and benches.

Only experiments start processes; a daemon never does.
"""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path

import anyio
import httpx
import yaml
from attrs import define, evolve, field

from ebonyhold.document import Backend, BackendKind, Document
from ebonyhold.misc import free_port, sha256_hex
from ebonyhold.types import Seconds

OPERATOR_KEY = "demo-operator-key"
PEER_KEY = "k1:" + "5a" * 32
START_TIMEOUT: Seconds = 20.0
POLL: Seconds = 0.05
LOOPBACK = "127.0.0.1"


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


@define
class Router(Child):
    """A daemon, with its second listener."""

    operators: str = ""

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
    """

    folder: Path
    document: Document
    platform: dict[str, Child] = field(factory=dict)
    backends: dict[str, Child] = field(factory=dict)
    routers: list[Router] = field(factory=list)

    def children(self) -> list[Child]:
        """Return every process, the routers first."""
        return [*self.routers, *self.backends.values(), *self.platform.values()]

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
        """Start one stand-in on a free port."""
        address = f"{LOOPBACK}:{free_port()}"
        return self.spawn(
            name, address, "ebonyhold.standins", kind, "--bind", address, *options
        )

    def spawn_backend(self, backend: Backend) -> Backend:
        """Start the stand-in of a backend server; return it at its new address."""
        kind = "engine" if backend.kind is BackendKind.ENGINE else "service"
        options: list[str] = []
        if kind == "engine" and backend.checks_fencing:
            options.append("--checks-fencing")
        child = self.spawn_standin(backend.name, kind, *options)
        self.backends[backend.name] = child
        return evolve(backend, address=child.address)

    def spawn_router(self, name: str, domain: str) -> Router:
        """Start one daemon."""
        callers = f"{LOOPBACK}:{free_port()}"
        operators = f"{LOOPBACK}:{free_port()}"
        peers = f"{LOOPBACK}:{free_port()}"
        path = self.folder / f"{name}.yaml"
        path.write_text(
            yaml.safe_dump(self.settings(name, domain, callers, operators, peers))
        )
        child = self.spawn(name, callers, "ebonyhold.daemon", "--config", str(path))
        router = Router(child.name, callers, child.process, child.log, operators)
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

    async def register_member(self, router: Router, domain: str, peers: str) -> None:
        """Tell the membership stand-in of a VM."""
        async with httpx.AsyncClient() as client:
            await client.put(
                f"{self.platform['members'].url}/members/{router.name}",
                json={
                    "name": router.name,
                    "address": peers,
                    "domain": domain,
                    "role": "entry",
                    "state": "live",
                },
            )


async def wait_for_line(child: Child) -> None:
    """Wait until a stand-in has printed its line.

    Raises:
        RuntimeError: It ended, or said nothing in time.
    """
    with anyio.move_on_after(START_TIMEOUT):
        while child.process.poll() is None:
            if b"\n" in child.log.read_bytes():
                return
            await anyio.sleep(POLL)
    raise RuntimeError(f"{child.name} did not start: {child.log.read_text()[-2000:]}")


async def wait_for_ready(url: str, path: str, child: Child) -> None:
    """Wait until an HTTP health endpoint answers 200.

    Raises:
        RuntimeError: The process ended, or was not ready in time.
    """
    async with httpx.AsyncClient() as client:
        with anyio.move_on_after(START_TIMEOUT):
            while child.process.poll() is None:
                try:
                    if (await client.get(f"{url}{path}")).status_code == httpx.codes.OK:
                        return
                except httpx.TransportError:
                    pass
                await anyio.sleep(POLL)
    raise RuntimeError(f"{child.name} is not ready: {child.log.read_text()[-2000:]}")
