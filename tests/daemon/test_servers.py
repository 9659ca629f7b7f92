"""Listeners: TLS, replaced certificates, and the end of connections."""

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

OLD, NEW, TRUSTED = make_pair("old"), make_pair("new"), make_pair("friend")
TIMEOUT = 30.0
POLL = 0.05


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@pytest.fixture(autouse=True)
def short_poll(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shorten the poll interval of certificate files, so that the tests are fast."""
    monkeypatch.setattr("ebonyhold.daemon._servers.CERTIFICATE_POLL", POLL)


@pytest.fixture
def files(tmp_path: Path) -> Files:
    files = Files(tmp_path)
    files.put(OLD)
    return files


async def answer_hello(scope: Any, receive: Any, send: Any) -> None:
    """Answer every request with 200, and complete each lifespan event."""
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
    """The events of a running listener.

    Attributes:
        stop: Set by a test to stop the listener.
        ended: Set when the listener has closed.
    """

    stop: anyio.Event = field(factory=anyio.Event)
    ended: anyio.Event = field(factory=anyio.Event)


@asynccontextmanager
async def serving(listener: Listener, app: Any = answer_hello) -> AsyncIterator[Served]:
    """Serve the app during the block, and stop the listener after it."""
    served = Served()

    async def run(*, task_status: TaskStatus[None]) -> None:
        await serve_listener(app, listener, served.stop, task_status=task_status)
        served.ended.set()

    async with anyio.create_task_group() as tasks:
        await tasks.start(run)
        yield served
        served.stop.set()


async def served_certificate(address: str) -> str:
    """Return the common name of the certificate; retry while nothing listens."""
    with anyio.fail_after(TIMEOUT):
        while True:
            with suppress(ConnectionRefusedError):
                return await anyio.to_thread.run_sync(certificate_at, address)
            await anyio.sleep(POLL)


async def wait_for_certificate(address: str, name: str) -> None:
    with anyio.fail_after(TIMEOUT):
        while True:
            if await served_certificate(address) == name:
                return
            await anyio.sleep(POLL)


async def wait_for_log(caplog: pytest.LogCaptureFixture, text: str) -> None:
    with anyio.fail_after(TIMEOUT):
        while True:
            if text in caplog.text:
                return
            await anyio.sleep(POLL)


async def test_tls_listener_serves(files: Files) -> None:
    address = f"{LOOPBACK}:{free_port()}"
    trusted = ssl.create_default_context(cafile=str(files.certificate))
    async with serving(Listener(address, files.tls)):
        assert await served_certificate(address) == "old"
        async with httpx.AsyncClient(verify=trusted) as client:
            response = await client.get(f"https://{address}/")
    assert response.text == "hello"


async def test_replaced_certificate_is_used_without_a_restart(files: Files) -> None:
    """Guards against a replaced certificate that takes effect only after a restart.

    Open connections stay usable, and the next handshake uses the new certificate.
    """
    address = f"{LOOPBACK}:{free_port()}"
    trusted = ssl.create_default_context(cafile=str(files.certificate))
    async with (
        serving(Listener(address, files.tls)),
        httpx.AsyncClient(verify=trusted) as client,
    ):
        await wait_for_certificate(address, "old")
        assert (await client.get(f"https://{address}/")).text == "hello"
        files.put(NEW)
        await wait_for_certificate(address, "new")
        assert (await client.get(f"https://{address}/")).text == "hello"


@pytest.mark.parametrize(
    ("pair", "case"),
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
    files: Files, caplog: pytest.LogCaptureFixture, pair: Pair, case: str
) -> None:
    """Guards against failing handshakes while a certificate is being replaced.

    The two files are written one after the other, and the daemon may read them in
    between, when they don't match. If they were loaded into the context in use, it
    would have a certificate and no key, and every handshake would fail.
    """
    address = f"{LOOPBACK}:{free_port()}"
    async with serving(Listener(address, files.tls)):
        await wait_for_certificate(address, "old")
        with caplog.at_level(logging.WARNING):
            files.put(pair)
            await wait_for_log(caplog, "certificate not loaded")
        assert await served_certificate(address) == "old", case
        files.put(NEW)
        await wait_for_certificate(address, "new")


async def test_missing_file_is_checked_again(files: Files) -> None:
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
    ("own_pair", "accepted"), [(None, False), (NEW, False), (TRUSTED, True)]
)
async def test_client_certificate_is_required(
    files: Files, tmp_path: Path, own_pair: Pair | None, accepted: bool
) -> None:
    """Guards against accepting clients without a certificate of the set authority.

    Handshakes must require a client certificate, also after the listener's own
    certificate is replaced.
    """
    authority = tmp_path / "friends.crt"
    authority.write_bytes(TRUSTED.certificate)
    tls = TlsSettings(str(files.certificate), str(files.key), str(authority))
    address = f"{LOOPBACK}:{free_port()}"
    context = ssl.create_default_context(cadata=OLD.certificate.decode())
    context.load_verify_locations(cadata=NEW.certificate.decode())
    if own_pair is not None:
        own = Files(tmp_path / "own")
        own.folder.mkdir()
        own.put(own_pair)
        context.load_cert_chain(own.certificate, own.key)
    async with serving(Listener(address, tls)):
        await wait_listening(address)
        assert await is_served(address, context) is accepted
        files.put(NEW)
        await anyio.sleep(10 * POLL)
        assert await is_served(address, context) is accepted


async def wait_listening(address: str) -> None:
    host, _, port = address.rpartition(":")
    with anyio.fail_after(TIMEOUT):
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


async def answer_large(scope: Any, receive: Any, send: Any) -> None:
    """Answer with more bytes than the socket buffers of both ends hold."""
    if scope["type"] == "lifespan":
        await answer_hello(scope, receive, send)
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": LARGE})


async def connect(port: int, trusted: ssl.SSLContext | None) -> ByteStream:
    """Connect, with TLS if a context is given; EOF without a TLS alert is accepted."""
    plain = await anyio.connect_tcp(LOOPBACK, port)
    if trusted is None:
        return plain
    return await TLSStream.wrap(
        plain, hostname=LOOPBACK, ssl_context=trusted, standard_compatible=False
    )


@pytest.mark.parametrize("tls", [False, True], ids=["plain", "tls"])
@pytest.mark.parametrize("reads", [True, False], ids=["slow", "never"])
async def test_listener_stops_during_an_answer(
    monkeypatch: pytest.MonkeyPatch, files: Files, reads: bool, tls: bool
) -> None:
    """Guards against a stop that cuts an answer being read, or that never ends.

    A slow caller gets the whole answer within the grace period. A caller that reads
    nothing delays the stop by no more than the grace period.
    """
    if not reads:
        monkeypatch.setattr("ebonyhold.daemon._servers.GRACE", 0.2)
    port = free_port()
    address = f"{LOOPBACK}:{port}"
    listener = Listener(address, files.tls if tls else None)
    trusted = ssl.create_default_context(cafile=str(files.certificate))
    async with serving(listener, answer_large) as served:
        await wait_listening(address)
        async with await connect(port, trusted if tls else None) as caller:
            await caller.send(b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
            received = len(await caller.receive())
            served.stop.set()
            await anyio.sleep(2 * POLL)
            if reads:
                with (
                    anyio.fail_after(TIMEOUT),
                    suppress(anyio.EndOfStream, anyio.BrokenResourceError),
                ):
                    while True:
                        received += len(await caller.receive())
                assert received >= len(LARGE)
            else:
                with anyio.fail_after(TIMEOUT):
                    await served.ended.wait()


@pytest.mark.parametrize("missing", ["certificate", "key", "both match"])
def test_unusable_certificate_names_the_setting(tmp_path: Path, missing: str) -> None:
    """Guards against a start that fails with a traceback that names no setting.

    The certificate or key file may be missing or unusable when the VM starts.
    """
    files = {"certificate": tmp_path / "c.pem", "key": tmp_path / "k.pem"}
    for name, path in files.items():
        if name != missing:
            path.write_bytes(b"no certificate")
    tls = TlsSettings(str(files["certificate"]), str(files["key"]))
    with pytest.raises(SettingsError, match=r"operators\.tls"):
        check_listener("operators", Listener("127.0.0.1:0", tls))


def test_listener_without_a_certificate() -> None:
    check_listener("callers", Listener("127.0.0.1:0"))


@pytest.mark.anyio
async def test_connection_with_incomplete_headers_is_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against idle connections that use up the connection limit.

    A client sends the headers of a request byte by byte and never completes them.
    """
    monkeypatch.setattr(_servers, "KEEP_ALIVE", 0.3)
    port = free_port()
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        await tasks.start(
            serve_listener, answer_hello, Listener(f"{LOOPBACK}:{port}"), stop
        )
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
