"""A node is killed while connections to one of three endpoints come up late."""

import asyncio
import socket
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
    request_bytes,
    run,
    settings,
    submit,
)

DEADLINE_S = 28.0
MESSAGES_PER_ENDPOINT = 4
LATE_S = 1.0  # the limit is 1.5 s
KILL_AFTER_S = 0.4
DOWN_S = 0.6
OBSERVED_S = 5.0


async def case(record: Record, folder: Path) -> bool:
    """Return whether at most half of the messages that the restart found untried were given up untried."""
    platform = Platform(record)
    await platform.start()
    endpoints = [Endpoint(record, f"s-{cell}", cell) for cell in (1, 2, 3)]
    late = endpoints[2]
    for endpoint in endpoints:
        platform.entries[endpoint.endpoint_id] = endpoint.entry()
    for endpoint in endpoints if not TROUBLE else endpoints[:2]:
        await endpoint.start()
    filler = socket.socket()
    if TROUBLE:
        # Its accept queue is full, so the connection that comes next comes up with the second SYN, 1 s later.
        late.socket.listen(0)
        filler.connect((HOST, late.port))
    document = settings([profile("sale-posting", "fragile", 4.0, DEADLINE_S)])
    node = Node(record, folder, platform, document)
    try:
        await node.start()
        await asyncio.sleep(0.5)
        ids = {f"{index}-{endpoint.cell}": endpoint for index in range(4) for endpoint in endpoints}
        requests = {
            name: request_bytes(name, "sale-posting", endpoint.cell, int(1000 * DEADLINE_S))
            for name, endpoint in ids.items()
        }
        handed_in_at = record.now()
        statuses = await asyncio.gather(*(submit(record, node, name, requests[name]) for name in ids))
        if set(statuses) != {202}:
            raise CannotRun(f"not all messages were taken on: {statuses}")
        await asyncio.sleep(KILL_AFTER_S - (record.now() - handed_in_at))
        tried = {message_id for endpoint in endpoints for call in endpoint.calls for message_id in call.ids()}
        untried = set(ids) - tried
        record.note(f"untried: {sorted(untried)}")
        if TROUBLE:
            await node.kill()
            await asyncio.sleep(LATE_S - KILL_AFTER_S - 0.1)
            filler.close()
            await late.start()  # from now on its connections come up at once
            await asyncio.sleep(DOWN_S - (LATE_S - KILL_AFTER_S - 0.1))
            await node.start()
        await asyncio.sleep(OBSERVED_S)
        tried = {message_id for endpoint in endpoints for call in endpoint.calls for message_id in call.ids()}
        given_up = {name for name, (_, outcome) in platform.notices.items() if outcome == "given_up"}
        given_up_untried = untried & given_up - tried
        record.note(f"given up with no call: {sorted(given_up_untried)}")
        if TROUBLE and not untried:
            raise CannotRun("no message was untried at the kill")
        return not untried or len(given_up_untried) * 2 <= len(untried)
    finally:
        await node.kill()
        filler.close()


run(Path(__file__).parent, case)
