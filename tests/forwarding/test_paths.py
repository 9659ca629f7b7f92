"""Whether a server that refused a connection counts as ended."""

from __future__ import annotations

import anyio
import pytest
from attrs import define

from ebonyhold.forwarding import ChannelPool, Paths, Reach
from ebonyhold.misc import free_port
from tests.forwarding.kit import LOOPBACK, Server
from tests.forwarding.test_attempts import good

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """Use a real clock, since sockets do not work with a virtual one."""
    return "asyncio"


@define
class Asked:
    """Relays that know whether a server has ended."""

    ended: bool

    async def has_ended(self, server: str) -> bool:
        """Return it."""
        return self.ended


ENDED = [
    # verdict on this router's links, whether it has ended for relays, whether it counts
    (Reach.CONNECTED, False, True),
    (Reach.PARTITIONED, False, False),
    (Reach.PARTITIONED, True, True),
    (Reach.UNREACHABLE, False, True),
    (Reach.ISOLATED, False, False),
]


@pytest.mark.parametrize(("state", "for_relays", "counts"), ENDED)
async def test_refusal_counts_as_an_end_unless_the_router_is_cut_off(
    state: Reach, for_relays: bool, counts: bool
) -> None:
    """A cut must not count as crashes, and the crash of all servers must."""
    backend = Server("i-1", good, port=free_port()).backend()
    assert backend.address[0] == LOOPBACK
    async with anyio.create_task_group() as tasks:
        paths = Paths(ChannelPool(tasks))
        paths.relays = Asked(for_relays)  # type: ignore[assignment]
        paths.reach.decide(state, False, anyio.current_time())
        ended = await paths.has_ended(backend)
        assert (ended and await paths.confirm_ended(backend)) is counts
        tasks.cancel_scope.cancel()
