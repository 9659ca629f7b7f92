"""Parses the headers and the body of requests, as far as the router needs them."""

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

BATCH_PRIORITY_OFFSET = 100
"""How much lower the priority of a batch request is than that of a live one."""

LIVE_WAIT: Seconds = 5.0
BATCH_WAIT: Seconds = 60.0
"""How long a batch request without a deadline may wait to start.

`LIVE_WAIT` is the same for a live request.
"""

MAX_WAIT: Seconds = 600.0
"""The longest wait to start; a longer deadline of a caller is reduced to it."""

LIVE_SHED_AFTER: Seconds = 0.25
BATCH_SHED_AFTER: Seconds = 10.0
"""How long a batch request without a deadline may wait while the queue is standing.

`LIVE_SHED_AFTER` is the same for a live request.  The queue is standing when its last
empty moment is longer ago than `AdmissionQueue.standing_after`.
"""

MESSAGE_OVERHEAD: Tokens = 16
"""Tokens that a chat template may add around one message."""

TEMPLATE_OVERHEAD: Tokens = 64
"""Tokens that a chat template may add once."""


@frozen
class Identity:
    """The identifier of a request.

    Attributes:
        request: The caller's idempotency key, or a random identifier.
        keyed: Whether `request` is the caller's idempotency key.
    """

    request: RequestId
    keyed: bool


@frozen
class Urgency:
    """The priority of a request, and how long it may wait to start.

    Attributes:
        priority: Requests with a larger priority start first.
        wait_timeout: The longest wait, in seconds.
        shed_after: The longest wait while the queue is standing, in seconds;
            infinite if the caller names a deadline.
    """

    priority: int
    wait_timeout: Seconds
    shed_after: Seconds = math.inf


@frozen
class ChatRequest:
    """A parsed chat request with upper bounds of its tokens.

    Attributes:
        route: The model's route.
        body: The JSON body for the engine.
        digest: SHA-256 of the caller's body, in hexadecimal.
        stream: Whether the caller wants a stream of events.
        usage_wanted: Whether the caller wants the usage event in the stream.
        max_output: Upper bound of the answer, in tokens.
        max_prompt: Upper bound of the prompt, in tokens.
        word_count: Number of words of the prompt, as an estimate of its tokens.
        hashes: The hashes of the prompt's prefixes.
    """

    route: ModelRoute
    body: bytes
    digest: str
    stream: bool
    usage_wanted: bool
    max_output: Tokens
    max_prompt: Tokens
    word_count: Tokens
    hashes: tuple[str, ...]

    @property
    def hold(self) -> Tokens:
        """Upper bound of the cost of the request, in tokens: prompt and answer."""
        return self.max_prompt + self.max_output


def read_identity(headers: Mapping[str, str]) -> Identity:
    """Return the idempotency key as the identifier, or a random one without a key.

    Raises:
        Refusal: The idempotency key doesn't match `KEY_FORM`.
    """
    key = headers.get(KEY_HEADER)
    if key is None:
        return Identity(uuid.uuid4().hex, keyed=False)
    if KEY_FORM.fullmatch(key) is None:
        raise Refusal(KEY_INVALID, param="Idempotency-Key")
    return Identity(key, keyed=True)


def read_urgency(headers: Mapping[str, str], priority: int) -> Urgency:
    """Return the priority of a request and how long it may wait to start.

    Args:
        headers: The request's headers.
        priority: The priority of a live request.

    Raises:
        Refusal: X-Priority or X-Deadline-Ms has an invalid value.
    """
    word = headers.get(PRIORITY_HEADER, "live")
    if word not in ("live", "batch"):
        raise Refusal(
            PARAMETER_INVALID, "X-Priority is live or batch", param="X-Priority"
        )
    batch = word == "batch"
    given = headers.get(DEADLINE_HEADER)
    if batch:
        usual = Urgency(priority - BATCH_PRIORITY_OFFSET, BATCH_WAIT, BATCH_SHED_AFTER)
    else:
        usual = Urgency(priority, LIVE_WAIT, LIVE_SHED_AFTER)
    if given is None:
        return usual
    return Urgency(usual.priority, read_deadline(given))


