"""A gateway that tells whether servers are down or it is cut off from them."""

from __future__ import annotations

from collections.abc import Callable, Collection

import anyio
import pytest
from attrs import define, evolve, field

from ebonyhold.exceptions import BackendLostError
from ebonyhold.forwarding import (
    BackendTable,
    ConnectOutcome,
    NoPathError,
    Reach,
    Reachability,
    RelayAddress,
)
from ebonyhold.gateway import GatewayPeers
from ebonyhold.gateway._partition import (
    PROBE_INTERVAL,
    RETURN_PROBES,
    PartitionMonitor,
    ServerProber,
)
from ebonyhold.gateway._presence import PresenceRow
from ebonyhold.gateway._relays import (
    ASKED_AT_ONCE,
    AVOIDANCE,
    GatewayRelays,
    ReachAnswer,
    ReachQuestion,
)
from tests.virtual import anyio_backend

pytestmark = pytest.mark.anyio
__all__ = ["anyio_backend"]

SERVERS = ["i-1", "i-2", "i-3", "i-4"]


@define(eq=False)
class FakeProber:
    """Reaches the servers that a test names.

    Attributes:
        reached: Those servers.
        how: How the others fail.
        dropped: How often all unused connections were closed.
    """

    reached: set[str] = field(factory=set)
    how: ConnectOutcome = ConnectOutcome.REFUSED
    dropped: int = 0
    backends: BackendTable = field(factory=BackendTable)

    @property
    def pool(self) -> FakeProber:
        """Itself, which has the only call of a pool that is made."""
        return self

    def drop_unused(self) -> None:
        """Count the call."""
        self.dropped += 1

    def choose(self) -> list[str]:
        """Return all servers."""
        return SERVERS

    async def probe(
        self, servers: Collection[str], until_made: bool = False
    ) -> dict[str, ConnectOutcome]:
        """Return the outcomes."""
        return {
            name: ConnectOutcome.MADE if name in self.reached else self.how
            for name in servers
        }


@define(eq=False)
class FakePeers(GatewayPeers):
    """Other gateways that answer which servers they reach.

    Attributes:
        reached: The servers that each gateway reaches; one that is missing is silent.
        asked: The gateways that were asked, in order.
        stopping: The gateways that stop.
    """

    reached: dict[str, tuple[str, ...]] = field(factory=dict)
    asked: list[str] = field(factory=list)
    stopping: set[str] = field(factory=set)

    async def post(  # type: ignore[override]
        self, peer: str, target: bytes, request: object, answer: object, timeout: float
    ) -> ReachAnswer | None:
        """Answer a question."""
        assert isinstance(request, ReachQuestion)
        self.asked.append(peer)
        known = self.reached.get(peer)
        if known is None:
            return None
        return ReachAnswer(known, stopping=peer in self.stopping)


@define(eq=False)
class Cut:
    """A monitor, what it sees, and the presence rows of the others."""

    prober: FakeProber
    peers: FakePeers
    monitor: PartitionMonitor
    rows: dict[str, PresenceRow]


def cut_off(
    reached: dict[str, tuple[str, ...]], fleet: int = 5, full: bool = False
) -> Cut:
    """Return a gateway of a fleet that reaches no server."""
    rows = {
        f"vm-{n}": PresenceRow(f"vm-{n}.a", "h:1", "b", "key") for n in range(fleet)
    }
    peers = FakePeers(lambda: dict.fromkeys(rows, "h:1"), reached=reached)
    relays = GatewayRelays("own", "a", peers, lambda: rows)
    prober = FakeProber()
    monitor = PartitionMonitor(Reachability(), prober, relays, lambda: full)  # type: ignore[arg-type]
    return Cut(prober, peers, monitor, rows)


ALL: dict[str, tuple[str, ...]] = {f"vm-{n}": ("i-1",) for n in range(5)}
NONE: dict[str, tuple[str, ...]] = {f"vm-{n}": () for n in range(5)}

