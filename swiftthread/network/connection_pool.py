"""Idle connections to endpoints, kept for the next call."""

from collections import deque


class ConnectionPool:
    """Owner of idle connections. One is out of here while a call is on it, and back or closed after it."""

    def __init__(self, clock, most_idle_ms, most):
        self.clock, self.max_idle_ms, self.max_connections = clock, most_idle_ms, most
        # (endpoint id, address) -> connections, oldest first; emptied by use, age, closes or an end
        self.idle = {}
        self.count = 0

    def acquire(self, place):
        """The connection used last, if one is still good, else None."""
        self.close_expired()
        while place in self.idle:
            connection = self._out(place, newest=True)
            if connection.is_untouched():
                return connection
            connection.close()
        return None

    def release(self, place, connection):
        """Keep a connection that a call is done with."""
        connection.idle_since = self.clock()
        self.idle.setdefault(place, deque()).append(connection)
        self.count += 1
        self.close_expired()
        while self.count > self.max_connections:
            self._close_oldest(min(self.idle, key=lambda at: self.idle[at][0].idle_since))

    def close_idle(self, place):
        """Close the idle connections to one place."""
        while place in self.idle:
            self._close_oldest(place)

    def close_all(self):
        """Close all idle connections."""
        for place in list(self.idle):
            self.close_idle(place)

    def close_expired(self):
        """Close what has idled so long that the endpoint may close it while a call is under way to it."""
        limit = self.clock() - self.max_idle_ms
        for place in list(self.idle):
            while place in self.idle and self.idle[place][0].idle_since <= limit:
                self._close_oldest(place)

    def _close_oldest(self, place):
        self._out(place, newest=False).close()

    def _out(self, place, newest):
        kept = self.idle[place]
        connection = kept.pop() if newest else kept.popleft()
        self.count -= 1
        if not kept:
            del self.idle[place]
        return connection
