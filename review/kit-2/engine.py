"""An engine of the second review's cases, as a process of its own.

`engine.py PORT NAME LOG [OPTIONS]`; OPTIONS is JSON: `events` (events of a stream),
`pause` (seconds before each), `unframed` (if set, one in 20 streams has no chunks and
ends with its channel, the fifth one first), `keep_alive` (the time-out of idle channels
in whole seconds). Runs are written to LOG, one JSON line each at their start and end.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))

from world import STRIDE, Message, encode, read_message


class Engine:
    """Answers streams with events, and `/book` paths with the body of the request."""

    def __init__(self, name: str, log: Path, options: dict[str, float]) -> None:
        self.name, self.options = name, options
        self.log = log.open("a", buffering=1)
        self.streams = 0

    def note(self, what: str, request: str, **more: object) -> None:
        """Write a line to the log."""
        line = {"at": time.monotonic(), "engine": self.name, "what": what}
        self.log.write(json.dumps({**line, "request": request, **more}) + "\n")

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one channel, one after the other."""
        keep = self.options.get("keep_alive", 5)
        try:
            while True:
                request = await asyncio.wait_for(read_message(reader), keep)
                if request is None or not await self.answer(request, writer):
                    return
        except (TimeoutError, ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            with contextlib.suppress(ConnectionError):
                writer.close()

    async def answer(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Answer one request; return whether the channel is kept."""
        method, target, _ = request.first.split(" ")
        request_id = request.value("x-ebonyhold-request-id")
        keep = int(self.options.get("keep_alive", 5))
        fields = [("keep-alive", f"timeout={keep}")]
        if target == "/health":
            fields.append(("x-ebonyhold-instance-id", self.name))
            writer.write(encode(200, fields, b""))
            return True
        if target == "/ebonyhold/report":
            report = {"waiting-count": 0, "running-count": 0, "kv-cache-used": 0}
            writer.write(encode(200, fields, json.dumps(report).encode()))
            return True
        fields.append(("x-ebonyhold-request-id", request_id))
        if request.value("x-ebonyhold-expect-instance") != self.name:
            writer.write(encode(421, [*fields, ("x-ebonyhold-not-executed", "1")], b""))
            return True
        first = int(request.value("last-event-id") or 0) + 1
        fields.append(("x-ebonyhold-response-stamp", f"{self.name}.{request_id}"))
        self.note("runs", request_id, method=method, target=target, first=first)
        if target.startswith("/book"):
            await asyncio.sleep(self.options.get("pause", 0.03))
            writer.write(encode(200, fields, request.body))
            await writer.drain()
            self.note("ends", request_id)
            return True
        return await self.stream(request_id, first, fields, writer)

    async def stream(
        self,
        request_id: str,
        first: int,
        fields: list[tuple[str, str]],
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer with events; return whether the channel is kept."""
        self.streams += 1
        framed = not (self.options.get("unframed") and self.streams % 20 == 5)
        if not framed:
            self.note("answers without chunks", request_id)
        fields = [*fields, ("content-type", "text/event-stream")]
        fields.append(
            ("transfer-encoding", "chunked") if framed else ("connection", "close")
        )
        lines = ["HTTP/1.1 200 Answer", *(f"{name}: {value}" for name, value in fields)]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        last = int(self.options.get("events", 20))
        for number in range(first, last + 1):
            await asyncio.sleep(self.options.get("pause", 0.03))
            if writer.transport.is_closing():
                self.note("dropped", request_id, sent=number - 1)
                return False
            data = "end" if number == last else "more"
            event = f"id: {number}\ndata: {data} {STRIDE}\n\n".encode()
            if framed:
                event = b"%x\r\n%s\r\n" % (len(event), event)
            writer.write(event)
            await writer.drain()
        if framed:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        self.note("ends", request_id, sent=last)
        return framed


async def main() -> None:
    """Listen until the process is killed."""
    port, name, log, *more = sys.argv[1:]
    engine = Engine(name, Path(log), json.loads(more[0]) if more else {})
    server = await asyncio.start_server(engine.serve, "127.0.0.1", int(port))
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
