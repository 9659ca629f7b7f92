"""Reading a chat request: once, and only what the router must know."""

from __future__ import annotations

import hashlib
import json
import math
import re
import uuid
from collections.abc import Iterator, Mapping
from typing import Any

from attrs import frozen

from ebonyhold.callers._codes import (
    BODY_MALFORMED,
    KEY_INVALID,
    MODEL_UNKNOWN,
    PARAMETER_INVALID,
)
from ebonyhold.callers._refusals import Refusal
from ebonyhold.coordination import prefix_hashes
from ebonyhold.document import ModelRoute
from ebonyhold.fleet import FleetView
from ebonyhold.types import RequestId, Seconds, Tokens

KEY_FORM = re.compile(r"[A-Za-z0-9._:~-]{1,128}")
KEY_HEADER = "idempotency-key"
PRIORITY_HEADER = "x-priority"
DEADLINE_HEADER = "x-deadline-ms"

BATCH_STEP = 100
"""How much less urgent a batch request is than a live one of its model."""

LIVE_PATIENCE: Seconds = 5.0
BATCH_PATIENCE: Seconds = 60.0
MOST_PATIENCE: Seconds = 600.0
LIVE_SHED: Seconds = 0.25
BATCH_SHED: Seconds = 10.0

MESSAGE_OVERHEAD: Tokens = 16
"""Tokens that a chat template may add around one message."""

TEMPLATE_OVERHEAD: Tokens = 64
"""Tokens that a chat template may add once."""


@frozen
class Identity:
    """A request's identifier and whether its caller chose it."""

    request: RequestId
    keyed: bool


@frozen
class Urgency:
    """How urgent a request is, and how long it may wait to begin.

    Attributes:
        priority: Larger is served first.
        patience: The longest wait, in seconds.
        shed_after: The longest wait in a queue that is standing, in seconds; a
            caller that names a deadline is waited for as long as it says.
    """

    priority: int
    patience: Seconds
    shed_after: Seconds = math.inf


@frozen
class ChatAsk:
    """A chat request, read and bounded.

    Attributes:
        route: The model's route.
        body: The JSON for the engine.
        digest: SHA-256 of the caller's body.
        stream: Whether the caller wants events.
        usage_wanted: Whether it wants the usage event among them.
        most: The bound on the answer, in tokens.
        bound: The bound on the prompt, in tokens.
        words: The words of the prompt.
        hashes: The hashes of the prompt's prefix.
    """

    route: ModelRoute
    body: bytes
    digest: str
    stream: bool
    usage_wanted: bool
    most: Tokens
    bound: Tokens
    words: Tokens
    hashes: tuple[str, ...]

    @property
    def hold(self) -> Tokens:
        """The most the request can cost, in tokens."""
        return self.bound + self.most


def read_identity(headers: Mapping[str, str]) -> Identity:
    """Return the request's identifier.

    Raises:
        Refusal: The caller's idempotency key has a form that is not allowed.
    """
    key = headers.get(KEY_HEADER)
    if key is None:
        return Identity(uuid.uuid4().hex, keyed=False)
    if KEY_FORM.fullmatch(key) is None:
        raise Refusal(KEY_INVALID, param="Idempotency-Key")
    return Identity(key, keyed=True)


def read_urgency(headers: Mapping[str, str], priority: int) -> Urgency:
    """Return how urgent a request is.

    Raises:
        Refusal: A header has a value that is not allowed.
    """
    word = headers.get(PRIORITY_HEADER, "live")
    if word not in ("live", "batch"):
        raise Refusal(
            PARAMETER_INVALID, "X-Priority is live or batch", param="X-Priority"
        )
    batch = word == "batch"
    given = headers.get(DEADLINE_HEADER)
    if batch:
        usual = Urgency(priority - BATCH_STEP, BATCH_PATIENCE, BATCH_SHED)
    else:
        usual = Urgency(priority, LIVE_PATIENCE, LIVE_SHED)
    if given is None:
        return usual
    return Urgency(usual.priority, read_deadline(given))


def read_deadline(given: str) -> Seconds:
    """Return a deadline in seconds from now.

    Raises:
        Refusal: It is no number of milliseconds.
    """
    if not given.isascii() or not given.isdigit() or len(given) > 9:
        raise Refusal(
            PARAMETER_INVALID, "X-Deadline-Ms is a whole number", param="X-Deadline-Ms"
        )
    return min(MOST_PATIENCE, int(given) / 1000)


