"""The steps between a connection that has come up and the first byte of a call."""

import anyio
from support.endpoint_clients import send_preparation, sendable_event
from support.fake_servers import FakeEndpoint
from support.node_process import wait_until

from swiftthread.client.batch import Batch
from swiftthread.client.endpoint_call import EndpointCall
from swiftthread.client.endpoint_connections import EndpointConnections
from swiftthread.client.http_exchange import ResponseResources
from swiftthread.clocks import monotonic_ms
from swiftthread.hold_ups import HoldUps
from swiftthread.memory_account import MemoryAccount
from swiftthread.network.buffer_pool import BufferPool
from swiftthread.routing.endpoint import Endpoint
from swiftthread.routing.events import Destination
from swiftthread.routing.messages import SendOutcome
from swiftthread.service.activity import Activity


class CallOfOneSend:
    """A call with one send to an endpoint that answers every call."""

    def __init__(self, clock=monotonic_ms, **steps):
        self.server = FakeEndpoint()
        host, port = self.server.address.split(":")
        self.addresses = {"a": (host, int(port))}
        self.clock = clock
        self.steps = steps

    async def _run(self):
        batch = Batch(Endpoint("a", 0, Destination(0), 0))
        send = batch.add(sendable_event(1, batch.endpoint.destination), monotonic_ms() + 5000.0, False)
        resources = ResponseResources(MemoryAccount(64e6, 0), HoldUps())
        connections = EndpointConnections(BufferPool(), self.addresses, 1500.0, Activity(), resources)
        await EndpointCall(batch, connections, self.clock, monotonic_ms, send_preparation(**self.steps)).run()
        return send.result.outcome if send.finished.is_set() else None

    def run(self):
        """Make the call; return the outcome of the send if it was not made, else None."""
        return anyio.run(self._run)


def test_nothing_is_sent_to_an_address_that_an_unread_change_gives_to_another_endpoint():
    call = CallOfOneSend()
    call.steps["update_endpoint_list"] = call.addresses.clear
    assert call.run() == SendOutcome.NOT_SENT and call.server.calls == []


def test_a_send_is_recorded_once_its_connection_is_up():
    """It was recorded before, and counted as one that may have run if the process died meanwhile."""
    accepted_at_record = []
    call = CallOfOneSend()

    def record_send(_pending):
        wait_until(lambda: call.server.accepted)
        accepted_at_record.append(call.server.accepted)
        assert not call.server.calls
        return True

    call.steps["record_send"] = record_send
    assert call.run() is None
    assert accepted_at_record == [1] and call.server.event_ids() == ["evt-1"]


def test_a_send_that_cannot_be_recorded_is_not_made():
    call = CallOfOneSend(record_send=lambda _pending: False)
    assert call.run() == SendOutcome.NOT_SENT
    wait_until(lambda: call.server.accepted)
    assert call.server.calls == []


def test_the_send_deadline_is_checked_after_the_send_is_recorded():
    """Recording can take long on a slow disk."""
    now = [0.0]

    def record_send(_pending):
        now[0] = 101.0
        return True

    call = CallOfOneSend(clock=lambda: now[0], send_deadline=lambda *_: 100.0, record_send=record_send)
    assert call.run() == SendOutcome.NOT_SENT and call.server.calls == []
