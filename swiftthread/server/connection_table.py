"""Accepted connections by state."""

# The one to evict for the next is chosen here too. Nothing here waits.

import math
from collections.abc import ItemsView
from enum import IntEnum
from itertools import islice

import anyio

from swiftthread.network.tcp_connection import ConnectionClosed
from swiftthread.server.client_connection import ClientConnection

# A connection may be evicted once it has been in its state for this time. A client waits 0.4 s for its
# response, including the time that it takes to connect.
NEW_GRACE_S = 0.25  # before that, the first request may still be on its way
REQUEST_GRACE_S = 0.45  # by then, the client has given up


# Time that a client has to close its side after the node has. Longer than the 0.4 s that a client waits for a
# response.
CLOSE_TIMEOUT_S = 0.5

# Connections of one state that are considered for one eviction; each is asked whether bytes have arrived.
MAX_EVICTION_CANDIDATES = 32


class ConnectionState(IntEnum):
    """State of an accepted connection."""

    # Connections are evicted in the order of these values.

    CLOSING = 0
    """The node has shut down its side or is about to; bytes that still arrive are read and discarded."""
    NEW = 1
    """Accepted; no bytes have been read from it."""
    IN_REQUEST = 2
    """Between the first byte of a request and the last byte of its response."""
    IDLE_WITHOUT_EVENT = 3
    """Between requests, none of which submitted an event (only health checks, for example)."""
    IDLE_CLIENT = 4
    """Between requests, at least one of which submitted an event."""


# States between two requests, or before the first.
INACTIVE_STATES = (ConnectionState.NEW, ConnectionState.IDLE_WITHOUT_EVENT, ConnectionState.IDLE_CLIENT)


class ConnectionTable:
    """Holds the accepted connections, from the accept to the close."""

    def __init__(self) -> None:
        self._state: dict[ClientConnection, ConnectionState] = {}
        # Indexed by state. Maps each connection to when it entered the state, in s on the event loop's clock;
        # the connection that has been in the state longest comes first.
        self._entered_at: list[dict[ClientConnection, float]] = [{} for _ in ConnectionState]

    def __len__(self) -> int:
        return len(self._state)

    def state_of(self, connection: ClientConnection) -> ConnectionState | None:
        """Return the connection's state, or None once it is closed."""
        return self._state.get(connection)

    def count(self, state: ConnectionState) -> int:
        """Return how many connections are in a state."""
        return len(self._entered_at[state])

    def in_state(self, state: ConnectionState) -> ItemsView[ClientConnection, float]:
        """Return the connections in a state and when each entered it, the earliest first."""
        return self._entered_at[state].items()

    def all(self) -> list[ClientConnection]:
        """Return all connections."""
        return list(self._state)

    def timed_out(self, now: float) -> list[ClientConnection]:
        """Return the connections whose time-out has passed; `now` is on the event loop's clock, in s."""
        return [connection for connection in self._state if connection.times_out_at <= now]

    def inactive(self) -> list[tuple[ClientConnection, float]]:
        """Return the connections without a request in progress."""
        # Each is returned with the time at which it entered its state.
        return [entry for state in INACTIVE_STATES for entry in self._entered_at[state].items()]

    def add(self, connection: ClientConnection) -> None:
        """Add a connection that was just accepted."""
        self._enter(connection, ConnectionState.NEW)

    def set_state(self, connection: ClientConnection, state: ConnectionState) -> None:
        """Change a connection's state.

        Raises:
            ConnectionClosed: The connection has been closed in the meantime.
        """
        if not self._remove(connection):
            raise ConnectionClosed(request_was_written=True)
        self._enter(connection, state)

    def close(self, connection: ClientConnection) -> None:
        """Close a connection unless it is closed already."""
        if self._remove(connection):
            connection.close()

    def begin_close(self, connection: ClientConnection) -> None:
        """Shut down the node's side of a connection."""
        # The client may have written a request in the meantime. It is read and discarded, because its
        # response could no longer be sent, and the client may submit it elsewhere.
        self.set_state(connection, ConnectionState.CLOSING)
        connection.times_out_at = anyio.current_time() + CLOSE_TIMEOUT_S
        connection.shutdown_write()

    def begin_close_of_inactive(self, new_accepted_by: float) -> int:
        """Begin to close all inactive connections on which nothing has arrived.

        Args:
            new_accepted_by: In s on the event loop's clock; connections in state NEW that were accepted
                later stay open.

        Returns:
            The number of connections whose close begins.
        """
        closed_count = 0
        for connection, entered_at in self.inactive():
            if connection.has_nothing_to_read() and (
                entered_at <= new_accepted_by or self.state_of(connection) is not ConnectionState.NEW
            ):
                self.begin_close(connection)
                closed_count += 1
        return closed_count

    def has_unread_request(self) -> bool:
        """Return whether any inactive connection has unread input."""
        return not all(connection.has_nothing_to_read() for connection, _ in self.inactive())

    def evict_one(self) -> bool:
        """Evict a connection to free capacity.

        Returns:
            Whether a connection could be evicted.
        """
        # A connection is closed, or the close of one begins on which no request has arrived.
        return any(self._evict_from(state) for state in ConnectionState)

    def _evict_from(self, state: ConnectionState) -> bool:
        entered_by = anyio.current_time() - self._grace_s(state)
        for connection, entered_at in islice(self._entered_at[state].items(), MAX_EVICTION_CANDIDATES):
            if entered_at > entered_by:
                break
            if state is ConnectionState.CLOSING or state is ConnectionState.IN_REQUEST:
                self.close(connection)
                return True
            if connection.has_nothing_to_read():
                self.begin_close(connection)
                return True
        return False

    def _grace_s(self, state: ConnectionState) -> float:
        if state is ConnectionState.NEW:
            return NEW_GRACE_S
        if state is ConnectionState.IN_REQUEST:
            return REQUEST_GRACE_S
        if state is ConnectionState.IDLE_CLIENT and self.count(ConnectionState.NEW):
            return math.inf  # a new connection is about to exceed its grace period and is evicted instead
        return 0.0

    def _enter(self, connection: ClientConnection, state: ConnectionState) -> None:
        self._state[connection] = state
        self._entered_at[state][connection] = anyio.current_time()

    def _remove(self, connection: ClientConnection) -> bool:
        state = self._state.pop(connection, None)
        if state is None:
            return False
        del self._entered_at[state][connection]
        return True
