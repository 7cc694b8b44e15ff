"""Notifications are acknowledged by the response to their own request."""

import json
import threading

import anyio
from support.fake_servers import FakeHttpServer, send_if_open

from swiftthread.client.result_notifier import ResultNotifier
from swiftthread.network.buffer_pool import BufferPool
from swiftthread.storage.decision import Decision, FinalOutcome

ABANDONED = Decision(FinalOutcome.ABANDONED, 0.0)


def test_a_copy_of_an_earlier_acknowledgement_does_not_acknowledge_a_request_that_failed():
    received, is_second = [], threading.Event()

    def respond(method, target, headers, body):
        if is_second.is_set():
            send_if_open(server.conns[0], b"HTTP/1.1 204 No Content\r\n\r\n")
            is_second.clear()
            return 500, [], b""
        received.extend(json.loads(line)["message"] for line in body.splitlines())
        return 204, [], b""

    server = FakeHttpServer(respond)
    host, port = server.address.split(":")

    async def notify_of_two_events():
        notifier = ResultNotifier((host, int(port)), BufferPool(), 1500.0, 1.0)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(notifier.run)
            await notifier.notify("evt-1", ABANDONED)
            is_second.set()
            await notifier.notify("evt-2", ABANDONED)
            tasks.cancel_scope.cancel()

    anyio.run(notify_of_two_events)
    assert received == ["evt-1", "evt-2"]
