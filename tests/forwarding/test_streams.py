"""Streams that callers take up, at a router that may or may not know them."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import anyio
import pytest
from attrs import define, evolve, field

from ebonyhold.coordination import BegunStream, StreamId, stream_id
from ebonyhold.forwarding import Found, Origin
from ebonyhold.forwarding._server_list import CURRENT_FOR
from tests.forwarding.kit import Rig, Server, UnlimitedHold, request, rig
from tests.forwarding.test_attempts import numbers, whole_stream

pytestmark = pytest.mark.anyio

TAKES_UP = "Last-Event-Id: 2\r\nResumes: r0\r\nX-Ebonyhold-Token-Counts: 100,40\r\n"

V1 = BegunStream("svc", "v1")


@pytest.fixture
def anyio_backend() -> str:
    """Use a real clock, since sockets do not work with a virtual one."""
    return "asyncio"


@define
class Keepers:
    """The other routers.

    Attributes:
        found: What they know.
        are_known: Whether there are any.
        told: The streams that they were told of.
        asked: The streams that they were asked for.
    """

    found: Found = field(factory=Found)
    are_known: bool = True
    told: dict[StreamId, BegunStream] = field(factory=dict)
    asked: list[StreamId] = field(factory=list)

    def tell(self, begun: Mapping[StreamId, BegunStream]) -> None:
        """Keep what this router tells."""
        self.told.update(begun)

    async def ask(self, stream: StreamId, service: str) -> Found:
        """Return what they know."""
        self.asked.append(stream)
        return self.found


@define(eq=False)
class Versions:
    """A router with a server of each of two versions.

    Attributes:
        router: The router.
        servers: The servers by version.
        keepers: The other routers.
        origins: How versions were found.
        hold: The charges.
    """

    router: Rig
    servers: dict[str, Server]
    keepers: Keepers
    origins: list[Origin]
    hold: UnlimitedHold

    def ran(self) -> list[str]:
        """Return the versions of the servers that got a request."""
        return [version for version, one in self.servers.items() if one.requests]


async def play(
    keepers: Keepers,
    asked: bytes,
    versions: tuple[str, ...] = ("v1", "v2"),
    settled: tuple[str, ...] = ("v1", "v2"),
    list_age: float | Callable[[], float] = 0.0,
    own: BegunStream | None = None,
    started_at: int = 1,
    replaced: bool = False,
) -> tuple[bytes, Versions]:
    """Send a request to a router with some state; return the answer and the state."""
    hold = UnlimitedHold()
    servers = {v: Server(v or "none", whole_stream, version=v) for v in versions}
    for server in servers.values():
        server.started_at = started_at
    async with rig(*servers.values(), hold=hold, reports=True) as router:
        forwarder = router.forwarder
        state = Versions(router, servers, keepers, [], hold)
        streams = forwarder.streams
        streams.keepers, streams.on_found = keepers, state.origins.append
        table = forwarder.backends
        table.read_age = list_age if callable(list_age) else lambda: list_age
        now = anyio.current_time()
        for version, seen in table.versions.in_play("svc").items():
            seen.first_at = -1e9 if version in settled else now
        # The server of the other version would be chosen.
        table.entries[next(iter(servers)) or "none"].in_flight = 5
        if replaced:
            table.record_replaced(table.entries["v1"], now, now)
        if own is not None:
            streams.records.add(stream_id("acme", "r0"), own, now)
        return await router.ask(asked), state


def is_refused(got: bytes, code: str) -> bool:
    """Return whether an answer is a refusal with a code."""
    return got.startswith(b"HTTP/1.1 503 ") and code.encode() in got


def read_again_after(seconds: float) -> Callable[[], float]:
    """Return the age of a list that is current for a moment, and then read again."""
    asked_at: list[float] = []

    def age() -> float:
        asked_at.append(anyio.current_time())
        passed = asked_at[-1] - asked_at[0]
        return CURRENT_FOR - 0.3 + passed if passed < seconds else 0.0

    return age


BOTH = frozenset({"v1", "v2"})

FEW = Found(None, 1, frozenset({"v1"}), frozenset({"v1"}), asked=3)
"""One of three keepers answers, and it does not know the stream."""

MOST = evolve(FEW, answered=2)

MISSED = evolve(MOST, versions=BOTH, possible=BOTH)
"""They know a version that the router may have missed."""

TELLS = evolve(MISSED, possible=frozenset({"v1"}))
"""They know it, and are told of all streams that begin there."""


GOES_ON = [
    pytest.param({"own": V1}, Origin.OWN, id="begun here"),
    pytest.param({"keepers": Keepers(Found(V1, 1))}, Origin.TOLD, id="told by another"),
    pytest.param(
        {"versions": ("v1",), "keepers": Keepers(MOST)}, Origin.ONLY, id="one version"
    ),
    pytest.param({"versions": ("v1",)}, Origin.ONLY, id="one version, none answers"),
    pytest.param(
        {
            "versions": ("v1",),
            "keepers": Keepers(FEW),
            "list_age": read_again_after(0.1),
        },
        Origin.ONLY,
        id="one version, few answer",
    ),
    pytest.param(
        {"settled": ("v1",), "keepers": Keepers(TELLS)},
        Origin.SETTLED,
        id="the other has just come",
    ),
    pytest.param(
        {"versions": ("v1",), "keepers": Keepers(TELLS)},
        Origin.SETTLED,
        id="the other has just come elsewhere",
    ),
    pytest.param(
        {
            "versions": ("v1",),
            "list_age": 9.0,
            "keepers": Keepers(Found(None, 2, frozenset({"v1"}))),
        },
        Origin.SETTLED,
        id="list is old, others know one version too",
    ),
    pytest.param(
        {"versions": ("v1",), "list_age": 1.5},
        Origin.ONLY,
        id="list is not fresh, nobody answers",
    ),
    pytest.param(
        {"versions": ("v1",), "list_age": 9.0, "keepers": Keepers(are_known=False)},
        Origin.SETTLED,
        id="list is old, no others",
    ),
]


@pytest.mark.parametrize(("state", "origin"), GOES_ON)
async def test_stream_goes_on_at_its_version(
    state: dict[str, object], origin: Origin
) -> None:
    """A caller that takes a stream up must be served where its version is known."""
    keepers = state.pop("keepers", Keepers())
    asked = request("/stream/x", extra=TAKES_UP)
    got, found = await play(keepers, asked, **state)  # type: ignore[arg-type]
    state["keepers"] = keepers
    assert numbers(got) == [3, 4], got
    assert found.ran() == ["v1"]
    assert found.origins == [origin]
    assert len(found.keepers.asked) == (origin is not Origin.OWN)


RUNS = [(2, "later run"), (0, "no report"), (-1, "no answer")]
"""What a server's report states, and what that means."""

