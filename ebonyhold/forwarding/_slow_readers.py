"""Disconnects callers that do not read their answers and thereby block a server."""

from __future__ import annotations

import logging
import socket
import struct

import anyio
from anyio.abc import ByteStream, SocketAttribute
from attrs import define

from ebonyhold.forwarding._caller import CallerConnection
from ebonyhold.forwarding._flow_control import FlowControl, FlowEvent
from ebonyhold.types import Seconds

log = logging.getLogger(__name__)

CHECK_INTERVAL: Seconds = 0.25
"""Time between two looks at the unfinished writes."""

BYTES_ACKED = 120
"""Offset of ``tcpi_bytes_acked`` in ``struct tcp_info`` (linux/tcp.h, Linux 4.1)."""

INFO_SIZE = 192


def acknowledged_bytes(stream: ByteStream) -> int:
    """Return how many bytes the peer's system has acknowledged; 0 if not known."""
    raw = stream.extra(SocketAttribute.raw_socket, None)
    if raw is None:
        return 0
    info = raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, INFO_SIZE)
    if len(info) < BYTES_ACKED + 8:
        return 0
    (acknowledged,) = struct.unpack_from("Q", info, BYTES_ACKED)
    return int(acknowledged)


@define(eq=False)
class SlowReaders:
    """Checks unfinished writes, and ends the connections of stalled callers.

    Attributes:
        flow: The unfinished writes.
    """

    flow: FlowControl[CallerConnection]

    async def run(self) -> None:
        """Check the writes periodically; never return."""
        while True:
            await anyio.sleep(CHECK_INTERVAL)
            await self.check(anyio.current_time())

    async def check(self, now: Seconds) -> None:
        """Disconnect the callers that are stalled."""
        for connection, write in list(self.flow.writes.items()):
            if self.flow.writes.get(connection) is not write:
                # It has ended while another connection was reset.
                continue
            try:
                acknowledged = acknowledged_bytes(connection.stream)
            except OSError:
                # The connection has just ended, which ends the write, too.
                continue
            waited = write.observe(acknowledged, now)
            source = connection.source
            blocks = source is not None and source.blocks_sender
            blocks = blocks or now < connection.crowd.until
            if not self.flow.is_stalled(waited, blocks):
                continue
            fields = {
                "seconds": round(waited, 2),
                "held": self.flow.answers.held,
                "waiting": len(source.waiting) if source is not None else 0,
            }
            log.warning("caller does not read, disconnected", extra=fields)
            self.flow.on_event(FlowEvent.SLOW_READER)
            await connection.reset()
