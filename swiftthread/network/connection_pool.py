"""Pool of idle connections to endpoints."""

# Later calls reuse them.

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from swiftthread.network.address import Address
from swiftthread.network.connection import Connection


class PoolKey(NamedTuple):
    """Endpoint and address of a connection."""

    # Both are needed, because an address can pass to another endpoint.

    endpoint_id: str | int
    address: Address | None
    """None while no endpoint list names the endpoint; no connections to it exist then."""


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

    def acquire(self, key: PoolKey) -> Connection | None:
        """Remove and return the most recently used connection that is still usable; None if there is none."""
        self.close_expired()
        while key in self.idle:
            connection = self._remove_newest(key)
            if connection.has_nothing_to_read():
                return connection
            connection.close()
        return None

    def release(self, key: PoolKey, connection: Connection) -> None:
        """Add a connection that its call no longer needs."""
        connection.idle_since = self.clock()
        self.idle.setdefault(key, deque()).append(connection)
        self.count += 1
        self.close_expired()
        while self.count > self.max_connections:
            self._close_oldest(min(self.idle, key=self._oldest_idle_since))

    def close_idle(self, key: PoolKey) -> None:
        """Close the idle connections of one key."""
        while key in self.idle:
            self._close_oldest(key)

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
                self._close_oldest(key)

    def _oldest_idle_since(self, key: PoolKey) -> float:
        idle_since = self.idle[key][0].idle_since
        assert idle_since is not None  # set by release
        return idle_since

    def _remove_newest(self, key: PoolKey) -> Connection:
        connection = self.idle[key].pop()
        self._record_removal(key)
        return connection

    def _close_oldest(self, key: PoolKey) -> None:
        connection = self.idle[key].popleft()
        self._record_removal(key)
        connection.close()

    def _record_removal(self, key: PoolKey) -> None:
        self.count -= 1
        if not self.idle[key]:
            del self.idle[key]
