"""Pool of idle connections to endpoints."""

# Later calls reuse them.

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from swiftthread.network.address import Address
from swiftthread.network.connection import Connection, UnreadInput
from swiftthread.network.connection_observer import CloseReason

_REASON_BY_UNREAD_INPUT = {
    UnreadInput.RESPONSE: CloseReason.UNSOLICITED_RESPONSE,
    UnreadInput.OTHER_BYTES: CloseReason.UNSOLICITED_BYTES,
}


class PoolKey(NamedTuple):
    """Endpoint and address of a connection."""

    # Both are needed, because an address can pass to another endpoint.

    endpoint_id: str | int
    address: Address | None
    """None while no endpoint list names the endpoint; no connections to it exist then."""


ClosedCallback = Callable[[PoolKey, Connection, CloseReason], None]
"""Called for each connection that the pool has closed."""


class ConnectionPool:
    """Holds the idle connections."""

    # A connection is not in the pool while a call uses it. After the call it is released to the pool or
    # closed.

    def __init__(self, clock: Callable[[], float], max_idle_ms: float, max_connections: int) -> None:
        self.clock = clock
        self.max_idle_ms = max_idle_ms
        self.max_connections = max_connections
        # Connections of each key, the longest idle first; a key without connections is removed.
        self.idle: dict[PoolKey, deque[Connection]] = {}
        self.count = 0
        self.on_closed: ClosedCallback = lambda key, connection, reason: None
        """Set by the owner of the calls."""

    def acquire(self, key: PoolKey, min_idle_ms: float = 0.0) -> Connection | None:
        """Remove and return the longest idle connection that is still usable; None if there is none.

        A connection is usable if it has been idle for `min_idle_ms` and nothing has arrived on it since.
        """
        # After an unsolicited response no other connection is returned: the next one may have had one too.
        self.close_expired()
        idle_since = self.clock() - min_idle_ms
        while key in self.idle and self._oldest_idle_since(key) <= idle_since:
            connection = self._remove_oldest(key)
            unread_input = connection.unread_input()
            if unread_input is UnreadInput.NOTHING:
                return connection
            self.close(key, connection, CloseReason.CLOSED_BY_ENDPOINT)
            if unread_input is UnreadInput.RESPONSE:
                return None
        return None

    def release(self, key: PoolKey, connection: Connection) -> None:
        """Add a connection that its call no longer needs."""
        connection.idle_since = self.clock()
        self.idle.setdefault(key, deque()).append(connection)
        self.count += 1
        self.close_expired()
        while self.count > self.max_connections:
            self._close_newest(max(self.idle, key=lambda key: len(self.idle[key])))

    def close(self, key: PoolKey, connection: Connection, reason: CloseReason) -> None:
        """Close a connection that is not in the pool.

        The reported reason is `reason`, unless unsolicited bytes have arrived.
        """
        reason = _REASON_BY_UNREAD_INPUT.get(connection.unread_input(), reason)
        connection.close()
        self.on_closed(key, connection, reason)

    def idle_count(self, key: PoolKey) -> int:
        """Return how many idle connections a key has."""
        return len(self.idle.get(key, ()))

    def close_idle(self, key: PoolKey) -> None:
        """Close the idle connections of one key."""
        while key in self.idle:
            self.close(key, self._remove_oldest(key), CloseReason.IDLE)

    def close_all(self) -> None:
        """Close all idle connections."""
        for key in list(self.idle):
            self.close_idle(key)

    def close_expired(self) -> None:
        """Close connections idle for `max_idle_ms` or longer."""
        # The endpoint may close such connections with a call in flight.
        expired_since = self.clock() - self.max_idle_ms
        for key in list(self.idle):
            while key in self.idle and self._oldest_idle_since(key) <= expired_since:
                self.close(key, self._remove_oldest(key), CloseReason.IDLE)

    def _oldest_idle_since(self, key: PoolKey) -> float:
        idle_since = self.idle[key][0].idle_since
        assert idle_since is not None  # set by release
        return idle_since

    def _remove_oldest(self, key: PoolKey) -> Connection:
        connection = self.idle[key].popleft()
        self._record_removal(key)
        return connection

    def _close_newest(self, key: PoolKey) -> None:
        # The newest connection is the last one that may be used again.
        connection = self.idle[key].pop()
        self._record_removal(key)
        self.close(key, connection, CloseReason.TOO_MANY)

    def _record_removal(self, key: PoolKey) -> None:
        self.count -= 1
        if not self.idle[key]:
            del self.idle[key]