def read_chat(body: bytes, fleet: FleetView) -> ChatAsk:
    """Read a chat request.

    Raises:
        Refusal: It cannot be served as it is.
    """
    value = read_object(body)
    model = value.get("model")
    if not isinstance(model, str):
        raise Refusal(PARAMETER_INVALID, "model is a string", param="model")
    route = fleet.model(model)
    if route is None:
        raise Refusal(MODEL_UNKNOWN, f"there is no model {model!r}", param="model")
    texts = list(message_texts(value.get("messages")))
    stream = read_flag(value, "stream")
    options = value.get("stream_options") or {}
    if not isinstance(options, dict):
        raise Refusal(PARAMETER_INVALID, param="stream_options")
    if value.get("n") not in (None, 1):
        raise Refusal(PARAMETER_INVALID, "n is 1", param="n")
    most = read_most(value, route)
    words = [word for text in texts for word in text.split()]
    return ChatAsk(
        route,
        engine_body(value, most, stream),
        hashlib.sha256(body).hexdigest(),
        stream,
        read_flag(options, "include_usage"),
        most,
        prompt_bound(body, value, texts),
        len(words),
        prefix_hashes(words),
    )


def read_object(body: bytes) -> dict[str, Any]:
    """Decode a JSON object.

    Raises:
        Refusal: It is none, or nested beyond reason.
    """
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise Refusal(BODY_MALFORMED, f"the body is not JSON: {error}") from error
    if not isinstance(value, dict):
        raise Refusal(BODY_MALFORMED, "the body is not a JSON object")
    return value


def read_flag(value: Mapping[str, Any], name: str) -> bool:
    """Return a true-or-false parameter; missing is false.

    Raises:
        Refusal: It is neither.
    """
    flag = value.get(name)
    if flag is None:
        return False
    if not isinstance(flag, bool):
        raise Refusal(PARAMETER_INVALID, f"{name} is true or false", param=name)
    return flag


def read_most(value: Mapping[str, Any], route: ModelRoute) -> Tokens:
    """Return the bound on the answer's tokens.

    Raises:
        Refusal: The caller's own bound is not allowed.
    """
    name = "max_completion_tokens"
    if value.get(name) is None:
        name = "max_tokens"
    most = value.get(name)
    if most is None:
        return route.default_tokens
    if type(most) is not int or not 1 <= most <= route.most_tokens:
        raise Refusal(
            PARAMETER_INVALID, f"{name} is from 1 to {route.most_tokens}", param=name
        )
    return most


def message_texts(messages: object) -> Iterator[str]:
    """Give the texts of all messages.

    Raises:
        Refusal: The messages have no such form.
    """
    if not isinstance(messages, list) or not messages:
        raise Refusal(PARAMETER_INVALID, "messages is a list", param="messages")
    for message in messages:
        if not isinstance(message, dict):
            raise Refusal(PARAMETER_INVALID, "a message is an object", param="messages")
        content = message.get("content")
        if isinstance(content, str):
            yield content
        elif isinstance(content, list):
            yield from part_texts(content)


def part_texts(parts: list[object]) -> Iterator[str]:
    """Give the texts of a message that comes in parts."""
    for part in parts:
        if isinstance(part, dict) and isinstance(part.get("text"), str):
            yield part["text"]


def prompt_bound(body: bytes, value: Mapping[str, Any], texts: list[str]) -> Tokens:
    """Return an upper bound on the prompt's tokens.

    A token is at least one byte of UTF-8.  A prompt of plain messages is
    bounded by its texts and what a template adds; anything else, such as tools
    or images, by the whole body.
    """
    plain = value.keys() <= PLAIN and all(
        isinstance(message.get("content"), str) and message.keys() <= PLAIN_MESSAGE
        for message in value["messages"]
    )
    if not plain:
        return len(body)
    written = sum(len(text.encode("utf-8", "surrogatepass")) for text in texts)
    return written + MESSAGE_OVERHEAD * len(texts) + TEMPLATE_OVERHEAD


PLAIN_MESSAGE = frozenset({"role", "content"})
PLAIN = frozenset(
    {
        "model",
        "messages",
        "stream",
        "stream_options",
        "max_tokens",
        "max_completion_tokens",
        "temperature",
        "top_p",
        "n",
        "seed",
        "stop",
        "user",
        "presence_penalty",
        "frequency_penalty",
    }
)
"""Parameters that add nothing to a prompt."""


def engine_body(value: dict[str, Any], most: Tokens, stream: bool) -> bytes:
    """Return the body for the engine: bounded, and with the usage asked for."""
    changed = {key: item for key, item in value.items() if key not in REPLACED}
    changed["max_tokens"] = most
    if stream:
        options = value.get("stream_options") or {}
        changed["stream_options"] = {**options, "include_usage": True}
    return json.dumps(changed, separators=(",", ":")).encode()


REPLACED = frozenset({"max_tokens", "max_completion_tokens", "stream_options"})
