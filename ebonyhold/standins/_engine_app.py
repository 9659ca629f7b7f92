"""The model engine over HTTP."""

from __future__ import annotations

from typing import Any

import anyio
import cattrs
from attrs import define, field

from ebonyhold.standins._answers import prompt_digest, words_of
from ebonyhold.standins._asgi import (
    App,
    Dropped,
    HttpError,
    Reply,
    Request,
    StreamReply,
    json_reply,
)
from ebonyhold.standins._attempts import Attempt, AttemptState, EngineProfile, Job
from ebonyhold.standins._chunks import HUGE, ChunkWriter, completion
from ebonyhold.standins._control import Control, StreamFault, StreamTrouble
from ebonyhold.standins._engine import Engine, EngineRefusal
from ebonyhold.standins._kinds import standin

EVENT_STREAM = "text/event-stream"
DEFAULT_MAX_TOKENS = 256
ORDERS = ("load", "unload", "role")


@define
class EngineServer:
    """The handlers of one engine.

    Attributes:
        trouble: What goes wrong with the next answers.
        trouble_left: How many of them it hits.
        unnamed: Counts the attempts that came without an identifier.
    """

    engine: Engine
    trouble: StreamTrouble | None = None
    trouble_left: int = 0
    unnamed: int = 0
    imported: dict[str, int] = field(factory=dict)

    def controlled(self, control: Control) -> None:
        """Set the switches that only engines have."""
        engine = self.engine
        if control.stream is not None:
            self.trouble = control.stream
            self.trouble_left = control.stream.count
        if control.overshoot is not None:
            engine.overshoot = control.overshoot.tokens
            engine.overshoot_count = control.overshoot.count
        if control.slowdown is not None:
            engine.slowdown = control.slowdown
        if control.leaving is not None:
            engine.leaving = control.leaving
        if control.reboot:
            engine.restart()

    def next_trouble(self) -> StreamTrouble | None:
        """Return what goes wrong with this answer, and count it."""
        if self.trouble_left <= 0:
            return None
        self.trouble_left -= 1
        return self.trouble

    async def complete(self, request: Request) -> Reply | StreamReply:
        """Answer a chat completion.

        Raises:
            HttpError: The engine refuses it.
        """
        body = request.json()
        expected = request.headers.get("x-expect-boot-id", "")
        if expected and expected != self.engine.boot:
            raise HttpError(409, "the engine was restarted", ran=False)
        attempt = self.submit(self.job(request, body))
        trouble = self.next_trouble()
        if body.get("stream"):
            options = body.get("stream_options") or {}
            writer = ChunkWriter(attempt, bool(options.get("include_usage")), trouble)
            return StreamReply(
                writer.chunks(),
                lambda: self.engine.cancel(attempt),
                EVENT_STREAM,
                self.headers(attempt),
            )
        return await self.whole(attempt, trouble)

    def job(self, request: Request, body: Any) -> Job:
        """Read what is asked for.

        Raises:
            HttpError: The body does not have the form of the protocol.
        """
        headers = request.headers
        try:
            model = str(body["model"])
            words = words_of(body["messages"])
            bound = body.get("max_completion_tokens") or body.get("max_tokens")
            return Job(
                headers.get("x-attempt-id") or self.make_name(),
                model,
                words,
                prompt_digest(model, words),
                int(bound or DEFAULT_MAX_TOKENS),
                int(headers.get("x-priority", "0")),
                int(headers.get("x-resume-tokens", "0")),
                headers.get("traceparent", ""),
            )
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise HttpError(400, "not a chat completion") from error

    def make_name(self) -> str:
        """Return an identifier for an attempt that came without one."""
        self.unnamed += 1
        return f"unnamed-{self.unnamed}"

    def submit(self, job: Job) -> Attempt:
        """Queue an attempt.

        Raises:
            HttpError: The engine refuses it.
        """
        try:
            return self.engine.submit(job)
        except EngineRefusal as error:
            raise HttpError(error.status, str(error), ran=False) from error

    def headers(self, attempt: Attempt) -> dict[str, str]:
        """Return the headers that name the attempt and the boot."""
        return {"X-Attempt-Id": attempt.job.attempt, "X-Boot-Id": attempt.boot}

    async def whole(self, attempt: Attempt, trouble: StreamTrouble | None) -> Reply:
        """Wait for the answer and return it whole.

        Raises:
            Dropped: The connection is cut.
        """
        try:
            async for _ in attempt.output:
                pass
        except anyio.get_cancelled_exc_class():
            self.engine.cancel(attempt)
            raise
        if attempt.state is not AttemptState.FINISHED:
            raise Dropped
        reply = json_reply(completion(attempt), 200, self.headers(attempt))
        if trouble is not None:
            return await self.spoil(reply, trouble)
        attempt.sent = True
        return reply

    async def spoil(self, reply: Reply, trouble: StreamTrouble) -> Reply:
        """Return a whole answer with something wrong in it."""
        match trouble.kind:
            case StreamFault.STALL:
                await anyio.sleep_forever()
            case StreamFault.CROSSED:
                headers = {**reply.headers, "X-Attempt-Id": "another-attempt"}
                return Reply(200, reply.body, reply.content_type, headers)
            case StreamFault.MALFORMED | StreamFault.HALF:
                half = reply.body[: len(reply.body) // 2]
                return Reply(200, half, reply.content_type, reply.headers)
            case StreamFault.OVERSIZED:
                body = b" " * HUGE + reply.body
                return Reply(200, body, reply.content_type, reply.headers)
            case _:
                pass
        raise Dropped

    def fate(self, attempt: Attempt | None) -> Reply:
        """Tell how far an attempt came."""
        if attempt is None:
            state, prompt, completed = AttemptState.NEVER_RAN, 0, 0
        else:
            state, prompt = attempt.state, attempt.prompt_tokens
            completed = attempt.completed if prompt else 0
        return json_reply(
            {
                "state": state.value,
                "prompt_tokens": prompt,
                "completion_tokens": completed,
                "boot": self.engine.boot,
            }
        )

    def load(self) -> Reply:
        """Report the load, with its lag."""
        engine = self.engine
        seen = engine.visible_load()
        return json_reply(
            {
                "boot": engine.boot,
                "sequence": seen.sequence,
                "running": seen.running,
                "queued": seen.queued,
                "free_blocks": seen.free_blocks,
                "slots": engine.profile.slots,
                "token_rate": engine.token_rate,
                "models": sorted(engine.loaded()),
                "adapters": list(engine.profile.adapters),
                "role": engine.role,
                "leaving": engine.leaving,
            }
        )

    def events(self, request: Request) -> Reply:
        """Return the cache events behind a sequence number."""
        after = int(request.query.get("after", "0"))
        events = self.engine.cache.visible(after, anyio.current_time())
        rows = [
            {"sequence": one.sequence, "action": one.action, "prefix": one.prefix}
            for one in events
        ]
        return json_reply({"boot": self.engine.boot, "events": rows})

    def export(self, request: Request) -> Reply:
        """Return the blocks held among the prefixes asked for."""
        held = self.engine.cache.held
        wanted = request.json().get("prefixes", [])
        blocks = [prefix for prefix in wanted if prefix in held]
        return json_reply({"blocks": blocks})

    def take(self, request: Request) -> Reply:
        """Hold exported blocks."""
        blocks = request.json().get("blocks", [])
        for prefix in blocks:
            self.engine.cache.add(str(prefix), anyio.current_time())
        return json_reply({"imported": len(blocks)})

    def order(self, request: Request) -> Reply:
        """Carry out an order, or refuse its fencing number."""
        body = request.json()
        if body.get("order") not in ORDERS:
            raise HttpError(400, "unknown order")
        fencing = int(body.get("fencing", 0))
        if self.engine.order(body["order"], str(body.get("model", "")), fencing):
            return json_reply({})
        return json_reply({"error": "the fencing number is old"}, 409)


def engine_app(engine: Engine) -> App:
    """Make the application of an engine."""
    server = EngineServer(engine)
    app = App(ends_with_caller=True)
    app.background.append(engine.run)
    app.controlled.append(server.controlled)

    @app.route("POST", "/v1/chat/completions")
    async def complete(request: Request) -> Reply | StreamReply:
        return await server.complete(request)

    @app.route("POST", "/v1/attempts/{id}/close")
    async def close(request: Request) -> Reply:
        return server.fate(engine.close(request.params["id"]))

    @app.route("GET", "/v1/attempts/{id}")
    async def fate(request: Request) -> Reply:
        return server.fate(engine.attempts.get(request.params["id"]))

    @app.route("GET", "/v1/load")
    async def load(request: Request) -> Reply:
        return server.load()

    @app.route("GET", "/v1/models")
    async def models(request: Request) -> Reply:
        rows = [{"id": name, "object": "model"} for name in sorted(engine.loaded())]
        return json_reply({"object": "list", "data": rows})

    @app.route("GET", "/v1/cache/events")
    async def events(request: Request) -> Reply:
        return server.events(request)

    @app.route("POST", "/v1/cache/export")
    async def export(request: Request) -> Reply:
        return server.export(request)

    @app.route("POST", "/v1/cache/import")
    async def take(request: Request) -> Reply:
        return server.take(request)

    @app.route("POST", "/v1/orders")
    async def order(request: Request) -> Reply:
        return server.order(request)

    @app.route("GET", "/records")
    async def records(request: Request) -> Reply:
        return json_reply(cattrs.unstructure(engine.records()))

    return app


@standin("engine", EngineProfile)
def build_engine(profile: EngineProfile) -> App:
    """Make an engine."""
    return engine_app(Engine(profile))
