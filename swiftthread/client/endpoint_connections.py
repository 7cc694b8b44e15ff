"""Connections to endpoints: each is opened for one call or health check, and closed after it."""

# HTTP/1.1 assigns a response to its request only by their order on the connection. On a connection that
# carries one request, a response that is written twice, or late, cannot end another one.

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, NamedTuple

from swiftthread.client.http_exchange import HttpResponse, ResponseResources, client_parser
from swiftthread.network.address import Address
from swiftthread.network.buffer_pool import BufferPool
from swiftthread.network.connection import Connection, connect
from swiftthread.network.connection_observer import CloseReason, ConnectionObserver
from swiftthread.network.tcp_connection import ConnectionClosed, UnreadInput

if TYPE_CHECKING:
    from swiftthread.routing.endpoint import Endpoint

_REASON_BY_UNREAD_INPUT = {
    UnreadInput.RESPONSE: CloseReason.UNSOLICITED_RESPONSE,
    UnreadInput.OTHER_BYTES: CloseReason.UNSOLICITED_BYTES,
}


class EndpointAddress(NamedTuple):
    """An endpoint and its address at one time."""

    # Both are needed, because an address can pass to another endpoint.

    endpoint_id: str | int
    address: Address | None
    """None while no endpoint list names the endpoint."""


class EndpointConnections:
    """Opens a connection for each call, and closes or resets it after the call."""

    __slots__ = ("buffers", "addresses", "connect_timeout_ms", "observer", "resources")

    def __init__(
        self,
        buffers: BufferPool,
        addresses: Mapping[str | int, Address],
        connect_timeout_ms: float,
        observer: ConnectionObserver,
        resources: ResponseResources,
    ) -> None:
        self.buffers = buffers
        self.addresses = addresses
        self.connect_timeout_ms = connect_timeout_ms
        self.observer = observer
        self.resources = resources

    def address_of(self, endpoint: Endpoint) -> EndpointAddress:
        """Returns the endpoint with its present address."""
        return EndpointAddress(endpoint.endpoint_id, self.addresses.get(endpoint.endpoint_id))

    async def open(self, target: EndpointAddress) -> Connection:
        """Returns a new connection.

        Raises:
            ConnectionClosed: The endpoint has no address, or connecting to it failed.
        """
        if target.address is None:
            raise ConnectionClosed(False)
        connection = await connect(target.address, self.buffers, client_parser(), self.connect_timeout_ms)
        return connection.enable_timestamps()

    def close(self, target: EndpointAddress, connection: Connection | None, response: HttpResponse) -> None:
        """Close the connection of a call, or reset it if the call has no response; release the response."""
        response.release()
        if connection is None:
            return
        reason = _close_reason(connection, response)
        if reason is CloseReason.NO_RESPONSE:
            # An endpoint that responded has the request. Without a response, bytes of the request that have
            # not arrived yet must not arrive later, and a reset discards them.
            connection.reset()
        else:
            connection.close()
        self.observer.connection_closed(target.endpoint_id, reason)


def _close_reason(connection: Connection, response: HttpResponse) -> CloseReason:
    if not (response.has_begun or response.is_complete):
        return CloseReason.NO_RESPONSE
    if not response.is_complete:
        return CloseReason.INCOMPLETE_RESPONSE
    if response.is_followed_by_response:
        return CloseReason.UNSOLICITED_RESPONSE
    if response.has_trailing_bytes:
        return CloseReason.UNSOLICITED_BYTES
    return _REASON_BY_UNREAD_INPUT.get(connection.unread_input(), CloseReason.COMPLETE_RESPONSE)
