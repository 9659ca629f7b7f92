"""Random orders of a gateway's tasks, as far as seeds reach them."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import pytest

from ebonyhold.forwarding import ChannelPool, _pool
from ebonyhold.prepaid import Change, Grant
from tests.gateway.interleaving import run_seed

FEW = range(1, 4)
MANY = range(1, 61)


def remove_while_closing(patch: pytest.MonkeyPatch) -> None:
    """Let the sweep wait for a close while it removes connections from a list."""

    async def sweep(self: ChannelPool) -> None:
        while True:
            await anyio.sleep(_pool.SWEEP)
            now = anyio.current_time()
            for name in list(self.unused):
                channels = self.unused[name]
                for channel in list(channels):
                    if not channel.is_quiet() or now >= channel.usable_until:
                        channels.remove(channel)
                        await channel.close()
                if not channels:
                    del self.unused[name]

    patch.setattr(ChannelPool, "sweep", sweep)


def forget_changes_in_doubt(patch: pytest.MonkeyPatch) -> None:
    """Ignore changes of a grant whose answer was lost."""

    async def send(self: Grant, change: Change) -> None:
        committed = await self.store.commit(change.transaction)
        self.took_effect(change, committed)

    patch.setattr(Grant, "send", send)


@pytest.mark.parametrize("seed", FEW)
def test_random_task_orders_keep_gateway_correct(seed: int) -> None:
    """Callers, servers, the server list and the store change at every wait.

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
    """Each of two faults is found by some seed.

    In the first, the sweep waits for a close and then removes a connection that a
    request has taken; the error ends the router's process when servers close their
    connections together. In the second, a change of a grant whose answer was lost is
    never looked up.
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
    """The same with more seeds, for some minutes."""
    assert run_seed(seed) == []
