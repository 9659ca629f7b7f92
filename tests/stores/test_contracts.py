"""Errors of the platform clients for each fault of a service.

Each case has the expected errors and whether the write takes effect.  A write must
raise UnavailableError only if nothing was written.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import anyio
import anyio.abc
import pytest
from attrs import frozen

from ebonyhold.coordination import Absent, AtVersion, Delete, Put, Row, Transaction
from ebonyhold.exceptions import (
    ConflictError,
    PlatformError,
    ThrottledError,
    UnavailableError,
    UnknownOutcomeError,
)
from ebonyhold.standins.http import MemberRow
from ebonyhold.stores import (
    Member,
    MemberRole,
    MembersClient,
    MemberState,
    ObjectClient,
    TableClient,
)
from tests.stores._contract import TIMEOUT, control, run, serve_platform

PUT = Transaction((Absent("a/b c"),), (Put("a/b c", {"n": [1, "é"]}),))
SLOW = TIMEOUT * 3


@frozen
class Case:
    """A fault and its expected results.

    Attributes:
        name: The parameter id of the test.
        switches: The fault switches of the stand-in.
        write_error: The error of a write, or None.
        applied: Whether the write takes effect.
        read_error: The error of a read, or None.
    """

    name: str
    switches: dict[str, object]
    write_error: type[PlatformError] | None
    applied: bool
    read_error: type[PlatformError] | None = None


CASES = (
    Case("healthy", {}, None, True),
    Case("down", {"down": True}, UnavailableError, False, UnavailableError),
    Case("throttled", {"throttled": 2}, ThrottledError, False, ThrottledError),
    Case("lost before", {"lose_requests": 1}, UnknownOutcomeError, False),
    Case("lost after", {"lose_answers": 1}, UnknownOutcomeError, True),
    Case("late", {"late": 1}, UnknownOutcomeError, False),
    Case("doubled", {"duplicate": 1}, None, True),
    Case("malformed", {"malformed": 2}, UnknownOutcomeError, True, UnavailableError),
    Case("oversized", {"oversized": 2}, UnknownOutcomeError, True, UnavailableError),
    Case("slow", {"slow": SLOW}, UnknownOutcomeError, False, UnavailableError),
    Case("after", {"answer_slow": SLOW}, UnknownOutcomeError, True, UnavailableError),
    Case("paused", {"pause": True}, UnknownOutcomeError, False, UnavailableError),
)


async def expect(error: type[PlatformError] | None, call: Awaitable[object]) -> None:
    """Check that a call raises exactly this class of error, or none."""
    if error is None:
        await call
        return
    with pytest.raises(PlatformError) as caught:
        await call
    assert type(caught.value) is error


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_table(case: Case) -> None:
    async def test() -> None:
        async with serve_platform() as platform:
            client, table = platform.table_client, platform.table
            await control(client.base_url, **case.switches)
            await expect(case.write_error, client.commit(PUT))
            assert ("a/b c" in table.rows) is case.applied
            await expect(case.read_error, client.read(("a/b c",)))
            await restore(client.base_url)

    run(test)


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_table_while_the_process_is_paused(
    case: Case, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against calls that fail because this process is paused for a moment.

    The pause is during a connection attempt, longer than one attempt may take and
    shorter than the timeout of the call.  The second attempt must succeed, so that the
    result is the same as without a pause.
    """
    pauses = [TIMEOUT * 2 / 3]
    connect = anyio.connect_tcp

    async def connect_and_pause(*address: Any, **options: Any) -> Any:
        if pauses:
            asyncio.get_running_loop().call_soon(time.sleep, pauses.pop())
        return await connect(*address, **options)

    async def test() -> None:
        async with serve_platform() as platform:
            client, table = platform.table_client, platform.table
            await control(client.base_url, **case.switches)
            monkeypatch.setattr(anyio, "connect_tcp", connect_and_pause)
            await expect(case.write_error, client.commit(PUT))
            assert not pauses
            assert ("a/b c" in table.rows) is case.applied
            await restore(client.base_url)

    run(test)


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_objects(case: Case) -> None:
    async def test() -> None:
        async with serve_platform() as platform:
            client, objects = platform.object_client, platform.objects
            await control(client.base_url, **case.switches)
            write = client.put("a/b c", b"\x00x", if_absent=True)
            await expect(case.write_error, write)
            assert ("a/b c" in objects.objects) is case.applied
            if not case.switches.get("malformed"):
                # Any bytes are a valid object, so the client cannot detect this fault.
                await expect(case.read_error, client.get("a/b c"))
            await restore(client.base_url)

    run(test)


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_members(case: Case) -> None:
    async def test() -> None:
        async with serve_platform() as platform:
            client = platform.members_client
            platform.members.set("e1", MemberRow("e1", "127.0.0.1:1", "d", "backend"))
            await control(client.base_url, **case.switches)
            await expect(case.read_error, client.members())
            await restore(client.base_url)
            await client.members()

    run(test)


