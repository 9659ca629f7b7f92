"""A table and an object store in memory, with faults on demand."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
from attrs import define, field

from ebonyhold.coordination import Absent, Check, Put, Row, Transaction
from ebonyhold.exceptions import ConflictError, UnavailableError, UnknownOutcomeError


@define
class FakeTable:
    """A table whose answers can be lost.

    Attributes:
        rows: The rows by key.
        down: Whether nothing gets through.
        lost: Commits that take effect but whose answer is lost.
        dropped: Commits that never arrive, which their sender cannot tell.
        before_commit: Called once before the next commit takes effect.
        after_lost: Called once between a commit and the loss of its answer.
        reads: Rows read so far.
    """

    rows: dict[str, Row] = field(factory=dict)
    down: bool = False
    lost: int = 0
    dropped: int = 0
    before_commit: Callable[[], None] | None = None
    after_lost: Callable[[], Awaitable[None]] | None = None
    reads: int = 0
    commits: list[Transaction] = field(factory=list)

    def check_up(self) -> None:
        if self.down:
            raise UnavailableError("the table is down")

    async def read(self, keys: tuple[str, ...]) -> tuple[Row | None, ...]:
        await anyio.lowlevel.checkpoint()
        self.check_up()
        self.reads += len(keys)
        return tuple(self.rows.get(key) for key in keys)

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        await anyio.lowlevel.checkpoint()
        self.check_up()
        keys = sorted(k for k in self.rows if k.startswith(prefix) and k > after)
        return [self.rows[key] for key in keys[:limit]]

    async def commit(self, transaction: Transaction) -> None:
        await anyio.lowlevel.checkpoint()
        self.check_up()
        if self.dropped:
            self.dropped -= 1
            raise UnknownOutcomeError("no answer")
        hook, self.before_commit = self.before_commit, None
        if hook:
            hook()
        self.apply(transaction)
        if self.lost:
            self.lost -= 1
            then, self.after_lost = self.after_lost, None
            if then:
                await then()
            raise UnknownOutcomeError("no answer")

    def apply(self, transaction: Transaction) -> None:
        failed = tuple(c.key for c in transaction.checks if not self.holds(c))
        if failed:
            raise ConflictError("a check failed", failed)
        self.commits.append(transaction)
        for write in transaction.writes:
            old = self.rows.pop(write.key, None)
            if isinstance(write, Put):
                version = old.version + 1 if old else 1
                self.rows[write.key] = Row(write.key, version, write.value)

    def holds(self, check: Check) -> bool:
        row = self.rows.get(check.key)
        if isinstance(check, Absent):
            return row is None
        return row is not None and row.version == check.version


@define
class FakeObjects:
    """An object store that counts the bytes it hands out."""

    bodies: dict[str, bytes] = field(factory=dict)
    down: bool = False
    bytes_read: int = 0
    bytes_written: int = 0
    reads: int = 0
    deletes: int = 0
    fail_deletes: bool = False

    def check_up(self) -> None:
        if self.down:
            raise UnavailableError("the object store is down")

    async def get(self, key: str) -> bytes | None:
        await anyio.lowlevel.checkpoint()
        self.check_up()
        body = self.bodies.get(key)
        self.reads += 1
        self.bytes_read += len(body or b"")
        return body

    async def put(self, key: str, body: bytes, *, if_absent: bool = False) -> None:
        await anyio.lowlevel.checkpoint()
        self.check_up()
        if if_absent and key in self.bodies:
            raise ConflictError("there is one", (key,))
        self.bodies[key] = body
        self.bytes_written += len(body)

    async def delete(self, key: str) -> None:
        await anyio.lowlevel.checkpoint()
        self.check_up()
        self.deletes += 1
        if self.fail_deletes and self.deletes % 2:
            raise UnavailableError("the object store is busy")
        self.bodies.pop(key, None)

    async def keys(self, prefix: str, after: str = "", limit: int = 1000) -> list[str]:
        await anyio.lowlevel.checkpoint()
        self.check_up()
        found = sorted(k for k in self.bodies if k.startswith(prefix) and k > after)
        return found[:limit]
