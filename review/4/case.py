"""Consumers' channels are reset as soon as they are made; see claim.txt."""

import asyncio
import contextlib
import socket
import struct
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "kit-2"))

from world import (  # noqa: E402
    Answer,
    Entry,
    Router,
    World,
    configuration,
    free_port,
    main,
)

ENGINES = 2
CONSUMERS = 12
EVENTS = 60
PAUSE = 0.05
RESETS = 5

CHAT = {
    "kind": "streaming",
    "timeout-ms": 15_000,
    "target-latency-ms": 400,
    "target-gap-ms": 400,
    "max-attempts": 2,
    "resume-streams": True,
}

BOOK = {
    "kind": "unsafe",
    "timeout-ms": 1_500,
    "target-latency-ms": 125,
    "max-attempts": 1,
}


def connect_and_reset(router: Router) -> None:
    """Make a channel to a router, and reset it."""
    with socket.socket() as leaving:
        option = struct.pack("ii", 1, 0)
        leaving.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
        with contextlib.suppress(ConnectionError):
            leaving.connect((router.host, router.port))


async def consume(world: World, router: Router, number: int) -> tuple[Answer, Answer]:
    """Send a request on a channel, keep the channel, and send a second one."""
    reader, writer = await asyncio.open_connection(router.host, router.port)
    found = []
    for turn in range(2):
        answer = Answer(world.new_id())
        is_chat = bool(turn) and number % 2 == 0
        fields = {
            "host": f"{'chat' if is_chat else 'book'}.example",
            "x-ebonyhold-request-id": answer.request,
            "x-ebonyhold-key": "key-acme",
            "x-ebonyhold-deadline-milliseconds": "15000" if is_chat else "1500",
            "content-length": "3",
        }
        if is_chat:
            fields["x-ebonyhold-model"] = "m"
            fields["x-ebonyhold-token-counts"] = f"100,{EVENTS * 5}"
            fields["x-ebonyhold-prompt-prefix"] = f"5c1e07a2:80,91bd{number:04x}:20"
        path = "/a" if is_chat else "/book"
        lines = [f"POST {path} HTTP/1.1", *(f"{k}: {v}" for k, v in fields.items())]
        writer.write("\r\n".join([*lines, "", ""]).encode() + b"abc")
        answer.sent_at = world.clock.now()
        try:
            await asyncio.wait_for(world.read_answer(reader, answer, 3.2), 15.0)
        except (TimeoutError, ConnectionError, asyncio.IncompleteReadError) as error:
            answer.fault = type(error).__name__
        answer.ended_at = world.clock.now()
        found.append(answer)
        if not answer.whole:
            break
        await asyncio.sleep(0.5)
    writer.close()
    return found[0], found[-1]


async def run(world: World) -> bool:
    """Return whether requests of kept channels were passed on and not answered."""
    store = world.store
    await store.start()
    store.put("op", "config", configuration(chat=CHAT, book=BOOK))
    beats = []
    for route in ("chat", "book"):
        for number in range(ENGINES):
            port, name = free_port(), f"i-{route}-{number}"
            entry = Entry(store, name, f"{route}-engines", port)
            pause = PAUSE if route == "chat" else 0.3
            world.start_engine(port, name, events=EVENTS, pause=pause)
            beats.append(asyncio.create_task(entry.beat()))
    router = Router(world, 1, f"127.0.0.1:{store.port}")
    router.start()
    await router.until_ready()
    await asyncio.sleep(3.0)
    consumers = [
        asyncio.create_task(consume(world, router, number))
        for number in range(CONSUMERS)
    ]
    # The first requests are answered after 0.3 s, the second ones are sent 0.5 s later.
    await asyncio.sleep(1.0)
    if world.trouble:
        for _ in range(RESETS):
            connect_and_reset(router)
        world.record.write(f"{RESETS} channels to the router are made and reset")
    answers = await asyncio.gather(*consumers)
    ran = {line["request"] for line in world.runs() if line["what"] == "runs"}
    lost = 0
    for first, second in answers:
        for answer in {first.request: first, second.request: second}.values():
            gone = answer is not first and not answer.whole and answer.request in ran
            lost += gone
            world.record.write(
                f"request {answer.request}, sent at {answer.sent_at}, ended at "
                f"{answer.ended_at}: status {answer.status}, "
                f"{'whole' if answer.whole else 'not whole'}, "
                f"{len(answer.events)} events {answer.fault}"
                f"{' <- PASSED ON, AND CLOSED WITHOUT AN ANSWER' if gone else ''}"
            )
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(router.ended(), 1.0)
    process = router.process
    status = None if process is None else process.poll()
    world.record.write(f"the router's process: exit status {status}")
    if status is not None:
        tail = router.log.read_text().splitlines()[-1]
        world.record.write(f"the last line of its log ends: {tail[-300:]}")
    world.record.write(f"{lost} requests of kept channels lost")
    world.record_runs()
    return lost > 3


main(CASE, run)
