"""Requests over real sockets: unmodified client, router, stand-in servers."""

from __future__ import annotations

import random
from collections.abc import AsyncIterator, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from typing import Any, cast

import anyio
import httpx
import openai
import pytest
from attrs import evolve, field, frozen

from ebonyhold._asgi import Receive, Scope, Send
from ebonyhold.backends import Backends
from ebonyhold.callers import CallersApp
from ebonyhold.document import BackendKind, Document
from ebonyhold.fleet import FleetView
from ebonyhold.standins import EngineProfile, expected_text
from ebonyhold.standins.http import (
    App,
    ServiceProfile,
    build_engine,
    build_service,
    running,
)
from tests.callers.kit import KEY, FakeMoney, make_document

pytestmark = pytest.mark.anyio
MESSAGES: list[Any] = [{"role": "user", "content": "which wood burns long"}]
QUICK = EngineProfile(step=0.001, step_each=0.0, load_lag=0.0)
TEXT = expected_text("assistant", MESSAGES, 512)


@pytest.fixture
def anyio_backend() -> str:
    """Use asyncio and its clock, which hypercorn needs."""
    return "asyncio"


@frozen
class Served:
    """An application in the form that `running` of the stand-ins serves."""

    app: CallersApp
    background: Sequence[Any] = field(factory=tuple)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        await self.app(scope, receive, send)


@frozen
class Rig:
    """A router with stand-in backend servers, on loopback."""

    url: str
    engines: tuple[str, ...]
    service: str
    money: FakeMoney
    app: CallersApp

    def client(self, key: str = KEY) -> openai.AsyncOpenAI:
        """Return an unmodified client of the chat-completions protocol."""
        return openai.AsyncOpenAI(
            api_key=key, base_url=f"{self.url}/v1", max_retries=0, timeout=10.0
        )

    async def control(self, engine: int, **switches: Any) -> None:
        """Set fault and speed switches of a stand-in engine."""
        async with httpx.AsyncClient() as client:
            url = f"{self.engines[engine]}/control"
            (await client.post(url, json=switches)).raise_for_status()

    async def records(self, url: str) -> Any:
        """Return the records of a stand-in."""
        async with httpx.AsyncClient() as client:
            return (await client.get(f"{url}/records")).json()


@asynccontextmanager
async def rig(engines: int = 2) -> AsyncIterator[Rig]:
    """Serve a router with stand-in engines and one plain service."""
    async with AsyncExitStack() as stack:
        urls = [
            await stack.enter_async_context(running(build_engine(QUICK)))
            for _ in range(engines)
        ]
        service = await stack.enter_async_context(
            running(build_service(ServiceProfile()))
        )
        fleet = FleetView(with_addresses(urls, service), version=1, domain="d0")
        backends = Backends(fleet, rng=random.Random(1), poll_interval=0.05)
        money = FakeMoney()
        app = CallersApp(money, fleet, backends)
        url = await stack.enter_async_context(running(cast("App", Served(app))))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(backends.run)
            yield Rig(url, tuple(urls), service, money, app)
            tasks.cancel_scope.cancel()


def with_addresses(engines: Sequence[str], service: str) -> Document:
    """Return a document whose servers have these URLs."""
    document = make_document(engines=len(engines), service_count=1)
    urls = {f"e{index}": url for index, url in enumerate(engines)} | {"s0": service}
    placed = tuple(
        evolve(
            backend,
            address=urls[backend.name].removeprefix("http://"),
            slots=16 if backend.kind is BackendKind.ENGINE else backend.slots,
        )
        for backend in document.backends
    )
    return evolve(document, backends=placed)


async def test_unmodified_client_streams() -> None:
    async with rig() as router, router.client() as client:
        stream = await client.chat.completions.create(
            model="assistant",
            messages=MESSAGES,
            stream=True,
            stream_options={"include_usage": True},
        )
        text, usage = "", None
        async for chunk in stream:
            usage = chunk.usage or usage
            for choice in chunk.choices:
                text += choice.delta.content or ""
    assert text == TEXT
    assert usage is not None
    assert usage.completion_tokens == len(TEXT.split())
    assert router.money.outcomes[0].charge == usage.total_tokens