def read_deadline(given: str) -> Seconds:
    """Convert X-Deadline-Ms to seconds from now, at most `MAX_WAIT`.

    Raises:
        Refusal: The value is not a whole number of at most 9 digits.
    """
    if not given.isascii() or not given.isdigit() or len(given) > 9:
        raise Refusal(
            PARAMETER_INVALID, "X-Deadline-Ms is a whole number", param="X-Deadline-Ms"
        )
    return min(MAX_WAIT, int(given) / 1000)


def read_chat(body: bytes, fleet: FleetView) -> ChatRequest:
    """Parse the body of a chat request.

    Raises:
        Refusal: The body is malformed, a parameter is invalid, or the model is
            unknown.
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
    max_tokens = read_max_tokens(value, route)
    words = [word for text in texts for word in text.split()]
    return ChatRequest(
        route,
        engine_body(value, max_tokens, stream),
        hashlib.sha256(body).hexdigest(),
        stream,
        read_flag(options, "include_usage"),
        max_tokens,
        prompt_bound(body, value, texts),
        len(words),
        prefix_hashes(words),
    )


def read_object(body: bytes) -> dict[str, Any]:
    """Decode a JSON object.

    Raises:
        Refusal: The body is not a JSON object, or is nested too deeply to decode.
    """
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise Refusal(BODY_MALFORMED, f"the body is not JSON: {error}") from error
    if not isinstance(value, dict):
        raise Refusal(BODY_MALFORMED, "the body is not a JSON object")
    return value


def read_flag(value: Mapping[str, Any], name: str) -> bool:
    """Return a boolean parameter; False if it is missing or null.

    Raises:
        Refusal: The parameter is not a boolean.
    """
    flag = value.get(name)
    if flag is None:
        return False
    if not isinstance(flag, bool):
        raise Refusal(PARAMETER_INVALID, f"{name} is true or false", param=name)
    return flag


def read_max_tokens(value: Mapping[str, Any], route: ModelRoute) -> Tokens:
    """Return the upper bound of the answer's tokens.

    This is ``max_completion_tokens``, else ``max_tokens``, else the route's default.

    Raises:
        Refusal: The caller's value is not a whole number from 1 to the route's limit.
    """
    name = "max_completion_tokens"
    if value.get(name) is None:
        name = "max_tokens"
    max_tokens = value.get(name)
    if max_tokens is None:
        return route.default_tokens
    if type(max_tokens) is not int or not 1 <= max_tokens <= route.most_tokens:
        raise Refusal(
            PARAMETER_INVALID, f"{name} is from 1 to {route.most_tokens}", param=name
        )
    return max_tokens


def message_texts(messages: object) -> Iterator[str]:
    """Yield the texts of all messages; skip content that is neither string nor list.

    Raises:
        Refusal: The messages are not a list of at least one object.
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
    """Yield the texts of a content that is a list; parts without text are skipped."""
    for part in parts:
        if isinstance(part, dict) and isinstance(part.get("text"), str):
            yield part["text"]


def prompt_bound(body: bytes, value: Mapping[str, Any], texts: list[str]) -> Tokens:
    """Return an upper bound of the prompt's tokens.

    A token is at least one byte of UTF-8.  The bound of plain messages is the bytes
    of their texts and the overheads of a chat template; the bound of any other
    request, such as one with tools or images, is the bytes of its whole body.
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
"""Fields of a message that has text only."""

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
"""Parameters that add no tokens to a prompt besides those of `messages`."""


def engine_body(value: dict[str, Any], max_tokens: Tokens, stream: bool) -> bytes:
    """Return the body for the engine.

    It contains the bound of the answer's tokens, and for a stream also requests the
    usage event.
    """
    changed = {key: item for key, item in value.items() if key not in REPLACED}
    changed["max_tokens"] = max_tokens
    if stream:
        options = value.get("stream_options") or {}
        changed["stream_options"] = {**options, "include_usage": True}
    return json.dumps(changed, separators=(",", ":")).encode()


REPLACED = frozenset({"max_tokens", "max_completion_tokens", "stream_options"})
"""Parameters of the caller that `engine_body` leaves out or sets itself."""