VERDICTS = [
    # case, servers reached from here, by whom elsewhere, link full, verdict
    ("others reach servers", set(), ALL, False, Reach.PARTITIONED),
    ("nobody reaches any", set(), NONE, False, Reach.UNREACHABLE),
    ("nobody answers", set(), {}, False, Reach.ISOLATED),
    ("one server is reached", {"i-3"}, ALL, False, Reach.CONNECTED),
    ("own link full", set(), ALL, True, Reach.CONNECTED),
]


@pytest.mark.parametrize(
    ("reached", "others", "full", "verdict"),
    [row[1:] for row in VERDICTS],
    ids=[row[0] for row in VERDICTS],
)
async def test_verdict(
    reached: set[str], others: dict[str, tuple[str, ...]], full: bool, verdict: Reach
) -> None:
    """What fails from here must be told apart by what others see."""
    cut = cut_off(others, full=full)
    cut.prober.reached = reached
    await cut.monitor.examine()
    assert cut.monitor.reach.state is verdict


async def test_lone_gateway_asks_nobody() -> None:
    """A fleet of one must refuse at once, and stay where callers find it."""
    cut = cut_off({}, fleet=0)
    await cut.monitor.examine()
    assert cut.monitor.reach.state is Reach.UNREACHABLE
    assert not cut.peers.asked


async def test_gateway_among_older_builds_leaves_its_callers_to_them() -> None:
    """A gateway that has nobody to ask must not keep callers whom others can serve."""
    cut = cut_off({})
    rows = {name: evolve(row, relay_key="") for name, row in cut.rows.items()}
    cut.monitor.relays.rows = lambda: rows
    await cut.monitor.examine()
    assert cut.monitor.reach.state is Reach.ISOLATED
    assert not cut.peers.asked


@pytest.mark.parametrize("fleet", [6, 330])
async def test_gateway_asks_a_few_others_in_turn(fleet: int) -> None:
    """Questions must neither grow with the fleet nor stop at others that are cut."""
    cut = cut_off({f"vm-{n}": () for n in range(fleet)}, fleet=fleet)
    for _ in range(4):
        await cut.monitor.examine()
    assert len(cut.peers.asked) == 4 * ASKED_AT_ONCE
    assert len(set(cut.peers.asked)) == min(fleet, 4 * ASKED_AT_ONCE)


async def test_partition_ends_after_proof_alone() -> None:
    """Neither time nor a single connect must end a partition, and no flapping."""
    cut = cut_off(ALL)
    reach, prober = cut.monitor.reach, cut.prober
    await cut.monitor.examine()
    for _ in range(40):
        await anyio.sleep(PROBE_INTERVAL)
        await cut.monitor.examine()
    assert not reach.is_connected
    for reached in (set(SERVERS), {"i-1"}, set(SERVERS)):
        prober.reached = reached
        await cut.monitor.examine()
        assert not reach.is_connected
    for _ in range(RETURN_PROBES - 1):
        await cut.monitor.examine()
    assert reach.is_connected
    assert not cut.monitor.relays.usable


@pytest.mark.parametrize(
    ("how", "dropped"),
    [(ConnectOutcome.REFUSED, 0), (ConnectOutcome.TIMED_OUT, 1)],
)
async def test_failures_of_a_cut_are_forgotten(
    how: ConnectOutcome, dropped: int
) -> None:
    """Ejections must not outlive a cut, nor dead connections be used."""
    cut = cut_off(ALL)
    cut.prober.how = how
    ejector = cut.prober.backends.ejector
    for name in SERVERS:
        ejector.lost(name, 0.0)
    await cut.monitor.examine()
    assert not ejector.records
    assert cut.prober.dropped == dropped
    assert cut.monitor.reach.silent is bool(dropped)


def relay(number: int) -> RelayAddress:
    """Return a relay."""
    return RelayAddress(f"vm-{number}", ("h", 1), "key")


