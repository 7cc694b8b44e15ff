"""Calls of several events, and the tasks that they run in."""

import anyio
import pytest
from support.endpoint_clients import SEND_DEADLINE_MS, endpoint_client, sendable_event
from support.fake_servers import FakeEndpoint

from swiftthread.routing.endpoint import Endpoint
from swiftthread.routing.events import Call, Destination
from swiftthread.routing.messages import Send, SendOutcome

TASKS_END_S = 5.0
BOTH_DONE = b'[{"id":"evt-0","state":"done"},{"id":"evt-1","state":"done"}]'


def event_of_call(number, call):
    pending = sendable_event(number, call.endpoint.destination)
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
        result = await client.send(pending, Send(pending.router_event.call.endpoint, SEND_DEADLINE_MS))
        outcomes.append(result.outcome)

    async def run():
        with anyio.fail_after(TASKS_END_S):
            async with anyio.create_task_group() as tasks:
                client = endpoint_client(tasks, {"a": (host, int(port))})
                call = Call(Endpoint("a", 0, Destination(1), 0))
                for number in range(2):
                    tasks.start_soon(send, client, event_of_call(number, call))
                while len(client.batches) < 1 or len(client.batches[call].sends) < 2:
                    await anyio.lowlevel.checkpoint()
                client.start_batches()

    anyio.run(run)
    assert outcomes == [outcome] * 2
