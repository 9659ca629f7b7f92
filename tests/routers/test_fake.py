"""Requests and answers over the in-memory network, with and without faults."""

from __future__ import annotations

from typing import NoReturn

import anyio
import pytest
from trio.testing import MockClock

from ebonyhold.exceptions import PeerError
from ebonyhold.routers import (
    FakeLink,
    FakeNetwork,
    PeerMessage,
    TransferGiven,
    TransferRequest,
    VersionNotice,
)
from ebonyhold.types import RouterId

REQUEST = TransferRequest("acme", 5)


async def answer(sender: RouterId, message: PeerMessage) -> PeerMessage:
    return TransferGiven("acme", "t1", 5)


async def fail(sender: RouterId, message: PeerMessage) -> NoReturn:
    raise ValueError(f"no answer for {sender}")


def virtual(function: object, *args: object) -> object:
    """Run an async function on trio with a virtual clock."""
    options = {"clock": MockClock(autojump_threshold=0)}
    return anyio.run(function, *args, backend="trio", backend_options=options)  # type: ignore[arg-type]


async def ask_once(change: str, replies: list[TransferGiven]) -> None:
    """Send one request under the fault `change`, and append its answer to `replies`."""
    async with anyio.create_task_group() as tasks:
        network = FakeNetwork(tasks)
        sender, receiver = network.join("a.1"), network.join("b.1")
        receiver.handle(TransferRequest, fail if change == "failing" else answer)
        add_fault(network, sender, change)
        replies.append(await sender.ask("b.1", REQUEST, TransferGiven, 1.0))


def add_fault(network: FakeNetwork, sender: FakeLink, change: str) -> None:
    """Add the fault `change` to the network; do nothing for any other value."""
    if change == "cut":
        network.cut("a.1", "b.1")
    if change == "doubled":
        network.copies = 2
    if change == "left":
        network.leave("b.1")
    if change == "slow":
        network.delay = 2.0
    if change == "lost answer":
        network.lose = lambda sender, to, message: isinstance(message, TransferGiven)


@pytest.mark.parametrize("change", ["nothing", "doubled"])
def test_a_request_is_answered_once(change: str) -> None:
    replies: list[TransferGiven] = []
    virtual(ask_once, change, replies)
    assert replies == [TransferGiven("acme", "t1", 5)]


@pytest.mark.parametrize("change", ["cut", "left", "slow", "lost answer", "failing"])
def test_a_request_without_an_answer_in_time_fails(change: str) -> None:
    with pytest.raises(BaseExceptionGroup) as raised:
        virtual(ask_once, change, [])
    assert raised.group_contains(PeerError)


def test_an_answer_of_another_kind_is_refused() -> None:
    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            network = FakeNetwork(tasks)
            sender, receiver = network.join("a.1"), network.join("b.1")
            receiver.handle(TransferRequest, answer)
            with pytest.raises(PeerError):
                await sender.ask("b.1", REQUEST, VersionNotice, 1.0)

    virtual(run)