REFUSED = [
    pytest.param({}, TAKES_UP, "version_unknown", id="nobody knows it"),
    pytest.param(
        {"own": V1}, "Last-Event-Id: 2\r\n", "version_unknown", id="no attempt named"
    ),
    pytest.param(
        {"own": V1},
        "Last-Event-Id: 2\r\nResumes: r0/../\xe9\r\n",
        "version_unknown",
        id="no identifier",
    ),
    pytest.param(
        {"versions": ("v1",), "list_age": 9.0},
        TAKES_UP,
        "version_unknown",
        id="list is old, nobody answers",
    ),
    pytest.param(
        {
            "versions": ("v1",),
            "list_age": 9.0,
            "keepers": Keepers(Found(None, 1, frozenset({"v1", "v2"}))),
        },
        TAKES_UP,
        "version_unknown",
        id="list is old, another knows more versions",
    ),
    pytest.param(
        {
            "versions": ("v1",),
            "list_age": 1.5,
            "keepers": Keepers(MISSED),
        },
        TAKES_UP,
        "version_unknown",
        id="list is not fresh, another knows more versions",
    ),
    pytest.param(
        {"settled": ("v1",)},
        TAKES_UP,
        "version_unknown",
        id="another has just come, nobody answers",
    ),
    pytest.param(
        {"settled": ("v1",), "keepers": Keepers(TELLS)},
        "Last-Event-Id: 2\r\n",
        "version_unknown",
        id="another has just come, no attempt named",
    ),
    pytest.param(
        {"versions": ("v1",), "keepers": Keepers(MISSED)},
        TAKES_UP,
        "version_unknown",
        id="others know a version that was missed",
    ),
    pytest.param(
        {"versions": ("v1",), "replaced": True, "keepers": Keepers(MISSED)},
        TAKES_UP,
        "version_unknown",
        id="list lacks a later run, another knows more versions",
    ),
    *(
        pytest.param(
            {
                "versions": ("v1",),
                "list_age": 9.0,
                "keepers": Keepers(are_known=False),
                "started_at": started_at,
            },
            TAKES_UP,
            "no_server",
            id=f"list is old, {name}",
        )
        for started_at, name in RUNS
    ),
    pytest.param({"started_at": 2, "own": V1}, TAKES_UP, "no_server", id="later run"),
    pytest.param(
        {
            "versions": ("v1",),
            "keepers": Keepers(FEW),
            "list_age": read_again_after(9.0),
        },
        TAKES_UP,
        "version_unknown",
        id="few answer, list is not read again",
    ),
    pytest.param(
        {"own": BegunStream("svc", "v0")}, TAKES_UP, "version_gone", id="gone"
    ),
    pytest.param(
        {"versions": ("", "v2"), "own": V1}, TAKES_UP, "version_gone", id="none stated"
    ),
]


