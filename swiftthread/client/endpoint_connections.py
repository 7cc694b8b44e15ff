"""Connections to endpoints: acquired from the connection pool for a call, and released to it afterwards."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum, auto
from typing import TYPE_CHECKING

import h11

from swiftthread.client.http_exchange import HttpResponse, client_parser
from swiftthread.network.address import Address
from swiftthread.network.buffer_pool import BufferPool
from swiftthread.network.connection import Connection, ConnectionClosed, connect
from swiftthread.network.connection_observer import CloseReason, ConnectionObserver
from swiftthread.network.connection_pool import ConnectionPool, PoolKey
from swiftthread.routing.connection_reuse import ConnectionReuse

if TYPE_CHECKING:
    from swiftthread.routing.endpoint import Endpoint
    from swiftthread.routing.events import Event


class CallEnding(Enum):
    """How a call ended, for the decision on its connection."""

    ACKED = auto()
    """All its events were acked."""
    NOT_ACKED = auto()
    IN_DOUBT = auto()
    """Its response may belong to an earlier call on the connection."""


class EndpointConnections:
    """Acquires a connection for a call, and pools, closes or resets it after the call."""

    __slots__ = ("pool", "buffers", "addresses", "connect_timeout_ms", "reuse", "observer")

    def __init__(
        self,
        pool: ConnectionPool,
        buffers: BufferPool,
        addresses: Mapping[str | int, Address],
        connect_timeout_ms: float,
        reuse: ConnectionReuse,
        observer: ConnectionObserver,
    ) -> None:
        self.pool = pool
        self.buffers = buffers
        self.addresses = addresses
        self.connect_timeout_ms = connect_timeout_ms
        self.reuse = reuse
        self.observer = observer
        pool.on_closed = self._record_closed

    def key_of(self, endpoint: Endpoint) -> PoolKey:
        """Returns the pool key of an endpoint's connections."""
        # It has both the endpoint id and the present address: discovery may assign the address of one
        # endpoint to another.
        return PoolKey(endpoint.endpoint_id, self.addresses.get(endpoint.endpoint_id))

    async def acquire(self, key: PoolKey, events: Iterable[Event]) -> Connection:
        """Returns a pooled connection that may be used to send these events, or a new one.

        Raises:
            ConnectionClosed: The endpoint has no address, or connecting to it failed.
        """
        min_rest_ms = self.reuse.min_rest_ms(key.endpoint_id, events, self.pool.clock())
        return self.pool.acquire(key, min_rest_ms) or await self.open(key)

    async def open(self, key: PoolKey) -> Connection:
        """Returns a new connection.

        Raises:
            ConnectionClosed: The endpoint has no address, or connecting to it failed.
        """
        if key.address is None:
            raise ConnectionClosed(False)
        connection = await connect(key.address, self.buffers, client_parser(), self.connect_timeout_ms)
        return connection.enable_timestamps()

    def record_call(self, connection: Connection) -> None:
        """Count a call that is about to be written."""
        connection.call_count += 1
        self.observer.call_written(connection.call_count)

    def release(
        self, key: PoolKey, connection: Connection | None, response: HttpResponse, ending: CallEnding
    ) -> None:
        """Return the connection of a completed call to the pool; close or reset it if it cannot be reused."""
        # After any response but an ack the connection is closed: if that response belongs to another call,
        # this one is given up thereby, and a copy of a rejection can never end a later call.
        if connection is None:
            return
        if connection.parser.our_state is h11.IDLE:
            self.pool.release(key, connection)
        elif not (response.has_begun or response.is_complete):
            # An endpoint that responded has the request. Without a response, bytes of the request that have
            # not arrived yet must not arrive later, and a reset discards them.
            connection.reset()
            self.observer.connection_closed(key.endpoint_id, CloseReason.NO_RESPONSE)
        elif ending is CallEnding.ACKED and response.allows_reuse(connection) and self._may_hold(key):
            self.pool.release(key, connection)
        else:
            self.pool.close(key, connection, _reason_after(response, ending))

    def close_checked(self, key: PoolKey, connection: Connection | None) -> None:
        """Close the connection of a health check."""
        # It is opened for the check alone: no response to a call can be taken for one to a health check, nor
        # the other way round.
        if connection is not None:
            self.pool.close(key, connection, CloseReason.HEALTH_CHECK)

    def _may_hold(self, key: PoolKey) -> bool:
        # While the endpoint is not trusted, one idle connection is held to see whether a response arrives.
        return self.reuse.is_trusted(key.endpoint_id, self.pool.clock()) or not self.pool.idle_count(key)

    def _record_closed(self, key: PoolKey, connection: Connection, reason: CloseReason) -> None:
        self.observer.connection_closed(key.endpoint_id, reason)
        if reason is CloseReason.UNSOLICITED_RESPONSE:
            is_first = self.reuse.record_unsolicited_response(key.endpoint_id, self.pool.clock())
            self.observer.unsolicited_response(key.endpoint_id, connection.call_count, is_first)

    def close_idle(self, endpoint: Endpoint) -> None:
        """Close the pooled connections to an endpoint."""
        self.pool.close_idle(self.key_of(endpoint))


def _reason_after(response: HttpResponse, ending: CallEnding) -> CloseReason:
    if response.is_followed_by_response or ending is CallEnding.IN_DOUBT:
        return CloseReason.UNSOLICITED_RESPONSE
    if response.has_trailing_bytes:
        return CloseReason.UNSOLICITED_BYTES
    return CloseReason.NOT_ACKED