async def restore(base_url: str) -> None:
    """Switch off the faults of a stand-in."""
    plain = {"down": False, "slow": 0.0, "answer_slow": 0.0}
    counted = dict.fromkeys(("throttled", "malformed", "oversized"), 0)
    await control(base_url, pause=False, **plain, **counted)


@pytest.mark.parametrize(
    ("transaction", "keys"),
    [
        (Transaction((Absent("a"),), (Put("b", 1),)), ("a",)),
        (Transaction((AtVersion("a", 7), AtVersion("z", 1)), ()), ("a", "z")),
        (Transaction((AtVersion("a", 1),), (Put("a", 2), Delete("b"))), ()),
    ],
)
def test_table_conflicts_name_their_keys(
    transaction: Transaction, keys: tuple[str, ...]
) -> None:
    async def test() -> None:
        async with serve_platform() as platform:
            platform.table.put("a", 1)
            platform.table.put("b", 1)
            if not keys:
                await platform.table_client.commit(transaction)
                assert platform.table.value("a") == 2
                assert "b" not in platform.table.rows
                return
            with pytest.raises(ConflictError) as caught:
                await platform.table_client.commit(transaction)
            assert caught.value.keys == keys

    run(test)


def test_table_reads_and_scans() -> None:
    async def test() -> None:
        async with serve_platform() as platform:
            for number in range(5):
                platform.table.put(f"p/{number}", {"n": number})
            client = platform.table_client
            rows = await client.read(("p/3", "none", "p/0"))
            assert rows == (Row("p/3", 1, {"n": 3}), None, Row("p/0", 1, {"n": 0}))
            first = await client.scan("p/", limit=3)
            rest = await client.scan("p/", after=first[-1].key)
            assert [row.key for row in [*first, *rest]] == [f"p/{n}" for n in range(5)]

    run(test)


def test_objects_conflict_list_and_delete() -> None:
    async def test() -> None:
        async with serve_platform() as platform:
            client = platform.object_client
            for key in ("j/2", "j/1", "k/1", "j/3"):
                await client.put(key, key.encode(), if_absent=True)
            with pytest.raises(ConflictError) as caught:
                await client.put("j/1", b"other", if_absent=True)
            assert caught.value.keys == ("j/1",)
            await client.put("j/1", b"new")
            assert await client.get("j/1") == b"new"
            assert await client.get("none") is None
            assert await client.keys("j/", after="j/1", limit=5) == ["j/2", "j/3"]
            await client.delete("j/2")
            await client.delete("j/2")
            assert await client.keys("j/") == ["j/1", "j/3"]

    run(test)


def test_members_lag_and_leave() -> None:
    async def test() -> None:
        async with serve_platform() as platform:
            row = MemberRow("e1", "127.0.0.1:1", "d", "backend", "leaving")
            platform.members.set("e1", row)
            members = await platform.members_client.members()
            role, state = MemberRole.BACKEND, MemberState.LEAVING
            assert members == (Member("e1", "127.0.0.1:1", "d", role, state),)
            platform.members.lag = 1000.0
            assert await platform.members_client.members() == ()

    run(test)


