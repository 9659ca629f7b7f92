"""What a stand-in's engine sends before an answer, or without end in place of one."""

from __future__ import annotations

from enum import Enum

from ebonyhold.forwarding import CallerConnection


class FaultyAnswer(Enum):
    """How the answers of an engine are faulty.

    Attributes:
        LATE: A rejection of another request comes before each answer.
        INTERIM: Interim answers without end come in place of a head.
        TINY: Chunks of one byte without end come in place of a body.
    """

    LATE = "late"
    INTERIM = "interim"
    TINY = "tiny"


LATE_REJECTION = (
    b"HTTP/1.1 503 Service Unavailable\r\nX-Ebonyhold-Request-Id: another\r\n"
    b"X-Ebonyhold-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)

UNITS = {
    FaultyAnswer.INTERIM: b"HTTP/1.1 103 Early Hints\r\nLink: </a.css>\r\n\r\n",
    FaultyAnswer.TINY: b"1\r\nx\r\n",
}
"""What is sent again and again."""

PIECE = 65_536


async def send_faulty(
    connection: CallerConnection,
    kind: FaultyAnswer,
    identity: list[tuple[bytes, bytes]],
) -> None:
    """Send what comes before an answer, or bytes until the connection breaks.

    Args:
        connection: The connection, on which an answer is expected.
        kind: What is sent.
        identity: The fields of each answer of the engine to the request.
    """
    if kind is FaultyAnswer.LATE:
        await connection.stream.send(LATE_REJECTION)
        return
    if kind is FaultyAnswer.TINY:
        await connection.stream.send(connection.head(200, identity))
    unit = UNITS[kind]
    while True:
        await connection.stream.send(unit * (PIECE // len(unit)))