async def test_unmodified_client_whole() -> None:
    async with rig() as router, router.client() as client:
        answer = await client.chat.completions.create(
            model="assistant", messages=MESSAGES, max_tokens=5
        )
        models = [model.id async for model in client.models.list()]
    assert answer.choices[0].message.content is not None
    assert answer.choices[0].message.content.split() == TEXT.split()[:5]
    assert answer.choices[0].finish_reason == "length"
    assert models == ["assistant"]


@pytest.mark.parametrize(
    ("kind", "key", "model", "code"),
    [
        (openai.AuthenticationError, "wrong", "assistant", "key_unknown"),
        (openai.NotFoundError, KEY, "other", "model_unknown"),
    ],
)
async def test_unmodified_client_understands_refusals(
    kind: type[openai.APIStatusError], key: str, model: str, code: str
) -> None:
    async with rig(engines=1) as router, router.client(key) as client:
        with pytest.raises(kind) as caught:
            await client.chat.completions.create(model=model, messages=MESSAGES)
    assert caught.value.code == code
    assert caught.value.request_id


FAULTS = ["die", "half", "crossed", "malformed", "oversized", "doubled", "skipped"]


@pytest.mark.parametrize("fault", FAULTS)
async def test_faulty_engines_over_sockets(fault: str) -> None:
    """The first answer of each engine is faulty after three tokens.

    The client gets the whole answer, resumed at another engine if necessary.
    """
    async with rig() as router, router.client() as client:
        for engine in (0, 1):
            trouble = {"kind": fault, "after": 3, "count": 1}
            await router.control(engine, stream=trouble)
        for _ in range(3):
            answer = await client.chat.completions.create(
                model="assistant", messages=MESSAGES, stream=True
            )
            text = ""
            async for chunk in answer:
                for choice in chunk.choices:
                    text += choice.delta.content or ""
            assert text == TEXT
    assert len(router.money.outcomes) == 3


async def test_disconnect_over_sockets() -> None:
    """A client closes its connection in the middle of a slow stream.

    The engine records the attempt as cancelled, and a part of the answer is billed.
    """
    async with rig(engines=1) as router:
        await router.control(0, slowdown=20.0)
        async with httpx.AsyncClient() as client:
            request = client.build_request(
                "POST",
                f"{router.url}/v1/chat/completions",
                json={"model": "assistant", "messages": MESSAGES, "stream": True},
                headers={"Authorization": f"Bearer {KEY}"},
            )
            response = await client.send(request, stream=True)
            await anext(response.aiter_raw())
            await response.aclose()
        with anyio.fail_after(5):
            await router.money.finished.wait()
        records = await router.records(router.engines[0])
    (outcome,) = router.money.outcomes
    assert "cancelled" in str(records)
    assert 0 < outcome.charge < len(TEXT.split())


async def test_booking_over_sockets() -> None:
    async with rig(engines=1) as router, httpx.AsyncClient() as client:
        headers = {"Authorization": f"Bearer {KEY}", "Idempotency-Key": "k-1"}
        url = f"{router.url}/services/booking"
        answer = await client.post(f"{url}/bookings", json={"slot": 1}, headers=headers)
        stock = await client.get(f"{url}/stock", headers=headers)
    assert (answer.status_code, answer.json()["booking"]) == (201, 1)
    assert stock.json()["booked"] == 1
    assert router.money.outcomes[0].charge == 5


async def test_unmodified_client_raises_for_cut_stream() -> None:
    """The only engine fails after two tokens, at every attempt.

    The client's loop over the answer raises an error instead of ending as if the
    answer were complete.
    """
    async with rig(engines=1) as router, router.client() as client:
        await router.control(0, stream={"kind": "die", "after": 2, "count": 99})
        answer = await client.chat.completions.create(
            model="assistant", messages=MESSAGES, stream=True
        )
        text = ""
        with pytest.raises(openai.APIError) as caught:
            async for chunk in answer:
                text += chunk.choices[0].delta.content or ""
        with anyio.fail_after(5):
            await router.money.finished.wait()
    assert TEXT.startswith(text)
    assert text != TEXT
    assert caught.value.code == "answer_incomplete"
    assert router.money.outcomes[0].charge >= len(text.split())
