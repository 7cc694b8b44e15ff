"""The last check before the first byte of a call uses the list changes that have arrived by then."""

import math
from types import SimpleNamespace

import anyio
from support.fake_servers import FakeEndpoint

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


def test_nothing_is_sent_to_an_address_that_an_unread_change_gives_to_another_endpoint():
    server = FakeEndpoint()
    host, port = server.address.split(":")
    addresses = {"a": (host, int(port))}

    async def call():
        batch = Batch(Endpoint("a", 0, Destination(0), 0))
        send = batch.add(SimpleNamespace(router_event=None), monotonic_ms() + 5000.0, False)
        connections = EndpointConnections(
            BufferPool(), addresses, 1500.0, Activity(), ResponseResources(MemoryAccount(64e6, 0), HoldUps())
        )
        await EndpointCall(
            batch,
            connections,
            monotonic_ms,
            monotonic_ms,
            lambda *_: math.inf,
            addresses.clear,
            anyio.lowlevel.checkpoint,
        ).run()
        return send.result.outcome

    assert anyio.run(call) == SendOutcome.NOT_SENT and server.calls == []
