"""Listeners: TLS, and certificates that are replaced while they serve."""

from __future__ import annotations

import logging
import ssl
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any

import anyio
import httpx
import pytest
from anyio.abc import ByteStream, TaskStatus
from anyio.streams.tls import TLSStream
from attrs import define, field

from ebonyhold.daemon import _servers
from ebonyhold.daemon._servers import (
    CertificateWatch,
    check_listener,
    listener_config,
    serve_listener,
)
from ebonyhold.exceptions import SettingsError
from ebonyhold.misc import free_port
from ebonyhold.settings import Listener, TlsSettings
from tests.daemon.kit import LOOPBACK, Files, Pair, certificate_at, make_pair

pytestmark = pytest.mark.anyio

OLD, NEW, FRIEND = make_pair("old"), make_pair("new"), make_pair("friend")
PATIENCE = 30.0
POLL = 0.05


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@pytest.fixture(autouse=True)
def look_often(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let the listeners look at their files often, so that nobody waits."""
    monkeypatch.setattr("ebonyhold.daemon._servers.CERTIFICATE_POLL", POLL)


@pytest.fixture
def files(tmp_path: Path) -> Files:
    files = Files(tmp_path)
    files.put(OLD)
    return files


async def hello(scope: Any, receive: Any, send: Any) -> None:
    """Answer every request with 200, and the lifespan as it wants."""
    if scope["type"] == "lifespan":
        while True:
            message = await receive()
            await send({"type": f"{message['type']}.complete"})
            if message["type"] == "lifespan.shutdown":
                return
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": b"hello"})


@define
class Served:
    """A listener in a test: set `stop`, wait for `ended`."""

    stop: anyio.Event = field(factory=anyio.Event)
    ended: anyio.Event = field(factory=anyio.Event)


@asynccontextmanager
async def serving(listener: Listener, app: Any = hello) -> AsyncIterator[Served]:
    """Serve until the block ends."""
    served = Served()

    async def run(*, task_status: TaskStatus[None]) -> None:
        await serve_listener(app, listener, served.stop, task_status=task_status)
        served.ended.set()

    async with anyio.create_task_group() as tasks:
        await tasks.start(run)
        yield served
        served.stop.set()


async def shown(address: str) -> str:
    """Return the name in the certificate, once somebody listens."""
    with anyio.fail_after(PATIENCE):
        while True:
            with suppress(ConnectionRefusedError):
                return await anyio.to_thread.run_sync(certificate_at, address)
            await anyio.sleep(POLL)


async def wait_shown(address: str, name: str) -> None:
    with anyio.fail_after(PATIENCE):
        while True:
            if await shown(address) == name:
                return
            await anyio.sleep(POLL)


async def wait_logged(caplog: pytest.LogCaptureFixture, text: str) -> None:
    with anyio.fail_after(PATIENCE):
        while True:
            if text in caplog.text:
                return
            await anyio.sleep(POLL)


async def test_tls_listener_serves(files: Files) -> None:
    address = f"{LOOPBACK}:{free_port()}"
    trusted = ssl.create_default_context(cafile=str(files.certificate))
    async with serving(Listener(address, files.tls)):
        assert await shown(address) == "old"
        async with httpx.AsyncClient(verify=trusted) as client:
            response = await client.get(f"https://{address}/")
    assert response.text == "hello"


async def test_replaced_certificate_is_used_without_a_restart(files: Files) -> None:
    """The operator's tool replaces the certificate shortly before it ends.

    Open connections go on, and the next handshake shows the new one.
    """
    address = f"{LOOPBACK}:{free_port()}"
    trusted = ssl.create_default_context(cafile=str(files.certificate))
    async with (
        serving(Listener(address, files.tls)),
        httpx.AsyncClient(verify=trusted) as client,
    ):
        await wait_shown(address, "old")
        assert (await client.get(f"https://{address}/")).text == "hello"
        files.put(NEW)
        await wait_shown(address, "new")
        assert (await client.get(f"https://{address}/")).text == "hello"


@pytest.mark.parametrize(
    ("pair", "word"),
    [
        (Pair(NEW.certificate, OLD.key), "the certificate is new, the key is not"),
        (Pair(OLD.certificate, NEW.key), "the key is new, the certificate is not"),
        (Pair(b"", b""), "both are empty"),
        (Pair(NEW.certificate[:200], NEW.key), "half a certificate"),
        (Pair(NEW.certificate, NEW.key[:80]), "half a key"),
    ],
    ids=lambda value: value.replace(" ", "-") if isinstance(value, str) else "",
)
async def test_half_replaced_pair(
    files: Files, caplog: pytest.LogCaptureFixture, pair: Pair, word: str
) -> None:
    """Callers cannot connect while a certificate is being replaced.

    The two files are written one after the other, and the daemon looks in
    between.  The pair does not match; loading it into the context in use would
    leave that with a certificate and no key, so that every handshake fails.
    """
    address = f"{LOOPBACK}:{free_port()}"
    async with serving(Listener(address, files.tls)):
        await wait_shown(address, "old")
        with caplog.at_level(logging.WARNING):
            files.put(pair)
            await wait_logged(caplog, "certificate not loaded")
        assert await shown(address) == "old", word
        files.put(NEW)
        await wait_shown(address, "new")


async def test_missing_file_is_looked_for_again(files: Files) -> None:
    config = listener_config(Listener(f"{LOOPBACK}:0", files.tls))
    config.create_ssl_context()
    watch = CertificateWatch(config, files.tls)
    watch.mtimes = watch.read_mtimes()
    assert not watch.reload_if_changed()
    files.key.unlink()
    assert not watch.reload_if_changed()
    files.put(NEW)
    assert watch.reload_if_changed()
    assert not watch.reload_if_changed()


@pytest.mark.parametrize(
    ("shows", "welcome"), [(None, False), (NEW, False), (FRIEND, True)]
)
async def test_authority_is_asked_for(
    files: Files, tmp_path: Path, shows: Pair | None, welcome: bool
) -> None:
    """An operator names an authority, and strangers connect all the same.

    Loading it is not enough: the handshake must also ask for a certificate.  It
    must still do so after the listener's own certificate was replaced.
    """
    authority = tmp_path / "friends.crt"
    authority.write_bytes(FRIEND.certificate)
    tls = TlsSettings(str(files.certificate), str(files.key), str(authority))
    address = f"{LOOPBACK}:{free_port()}"
    context = ssl.create_default_context(cadata=OLD.certificate.decode())
    context.load_verify_locations(cadata=NEW.certificate.decode())
    if shows is not None:
        own = Files(tmp_path / "own")
        own.folder.mkdir()
        own.put(shows)
        context.load_cert_chain(own.certificate, own.key)
    async with serving(Listener(address, tls)):
        await wait_listening(address)
        assert await is_served(address, context) is welcome
        files.put(NEW)
        await anyio.sleep(10 * POLL)
        assert await is_served(address, context) is welcome


async def wait_listening(address: str) -> None:
    host, _, port = address.rpartition(":")
    with anyio.fail_after(PATIENCE):
        while True:
            with suppress(OSError):
                await (await anyio.connect_tcp(host, int(port))).aclose()
                return
            await anyio.sleep(POLL)


async def is_served(address: str, context: ssl.SSLContext) -> bool:
    async with httpx.AsyncClient(verify=context, trust_env=False) as client:
        try:
            return (await client.get(f"https://{address}/")).text == "hello"
        except httpx.TransportError:
            return False


LARGE = b"x" * 4_000_000


async def large(scope: Any, receive: Any, send: Any) -> None:
    """Answer with more than the buffers between the two ends hold."""
    if scope["type"] == "lifespan":
        await hello(scope, receive, send)
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": LARGE})


async def connect(port: int, trusted: ssl.SSLContext | None) -> ByteStream:
    """Connect; under TLS the connection ends without a farewell, as many do."""
    plain = await anyio.connect_tcp(LOOPBACK, port)
    if trusted is None:
        return plain
    return await TLSStream.wrap(
        plain, hostname=LOOPBACK, ssl_context=trusted, standard_compatible=False
    )


@pytest.mark.parametrize("tls", [False, True], ids=["plain", "tls"])
@pytest.mark.parametrize("reads", [True, False], ids=["slow", "never"])
async def test_listener_ends_while_an_answer_is_on_its_way(
    monkeypatch: pytest.MonkeyPatch, files: Files, reads: bool, tls: bool
) -> None:
    """A stop cuts an answer that its caller is still reading, or never ends.

    A slow caller gets the whole answer within the grace; one that reads nothing
    holds up the stop no longer than that.
    """
    if not reads:
        monkeypatch.setattr("ebonyhold.daemon._servers.GRACE", 0.2)
    port = free_port()
    address = f"{LOOPBACK}:{port}"
    listener = Listener(address, files.tls if tls else None)
    trusted = ssl.create_default_context(cafile=str(files.certificate))
    async with serving(listener, large) as served:
        await wait_listening(address)
        async with await connect(port, trusted if tls else None) as caller:
            await caller.send(b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
            got = len(await caller.receive())
            served.stop.set()
            await anyio.sleep(2 * POLL)
            if reads:
                with (
                    anyio.fail_after(PATIENCE),
                    suppress(anyio.EndOfStream, anyio.BrokenResourceError),
                ):
                    while True:
                        got += len(await caller.receive())
                assert got >= len(LARGE)
            else:
                with anyio.fail_after(PATIENCE):
                    await served.ended.wait()


@pytest.mark.parametrize("missing", ["certificate", "key", "both match"])
def test_an_unusable_certificate_is_a_finding(tmp_path: Path, missing: str) -> None:
    """The daemon ends at its start with a traceback that names no setting.

    A certificate's file was not there yet when the VM came up.
    """
    files = {"certificate": tmp_path / "c.pem", "key": tmp_path / "k.pem"}
    for name, path in files.items():
        if name != missing:
            path.write_bytes(b"no certificate")
    tls = TlsSettings(str(files["certificate"]), str(files["key"]))
    with pytest.raises(SettingsError, match=r"operators\.tls"):
        check_listener("operators", Listener("127.0.0.1:0", tls))


def test_a_listener_without_a_certificate_is_fine() -> None:
    check_listener("callers", Listener("127.0.0.1:0"))


@pytest.mark.anyio
async def test_trickled_headers_end_with_their_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Callers are refused because connections that never ask hold all places.

    Somebody sends the headers of a request byte by byte and never ends them.
    """
    monkeypatch.setattr(_servers, "KEEP_ALIVE", 0.3)
    port = free_port()
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        await tasks.start(serve_listener, hello, Listener(f"{LOOPBACK}:{port}"), stop)
        await anyio.sleep(0.5)
        async with await anyio.connect_tcp(LOOPBACK, port) as stream:
            with (
                anyio.fail_after(20),
                suppress(anyio.EndOfStream, anyio.BrokenResourceError),
            ):
                while True:
                    await stream.send(b"G")
                    with anyio.move_on_after(0.05):
                        await stream.receive()
        stop.set()
