"""An endpoint of another destination has the address of one that has gone, and the node is restarted."""

import asyncio
import time
from pathlib import Path

from standins import (
    TROUBLE,
    CannotRun,
    Endpoint,
    Node,
    Platform,
    Record,
    profile,
    request_bytes,
    run,
    settings,
    submit,
)

DEADLINE_S = 5.0
ADDED_AFTER_S = 1.0  # the list has an endpoint that is added after 0.26 to 2.4 s
KILL_AFTER_S = 1.0
DOWN_S = 0.6
MESSAGES = 5


async def case(record: Record, folder: Path) -> bool:
    """Return whether no endpoint got a message of another destination."""
    platform = Platform(record)
    await platform.start()
    gone, sound = Endpoint(record, "s-gone", 1), Endpoint(record, "s-sound", 1)
    for endpoint in (gone, sound):
        platform.entries[endpoint.endpoint_id] = endpoint.entry()
        await endpoint.start()
    node = Node(record, folder, platform, settings([profile("till-status", "retryable", 1.5, DEADLINE_S)]))
    handed_in: dict[str, int] = {}

    async def hand_in(count: int) -> None:
        for _ in range(count):
            name = f"m{len(handed_in)}"
            handed_in[name] = 1
            await submit(record, node, name, request_bytes(name, "till-status", 1, int(1000 * DEADLINE_S)))

    try:
        await node.start()
        await hand_in(MESSAGES)
        await asyncio.sleep(1.0)
        gone.crash()  # its removal is told seconds later
        started_ms = int(1000 * time.time())
        taker = Endpoint(record, "s-new", 2, port=gone.port, started_ms=started_ms)
        await taker.start()
        await asyncio.sleep(ADDED_AFTER_S)
        platform.change(taker.entry())
        await asyncio.sleep(KILL_AFTER_S)
        if TROUBLE:
            await node.kill()
            await asyncio.sleep(DOWN_S)
            await node.start()
        else:
            await asyncio.sleep(DOWN_S)
        await hand_in(MESSAGES)
        await asyncio.sleep(1.5)
        platform.change(gone.entry("DELETED"))
        await asyncio.sleep(DEADLINE_S)
        if not gone.calls and not sound.calls:
            raise CannotRun("no message was sent")
        foreign = [name for call in taker.calls for name in call.ids() if handed_in[name] != taker.cell]
        record.note(f"messages of destination 1 that endpoint s-new of destination 2 got: {foreign}")
        return not foreign
    finally:
        await node.kill()


run(Path(__file__).parent, case)