async def test_relay_that_took_no_request_is_avoided_for_a_while() -> None:
    """One relay that is busy or has restarted must not fail each second request."""
    relays = cut_off(ALL).monitor.relays
    relays.usable = [relay(1), relay(2)]
    relays.avoid(relay(1))
    for _ in range(3):
        assert [one.router for one in relays.in_turn()] == ["vm-2"]
    await anyio.sleep(AVOIDANCE)
    assert {one.router for one in relays.in_turn()} == {"vm-1", "vm-2"}


async def test_relay_whose_connection_broke_off_is_used_last_for_a_while() -> None:
    """Guards against going on with a cut stream by way of the relay that cut it."""
    relays = cut_off(ALL).monitor.relays
    relays.usable = [relay(1), relay(2)]
    relays.use_last(relay(1))
    for _ in range(3):
        assert [one.router for one in relays.in_turn()] == ["vm-2", "vm-1"]
    await anyio.sleep(AVOIDANCE)
    assert {relays.in_turn()[0].router for _ in range(2)} == {"vm-1", "vm-2"}


@define(eq=False)
class FailingPool:
    """Connections to relays, the first of which cannot be opened.

    Attributes:
        failures: Number of connections that are still to fail.
    """

    failures: int = 1

    async def get(self, name: str, address: tuple[str, int]) -> object:
        """Return a connection, or fail."""
        self.failures -= 1
        if self.failures >= 0:
            raise BackendLostError("no connection in time")
        return object()


async def test_relay_is_used_after_a_failed_connection_if_no_other_is_left() -> None:
    """Guards against refusing requests for a while after one failed connection."""
    relays = cut_off(ALL).monitor.relays
    relays.usable, relays.tasks = [relay(1)], object()  # type: ignore[assignment]
    relays.pool = FailingPool()  # type: ignore[assignment]
    with pytest.raises(NoPathError):
        await relays.open()
    assert not relays.has_usable()
    assert (await relays.open()).relay == relay(1)


class ReachingProber(ServerProber):
    """Reaches all servers."""

    async def probe(
        self, servers: Collection[str], until_made: bool = False
    ) -> dict[str, ConnectOutcome]:
        """Return that each server accepts."""
        return dict.fromkeys(servers, ConnectOutcome.MADE)


@pytest.mark.parametrize("stopping", [False, True])
async def test_gateway_tells_others_that_it_stops(stopping: bool) -> None:
    """Guards against sending requests to a relay until the moment it ends."""
    prober = ReachingProber(FakeProber(), BackendTable(), lambda: stopping)  # type: ignore[arg-type]
    answer = await prober.answer(ReachQuestion(tuple(SERVERS)))
    assert answer == ReachAnswer(tuple(SERVERS), stopping=stopping)


@pytest.mark.parametrize("stopping", [1, 3])
async def test_relay_that_stops_is_proof_of_a_partition_alone(stopping: int) -> None:
    """Guards against taking servers for ended because the only relays stop."""
    cut = cut_off(ALL)
    asked = cut.monitor.relays.candidates()[:ASKED_AT_ONCE]
    cut.peers.stopping = set(asked[:stopping])
    await cut.monitor.examine()
    assert cut.monitor.reach.state is Reach.PARTITIONED
    usable = {one.router for one in cut.monitor.relays.usable}
    assert usable == set(asked[stopping:])


KEYS: list[tuple[str, Callable[[int], str]]] = [
    ("older builds", lambda n: "" if n % 2 else "key"),
    ("all new", lambda n: "key"),
]


@pytest.mark.parametrize("key", [row[1] for row in KEYS], ids=[row[0] for row in KEYS])
def test_only_routers_with_a_key_are_relays(key: Callable[[int], str]) -> None:
    """A build that does not know the call must never be sent a request."""
    rows = {f"vm-{n}": PresenceRow("", "h:1", "ab"[n % 2], key(n)) for n in range(8)}
    relays = GatewayRelays("own", "a", GatewayPeers(dict), lambda: rows)
    found = relays.candidates()
    assert set(found) == {name for name, row in rows.items() if row.relay_key}
    domains = [rows[name].domain for name in found]
    assert domains == sorted(domains, reverse=True)
