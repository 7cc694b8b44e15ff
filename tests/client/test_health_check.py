"""Health checks of endpoints."""

import anyio
from support.fake_servers import FakeHttpServer

from swiftthread.client.endpoint_client import EndpointClient
from swiftthread.network.buffer_pool import BufferPool
from swiftthread.network.connection_pool import ConnectionPool
from swiftthread.routing.connection_reuse import ConnectionReuse
from swiftthread.routing.endpoint import Endpoint
from swiftthread.routing.events import Destination
from swiftthread.routing.messages import SendOutcome
from swiftthread.service.activity import Activity


def health_outcome(address_changes):
    """Returns the outcome of a health check during which the endpoint's address may change."""
    addresses = {}

    def respond(method, target, headers, body):
        if address_changes:
            addresses["a"] = ("127.0.0.1", 1)
        return 200, [], b""

    async def check():
        host, port = FakeHttpServer(respond).address.split(":")
        addresses["a"] = (host, int(port))
        pool = ConnectionPool(lambda: 0.0, 1000.0, 4)
        client = EndpointClient(
            tasks=None,
            connections=pool,
            buffers=BufferPool(),
            clock=lambda: 0.0,
            log_clock=lambda: 0.0,
            addresses=addresses,
            connect_timeout_ms=1500.0,
            report_fields=(),
            send_deadline=None,
            reuse=ConnectionReuse(),
            observer=Activity(),
        )
        result = await client.check_health(Endpoint("a", 0, Destination(0), 0))
        pool.close_all()
        return result.outcome

    return anyio.run(check)


def test_a_response_from_a_previous_address_is_ignored():
    assert health_outcome(address_changes=False) == SendOutcome.ACKED
    assert health_outcome(address_changes=True) == SendOutcome.TIMED_OUT
