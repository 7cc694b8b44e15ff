"""A client sends several requests at once on a connection, while a node is told to end."""

import asyncio
import contextlib
import signal
from pathlib import Path

from standins import (
    HOST,
    TROUBLE,
    CannotRun,
    Endpoint,
    Node,
    Platform,
    Record,
    profile,
    read_answer,
    request_bytes,
    run,
    settings,
)

DEADLINE_S = 5.0
REQUESTS_AT_ONCE = 3
CLIENTS = 5
CONNECT_AFTER_S = 0.1  # new connections come for 0.2 to 0.4 s after SIGTERM


async def case(record: Record, folder: Path) -> bool:
    """Return whether every request that was written got an answer."""
    platform = Platform(record)
    await platform.start()
    endpoint = Endpoint(record, "s-1", 1)
    platform.entries["s-1"] = endpoint.entry()
    await endpoint.start()
    node = Node(record, folder, platform, settings([profile("till-status", "retryable", 1.5, DEADLINE_S)]))
    unanswered = []

    async def client(number: int) -> None:
        names = [f"c{number}-{index}" for index in range(REQUESTS_AT_ONCE)]
        reader, writer = await asyncio.open_connection(HOST, node.port)
        requests = [request_bytes(name, "till-status", 1, int(1000 * DEADLINE_S)) for name in names]
        writer.write(b"".join(requests))
        await writer.drain()
        record.note(f"client {number} wrote {names}")
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(2.0):
                while names:
                    status = await read_answer(reader)
                    record.note(f"client {number} got {status} for {names.pop(0)}")
        unanswered.extend(names)
        record.note(f"client {number}: the connection ended; no answer for {names}")
        writer.close()

    try:
        await node.start()
        await asyncio.sleep(0.5)
        if TROUBLE:
            node.signal(signal.SIGTERM)
            await asyncio.sleep(CONNECT_AFTER_S)
        try:
            await asyncio.gather(*map(client, range(CLIENTS)))
        except OSError as error:
            raise CannotRun("a client could not connect") from error
        record.note(f"requests with no answer: {unanswered}")
        return not unanswered
    finally:
        await node.kill()


run(Path(__file__).parent, case)