@pytest.mark.parametrize(("state", "extra", "code"), REFUSED)
async def test_stream_is_refused_rather_than_mixed(
    state: dict[str, object], extra: str, code: str
) -> None:
    """A stream whose version is unknown or gone must not be guessed, nor charged."""
    keepers = state.get("keepers", Keepers())
    more = {name: one for name, one in state.items() if name != "keepers"}
    asked = request("/stream/x", extra=extra).decode().encode("latin-1")
    with anyio.fail_after(2.0):
        got, found = await play(keepers, asked, **more)  # type: ignore[arg-type]
    assert is_refused(got, code), got
    assert (b"retry-after" in got.lower()) is (code != "version_gone")
    assert not found.ran()
    assert all(charge == 0 for _, charge in found.hold.charges)


async def test_caller_may_return_if_servers_of_the_version_are_unconfirmed() -> None:
    """A refusal must not call a version gone whose servers may serve again soon."""
    server = Server("one", whole_stream, version="v1")
    async with rig(server) as router:
        table = router.forwarder.backends
        table.record_end(table.entries["one"], anyio.current_time() - 1.0)
        got = await router.ask(request("/stream/x", extra=TAKES_UP))
    assert is_refused(got, "no_server")
    assert b"retry-after" in got.lower()
    assert not server.requests


async def test_stream_of_another_workspace_is_unknown() -> None:
    """An attempt that another workspace has made must tell nothing."""
    other = Keepers()
    got, found = await play(other, request("/stream/x", extra=TAKES_UP))
    assert is_refused(got, "version_unknown")
    assert other.asked == [stream_id("acme", "r0")]
    assert found.origins == [Origin.UNKNOWN]


async def test_name_without_an_event_takes_nothing_up() -> None:
    """A caller that has no event yet may begin at any version."""
    keepers = Keepers()
    got, found = await play(keepers, request("/stream/x", extra="Resumes: r0\r\n"))
    assert numbers(got) == [1, 2, 3, 4]
    assert not keepers.asked
    assert found.origins == []


@pytest.mark.parametrize(
    ("versions", "list_age", "told"),
    [(("v1",), 0.0, False), (("v1", "v2"), 0.0, True), (("v1",), 9.0, True)],
    ids=["one version", "two versions", "list is old"],
)
async def test_others_are_told_only_while_it_matters(
    versions: tuple[str, ...], list_age: float, told: bool
) -> None:
    """While one version serves, streams must cost no messages."""
    keepers = Keepers()
    await play(keepers, request("/stream/x"), versions, list_age=list_age)
    assert bool(keepers.told) is told
    if told:
        assert list(keepers.told) == [stream_id("acme", "r1")]


async def test_streams_begun_before_are_told_when_a_version_appears() -> None:
    """A stream that began while one version served must be found afterwards."""
    keepers = Keepers()
    one = Server("one", whole_stream, version="v1")
    async with rig(one) as router:
        streams = router.forwarder.streams
        streams.keepers = keepers
        await router.ask(request("/stream/x"))
        assert not keepers.told
        newer = evolve(one.backend(), name="two", version="v2")
        router.forwarder.backends.update(newer, anyio.current_time())
    assert keepers.told == {stream_id("acme", "r1"): V1}


async def test_stream_begins_at_a_settled_version() -> None:
    """Routers that have not read the list yet must find streams of others."""
    _, found = await play(Keepers(), request("/stream/x"), settled=("v1",))
    assert found.ran() == ["v1"]
    _, found = await play(Keepers(), request("/stream/x"), ("v2",), settled=())
    assert found.ran() == ["v2"]
