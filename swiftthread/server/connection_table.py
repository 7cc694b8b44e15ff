"""The accepted connections by state, and which of them makes room for the next. No waiting happens here."""

import math
from collections.abc import ItemsView
from enum import IntEnum

import anyio

from swiftthread.network.connection import Connection, ConnectionClosed

# Ages at which a connection may be evicted. A client waits 0.4 s for its answer, its connect counted in.
NEW_GRACE_S = 0.25  # without a request: it may be on its way
REQUEST_GRACE_S = 0.45  # in a request: the client has given up by then


class ConnectionState(IntEnum):
    """What an accepted connection is doing, in the order in which states are evicted."""

    CLOSING = 0
    """Our side is shut down, or about to be; what still arrives is read and dropped."""
    NEW = 1
    """Nothing has arrived yet."""
    IN_REQUEST = 2
    """From the first byte of a request to the last of its answer."""
    IDLE_WITHOUT_EVENT = 3
    """Between requests; none of them submitted an event, but asked after the node's health, say."""
    IDLE_CLIENT = 4
    """Between requests, of which at least one submitted an event."""


# Between two requests, or before the first.
QUIET_STATES = (ConnectionState.NEW, ConnectionState.IDLE_WITHOUT_EVENT, ConnectionState.IDLE_CLIENT)


class ConnectionTable:
    """Owner of the accepted connections, from the accept to the close."""

    def __init__(self) -> None:
        self._state: dict[Connection, ConnectionState] = {}
        # Indexed by state: connection -> when it entered the state (s on the loop's clock), longest first.
        self._entered_at: list[dict[Connection, float]] = [{} for _ in ConnectionState]

    def __len__(self) -> int:
        return len(self._state)

    def state_of(self, connection: Connection) -> ConnectionState | None:
        """Return the connection's state; None once it is closed."""
        return self._state.get(connection)

    def count(self, state: ConnectionState) -> int:
        """Return how many connections are in a state."""
        return len(self._entered_at[state])

    def in_state(self, state: ConnectionState) -> ItemsView[Connection, float]:
        """Return the connections of a state and when they entered it, longest first."""
        return self._entered_at[state].items()

    def quiet(self) -> list[tuple[Connection, float]]:
        """Return the connections on which no request is being read, and when they entered their state."""
        return [entry for state in QUIET_STATES for entry in self._entered_at[state].items()]

    def add(self, connection: Connection) -> None:
        """Take in an accepted connection."""
        self._enter(connection, ConnectionState.NEW)

    def move(self, connection: Connection, state: ConnectionState) -> None:
        """Change a connection's state.

        Raises:
            ConnectionClosed: the connection was closed meanwhile.
        """
        if not self._remove(connection):
            raise ConnectionClosed(request_was_written=True)
        self._enter(connection, state)

    def close(self, connection: Connection) -> None:
        """Close a connection, unless that is done."""
        if self._remove(connection):
            connection.close()

    def begin_close(self, connection: Connection) -> None:
        """End our side of a quiet connection; its task then waits for the client to close too.

        The client may have written a request meanwhile. It is not taken on, for its answer could not go any
        more, and the client may submit it elsewhere.
        """
        self.move(connection, ConnectionState.CLOSING)
        connection.shutdown_write()

    def begin_close_of_quiet(self, new_since: float) -> None:
        """Begin to close all connections on which nothing has arrived.

        Args:
            new_since: New connections are spared that were accepted after this moment, s on the loop's clock.
        """
        for connection, since in self.quiet():
            if connection.has_nothing_to_read() and (
                since <= new_since or self.state_of(connection) is not ConnectionState.NEW
            ):
                self.begin_close(connection)

    def has_unread_request(self) -> bool:
        """Whether something has arrived on a quiet connection."""
        return not all(connection.has_nothing_to_read() for connection, _ in self.quiet())

    def evict_one(self) -> bool:
        """Make room: close a connection, or begin to close one that loses nothing by it.

        Returns:
            Whether there was one.
        """
        return any(self._evict_from(state) for state in ConnectionState)

    def _evict_from(self, state: ConnectionState) -> bool:
        entered_by = anyio.current_time() - self._grace_s(state)
        for connection, since in self._entered_at[state].items():
            if since > entered_by:
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
            return math.inf  # a new connection is about to reach the age for it
        return 0.0

    def _enter(self, connection: Connection, state: ConnectionState) -> None:
        self._state[connection] = state
        self._entered_at[state][connection] = anyio.current_time()

    def _remove(self, connection: Connection) -> bool:
        state = self._state.pop(connection, None)
        if state is None:
            return False
        del self._entered_at[state][connection]
        return True
