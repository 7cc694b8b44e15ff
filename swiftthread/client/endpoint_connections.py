"""Connections to endpoints: acquired from the connection pool for a call, and released to it afterwards."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

import h11

from swiftthread.client.http_exchange import HttpResponse, client_parser
from swiftthread.network.address import Address
from swiftthread.network.buffer_pool import BufferPool
from swiftthread.network.connection import Connection, ConnectionClosed, connect
from swiftthread.network.connection_pool import ConnectionPool, PoolKey

if TYPE_CHECKING:
    from swiftthread.routing.endpoint import Endpoint


class EndpointConnections:
    """Acquires a connection for a call, and pools, closes or resets it after the call."""

    __slots__ = ("pool", "buffers", "addresses", "connect_timeout_ms")

    def __init__(
        self,
        pool: ConnectionPool,
        buffers: BufferPool,
        addresses: Mapping[str | int, Address],
        connect_timeout_ms: float,
    ) -> None:
        self.pool = pool
        self.buffers = buffers
        self.addresses = addresses
        self.connect_timeout_ms = connect_timeout_ms

    def key_of(self, endpoint: Endpoint) -> PoolKey:
        """Returns the pool key of an endpoint's connections."""
        # It has both the endpoint id and the present address: discovery may assign the address of one
        # endpoint to another.
        return PoolKey(endpoint.endpoint_id, self.addresses.get(endpoint.endpoint_id))

    async def acquire(self, key: PoolKey) -> Connection:
        """Returns a pooled connection, or a new one.

        Raises:
            ConnectionClosed: The endpoint has no address, or connecting to it failed.
        """
        address = key.address
        if address is None:
            raise ConnectionClosed(False)
        connection = self.pool.acquire(key)
        if connection is None:
            connection = await connect(address, self.buffers, client_parser(), self.connect_timeout_ms)
            connection.enable_timestamps()
        return connection

    def release(self, key: PoolKey, connection: Connection | None, response: HttpResponse) -> None:
        """Return the connection of a completed call to the pool; close or reset it if it cannot be reused."""
        if connection is None:
            return
        if response.allows_reuse(connection) or connection.parser.our_state is h11.IDLE:
            self.pool.release(key, connection)
        elif response.has_begun or response.is_complete:
            connection.close()
        else:
            # An endpoint that responded has the request. Without a response, bytes of the request that have
            # not arrived yet must not arrive later, and a reset discards them.
            connection.reset()

    def close_idle(self, endpoint: Endpoint) -> None:
        """Close the pooled connections to an endpoint."""
        self.pool.close_idle(self.key_of(endpoint))
