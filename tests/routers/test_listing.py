"""Routers that find each other by the platform's list, and their log messages."""

from __future__ import annotations

import logging
import types

import anyio
import pytest
from attrs import evolve
from trio.testing import MockClock

from ebonyhold.coordination import MemberStatus, MemberUpdate
from ebonyhold.exceptions import UnavailableError
from tests.routers.kit import network, running, until


def test_routers_find_each_other_by_the_list() -> None:
    """Two routers without seeds must find each other by the list.

    The list also has an engine, which they must ignore.

    When one router leaves, the other must report the status of the first as leaving.
    """

    def entry(name: str, address: str, role: str) -> types.SimpleNamespace:
        return types.SimpleNamespace(
            name=name, address=address, domain="d", state="live", role=role
        )

    async def run() -> None:
        one, two = network("a.1"), network("b.1")
        entries = [
            entry("a", one.membership.own_update.address, "entry"),
            entry("b", two.membership.own_update.address, "entry"),
            entry("e", "127.0.0.1:9", "backend"),
        ]

        async def source() -> list[types.SimpleNamespace]:
            return entries

        one.source = source
        async with running(one, two):
            await until(lambda: one.alive() == ("b.1",) and two.alive() == ("a.1",))
            (status,) = one.status()
            assert status.listed
            assert status.heard_ago is not None
            two.leave()
            await until(lambda: one.status()[0].status is MemberStatus.LEAVING)

    anyio.run(run)


def test_the_list_is_read_again_soon_after_a_failure() -> None:
    """After a failed first read the next one follows within 0.2 seconds.

    Otherwise a starting router would have no peers for the normal interval of 5 s.
    """
    one = network("a.1")
    reads: list[float] = []

    async def source() -> list[types.SimpleNamespace]:
        reads.append(anyio.current_time())
        if len(reads) < 2:
            raise UnavailableError("the membership list was not read yet")
        return []

    async def run() -> None:
        with anyio.move_on_after(10.0):
            await one.poll_list(source)

    anyio.run(
        run,
        backend="trio",
        backend_options={"clock": MockClock(autojump_threshold=0)},
    )
    first, second, third = reads[:3]
    assert second - first < 0.2
    assert third - second > 3.0


def test_status_changes_are_logged(caplog: pytest.LogCaptureFixture) -> None:
    """Each change of a router's status is logged once, and a repeated update is not.

    Operators need these lines to find out why the requests of a router were, or were
    not, recovered.
    """
    one = network("a.1")

    async def run() -> None:
        update = MemberUpdate("b.1", "10.0.0.1:1", "d", MemberStatus.ALIVE, started=1)
        for changed in (
            update,
            update,
            evolve(update, status=MemberStatus.SUSPECT),
            evolve(update, router="b.2", started=2),
        ):
            one.membership.merge_update(changed, anyio.current_time())

    with caplog.at_level(logging.INFO):
        anyio.run(run)
    lines = [one for one in caplog.records if one.msg == "router status changed"]
    changes = [
        (vars(line)["member"], vars(line)["before"], vars(line)["status"])
        for line in lines
    ]
    assert changes == [
        ("b.1", None, "alive"),
        ("b.1", "alive", "suspect"),
        ("b.2", None, "alive"),
        ("b.1", "suspect", "gone"),
    ]
