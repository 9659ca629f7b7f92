"""A simulated gateway works correctly with random orders of its tasks."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import pytest

from ebonyhold.forwarding import ChannelPool, _pool
from ebonyhold.prepaid import Change, GrantState
from tests.gateway.interleaving import run_seed

FEW = range(1, 4)
MANY = range(1, 61)


def remove_while_closing(patch: pytest.MonkeyPatch) -> None:
    """Inject a fault: the sweep waits for a close while it iterates over connections.

    A request can take a connection meanwhile, and the sweep fails when it removes that
    connection next.
    """

    async def sweep(self: ChannelPool) -> None:
        while True:
            await anyio.sleep(_pool.SWEEP_INTERVAL)
            now = anyio.current_time()
            for name in list(self.unused):
                channels = self.unused[name]
                for channel in list(channels):
                    if not channel.is_idle() or now >= channel.usable_until:
                        channels.remove(channel)
                        await channel.close()
                if not channels:
                    del self.unused[name]

    patch.setattr(ChannelPool, "sweep", sweep)


def forget_changes_in_doubt(patch: pytest.MonkeyPatch) -> None:
    """Inject a fault: a change of a grant is forgotten if its answer is lost."""

    async def send(self: GrantState, change: Change) -> None:
        committed = await self.store.commit(change.transaction)
        self.took_effect(change, committed)

    patch.setattr(GrantState, "send", send)


@pytest.mark.parametrize("seed", FEW)
def test_random_task_orders_keep_gateway_correct(seed: int) -> None:
    """Requests, server failures and store faults coincide in random orders.

    No task may fail, each request must end, no connection may carry two requests at
    once, and the grants must match what was charged.
    """
    assert run_seed(seed) == []


@pytest.mark.parametrize(
    ("weaken", "shown"),
    [
        (remove_while_closing, "'task': 'sweep'"),
        (forget_changes_in_doubt, "were not returned"),
    ],
)
def test_weakened_gateway_is_detected(
    weaken: Callable[[pytest.MonkeyPatch], None], shown: str
) -> None:
    """The simulation detects each of two injected faults with at least one seed.

    With the first, the sweep removes a connection that a request has taken while the
    sweep waited, and fails. With the second, a change of a grant whose answer was lost
    is never looked up, so its tokens are not returned.
    """
    for seed in range(1, 21):
        violations = run_seed(seed, weaken)
        if violations:
            assert any(shown in line for line in violations), violations
            return
    pytest.fail("no seed shows the fault")


@pytest.mark.soak
@pytest.mark.parametrize("seed", MANY)
def test_many_random_task_orders(seed: int) -> None:
    """The simulation finds no violation with more seeds, which takes some minutes."""
    assert run_seed(seed) == []
