"""Metrics of a gateway that count what became of requests."""

from __future__ import annotations

import logging

import anyio
import pytest
from anyio.abc import SocketStream

from ebonyhold.gateway._metrics import GatewayMetrics
from tests.forwarding.kit import Rig, Script, Server, answer, request, rig, stray
from tests.forwarding.test_attempts import broken_stream, whole_stream
from tests.forwarding.test_silent_servers import dark_stream, paused_stream
from tests.gateway.silences import SILENCES, Silence, breaks_late, steady_stream

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """Use asyncio: sockets have no virtual clock."""
    return "asyncio"


def count_for(router: Rig) -> GatewayMetrics:
    """Return metrics that count what a router does, as those of a gateway do."""
    metrics = GatewayMetrics()
    router.forwarder.on_cut = metrics.count_cut
    router.forwarder.silences.on_outcome = metrics.count_silence
    router.forwarder.silences.on_standby = metrics.count_standby
    return metrics


def counts(metrics: GatewayMetrics, name: str) -> dict[tuple[str, ...], float]:
    """Return the values of a counter by its labels."""
    return {
        tuple(sample.labels.values()): sample.value
        for metric in metrics.registry.collect()
        for sample in metric.samples
        if sample.name == f"ebonyhold_gateway_{name}_total"
    }


@pytest.mark.parametrize("silence", SILENCES, ids=str)
async def test_silence_is_counted_by_what_became_of_it(silence: Silence) -> None:
    """Guards against silences that operators cannot tell from other delays."""
    async with silence.rig() as router:
        metrics = count_for(router)
        await silence.ask(router)
    assert counts(metrics, "silences") == {("svc", silence.outcome): 1.0}
    searches = {("svc", result): 1.0 for result in silence.results}
    assert counts(metrics, "standbys") == searches
    assert counts(metrics, "answers_cut") == {}


CUTS = [
    # path, script of the only server, why the answer is cut; None if it is whole
    ("/once/x", broken_stream, "server"),
    ("/stream/x", broken_stream, "server"),
    ("/once/x", dark_stream, "deadline"),
    ("/stream/x", dark_stream, "deadline"),
    ("/stream/x", paused_stream, None),
    ("/once/x", whole_stream, None),
]


@pytest.mark.parametrize(("path", "script", "cause"), CUTS)
async def test_cut_is_counted_by_its_cause(
    path: str, script: Script, cause: str | None
) -> None:
    """Guards against cuts for silence, and against cuts without a known cause."""
    metrics = GatewayMetrics()
    async with rig(Server("only", script)) as router:
        router.forwarder.on_cut = metrics.count_cut
        await router.ask(request(path))
    expected = {} if cause is None else {(cause,): 1.0}
    assert counts(metrics, "answers_cut") == expected


@pytest.mark.parametrize(("seconds_left", "cause"), [(0.2, "stop"), (60.0, "deadline")])
async def test_cut_by_a_stop_is_told_from_a_deadline(
    seconds_left: float, cause: str, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against stops that cut answers, and look as if servers were slow."""
    caplog.set_level(logging.INFO)
    async with rig(Server("only", dark_stream)) as router:
        metrics = count_for(router)
        router.forwarder.shutdown.begin(anyio.current_time() + seconds_left)
        await router.ask(request("/once/x"))
    assert counts(metrics, "answers_cut") == {(cause,): 1.0}
    lines = [vars(line) for line in caplog.records]
    told = [line for line in lines if line["msg"] == "request outlasted the stop"]
    assert [line["ms_estimated"] > 0 for line in told] == [True] * (cause == "stop")
    (ended,) = (line for line in lines if line["msg"] == "request ended")
    assert ended["stopped"] is (cause == "stop")


async def test_cut_after_a_silent_server_was_left_is_counted_as_such() -> None:
    """Guards against such cuts being taken for faults of the other server."""
    silence = Silence(
        "other breaks off",
        dark_stream,
        breaks_late,
        "left",
        frozenset({"failed"}),
        path="/stream/x",
        beside=("/once/x", steady_stream),
    )
    async with silence.rig() as router:
        metrics = count_for(router)
        await silence.ask(router)
    assert counts(metrics, "silences") == {("svc", "left"): 1.0}
    assert counts(metrics, "answers_cut") == {("silence",): 1.0}


STRAYS = [
    # what the server sends before the answer, what it is counted as
    (stray(), "not_run"),
    (stray("").replace(b"X-Ebonyhold-Not-Executed: 1\r\n", b""), "unnamed"),
    (answer("X-Ebonyhold-Request-Id: r0"), "answered"),
]


@pytest.mark.parametrize(("first", "states"), STRAYS, ids=[s for _, s in STRAYS])
async def test_answer_to_another_request_is_counted(first: bytes, states: str) -> None:
    """Guards against such answers that nobody sees in metrics or logs."""

    async def late(server: Server, stream: SocketStream, head: str) -> None:
        await stream.send(first + answer(head))

    metrics = GatewayMetrics()
    async with rig(Server("only", late)) as router:
        router.forwarder.backends.strays.on_stray = metrics.count_stray
        await router.ask(request("/unsafe/x"))
    assert counts(metrics, "stray_answers") == {("svc", states): 1.0}
