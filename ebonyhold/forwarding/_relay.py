"""The messages by which a router has another one send a request to a server.

A router that reaches no server sends the request, as the server is to get it, to a
router that does, with `RELAY_PREFIX` before the target, and `SERVER` and `KEY` among
the fields, with `RUN` and `VERSION` where they matter. The answer is the server's with
`RESULT` added, or says why there is none.
"""

from __future__ import annotations

from enum import Enum
from typing import Protocol
from urllib.parse import quote, unquote

from attrs import evolve, frozen

from ebonyhold.exceptions import BackendLostError
from ebonyhold.forwarding._channel import AnswerHead, Channel, Outbound
from ebonyhold.forwarding._end_to_end import end_to_end
from ebonyhold.forwarding._types import Headers, SoftwareVersion
from ebonyhold.types import BackendName

RELAY_PREFIX = b"/relay"

SERVER = b"ebonyhold-relay-server"
"""The field with the server's name, percent-encoded."""

KEY = b"ebonyhold-relay-key"
"""The field with the key by which a relay knows other routers."""

RESULT = b"ebonyhold-relay-result"
"""The field of each answer with a `RelayResult`."""

END = b"ebonyhold-relay-end"
"""The field of an answer that tells whether the server's answer states its end.

The relay's own framing does not tell it. Relays of earlier builds do not send it.
"""

END_STATED = b"stated"

END_BY_CLOSE = b"closed"

RUN = b"ebonyhold-relay-run"
"""The field with the start of the server's run that the sender has chosen.

It is sent while the service has several software versions; the relay may know another
run under the server's name.
"""

VERSION = b"ebonyhold-relay-version"
"""The field with the version that the request's stream belongs to, percent-encoded."""

MAX_DIGITS = 18
"""Maximum number of digits of a start that is read."""

RELAY_FIELDS = frozenset({SERVER, KEY, RESULT, END, RUN, VERSION})


class RelayResult(Enum):
    """What became of a request at a relay.

    Attributes:
        ANSWERED: The answer is the server's.
        UNAVAILABLE: The relay sends no requests now, or does not know the sender.
        WITHHELD: The server must not get the request now.
        NOT_SENT: The relay could not connect to the server.
        LOST: The request was sent, and the server has not answered it.
    """

    ANSWERED = "answered"
    UNAVAILABLE = "unavailable"
    WITHHELD = "withheld"
    NOT_SENT = "not_sent"
    LOST = "lost"


class NoPathError(BackendLostError):
    """No server can be reached, neither from here nor by way of another router."""

    code = "no_path"


class RelayDeclinedError(BackendLostError):
    """A relay has not sent a request.

    Attributes:
        result: What became of the request.
    """

    code = "relay_declined"

    def __init__(self, result: RelayResult, detail: str) -> None:
        super().__init__(detail)
        self.result = result


@frozen
class RelayTarget:
    """Where a relay is to send a request.

    Attributes:
        server: The server.
        started_at: The start of its run, in milliseconds since the epoch; None if any
            run may get the request.
        version: The software version that the request's stream belongs to; None if it
            belongs to none.
    """

    server: BackendName
    started_at: int | None = None
    version: SoftwareVersion | None = None


@frozen
class RelayAddress:
    """A router that sends requests to servers for others.

    Attributes:
        router: The name of its VM.
        address: Its host and port for other routers.
        key: The key that it asks for.
    """

    router: str
    address: tuple[str, int]
    key: str

    def wrap(self, request: Outbound, target: RelayTarget) -> Outbound:
        """Return a request to a server as it is sent to this relay."""
        fields = without_relay_fields(request.headers)
        fields.append((SERVER, quote(target.server, safe="").encode()))
        if target.started_at is not None:
            fields.append((RUN, b"%d" % target.started_at))
        if target.version is not None:
            fields.append((VERSION, quote(target.version, safe="").encode()))
        fields.append((KEY, self.key.encode("latin-1")))
        return evolve(request, target=RELAY_PREFIX + request.target, headers=fields)


@frozen(eq=False)
class Path:
    """A way to a server, for one request.

    Attributes:
        channel: The connection, to the server or to a relay.
        relay: The router at the other end; None if it is the server.
    """

    channel: Channel
    relay: RelayAddress | None = None


class Relays(Protocol):
    """The routers by which servers can be reached that this router does not reach."""

    async def open(self) -> Path:
        """Return a connection to a relay.

        Raises:
            NoPathError: None is known that answers.
        """
        ...

    async def put(self, path: Path) -> None:
        """Take back a connection that can be reused."""
        ...

    def avoid(self, relay: RelayAddress) -> None:
        """Use other relays for a while, because this one sends no requests."""
        ...

    def use_last(self, relay: RelayAddress) -> None:
        """Use a relay only after the others for a while, as its connection broke off.

        It or the server may have ended it.
        """
        ...

    async def has_ended(self, server: BackendName) -> bool:
        """Return whether a server refuses connections from a relay."""
        ...

    async def is_reached(self, server: BackendName) -> bool:
        """Return whether a server accepts a connection from a relay."""
        ...


def without_relay_fields(headers: Headers) -> Headers:
    """Return the fields that are not between two routers alone."""
    return [item for item in headers if item[0] not in RELAY_FIELDS]


def read_target(headers: Headers) -> RelayTarget:
    """Return where a request to a relay is to be sent; its server is empty if none."""
    run, names = read_field(headers, RUN), [name for name, _ in headers]
    version = unquote(read_field(headers, VERSION)) if VERSION in names else None
    started_at = int(run) if run.isdecimal() and len(run) <= MAX_DIGITS else None
    return RelayTarget(unquote(read_field(headers, SERVER)), started_at, version)


def read_field(headers: Headers, name: bytes) -> str:
    """Return the last value of a field, which the sending router has set, or ''."""
    values = [value for field, value in headers if field == name]
    return values[-1].decode("latin-1") if values else ""


def answer_fields(head: AnswerHead, end_stated: bool) -> Headers:
    """Return the fields of a server's answer as a relay passes them on.

    `END` is named as a field of this connection, so that no router passes it on.
    """
    return [
        *without_relay_fields(end_to_end(head.headers)),
        (RESULT, RelayResult.ANSWERED.value.encode()),
        (END, END_STATED if end_stated else END_BY_CLOSE),
        (b"connection", END),
    ]


def reads_end_stated(headers: Headers) -> bool:
    """Return whether a relay tells that the server's answer states its end."""
    return (END, END_STATED) in headers


def read_result(headers: Headers) -> RelayResult | None:
    """Return what an answer of a relay states; None if it is no relay's answer."""
    try:
        return RelayResult(read_field(headers, RESULT))
    except ValueError:
        return None
