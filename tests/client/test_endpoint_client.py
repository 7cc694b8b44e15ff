"""Calls of several events, and the tasks that they run in."""

import math

import anyio
import pytest
from support.fake_servers import FakeEndpoint

from swiftthread.client.endpoint_client import EndpointClient
from swiftthread.clocks import monotonic_ms
from swiftthread.hold_ups import HoldUps
from swiftthread.memory_account import MemoryAccount
from swiftthread.network.buffer_pool import BufferPool
from swiftthread.routing.endpoint import Endpoint
from swiftthread.routing.events import Call, Destination, Event
from swiftthread.routing.messages import Send, SendOutcome
from swiftthread.service.activity import Activity
from swiftthread.storage.pending_event import PendingEvent

TIMEOUT_MS = 60_000.0
TASKS_END_S = 5.0
BOTH_DONE = b'[{"id":"evt-0","state":"done"},{"id":"evt-1","state":"done"}]'


def pending_event(number, call):
    pending = PendingEvent(f"evt-{number}", "", "notice", 1, math.inf, None, 0, b"body")
    pending.router_event = Event(None, call.endpoint.destination, 0, 1.0, math.inf, math.inf, 0.0)
    pending.router_event.call = call
    return pending


@pytest.mark.parametrize(
    "response, outcome", [((200, [], BOTH_DONE), SendOutcome.ACKED), ("reset", SendOutcome.RESET)]
)
def test_all_tasks_of_a_call_of_several_events_end_with_it(response, outcome):
    """One slept on until the deadlines of the events, with some 3 KB that no account of memory had."""
    server = FakeEndpoint(response)
    host, port = server.address.split(":")
    outcomes = []

    async def send(client, pending):
        result = await client.send(pending, Send(pending.router_event.call.endpoint, TIMEOUT_MS))
        outcomes.append(result.outcome)

    async def run():
        with anyio.fail_after(TASKS_END_S):
            async with anyio.create_task_group() as tasks:
                client = EndpointClient(
                    tasks=tasks,
                    buffers=BufferPool(),
                    clock=monotonic_ms,
                    log_clock=monotonic_ms,
                    addresses={"a": (host, int(port))},
                    connect_timeout_ms=1500.0,
                    report_fields=(),
                    send_deadline=lambda *_: monotonic_ms() + TIMEOUT_MS,
                    update_endpoint_list=lambda: None,
                    wait_until_recorded=anyio.lowlevel.checkpoint,
                    record_send=lambda _pending: True,
                    observer=Activity(),
                    memory=MemoryAccount(64e6, 0),
                    hold_ups=HoldUps(),
                )
                call = Call(Endpoint("a", 0, Destination(1), 0))
                for number in range(2):
                    tasks.start_soon(send, client, pending_event(number, call))
                while len(client.batches) < 1 or len(client.batches[call].sends) < 2:
                    await anyio.lowlevel.checkpoint()
                client.start_batches()

    anyio.run(run)
    assert outcomes == [outcome] * 2