def test_weights() -> None:
    async def test() -> None:
        async with serve_platform() as platform:
            client = platform.weights_client
            assert await client.has("assistant")
            assert not await client.has("none")
            assert len(await client.fetch("assistant", 300_000)) == 200_000
            with pytest.raises(UnavailableError):
                await client.fetch("assistant", 100_000)
            with pytest.raises(UnavailableError):
                await client.fetch("none", 1)

    run(test)


CALLS: tuple[tuple[str, Callable[[str], Awaitable[object]]], ...] = (
    ("commit", lambda url: TableClient(url, TIMEOUT).commit(PUT)),
    ("read", lambda url: TableClient(url, TIMEOUT).read(("a",))),
    ("put", lambda url: ObjectClient(url, TIMEOUT).put("a", b"")),
    ("members", lambda url: MembersClient(url, TIMEOUT).members()),
)


@pytest.mark.parametrize(("name", "call"), CALLS, ids=[name for name, _ in CALLS])
def test_refused_connection(
    name: str, call: Callable[[str], Awaitable[object]]
) -> None:
    """Guards against unknown outcomes of writes whose connection was refused."""
    run(partial(expect, UnavailableError, call("http://127.0.0.1:1")))


RAW = (
    ("silence", b"", True),
    ("reset", b"", False),
    ("half a header", b"HTTP/1.1 200 OK\r\ncontent-le", False),
    ("half a body", b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{", False),
    ("not http", b"\x00\x01\x02\x03\r\n\r\n", False),
    ("not json", b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nOK", True),
    ("a list", b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n[]", True),
    ("bad gateway", b"HTTP/1.1 502 No\r\ncontent-length: 0\r\n\r\n", True),
)


@pytest.mark.parametrize(
    ("name", "reply", "keep_open"), RAW, ids=[row[0] for row in RAW]
)
def test_raw_replies(name: str, reply: bytes, keep_open: bool) -> None:
    """Guards against definite results after a missing, broken or invalid reply.

    The outcome of the write is unknown, and the read is unavailable.
    """

    async def answer(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            await stream.receive()
            if reply:
                await stream.send(reply)
            if keep_open:
                await anyio.sleep(SLOW)

    async def test() -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        url = f"http://127.0.0.1:{port}"
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, answer)
            client = TableClient(url, TIMEOUT)
            await expect(UnknownOutcomeError, client.commit(PUT))
            await expect(UnavailableError, client.read(("a",)))
            await client.aclose()
            tasks.cancel_scope.cancel()

    run(test)


def test_trickled_reply_ends_at_the_timeout() -> None:
    """Guards against calls without a time limit when bytes arrive one at a time.

    Each socket read then ends before its timeout; the whole call must time out.
    """

    async def trickle(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            await stream.receive()
            await stream.send(b"HTTP/1.1 200 OK\r\nx-pad: ")
            while True:
                await anyio.sleep(TIMEOUT / 5)
                await stream.send(b"a")

    async def test() -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, trickle)
            client = TableClient(f"http://127.0.0.1:{port}", TIMEOUT)
            await expect(UnknownOutcomeError, client.commit(PUT))
            tasks.cancel_scope.cancel()

    run(test)


def test_crossed_rows_are_refused() -> None:
    """Guards against accepting rows of another call, sent by a faulty proxy."""

    async def test() -> None:
        async with serve_platform() as platform:
            platform.table.put("a", 1)
            keep = platform.table.rows["a"]
            platform.table.rows["a"] = Row("b", keep.version, keep.value)
            await expect(UnavailableError, platform.table_client.read(("a",)))

    run(test)


def test_rate_limits_over_http() -> None:
    async def test() -> None:
        async with serve_platform() as platform:
            platform.table.writes.rate = 4.0
            client = platform.table_client
            await client.commit(PUT)
            big = Transaction((), tuple(Put(f"k/{n}", n) for n in range(50)))
            await expect(ThrottledError, client.commit(big))
            assert platform.table.writes.refused == 1

    run(test)
